package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// notify passes an event to the balancer and executes the actions that the balancer returns. An event that results from
// an action is queued until all actions of the events before it have been executed.
func (e *Engine) notify(ev balancer.Event) {
	e.pendingEvents = append(e.pendingEvents, ev)
	if len(e.pendingEvents) > 1 {
		return // called while an action is executed: the loop below handles the event
	}
	for i := 0; i < len(e.pendingEvents); i++ {
		e.dispatchToBalancer(e.pendingEvents[i])
	}
	clear(e.pendingEvents)
	e.pendingEvents = e.pendingEvents[:0]
}

func (e *Engine) dispatchToBalancer(ev balancer.Event) {
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

// execute executes one action of the balancer. It ignores an action that came too late: the request may have ended or
// changed its phase since the event that led to the action.
func (e *Engine) execute(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		e.sendAttempt(a)
	case balancer.Reject:
		e.rejectPending(a)
	case balancer.Fail:
		if r := e.requestInPhase(a.ID, pending); r != nil {
			e.fail(r)
		}
	case balancer.Migrate:
		if r := e.requestInPhase(a.ID, established); r != nil {
			e.migrate(r, balancer.Cancelled)
		}
	case balancer.PollLoad:
		if s := e.endpoints.byID[a.Server]; s != nil {
			e.pollLoad(a.Server, s)
		}
	case balancer.SetTimer:
		e.setTimer(max(a.After, 0), timer{kind: balancerTimer, ref: a.Ref})
	case balancer.Log:
		e.log(a)
	}
}

// log writes a log line of the balancer to the gateway's log. It doesn't call Logger.LogAttrs, which requires a context,
// because a package without I/O has none.
func (e *Engine) log(line balancer.Log) {
	args := make([]any, len(line.Attrs))
	for i, attr := range line.Attrs {
		args[i] = attr
	}
	e.options.Logger.Info(line.Message, args...)
}

// requestInPhase returns the request with an ID, or nil if it has ended or is in a phase other than p.
func (e *Engine) requestInPhase(id balancer.RequestID, p phase) *request {
	if r := e.requests.get(slotmap.Handle(id)); r != nil && r.phase == p {
		return r
	}
	return nil
}

func (e *Engine) rejectPending(a balancer.Reject) {
	r := e.requestInPhase(a.ID, pending)
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

// sendAttempt starts an attempt that the balancer decided on. If the request no longer waits for an attempt, the balancer
// is notified that the attempt was not sent.
func (e *Engine) sendAttempt(a balancer.Send) {
	r := e.requestInPhase(a.ID, pending)
	if r == nil || r.attempt != nil {
		e.notify(balancer.AttemptEnded{ID: a.ID, Server: a.Server, Result: balancer.NotSent, Answered: true})
		return
	}
	timeout := r.deadline - e.now
	if a.Timeout != 0 {
		timeout = min(timeout, a.Timeout)
	}
	e.startAttempt(r, a.Server, attemptTimeouts{timeout: timeout, connectTimeout: a.ConnectTimeout})
}

// attemptTimeouts holds the timeouts of an attempt, counted from its start.
type attemptTimeouts struct {
	timeout        time.Duration
	connectTimeout time.Duration // zero means that only timeout applies
}
