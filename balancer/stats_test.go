package balancer

import (
	"testing"
	"time"
)

// Memory of the budget is bounded at any rate, also where nothing asks for the count, and an attempt that was
// never made does not count.
func TestSlidingWindowIsBounded(t *testing.T) {
	for _, late := range []bool{false, true} {
		w := slidingWindow{length: sec, inclusive: late}
		now := time.Duration(0)
		for range 300_000 {
			w.add(now)
			now += 10 * time.Microsecond
		}
		least, most := 99_000, 100_000
		if late { // what leaves late is counted for longer, by a part of the span at most
			least, most = most, most+100_000/maxWindowBuckets+2
		}
		if len(w.buckets) > maxWindowBuckets+1 || w.total < least || w.total > most {
			t.Errorf("late %v: %d moments kept for %d", late, len(w.buckets), w.total)
		}
	}
	w := slidingWindow{length: sec, inclusive: true}
	w.add(sec)
	w.add(2 * sec)
	w.remove(sec)
	if n := w.count(2 * sec); n != 1 {
		t.Errorf("%d counted, one was made", n)
	}
	if n := w.count(3*sec + 1); n != 0 {
		t.Errorf("%d counted after the span", n)
	}
}
