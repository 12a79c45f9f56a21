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
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Timers come out as they were added and not removed, in order of time and then of Add.
func TestTimersExpireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct{ at, number int }
		const lastAt = 20
		var q Queue[entry]
		var want []entry
		for number, at := range rapid.SliceOfN(rapid.IntRange(0, lastAt), 0, 60).Draw(t, "times") {
			e := entry{at, number}
			timer := q.Add(time.Duration(at), e)
			if timer.At() != time.Duration(at) {
				t.Fatalf("added at %d, At() = %v", at, timer.At())
			}
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				q.Remove(timer)
				q.Remove(timer) // again: nothing happens
			} else {
				want = append(want, e)
			}
		}
		slices.SortStableFunc(want, func(a, b entry) int { return a.at - b.at })
		for now := range lastAt + 1 {
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
				t.Fatalf("Next() = %v after all that expire at %d were popped", at, now)
			}
		}
		if len(want) != 0 || q.Len() != 0 {
			t.Fatalf("%d timers are left, want %v to be popped", q.Len(), want)
		}
	})
}

// A timer that expired, or nil, can be removed without harm to the others.
func TestRemoveOfExpiredTimer(t *testing.T) {
	var q Queue[string]
	first := q.Add(1, "first")
	q.Add(2, "second")
	if value, ok := q.PopExpired(1); !ok || value != "first" {
		t.Fatalf("popped %q, %t", value, ok)
	}
	q.Remove(first)
	q.Remove(nil)
	if value, ok := q.PopExpired(2); !ok || value != "second" {
		t.Errorf("popped %q, %t after the removals, want \"second\"", value, ok)
	}
	if _, ok := q.Next(); ok {
		t.Error("Next() finds a timer in an empty queue")
	}
}
