// Package simulation implements a discrete-event simulation of a fleet: gateways, each with a real balancer, between
// clients and nodes. It does no I/O and reads no clock. The same seed and the same calls give exactly the same results.
//
// A Scheduler holds simulated time, a Node models one server, and a Fleet simulates a whole site and checks that its
// balancers keep the rules. None of them is safe for concurrent use; parallel runs need separate values.
package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/internal/timerqueue"
)

// Scheduler holds the simulated time and its pending events, and provides named streams of random numbers. It is not safe
// for concurrent use.
type Scheduler struct {
	seed   uint64
	now    time.Duration
	events timerqueue.Queue[func()]
}

// Event is a function call that is scheduled for a point in simulated time.
type Event = timerqueue.Timer[func()]

// NewScheduler returns a Scheduler at time 0. The seed determines its streams of random numbers.
func NewScheduler(seed uint64) *Scheduler { return &Scheduler{seed: seed} }

// Now returns the simulated time, which never decreases.
func (s *Scheduler) Now() time.Duration { return s.now }

// Pending returns the number of pending events.
func (s *Scheduler) Pending() int { return s.events.Len() }

// At schedules a call of f at the given time. Events of the same time run in the order in which they were scheduled. A time
// in the past means now.
func (s *Scheduler) At(at time.Duration, f func()) *Event { return s.events.Add(max(at, s.now), f) }

// After schedules a call of f after a delay. A negative delay means now.
func (s *Scheduler) After(delay time.Duration, f func()) *Event { return s.At(s.now+max(delay, 0), f) }

// Cancel removes a pending event. It ignores nil and events that have run.
func (s *Scheduler) Cancel(e *Event) { s.events.Remove(e) }

// Run advances the time to until and calls the events up to then, those at that time included. It returns the number of
// events.
func (s *Scheduler) Run(until time.Duration) (events int) {
	for {
		at, ok := s.events.Next()
		if !ok || at > until {
			s.now = max(s.now, until)
			return events
		}
		s.now = at
		f, _ := s.events.PopExpired(at)
		f()
		events++
	}
}

// Stream returns a new generator at the beginning of the named stream of random numbers. The stream depends only on the
// seed and the name, so that additional draws from one stream do not change another.
func (s *Scheduler) Stream(name string) *rand.Rand {
	hash := xxhash.NewWithSeed(s.seed)
	_, _ = hash.WriteString(name) // never fails
	return rand.New(rand.NewPCG(s.seed, hash.Sum64()))
}
