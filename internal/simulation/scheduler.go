// Package simulation is a discrete-event simulation of a fleet: gateways, each with a real balancer, between clients and
// nodes. It does no I/O and reads no clock: the same seed and the same calls give the same results, to the last digit.
//
// A Scheduler holds simulated time, a Node models one server, and a Fleet plays a whole site and checks that its balancers
// keep the rules. Each of them belongs to one goroutine; runs in parallel need values of their own.
package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/internal/timerqueue"
)

// Scheduler is simulated time: events in their order, and named streams of random numbers. It is not safe for concurrent
// use.
type Scheduler struct {
	seed   uint64
	now    time.Duration
	events timerqueue.Queue[func()]
}

// Event is a pending call of a Scheduler.
type Event = timerqueue.Timer[func()]

// NewScheduler returns a Scheduler at time 0.
func NewScheduler(seed uint64) *Scheduler { return &Scheduler{seed: seed} }

// Now returns the simulated time, which never decreases.
func (s *Scheduler) Now() time.Duration { return s.now }

// Pending returns the number of pending events.
func (s *Scheduler) Pending() int { return s.events.Len() }

// At calls f at a time, after events that were scheduled for the same time before. A time in the past means now.
func (s *Scheduler) At(at time.Duration, f func()) *Event { return s.events.Add(max(at, s.now), f) }

// After calls f after a delay. A negative delay means now.
func (s *Scheduler) After(delay time.Duration, f func()) *Event { return s.At(s.now+max(delay, 0), f) }

// Cancel removes a pending event. It ignores nil and events that have happened.
func (s *Scheduler) Cancel(e *Event) { s.events.Remove(e) }

// Run calls the events up to a time, those at that time included, and returns how many there were.
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

// Stream returns the random numbers of one actor, from their beginning. They depend on the seed and the name alone, so
// that one more draw of an actor changes nothing for another.
func (s *Scheduler) Stream(name string) *rand.Rand {
	hash := xxhash.NewWithSeed(s.seed)
	_, _ = hash.WriteString(name) // never fails
	return rand.New(rand.NewPCG(s.seed, hash.Sum64()))
}
