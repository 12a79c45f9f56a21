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

// Events happen by time, and in the order of their calls where times are equal, whatever is cancelled in between.
func TestEventsHappenInOrder(t *testing.T) {
	type planned struct {
		at     time.Duration
		number int
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := NewScheduler(1)
		var want, got []planned
		for number, at := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60).Draw(rt, "times") {
			p := planned{time.Duration(at), number}
			event := s.At(p.at, func() {
				if s.Now() != p.at {
					rt.Fatalf("due at %d, now is %d", p.at, s.Now())
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
			rt.Fatalf("%d events: %v, want %v; %d pending", n, got, want, s.Pending())
		}
	})
}

func TestEventInThePastHappensNow(t *testing.T) {
	s := NewScheduler(1)
	s.Run(time.Second)
	var at time.Duration
	s.At(0, func() { at = s.Now() })
	if s.Run(time.Second); at != time.Second {
		t.Errorf("happened at %v, want %v", at, time.Second)
	}
}

// One more draw from a stream changes nothing in another.
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
		t.Error("another seed or name gives the same stream")
	}
}

// meanQueueLength simulates one server with exponential arrivals and service times at a load.
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

// The mean length of an M/M/1 queue is known, and a run with the same seed gives the same one.
func TestMeanQueueLengthAgreesWithTheory(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.8} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			got, want := meanQueueLength(3, load, 200_000*time.Second), load/(1-load)
			if math.Abs(got-want) > 0.06*want {
				t.Errorf("mean length %.3f, in theory %.3f", got, want)
			}
			if again := meanQueueLength(3, load, 200_000*time.Second); again != got {
				t.Errorf("mean length of the same run again %v, first %v", again, got)
			}
		})
	}
}

// BenchmarkEvents is the cost of one event with a number of pending ones.
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
