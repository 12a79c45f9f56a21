package balancer

import (
	"testing"
	"time"
)

// The buckets of a window are bounded at any rate, also where nothing reads the count.
func TestSlidingWindowIsBounded(t *testing.T) {
	const inWindow = 100_000
	for _, c := range []struct {
		name      string
		inclusive bool
		low, high int // total
	}{
		{"exclusive", false, inWindow - 1000, inWindow},
		// Entries stay longer, by at most the length of a bucket.
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
				t.Errorf("%d buckets with a total of %d", len(w.buckets), w.total)
			}
		})
	}
	t.Run("removed entry", func(t *testing.T) {
		w := slidingWindow{length: sec, inclusive: true}
		w.add(sec)
		w.add(2 * sec)
		w.remove(sec)
		if n := w.count(2 * sec); n != 1 {
			t.Errorf("%d counted of one that is left", n)
		}
		if n := w.count(3*sec + 1); n != 0 {
			t.Errorf("%d counted after the window", n)
		}
	})
}
