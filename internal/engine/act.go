package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// tell shows an event to the rules and carries out their actions.
func (e *Engine) tell(ev balancer.Event) {
	e.queue = append(e.queue, ev)
	if len(e.queue) > 1 {
		return // called from an action; the loop below gets to it
	}
	for i := 0; i < len(e.queue); i++ {
		if e.opts.Trace {
			e.traceEvent(e.queue[i])
		}
		for _, a := range e.rules.Handle(e.now, e.queue[i]) {
			if e.opts.Trace {
				e.traceAction(a)
			}
			e.act(a)
		}
	}
	clear(e.queue)
	e.queue = e.queue[:0]
}

func (e *Engine) act(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		e.onSend(a)
	case balancer.Reject:
		if r, ok := e.requests.Get(slotmap.Handle(a.ID)); ok && r.phase == waiting {
			e.counts.refused++
			r.class.Declined.Add(1)
			if a.ShedByFleet {
				e.opts.PriorityCounters.AddShed(r.rank)
			} else {
				e.opts.PriorityCounters.AddRejected(r.rank)
			}
			r.client.Reject(a.RetryAfter)
			e.free(r)
		}
	case balancer.Fail:
		if r, ok := e.requests.Get(slotmap.Handle(a.ID)); ok && r.phase == waiting {
			e.fail(r)
		}
	case balancer.Migrate:
		if r, ok := e.requests.Get(slotmap.Handle(a.ID)); ok && r.phase == open {
			e.move(r, balancer.Cancelled)
		}
	case balancer.PollLoad:
		if s := e.servers[a.Server]; s != nil {
			s.meter.askedAt = e.now
			e.prober.PollLoad(a.Server, s.addr)
		}
	case balancer.SetTimer:
		e.deadlines.Add(e.now+max(a.After, 0), due{kind: dueWake, ref: a.Ref})
	case balancer.Log:
		args := make([]any, len(a.Attrs))
		for i, attr := range a.Attrs {
			args[i] = attr
		}
		e.opts.Logger.Info(a.Message, args...)
	}
}

// move sends an open connection's client away politely; its attempt ends with the result. Its slot is kept until
// it has been told.
func (e *Engine) move(r *request, result balancer.Result) {
	e.counts.moved++
	r.phase, r.link = leaving, nil
	within := r.client.Migrate()
	if within <= 0 {
		within = moveWithin
	}
	e.rearm(&r.answer, e.now+within, due{kind: dueMove, id: r.id})
	e.tell(balancer.AttemptEnded{ID: balancer.RequestID(r.id), Attempt: r.attempts - 1, Server: r.server, Result: result,
		Elapsed: e.now - r.sent, Answered: true})
}

func (e *Engine) onSend(a balancer.Send) {
	r, ok := e.requests.Get(slotmap.Handle(a.ID))
	if !ok || r.phase != waiting || r.link != nil {
		e.tell(balancer.AttemptEnded{ID: a.ID, Server: a.Server, Result: balancer.NotSent, Answered: true})
		return
	}
	wait := r.deadline - e.now
	if a.Timeout != 0 {
		wait = min(wait, a.Timeout)
	}
	e.send(r, a.Server, wait, a.ConnectTimeout)
}

func (e *Engine) send(r *request, to balancer.ServerID, wait, begin time.Duration) {
	s := e.servers[to]
	r.attempts++
	r.server, r.sent = to, e.now
	if s == nil || wait <= 0 {
		result := balancer.ConnectFailed // it left the list, and its address with it
		if s != nil {
			result = balancer.TimedOut
		}
		e.outcome(r, result)
		return
	}
	r.timeout = e.deadlines.Add(e.now+wait, due{kind: dueAttempt, id: r.id})
	r.link = e.backend.Send(Attempt{RequestID: r.id, Number: r.attempts - 1, Server: to, Addr: s.addr, Client: r.client, Timeout: wait, ConnectTimeout: begin})
}
