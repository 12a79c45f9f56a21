package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// notify passes an event to the balancer and carries out its actions. An event that follows from an action waits until
// all actions before it are carried out.
func (e *Engine) notify(ev balancer.Event) {
	e.pendingEvents = append(e.pendingEvents, ev)
	if len(e.pendingEvents) > 1 {
		return // called from an action: the loop below gets to it
	}
	for i := 0; i < len(e.pendingEvents); i++ {
		e.handleByBalancer(e.pendingEvents[i])
	}
	clear(e.pendingEvents)
	e.pendingEvents = e.pendingEvents[:0]
}

func (e *Engine) handleByBalancer(ev balancer.Event) {
	if e.options.Trace {
		e.traceEvent(ev)
	}
	for _, a := range e.balancer.Handle(e.now, ev) {
		if e.options.Trace {
			e.traceAction(a)
		}
		e.execute(a)
	}
}

// execute carries out one action of the balancer. What it decided about a request may be late: the request can have
// ended, or gone on, since the event that the action answers.
func (e *Engine) execute(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		e.sendAttempt(a)
	case balancer.Reject:
		e.rejectPending(a)
	case balancer.Fail:
		if r := e.requestIn(a.ID, pending); r != nil {
			e.fail(r)
		}
	case balancer.Migrate:
		if r := e.requestIn(a.ID, established); r != nil {
			e.migrate(r, balancer.Cancelled)
		}
	case balancer.PollLoad:
		if s := e.endpoints.byID[a.Server]; s != nil {
			e.poll(a.Server, s)
		}
	case balancer.SetTimer:
		e.setTimer(max(a.After, 0), timer{kind: balancerTimer, ref: a.Ref})
	case balancer.Log:
		e.log(a)
	}
}

// log writes a line of the balancer's to the gateway's log. Logger.LogAttrs would want a context, which a package
// without I/O has no use for.
func (e *Engine) log(line balancer.Log) {
	args := make([]any, len(line.Attrs))
	for i, attr := range line.Attrs {
		args[i] = attr
	}
	e.options.Logger.Info(line.Message, args...)
}

// requestIn returns the request that an action is about if it is in a phase; nil: it is not, or has ended.
func (e *Engine) requestIn(id balancer.RequestID, p phase) *request {
	if r := e.requests.get(slotmap.Handle(id)); r != nil && r.phase == p {
		return r
	}
	return nil
}

func (e *Engine) rejectPending(a balancer.Reject) {
	r := e.requestIn(a.ID, pending)
	if r == nil {
		return
	}
	if a.ShedByFleet {
		e.options.PriorityCounters.AddShed(r.priority)
	} else {
		e.options.PriorityCounters.AddRejected(r.priority)
	}
	e.reject(r, a.RetryAfter)
}

// sendAttempt starts an attempt that the balancer decided on.
func (e *Engine) sendAttempt(a balancer.Send) {
	r := e.requestIn(a.ID, pending)
	if r == nil || r.attempt != nil {
		e.notify(balancer.AttemptEnded{ID: a.ID, Server: a.Server, Result: balancer.NotSent, Answered: true})
		return
	}
	timeout := r.deadline - e.now
	if a.Timeout != 0 {
		timeout = min(timeout, a.Timeout)
	}
	e.startAttempt(r, a.Server, attemptBounds{timeout: timeout, connectTimeout: a.ConnectTimeout})
}

// attemptBounds are the times that an attempt is given, from when it starts.
type attemptBounds struct {
	timeout        time.Duration
	connectTimeout time.Duration // 0: no bound but the timeout
}
