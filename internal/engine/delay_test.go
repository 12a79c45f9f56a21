package engine

import (
	"slices"
	"testing"
	"time"
)

// A server that has room is asked half as often as one that is well used, and never so seldom that what it said is old.
func TestEasyServersAreAskedLessOften(t *testing.T) {
	for _, c := range []struct {
		load float64
		want int
	}{{0.3, 5}, {0.7, 10}} {
		w := newWorld(t, 1, func(o *Options) { o.CanPollLoad = true })
		w.arrive(w.client("a"), Request{Key: "k"})
		w.wentUp(w.link)
		asked := 0
		for range 40 {
			w.did = nil
			w.pass(250 * time.Millisecond)
			if slices.Contains(w.did, "probe a1") {
				asked++
				w.tell(LoadReported{Server: 1, Report: LoadReport{Utilization: c.load, HasUtilization: true}})
			}
		}
		if asked < c.want || asked > c.want+1 {
			t.Errorf("asked %d times in 10 s at a load of %v, not %d", asked, c.load, c.want)
		}
	}
}
