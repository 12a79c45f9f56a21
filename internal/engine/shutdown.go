package engine

import (
	"time"

	"example.org/milletvane/balancer"
)

// stage is how far a shutdown has come. Stages follow in this order; closing is skipped where connections outlive the
// gateway.
type stage uint8

const (
	serving  stage = iota
	draining       // new requests are served, and answered before the platform may end the program
	closing        // no client is admitted any more, and connections that are still established are migrated
	stopped
)

const (
	// lateRequestTimeout is the least time that a request has that comes in a shutdown. Servers answer well within
	// it, and it ends before the platform ends the program.
	lateRequestTimeout = 150 * time.Millisecond
	// idleBeforeStop is how long after Shutdown clients may still come though none is left: the platform takes a
	// moment to send them elsewhere.
	idleBeforeStop = time.Second
)

// shutdownState is that of a graceful shutdown.
type shutdownState struct {
	stage          stage
	startedAt      time.Duration
	answerDeadline time.Duration // what is pending at the start is answered by then
}

// onShutdown begins a graceful shutdown. New connections keep coming for a while and are served. Where connections
// outlive the gateway, established ones stay as they are, since another gateway takes them up; elsewhere their
// clients are migrated at once, so that none is cut off. Pending requests are answered before the platform may end
// the program, whatever their deadlines.
func (e *Engine) onShutdown() {
	if e.shutdown.stage > serving {
		return
	}
	answerTimeout := e.options.DrainTimeout
	if e.options.AnswerTimeout > 0 {
		answerTimeout = min(e.options.AnswerTimeout, answerTimeout)
	}
	e.shutdown = shutdownState{stage: draining, startedAt: e.now, answerDeadline: e.now + answerTimeout}
	e.options.Logger.Info("shutdown started", "connections", e.requests.len(),
		"answer_timeout", answerTimeout, "drain_timeout", e.options.DrainTimeout)
	e.setTimer(e.options.DrainTimeout, timer{kind: shutdownTimer})
	e.notify(balancer.Shutdown{Deadline: e.shutdown.answerDeadline})
	e.requests.each(func(r *request) {
		if r.phase == pending {
			e.capDeadline(r)
		}
	})
	if !e.options.ConnectionsOutliveGateway {
		e.setTimer(answerTimeout, timer{kind: closingTimer})
		e.migrateAll()
	}
}

// capDeadline has a pending request answered in the time that a shutdown leaves.
func (e *Engine) capDeadline(r *request) {
	if r.deadline <= e.shutdown.answerDeadline {
		return
	}
	r.deadline = e.shutdown.answerDeadline
	e.resetTimer(&r.answerTimer, r.deadline+e.options.AnswerGrace, answerTimer, r)
	if r.attemptTimer != nil && r.attemptTimer.At() > r.deadline {
		e.resetTimer(&r.attemptTimer, r.deadline, attemptTimer, r)
	}
}

// onClosing admits no more clients: idle ones are closed, established ones migrated. The time that is left is for the
// rest of messages that a migration has to wait for.
func (e *Engine) onClosing() {
	e.shutdown.stage = closing
	e.requests.each(func(r *request) {
		if r.phase == idle {
			e.closeIdle(r)
		}
	})
	e.migrateAll()
}

// completeIfIdle ends a shutdown ahead of its time where no client is left.
func (e *Engine) completeIfIdle() {
	isIdle := e.requests.len() == 0 && e.now-e.shutdown.startedAt >= idleBeforeStop
	if e.shutdown.stage > serving && isIdle {
		e.completeShutdown()
	}
}

// completeShutdown gives all pending requests their answers. Connections that were established since the start of the
// shutdown are migrated, or left to the gateway that takes them up.
func (e *Engine) completeShutdown() {
	e.requests.each(e.endForShutdown)
	if !e.options.ConnectionsOutliveGateway {
		e.migrateAll()
	}
	e.logStatistics()
	e.shutdown.stage = stopped
}

func (e *Engine) endForShutdown(r *request) {
	switch r.phase {
	case idle:
		e.closeIdle(r)
	case pending:
		if r.attempt == nil || r.attempt.Cancel() {
			e.fail(r)
		} else if !e.options.ConnectionsOutliveGateway { // it is established: the event is on its way
			r.client.Migrate()
		}
	case migrating:
		r.client.Close()
	}
}
