// Package eventloop runs an engine in real time. One goroutine passes posted events to the engine and calls it when a
// timer of the engine expires. The package provides what the engine itself must not have: a queue, a timer and a clock. It
// makes no decisions.
package eventloop

import (
	"context"
	"time"

	"example.org/milletvane/internal/engine"
)

// QueueCapacity is the maximum number of queued events.
const QueueCapacity = 4096

// Engine is an engine that a Loop can run; *engine.Engine implements it. All times are times of the loop's clock.
type Engine interface {
	// Start is called once, before all other methods but Ready.
	Start(now time.Duration)
	// Handle processes an event.
	Handle(now time.Duration, event engine.Event)
	// Expire fires all timers that expire at now or before.
	Expire(now time.Duration)
	// Next returns the time at which the earliest timer expires. The ok result is false if no timer is set.
	Next() (at time.Duration, ok bool)
	// Ended reports whether the engine has ended. Run returns then.
	Ended() bool
	// Ready reports whether the engine accepts requests. Any goroutine may call it.
	Ready() bool
}

// Loop runs one engine. Run is called by one goroutine; any goroutine may call the other methods.
type Loop struct {
	engine Engine
	events chan engine.Event
	ended  chan struct{} // closed when Run returns
}

// New returns a Loop that runs an engine. From now on only the loop may call the engine, except for its Ready method.
func New(e Engine) *Loop {
	return &Loop{engine: e, events: make(chan engine.Event, QueueCapacity), ended: make(chan struct{})}
}

// Ready reports whether the engine accepts requests.
func (l *Loop) Ready() bool { return l.engine.Ready() }

// Post queues an event. It blocks while the queue is full. Once Run has returned, it drops the event.
func (l *Loop) Post(event engine.Event) {
	select {
	case l.events <- event:
	case <-l.ended:
	}
}

// TryPost queues an event, or drops it if the queue is full. It never blocks.
func (l *Loop) TryPost(event engine.Event) {
	select {
	case l.events <- event:
	default:
	}
}

// Run handles events and timers until the engine has ended. When ctx is done, it sends the engine a Shutdown event. Run
// must be called once only. The clock must return Unix time and never run backwards; only the goroutine of Run calls it.
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
			stop = nil // a nil channel is never ready, so that the engine gets one Shutdown
			l.engine.Handle(clock(), engine.Shutdown{})
		}
		l.engine.Expire(clock())
	}
}
