package balancer

import (
	"testing"
	"time"
)

// The number of buckets of a window is bounded at any rate of events, even if nothing reads the count.
func TestSlidingWindowIsBounded(t *testing.T) {
	const inWindow = 100_000
	for _, c := range []struct {
		name      string
		inclusive bool
		low, high int // total
	}{
		{"exclusive", false, inWindow - 1000, inWindow},
		// Events stay longer, by at most the length of a bucket.
		{"inclusive", true, inWindow, inWindow + inWindow/maxWindowBuckets + 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := slidingWindow{length: sec, inclusive: c.inclusive}
			now := time.Duration(0)
			for range 3 * inWindow {
				w.add(now)
				now += sec / inWindow
			}
			if len(w.buckets) > maxWindowBuckets+1 || w.total < c.low || w.total > c.high {
				t.Errorf("got %d buckets with a total of %d, want both within bounds",
					len(w.buckets), w.total)
			}
		})
	}
	t.Run("removed event", func(t *testing.T) {
		w := slidingWindow{length: sec, inclusive: true}
		w.add(sec)
		w.add(2 * sec)
		w.remove(sec)
		if n := w.count(2 * sec); n != 1 {
			t.Errorf("after a removal: got a count of %d, want 1", n)
		}
		if n := w.count(3*sec + 1); n != 0 {
			t.Errorf("after the window: got a count of %d, want 0", n)
		}
	})
}
