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

// All timers that were added and not removed expire in order of their times, and with equal times in order of Add.
func TestTimersExpireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct{ at, number int }
		const lastAt = 20
		var q Queue[entry]
		var want []entry
		for number, at := range rapid.SliceOfN(rapid.IntRange(0, lastAt), 0, 60).Draw(t, "times") {
			e := entry{at, number}
			timer := q.Add(time.Duration(at), e)
			if timer.ExpiresAt() != time.Duration(at) {
				t.Fatalf("timer added at %d has ExpiresAt() = %v, want the same time", at, timer.ExpiresAt())
			}
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				q.Remove(timer)
				q.Remove(timer) // the second call does nothing
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
				t.Fatalf("Next() = %v after all timers that expire at %d were popped, want a later time", at, now)
			}
		}
		if len(want) != 0 || q.Len() != 0 {
			t.Fatalf("%d timers are left in the queue and %v were not popped, want none", q.Len(), want)
		}
	})
}

// Guards against a removal that damages the heap: removing an expired timer or nil leaves the other timers in the queue.
func TestRemoveOfExpiredTimer(t *testing.T) {
	var q Queue[string]
	first := q.Add(1, "first")
	q.Add(2, "second")
	if value, ok := q.PopExpired(1); !ok || value != "first" {
		t.Fatalf("popped %q, %t, want \"first\"", value, ok)
	}
	q.Remove(first)
	q.Remove(nil)
	if value, ok := q.PopExpired(2); !ok || value != "second" {
		t.Errorf("popped %q, %t after the removals, want \"second\"", value, ok)
	}
	if _, ok := q.Next(); ok {
		t.Error("Next() returns a timer of an empty queue")
	}
}
