package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
	"example.org/milletvane/internal/slotmap"
)

// Request is a request as a client sends it.
type Request struct {
	ID           string // assigned by the client, unique among open connections; empty if there is none
	Class        string
	Tenant       string
	Key          string        // placement key of the client; empty if there is none
	Group        string        // clients of one group are placed together; empty if there is none
	Timeout      time.Duration // how long the client waits for its answer; zero means Options.DefaultTimeout
	Load         float64       // in microseconds of work per second; zero means unknown
	Reconnecting bool          // an earlier connection of the client broke or was migrated
	MidFlow      bool          // the request consists of packets of a connection that a server already holds
	Owner        string        // server that has held the connection since before this gateway started; may be empty
}

// phase is the state of a request.
type phase uint8

const (
	idle        phase = iota // the client is connected and has sent no request
	pending                  // the request waits for its final answer
	established              // the request has a connection to a server
	migrating                // the client was asked to leave; the balancer considers the request ended
	adoptable                // the predecessor process holds the connection; it is counted here, but has no client here
)

// request holds the state of a client and its request, or of a connection that the predecessor process holds.
type request struct {
	handle   slotmap.Handle
	clientID string // ID that the client assigned to the request; empty if there is none
	client   Client // nil while adoptable
	phase    phase
	flow     Flow    // for the successor process; flowOf sets ID, Server and Load
	load     float64 // in microseconds of work per second, as last reported
	counters *metrics.ClassCounters
	priority int

	isPinned   bool // the request may be sent only to the owner that it names
	deadline   time.Duration
	phaseTimer requestTimer // ends the phase: closes an idle client, answers a request or ends a migration

	attemptCount int           // number of attempts started
	attempt      ActiveAttempt // pending or established attempt; nil if there is none
	server       balancer.ServerID
	sentAt       time.Duration // when the last attempt was started
	attemptTimer requestTimer

	isDrainNotified bool // the client was notified that the server of its connection is draining
}

func (r *request) id() balancer.RequestID { return balancer.RequestID(r.handle) }

// attemptNumber returns the number of the last attempt started. Numbers start at 0.
func (r *request) attemptNumber() int { return r.attemptCount - 1 }

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

// onUnaryRequestReceived handles a request that arrives together with its client. It makes room for a socket here, and
// admitClient does so again: while the connections of the predecessor process exceed the socket limit, each of the two
// closes one idle client.
func (e *Engine) onUnaryRequestReceived(ev UnaryRequestReceived) {
	if !e.ensureClientSocket() {
		e.rejectUnadmitted(ev.Client)
		return
	}
	e.admitClient(ev.Client)
	e.onRequestReceived(RequestReceived(ev))
}

// admitRequest admits the request of an idle client and passes it to the balancer or to its owner.
func (e *Engine) admitRequest(r *request, incoming Request) {
	e.statistics.admitted++
	e.warnIfNoEndpointList()
	e.requests.markAdmitted(r, incoming.ID)
	e.updateOutstandingGauge()
	incoming.Timeout = e.requestTimeout(incoming)
	r.phase, r.deadline = pending, e.now+incoming.Timeout
	r.flow, r.load = Flow{Class: incoming.Class, Key: incoming.Key, Group: incoming.Group}, incoming.Load
	event := e.balancerRequest(r, incoming)
	r.priority = event.Priority
	if !incoming.MidFlow && incoming.Owner == "" {
		e.options.PriorityCounters.AddOffered(r.priority)
	}
	if incoming.MidFlow {
		event.Owner, event.OwnerKnown = e.claimAdopted(incoming.ID)
	}
	if incoming.Owner != "" {
		e.resumeAtOwner(r, event, incoming.Owner)
		return
	}
	e.resetTimer(&r.phaseTimer, r.deadline+e.options.AnswerGrace, answerTimer, r)
	e.notify(event)
}

// requestTimeout returns the timeout of a request. A shutdown shortens it, so that the request is answered before the
// platform ends the process.
func (e *Engine) requestTimeout(incoming Request) time.Duration {
	timeout := incoming.Timeout
	if timeout <= 0 {
		timeout = e.options.DefaultTimeout
	}
	if e.shutdown.stage > serving {
		timeout = min(timeout, max(e.shutdown.answerDeadline-e.now, minShutdownRequestTimeout))
	}
	return timeout
}

// balancerRequest returns the event that notifies the balancer of a request.
func (e *Engine) balancerRequest(r *request, incoming Request) balancer.Request {
	event := balancer.Request{
		ID:           r.id(),
		Class:        incoming.Class,
		Tenant:       incoming.Tenant,
		Key:          incoming.Key,
		Group:        incoming.Group,
		Timeout:      incoming.Timeout,
		Load:         incoming.Load,
		Reconnecting: incoming.Reconnecting,
		MidFlow:      incoming.MidFlow,
	}
	if e.options.PriorityOf != nil {
		event.Priority = e.options.PriorityOf(incoming.Class, incoming.Tenant)
	}
	return event
}

// reject answers that a request was not served, and that the client may retry it once the time in after has passed.
func (e *Engine) reject(r *request, after time.Duration) {
	e.statistics.rejected++
	r.counters.Declined.Add(1)
	r.client.Reject(after)
	e.release(r)
}

// failInvalid fails a request that no server can serve.
func (e *Engine) failInvalid(r *request) {
	e.statistics.invalid++
	r.counters.Aborted.Add(1)
	r.client.Fail()
	e.release(r)
}

// fail answers a pending request with a failure, which leaves open whether the request had an effect.
func (e *Engine) fail(r *request) {
	e.statistics.failed++
	r.counters.Aborted.Add(1)
	e.options.PriorityCounters.AddRejected(r.priority)
	r.client.Fail()
	e.release(r)
}

// onAnswerOverdue fails a request that the balancer has not answered by its deadline. This guards against a fault: the
// balancer is expected to answer every request in time.
func (e *Engine) onAnswerOverdue(r *request) {
	if r.phase != pending {
		return
	}
	if r.attempt != nil && !r.attempt.Cancel() {
		return // established or ended: its event has yet to be handled
	}
	e.options.Logger.Error("answer overdue", "attempts", r.attemptCount)
	e.statistics.failed++
	r.counters.Aborted.Add(1)
	r.client.Fail()
	e.abandon(r)
}

// abandon ends a request that needs no further answer, because its client has left or has been answered, and cancels its
// attempt.
func (e *Engine) abandon(r *request) {
	e.release(r)
	if r.phase != pending && r.phase != established {
		return
	}
	if r.phase == pending && !r.isPinned {
		e.notify(balancer.ClientDisconnected{ID: r.id()})
	}
	if r.attempt != nil {
		r.attempt.Cancel()
		e.notify(e.attemptEnded(r, balancer.Cancelled, true))
	}
}

// release removes a request and stops its timers.
func (e *Engine) release(r *request) {
	e.timers.Remove(r.phaseTimer)
	e.timers.Remove(r.attemptTimer)
	e.requests.remove(r)
	e.updateOutstandingGauge()
}

func (e *Engine) onConnectionLoadChanged(ev ConnectionLoadChanged) {
	r := e.requests.get(ev.RequestID)
	if r == nil {
		return
	}
	r.load = ev.Load
	e.notify(balancer.LoadChanged{ID: r.id(), Load: ev.Load})
}
