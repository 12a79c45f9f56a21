// Package eventloop runs an engine in real time: one goroutine hands it the events that were posted and tells it when something
// is due. It is all that the engine itself may not have: a queue, a timer and a clock. It decides nothing.
package eventloop

import (
	"context"
	"time"

	"example.org/milletvane/internal/engine"
)

// QueueEvents is how many events may wait.
const QueueCapacity = 4096

// Loop runs one engine.
type Loop struct {
	engine *engine.Engine
	inbox  chan engine.Event
	done   chan struct{}
}

// New returns a Driver of an engine that nobody else calls from now on, but for Ready.
func New(e *engine.Engine) *Loop {
	return &Loop{engine: e, inbox: make(chan engine.Event, QueueCapacity), done: make(chan struct{})}
}

// Ready reports whether requests can be served.
func (d *Loop) Ready() bool { return d.engine.Ready() }

// Post hands an event over. It waits while the queue is full, and gives up when the engine has ended.
func (d *Loop) Post(ev engine.Event) {
	select {
	case d.inbox <- ev:
	case <-d.done:
	}
}

// TryPost hands an event over that may be lost: it is dropped while the queue is full.
func (d *Loop) TryPost(ev engine.Event) {
	select {
	case d.inbox <- ev:
	default:
	}
}

// Run handles events until ctx is done and the drain that follows is over. The clock tells Unix time and never runs
// backwards.
func (d *Loop) Run(ctx context.Context, clock func() time.Duration) {
	defer close(d.done)
	e := d.engine
	e.Start(clock())
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop := ctx.Done()
	for !e.Ended() {
		if at, ok := e.Next(); ok {
			timer.Reset(max(at-clock(), 0))
		}
		select {
		case ev := <-d.inbox:
			e.Handle(clock(), ev)
		case <-timer.C:
		case <-stop:
			stop = nil
			e.Handle(clock(), engine.Shutdown{})
		}
		e.Expire(clock())
	}
}
