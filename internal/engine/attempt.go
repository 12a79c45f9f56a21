package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// ownerResumeTimeout is the minimum time to resume a connection from before the start of this gateway at its owner. It
// is far longer than the usual timeout of a request, because no other server can serve such a connection.
const ownerResumeTimeout = 40 * time.Second

// Attempt is one attempt of a request at a server.
type Attempt struct {
	RequestID slotmap.Handle
	Number    int // counts the attempts of the request from 0
	Server    balancer.ServerID
	Addr      string
	Client    Client
	Timeout   time.Duration // time from the start of the attempt until it is cancelled
	// ConnectTimeout is the time from the start of the attempt within which the connection must be established. Nothing
	// may be sent on a connection that is established later, so that a late attempt has no effect. Zero means no such
	// limit.
	ConnectTimeout time.Duration
}

// ActiveAttempt is an attempt that has been started.
type ActiveAttempt interface {
	// Cancel cancels an attempt that is not established, and returns true once it is cancelled. It returns false for an
	// attempt that is established or has ended by itself: the event that says so has yet to be handled.
	Cancel() bool
	// UnansweredFor returns the age of the client's oldest unanswered message, or 0 if every message was answered.
	UnansweredFor() time.Duration
}

// Backend starts attempts. For each attempt it sends at most one AttemptEstablished and after that at most one
// AttemptEnded, unless the attempt was cancelled or its client disconnected.
type Backend interface{ Send(Attempt) ActiveAttempt }

// startAttempt starts an attempt at a server. If the server is no longer listed or no time is left, the attempt ends at
// once.
func (e *Engine) startAttempt(r *request, server balancer.ServerID, timeouts attemptTimeouts) {
	r.attemptCount++
	r.server, r.sentAt = server, e.now
	s := e.endpoints.byID[server]
	if s == nil {
		e.endAttempt(r, balancer.ConnectFailed)
		return
	}
	if timeouts.timeout <= 0 {
		e.endAttempt(r, balancer.TimedOut)
		return
	}
	e.resetTimer(&r.attemptTimer, e.now+timeouts.timeout, attemptTimer, r)
	r.attempt = e.backend.Send(Attempt{
		RequestID:      r.handle,
		Number:         r.attemptNumber(),
		Server:         server,
		Addr:           s.addr,
		Client:         r.client,
		Timeout:        timeouts.timeout,
		ConnectTimeout: timeouts.connectTimeout,
	})
}

// resumeAtOwner resumes a connection that a server has held since before this gateway started. The connection can only
// go to that server, so the balancer decides nothing: it is only notified of the connection.
func (e *Engine) resumeAtOwner(r *request, event balancer.Request, owner string) {
	server, isListed := e.endpoints.idByName[owner]
	r.isPinned = true
	r.deadline = max(r.deadline, e.now+ownerResumeTimeout)
	e.resetTimer(&r.phaseTimer, r.deadline+e.options.AnswerGrace, answerTimer, r)
	if !isListed {
		e.options.Logger.Warn("connection owner not listed", "server", owner)
		e.fail(r)
		return
	}
	e.notify(balancer.AdoptedConnection{Request: event, Server: server})
	e.startAttempt(r, server, attemptTimeouts{timeout: r.deadline - e.now})
}

func (e *Engine) onAttemptEstablished(ev AttemptEstablished) {
	r := e.requestWithAttempt(ev.RequestID, ev.Number)
	if r == nil || r.phase != pending {
		return
	}
	e.statistics.established++
	r.counters.Succeeded.Add(1)
	r.phase = established
	e.timers.Remove(r.phaseTimer)
	e.timers.Remove(r.attemptTimer)
	if !r.isPinned {
		e.notify(balancer.AttemptEstablished{ID: r.id(), Attempt: ev.Number, Server: r.server, Elapsed: ev.Elapsed})
	}
	switch {
	case r.phase != established: // the balancer has migrated the client
	case e.shutdown.stage == closing: // all other clients have been migrated already
		e.migrate(r, balancer.Cancelled)
	default:
		e.notifyClientIfDraining(r)
	}
}

func (e *Engine) onAttemptEnded(ev AttemptEnded) {
	if r := e.requestWithAttempt(ev.RequestID, ev.Number); r != nil {
		e.endAttempt(r, ev.Result)
	}
}

// requestWithAttempt returns the request whose current attempt has a number, or nil if that attempt is over.
func (e *Engine) requestWithAttempt(h slotmap.Handle, number int) *request {
	r := e.requests.get(h)
	if r == nil || r.attempt == nil || r.attemptNumber() != number {
		return nil
	}
	return r
}

// onAttemptTimeout cancels an attempt before it notifies the balancer, so that a request never has two attempts at once.
func (e *Engine) onAttemptTimeout(r *request) {
	if r.attempt != nil && r.phase == pending && r.attempt.Cancel() {
		e.endAttempt(r, balancer.TimedOut)
	}
}

// endAttempt ends the current attempt of a request. The request ends with it if its connection was established or the
// server answered it. A pinned request fails, because it can't be retried. Otherwise the balancer decides what follows.
func (e *Engine) endAttempt(r *request, result balancer.Result) {
	e.timers.Remove(r.attemptTimer)
	r.attempt = nil
	isOver := r.phase == established || result == balancer.OK
	ended := e.attemptEnded(r, result, isOver || r.isPinned)
	if result == balancer.OK && r.phase == pending && !r.isPinned {
		e.countAnswer(r, ended)
	}
	switch {
	case isOver:
		e.statistics.ended++
		e.release(r)
	case r.isPinned:
		e.options.Logger.Warn("connection not resumed at its owner", "server", r.server, "result", result)
		e.fail(r)
	}
	e.notify(ended)
}

// countAnswer counts an answered request that has no connection. It notifies the balancer of an established connection,
// although there is none: the balancer uses the number of established connections to tell the fault of one server from a
// fault of all.
func (e *Engine) countAnswer(r *request, ended balancer.AttemptEnded) {
	e.notify(balancer.AttemptEstablished{
		ID:      ended.ID,
		Attempt: ended.Attempt,
		Server:  ended.Server,
		Elapsed: ended.Elapsed,
	})
	r.counters.Succeeded.Add(1)
}

// attemptEnded returns the event that notifies the balancer of the end of a request's last attempt.
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
