package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// ownerResumeTimeout is the least time that a connection from before the start has to be resumed at its owner. It is
// far beyond the usual timeout of a request, since such a connection can't be had elsewhere.
const ownerResumeTimeout = 40 * time.Second

// Attempt is one attempt of a request at a server.
type Attempt struct {
	RequestID slotmap.Handle
	Number    int // of the request's attempts, counted from 0
	Server    balancer.ServerID
	Addr      string
	Client    Client
	Timeout   time.Duration // until the attempt is cancelled
	// A connection established after ConnectTimeout must carry nothing: the attempt never ran. 0 is no such bound.
	ConnectTimeout time.Duration
}

// ActiveAttempt is an attempt that has been started.
type ActiveAttempt interface {
	// Cancel gives up an attempt that is not established, before it returns. It returns false for one that is
	// established or has ended by itself: the event is on its way then.
	Cancel() bool
	// UnansweredFor is for how long the oldest message of the client has been without an answer; 0: none is.
	UnansweredFor() time.Duration
}

// Backend starts attempts. For each one AttemptEstablished follows at most once, and AttemptEnded at most once after
// that, unless it was cancelled or its client disconnected.
type Backend interface{ Send(Attempt) ActiveAttempt }

// startAttempt starts an attempt at a server, or ends it at once where that has no address any more or no time is left.
func (e *Engine) startAttempt(r *request, server balancer.ServerID, bounds attemptBounds) {
	r.attempts++
	r.server, r.sentAt = server, e.now
	s := e.endpoints.byID[server]
	if s == nil {
		e.endAttempt(r, balancer.ConnectFailed)
		return
	}
	if bounds.timeout <= 0 {
		e.endAttempt(r, balancer.TimedOut)
		return
	}
	e.resetTimer(&r.attemptTimer, e.now+bounds.timeout, attemptTimer, r)
	r.attempt = e.backend.Send(Attempt{
		RequestID:      r.handle,
		Number:         r.attemptNumber(),
		Server:         server,
		Addr:           s.addr,
		Client:         r.client,
		Timeout:        bounds.timeout,
		ConnectTimeout: bounds.connectTimeout,
	})
}

// resumeAtOwner takes up a connection that a server holds since before this gateway started. There is nothing to
// decide: it goes to that server, and the balancer is notified of whom the server holds.
func (e *Engine) resumeAtOwner(r *request, event balancer.Request, owner string) {
	server, isListed := e.endpoints.idByName[owner]
	r.isSticky = true
	r.deadline = max(r.deadline, e.now+ownerResumeTimeout)
	e.resetTimer(&r.answerTimer, r.deadline+e.options.AnswerGrace, answerTimer, r)
	if !isListed {
		e.options.Logger.Warn("connection owner not listed", "server", owner)
		e.fail(r)
		return
	}
	e.notify(balancer.AdoptedConnection{Request: event, Server: server})
	e.startAttempt(r, server, attemptBounds{timeout: r.deadline - e.now})
}

func (e *Engine) onAttemptEstablished(ev AttemptEstablished) {
	r := e.requestWithAttempt(ev.RequestID, ev.Number)
	if r == nil || r.phase != pending {
		return
	}
	e.statistics.established++
	r.counters.Succeeded.Add(1)
	r.phase = established
	e.timers.Remove(r.answerTimer)
	e.timers.Remove(r.attemptTimer)
	if !r.isSticky {
		e.notify(balancer.AttemptEstablished{ID: r.id(), Attempt: ev.Number, Server: r.server, Elapsed: ev.Elapsed})
	}
	switch {
	case r.phase != established: // the balancer has migrated it
	case e.shutdown.stage == closing: // the rest has been migrated already
		e.migrate(r, balancer.Cancelled)
	default:
		e.notifyIfServerDrains(r)
	}
}

func (e *Engine) onAttemptEnded(ev AttemptEnded) {
	if r := e.requestWithAttempt(ev.RequestID, ev.Number); r != nil {
		e.endAttempt(r, ev.Result)
	}
}

// requestWithAttempt returns the request whose present attempt has a number; nil: that attempt is over.
func (e *Engine) requestWithAttempt(h slotmap.Handle, number int) *request {
	r := e.requests.get(h)
	if r == nil || r.attempt == nil || r.attemptNumber() != number {
		return nil
	}
	return r
}

// onAttemptTimeout cancels an attempt before the balancer is notified: a request never has two attempts at once.
func (e *Engine) onAttemptTimeout(r *request) {
	if r.attempt != nil && r.phase == pending && r.attempt.Cancel() {
		e.endAttempt(r, balancer.TimedOut)
	}
}

// endAttempt ends a request's attempt. An established connection and an answered request end with it; otherwise the
// balancer decides what follows.
func (e *Engine) endAttempt(r *request, result balancer.Result) {
	e.timers.Remove(r.attemptTimer)
	r.attempt = nil
	isOver := r.phase == established || result == balancer.OK
	ended := e.attemptEnded(r, result, isOver || r.isSticky)
	if result == balancer.OK && r.phase == pending && !r.isSticky {
		e.countAnswer(r, ended)
	}
	switch {
	case isOver:
		e.statistics.ended++
		e.release(r)
	case r.isSticky:
		e.options.Logger.Warn("connection not resumed at its owner", "server", r.server, "result", result)
		e.fail(r)
	}
	e.notify(ended)
}

// countAnswer counts the answer to a request without a connection. For the balancer it is as good as an established
// connection, by whose number it tells a fault of one server from one that all share.
func (e *Engine) countAnswer(r *request, ended balancer.AttemptEnded) {
	e.notify(balancer.AttemptEstablished{
		ID:      ended.ID,
		Attempt: ended.Attempt,
		Server:  ended.Server,
		Elapsed: ended.Elapsed,
	})
	r.counters.Succeeded.Add(1)
}

// attemptEnded is the end of a request's last attempt, as the balancer is notified of it.
func (e *Engine) attemptEnded(r *request, result balancer.Result, isAnswered bool) balancer.AttemptEnded {
	return balancer.AttemptEnded{
		ID:       r.id(),
		Attempt:  r.attemptNumber(),
		Server:   r.server,
		Result:   result,
		Elapsed:  e.now - r.sentAt,
		Answered: isAnswered,
	}
}
