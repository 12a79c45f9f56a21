// Package simulation plays a fleet in simulated time. World is its time: events in order, and named streams of random numbers.
// It does no I/O and reads no clock: the same seed and the same calls give the same run.
package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/internal/timerqueue"
)

// Scheduler is simulated time. It is not safe for concurrent use; runs with other seeds are Worlds of their own.
type Scheduler struct {
	seed  uint64
	now   time.Duration
	tasks timerqueue.Queue[func()]
}

// NewScheduler returns a World at time 0.
func NewScheduler(seed uint64) *Scheduler { return &Scheduler{seed: seed} }

// Now is the time: never less than it was.
func (w *Scheduler) Now() time.Duration { return w.now }

// Pending is how many events are to come.
func (w *Scheduler) Pending() int { return w.tasks.Len() }

// Event is one that is to come.
type Event = timerqueue.Timer[func()]

// At has f called at a time, behind what was to happen then already. A time that has gone by is now.
func (w *Scheduler) At(at time.Duration, f func()) *Event { return w.tasks.Add(max(at, w.now), f) }

// After has f called that much later.
func (w *Scheduler) After(d time.Duration, f func()) *Event { return w.At(w.now+max(d, 0), f) }

// Cancel takes an event back. One that has happened, or nil, is let be.
func (w *Scheduler) Cancel(e *Event) { w.tasks.Remove(e) }

// Run lets time go by until the given one, what happens at it included, and returns how many events happened.
func (w *Scheduler) Run(until time.Duration) (n int) {
	for {
		at, ok := w.tasks.Next()
		if !ok || at > until {
			w.now = max(w.now, until)
			return n
		}
		w.now = at
		f, _ := w.tasks.PopExpired(at)
		f()
		n++
	}
}

// Stream returns the random numbers of one actor, from their beginning. They depend on the World's seed and the name
// alone, so that a draw more in one place changes nothing elsewhere.
func (w *Scheduler) Stream(name string) *rand.Rand {
	h := xxhash.NewWithSeed(w.seed)
	h.WriteString(name)
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}
