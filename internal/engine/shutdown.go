package engine

import (
	"time"

	"example.org/milletvane/balancer"
)

// stage is the stage of a shutdown. Stages follow in the order of their values. The closing stage is skipped if
// connections outlive the gateway.
type stage uint8

const (
	serving  stage = iota
	draining       // new requests are served and answered before the platform may end the process
	closing        // no client is admitted any more, and all established connections are migrated
	stopped
)

const (
	// minShutdownRequestTimeout is the timeout below which a shutdown does not shorten the timeout of a new request.
	// Servers answer well within it, and it ends before the platform ends the process.
	minShutdownRequestTimeout = 150 * time.Millisecond
	// minIdleShutdown is how long after Shutdown the engine waits for new clients if none is left: the platform needs a
	// moment to send clients to other gateways.
	minIdleShutdown = time.Second
)

// shutdownState holds the state of a graceful shutdown.
type shutdownState struct {
	stage          stage
	startedAt      time.Duration
	answerDeadline time.Duration // when all requests pending at the start have been answered
}

// onShutdown begins a graceful shutdown. New connections keep arriving for a while and are served. If connections outlive
// the gateway, established ones stay open, because another gateway takes them over. Otherwise their clients are migrated
// at once, so that no connection is cut off. Pending requests are answered before the platform may end the process,
// whatever their deadlines.
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

// capDeadline limits the deadline of a pending request to the answer deadline of the shutdown.
func (e *Engine) capDeadline(r *request) {
	if r.deadline <= e.shutdown.answerDeadline {
		return
	}
	r.deadline = e.shutdown.answerDeadline
	e.resetTimer(&r.phaseTimer, r.deadline+e.options.AnswerGrace, answerTimer, r)
	if r.attemptTimer != nil && r.attemptTimer.ExpiresAt() > r.deadline {
		e.resetTimer(&r.attemptTimer, r.deadline, attemptTimer, r)
	}
}

// beginClosing begins the stage in which no more clients are admitted. It closes idle clients and migrates established
// ones. The rest of the drain timeout is for migrations that have to wait for the rest of a message.
func (e *Engine) beginClosing() {
	e.shutdown.stage = closing
	e.requests.each(func(r *request) {
		if r.phase == idle {
			e.closeIdle(r)
		}
	})
	e.migrateAll()
}

// completeIfIdle completes a shutdown early if no client is left.
func (e *Engine) completeIfIdle() {
	isIdle := e.requests.len() == 0 && e.now-e.shutdown.startedAt >= minIdleShutdown
	if e.shutdown.stage > serving && isIdle {
		e.completeShutdown()
	}
}

// completeShutdown answers all pending requests and ends the engine. Connections that were established since the start of
// the shutdown are migrated, or left open if they outlive the gateway.
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
		} else if !e.options.ConnectionsOutliveGateway { // established: the event has yet to be handled
			r.client.Migrate()
		}
	case migrating:
		r.client.Close()
	}
}
