package simulation

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

// Events happen by time, and in the order of their calls where times are equal, whatever is taken back in between.
func TestEventsHappenInOrder(t *testing.T) {
	type planned struct {
		at time.Duration
		n  int
	}
	rapid.Check(t, func(rt *rapid.T) {
		w := NewScheduler(1)
		var want, got []planned
		for n, at := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60).Draw(rt, "times") {
			p := planned{time.Duration(at), n}
			e := w.At(p.at, func() {
				if w.Now() != p.at {
					rt.Fatalf("due at %d, now is %d", p.at, w.Now())
				}
				got = append(got, p)
			})
			if rapid.IntRange(0, 4).Draw(rt, "cancel") == 0 {
				w.Cancel(e)
				continue
			}
			want = append(want, p)
		}
		slices.SortStableFunc(want, func(a, b planned) int { return int(a.at - b.at) })
		if n := w.Run(4) + w.Run(9); n != len(want) || !slices.Equal(got, want) || w.Pending() > 0 {
			rt.Fatalf("%d happened: %v, want %v", n, got, want)
		}
	})
}

func TestWhatIsPastHappensNow(t *testing.T) {
	w := NewScheduler(1)
	w.Run(time.Second)
	var at time.Duration
	w.At(0, func() { at = w.Now() })
	if w.Run(time.Second); at != time.Second {
		t.Errorf("happened at %v", at)
	}
}

// Each actor has a stream of its own: one that draws more moves no other.
func TestStreamsAreApart(t *testing.T) {
	first := NewScheduler(7).Stream("node 1").Uint64()
	w := NewScheduler(7)
	for range 10 {
		w.Stream("node 2").Uint64()
	}
	if w.Stream("node 1").Uint64() != first {
		t.Error("another's draws moved a stream")
	}
	if NewScheduler(8).Stream("node 1").Uint64() == first || w.Stream("node 11").Uint64() == first {
		t.Error("another seed or name gives the same stream")
	}
}

// queue plays one server with exponential times at a load, and returns the mean number there.
func queue(seed uint64, load float64, span time.Duration) float64 {
	w := NewScheduler(seed)
	gap := distuv.Exponential{Rate: load, Src: w.Stream("arrivals")}
	work := distuv.Exponential{Rate: 1, Src: w.Stream("work")}
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	there, area, last := 0, 0.0, time.Duration(0)
	change := func(by int) {
		area += float64(there) * (w.Now() - last).Seconds()
		there, last = there+by, w.Now()
	}
	var leave, arrive func()
	leave = func() {
		if change(-1); there > 0 {
			w.After(seconds(work.Rand()), leave)
		}
	}
	arrive = func() {
		if change(1); there == 1 {
			w.After(seconds(work.Rand()), leave)
		}
		w.After(seconds(gap.Rand()), arrive)
	}
	w.After(0, arrive)
	w.Run(span)
	change(0)
	return area / span.Seconds()
}

// A queue whose mean is known holds what theory says, and plays alike each time.
func TestQueueHoldsWhatTheorySays(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		got, want := queue(3, load, 200_000*time.Second), load/(1-load)
		if math.Abs(got-want) > 0.06*want {
			t.Errorf("at a load of %.1f it holds %.3f, theory says %.3f", load, got, want)
		}
		if again := queue(3, load, 200_000*time.Second); again != got {
			t.Errorf("played again it holds %v, not %v", again, got)
		}
	}
}

// BenchmarkEvents is the cost of one event among so many that wait.
func BenchmarkEvents(b *testing.B) {
	for _, waiting := range []int{1_000, 1_000_000} {
		b.Run(strconv.Itoa(waiting), func(b *testing.B) {
			w := NewScheduler(1)
			r := w.Stream("times")
			var next func()
			next = func() { w.After(time.Duration(r.Int64N(int64(time.Second))), next) }
			for range waiting {
				next()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; {
				n += w.Run(w.Now() + time.Millisecond)
			}
		})
	}
}
