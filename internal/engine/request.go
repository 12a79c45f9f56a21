package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
	"example.org/milletvane/internal/slotmap"
)

// Request is what a client asks for.
type Request struct {
	ID           string // the client's name for it, which no other open connection has; empty: none
	Class        string
	Tenant       string
	Key          string        // of the client, for placement; empty: none
	Group        string        // of clients that are placed together; empty: none
	Timeout      time.Duration // that the client waits for its answer; 0: Options.DefaultTimeout
	Load         float64       // in microseconds of work a second; 0: unknown
	Reconnecting bool          // its client had a connection that broke or was migrated
	MidFlow      bool          // these are packets of a connection that some server already holds
	Owner        string        // the server that holds the connection since before this gateway started; empty: none
}

// phase is how far a request has come.
type phase uint8

const (
	idle        phase = iota // its client is connected and has sent no request
	pending                  // its final answer is owed
	established              // it has a connection to a server
	migrating                // its client was asked to leave; for the balancer it has ended
	adoptable                // the predecessor process holds its connection; only its server and its load are known
)

// request is a client with what it asked for, or a connection that the predecessor process holds.
type request struct {
	handle   slotmap.Handle
	clientID string // the client's name for it; empty: none
	client   Client // nil while adoptable
	phase    phase
	flow     Flow    // what the next process has to know of it
	load     float64 // as last reported
	counters *metrics.ClassCounters
	priority int

	isSticky    bool // it belongs to the server that its client named, and goes nowhere else
	deadline    time.Duration
	answerTimer requestTimer // the end of its time: while idle, for its answer, or for its migration

	attempts     int           // started so far
	attempt      ActiveAttempt // the one that is pending or established; nil: none
	server       balancer.ServerID
	sentAt       time.Duration
	attemptTimer requestTimer

	isDrainNotified bool // its client was notified that the server of its connection drains
}

func (r *request) id() balancer.RequestID { return balancer.RequestID(r.handle) }

// attemptNumber is that of the last attempt started, counted from 0.
func (r *request) attemptNumber() int { return r.attempts - 1 }

func (e *Engine) onRequestReceived(ev RequestReceived) {
	r := e.requestOf(ev.Client)
	if r == nil || r.phase != idle {
		return
	}
	r.counters = e.countersOf(ev.Request.Class)
	switch {
	case !e.requests.canServe(ev.Request):
		e.failInvalid(r)
	case !e.ensureServerSocket(r):
		e.reject(r, e.options.RetryAfter)
	default:
		e.admitRequest(r, ev.Request)
	}
}

// onUnaryRequestReceived takes a request that comes together with its client. A socket is ensured here and, once
// more, where the client is admitted: while the connections of the predecessor process take more sockets than there
// are, each time closes one idle client.
func (e *Engine) onUnaryRequestReceived(ev UnaryRequestReceived) {
	if !e.ensureClientSocket() {
		e.rejectUnadmitted(ev.Client)
		return
	}
	e.admitClient(ev.Client)
	e.onRequestReceived(RequestReceived(ev))
}

// admitRequest has an idle client's request served.
func (e *Engine) admitRequest(r *request, q Request) {
	e.statistics.admitted++
	e.warnWithoutEndpoints()
	e.requests.activate(r, q.ID)
	e.updateOutstanding()
	q.Timeout = e.requestTimeout(q)
	r.phase, r.deadline = pending, e.now+q.Timeout
	r.flow, r.load = Flow{Class: q.Class, Key: q.Key, Group: q.Group}, q.Load
	event := e.balancerRequest(r, q)
	r.priority = event.Priority
	if !q.MidFlow && q.Owner == "" {
		e.options.PriorityCounters.AddOffered(r.priority)
	}
	if q.MidFlow {
		event.Owner, event.OwnerKnown = e.claimAdopted(q.ID)
	}
	if q.Owner != "" {
		e.resumeAtOwner(r, event, q.Owner)
		return
	}
	e.resetTimer(&r.answerTimer, r.deadline+e.options.AnswerGrace, answerTimer, r)
	e.notify(event)
}

// requestTimeout is the time that a request is given. In a shutdown no answer may be owed when the platform ends the
// program.
func (e *Engine) requestTimeout(q Request) time.Duration {
	timeout := q.Timeout
	if timeout <= 0 {
		timeout = e.options.DefaultTimeout
	}
	if e.shutdown.stage > serving {
		timeout = min(timeout, max(e.shutdown.answerDeadline-e.now, lateRequestTimeout))
	}
	return timeout
}

// balancerRequest is a request as the balancer gets to know it.
func (e *Engine) balancerRequest(r *request, q Request) balancer.Request {
	event := balancer.Request{
		ID:           r.id(),
		Class:        q.Class,
		Tenant:       q.Tenant,
		Key:          q.Key,
		Group:        q.Group,
		Timeout:      q.Timeout,
		Load:         q.Load,
		Reconnecting: q.Reconnecting,
		MidFlow:      q.MidFlow,
	}
	if e.options.PriorityOf != nil {
		event.Priority = e.options.PriorityOf(q.Class, q.Tenant)
	}
	return event
}

// reject answers that a request was not served and may be retried.
func (e *Engine) reject(r *request, after time.Duration) {
	e.statistics.rejected++
	r.counters.Declined.Add(1)
	r.client.Reject(after)
	e.release(r)
}

// failInvalid answers a request that can't be served by any server.
func (e *Engine) failInvalid(r *request) {
	e.statistics.invalid++
	r.counters.Aborted.Add(1)
	r.client.Fail()
	e.release(r)
}

// fail gives a pending request its final answer, which promises nothing.
func (e *Engine) fail(r *request) {
	e.statistics.failed++
	r.counters.Aborted.Add(1)
	e.options.PriorityCounters.AddRejected(r.priority)
	r.client.Fail()
	e.release(r)
}

// onAnswerOverdue answers a request in the balancer's place, which owes it an answer by its deadline. It should never
// have to.
func (e *Engine) onAnswerOverdue(r *request) {
	if r.phase != pending {
		return
	}
	if r.attempt != nil && !r.attempt.Cancel() {
		return // it is established: the event is on its way
	}
	e.options.Logger.Error("answer overdue", "attempts", r.attempts)
	e.statistics.failed++
	r.counters.Aborted.Add(1)
	r.client.Fail()
	e.abandon(r)
}

// abandon ends a request whose client is gone, together with its attempt.
func (e *Engine) abandon(r *request) {
	e.release(r)
	if r.phase != pending && r.phase != established {
		return
	}
	if r.phase == pending && !r.isSticky {
		e.notify(balancer.ClientDisconnected{ID: r.id()})
	}
	if r.attempt != nil {
		r.attempt.Cancel()
		e.notify(e.attemptEnded(r, balancer.Cancelled, true))
	}
}

// release removes a request with its timers.
func (e *Engine) release(r *request) {
	e.timers.Remove(r.answerTimer)
	e.timers.Remove(r.attemptTimer)
	e.requests.remove(r)
	e.updateOutstanding()
}

func (e *Engine) onConnectionLoad(ev ConnectionLoad) {
	r := e.requests.get(ev.RequestID)
	if r == nil {
		return
	}
	r.load = ev.Load
	e.notify(balancer.LoadChanged{ID: r.id(), Load: ev.Load})
}
