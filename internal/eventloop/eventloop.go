// Package eventloop runs an engine in real time: one goroutine hands it the events that were posted, and calls it when a
// timer of the engine expires. It is all that the engine itself may not have: a queue, a timer and a clock. It decides
// nothing.
package eventloop

import (
	"context"
	"time"

	"example.org/milletvane/internal/engine"
)

// QueueCapacity is how many events may wait.
const QueueCapacity = 4096

// Engine is what a Loop runs, as *engine.Engine does. All times are those of the loop's clock.
type Engine interface {
	// Start is called once, before all else.
	Start(now time.Duration)
	// Handle takes an event.
	Handle(now time.Duration, event engine.Event)
	// Expire handles all timers that expire at now or before.
	Expire(now time.Duration)
	// Next is when the earliest timer expires; ok is false where none is set.
	Next() (at time.Duration, ok bool)
	// Ended reports whether there is nothing left to do. The loop ends then.
	Ended() bool
	// Ready reports whether requests can be served. Any goroutine may call it.
	Ready() bool
}

// Loop runs one engine. Run belongs to one goroutine; all other methods may be called by any.
type Loop struct {
	engine Engine
	events chan engine.Event
	ended  chan struct{} // closed when Run returns
}

// New returns a Loop of an engine that nobody else calls from now on, but for Ready.
func New(e Engine) *Loop {
	return &Loop{engine: e, events: make(chan engine.Event, QueueCapacity), ended: make(chan struct{})}
}

// Ready reports whether requests can be served.
func (l *Loop) Ready() bool { return l.engine.Ready() }

// Post queues an event. It waits while the queue is full; the event is dropped once Run has returned.
func (l *Loop) Post(event engine.Event) {
	select {
	case l.events <- event:
	case <-l.ended:
	}
}

// TryPost queues an event that may be lost: it is dropped while the queue is full.
func (l *Loop) TryPost(event engine.Event) {
	select {
	case l.events <- event:
	default:
	}
}

// Run handles events and timers until the engine has ended; once ctx is done the engine gets a Shutdown. It is
// called once. The clock returns Unix time, never runs backwards, and is called by this goroutine alone.
func (l *Loop) Run(ctx context.Context, clock func() time.Duration) {
	defer close(l.ended)
	l.engine.Start(clock())
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop := ctx.Done()
	for !l.engine.Ended() {
		if at, ok := l.engine.Next(); ok {
			timer.Reset(max(at-clock(), 0))
		}
		select {
		case event := <-l.events:
			l.engine.Handle(clock(), event)
		case <-timer.C:
		case <-stop:
			stop = nil // which is never ready: once is enough
			l.engine.Handle(clock(), engine.Shutdown{})
		}
		l.engine.Expire(clock())
	}
}
