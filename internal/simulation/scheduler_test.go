package simulation

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

// Guards against events that run out of order: they run by time and, at equal times, in the order in which they were
// scheduled. Cancelled events do not run and do not affect the order.
func TestEventsRunInOrder(t *testing.T) {
	type planned struct {
		at    time.Duration
		order int
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := NewScheduler(1)
		var want, got []planned
		for order, at := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60).Draw(rt, "times") {
			p := planned{time.Duration(at), order}
			event := s.At(p.at, func() {
				if s.Now() != p.at {
					rt.Fatalf("event scheduled for %d ran at %d", p.at, s.Now())
				}
				got = append(got, p)
			})
			if rapid.IntRange(0, 4).Draw(rt, "cancel") == 0 {
				s.Cancel(event)
				continue
			}
			want = append(want, p)
		}
		slices.SortStableFunc(want, func(a, b planned) int { return int(a.at - b.at) })
		if n := s.Run(4) + s.Run(9); n != len(want) || !slices.Equal(got, want) || s.Pending() > 0 {
			rt.Fatalf("got %d events: %v, want %v; got %d pending, want 0", n, got, want, s.Pending())
		}
	})
}

func TestEventInThePastRunsNow(t *testing.T) {
	s := NewScheduler(1)
	s.Run(time.Second)
	var ranAt time.Duration
	s.At(0, func() { ranAt = s.Now() })
	if s.Run(time.Second); ranAt != time.Second {
		t.Errorf("got an event run at %v, want %v", ranAt, time.Second)
	}
}

// Guards against streams that share state: draws from one stream must not change another.
func TestStreamsAreIndependent(t *testing.T) {
	first := NewScheduler(7).Stream("node 1").Uint64()
	s := NewScheduler(7)
	for range 10 {
		s.Stream("node 2").Uint64()
	}
	if s.Stream("node 1").Uint64() != first {
		t.Error("draws from another stream changed this one")
	}
	if NewScheduler(8).Stream("node 1").Uint64() == first || s.Stream("node 11").Uint64() == first {
		t.Error("streams with different seeds or names are equal")
	}
}

// meanQueueLength simulates an M/M/1 queue at a load and returns its mean length. The load is the ratio of the arrival rate
// to the service rate.
func meanQueueLength(seed uint64, load float64, duration time.Duration) float64 {
	s := NewScheduler(seed)
	gaps := distuv.Exponential{Rate: load, Src: s.Stream("arrivals")}
	services := distuv.Exponential{Rate: 1, Src: s.Stream("work")}
	seconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	length, area, changedAt := 0, 0.0, time.Duration(0)
	change := func(by int) {
		area += float64(length) * (s.Now() - changedAt).Seconds()
		length, changedAt = length+by, s.Now()
	}
	var leave, arrive func()
	leave = func() {
		if change(-1); length > 0 {
			s.After(seconds(services.Rand()), leave)
		}
	}
	arrive = func() {
		if change(1); length == 1 {
			s.After(seconds(services.Rand()), leave)
		}
		s.After(seconds(gaps.Rand()), arrive)
	}
	s.After(0, arrive)
	s.Run(duration)
	change(0)
	return area / duration.Seconds()
}

// Guards against errors in simulated time and random numbers. The mean length of an M/M/1 queue is known from theory, and a
// run with the same seed must give the same length.
func TestMeanQueueLengthAgreesWithTheory(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			got, want := meanQueueLength(3, load, 200_000*time.Second), load/(1-load)
			if math.Abs(got-want) > 0.06*want {
				t.Errorf("got mean length %.3f, want %.3f within 6%%", got, want)
			}
			if again := meanQueueLength(3, load, 200_000*time.Second); again != got {
				t.Errorf("second run with the same seed: got mean length %v, want %v", again, got)
			}
		})
	}
}

// BenchmarkEvents measures the cost of one event by the number of pending events.
func BenchmarkEvents(b *testing.B) {
	for _, pending := range []int{1_000, 1_000_000} {
		b.Run(strconv.Itoa(pending), func(b *testing.B) {
			s := NewScheduler(1)
			random := s.Stream("times")
			var next func()
			next = func() { s.After(time.Duration(random.Int64N(int64(time.Second))), next) }
			for range pending {
				next()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; {
				n += s.Run(s.Now() + time.Millisecond)
			}
		})
	}
}
