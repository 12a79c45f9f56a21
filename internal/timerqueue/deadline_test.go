package timerqueue

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// What comes out is what was put in and not removed, in order of time and then of arrival.
func TestQueueOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct{ at, n int }
		var q Queue[entry]
		var want []entry
		for n, at := range rapid.SliceOfN(rapid.IntRange(0, 20), 0, 60).Draw(t, "times") {
			e := entry{at, n}
			it := q.Add(time.Duration(at), e)
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				q.Remove(it)
				q.Remove(it)
			} else {
				want = append(want, e)
			}
		}
		slices.SortStableFunc(want, func(a, b entry) int { return a.at - b.at })
		for now := 0; now <= 20; now++ {
			for {
				e, ok := q.PopExpired(time.Duration(now))
				if !ok {
					break
				}
				if len(want) == 0 || e != want[0] || e.at > now {
					t.Fatalf("popped %v at %d, want %v", e, now, want)
				}
				want = want[1:]
			}
			if at, ok := q.Next(); ok && at <= time.Duration(now) {
				t.Fatalf("next at %v is due at %d", at, now)
			}
		}
		if len(want) != 0 || q.Len() != 0 {
			t.Fatalf("left over: %v", want)
		}
	})
}
