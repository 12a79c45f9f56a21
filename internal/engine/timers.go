package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
	"example.org/milletvane/internal/timerqueue"
)

// timerKind says what a timer does when it fires.
type timerKind uint8

const (
	balancerTimer   timerKind = iota // notifies the balancer, which set it
	idleTimer                        // closes a client that has sent no request
	answerTimer                      // answers a request that the balancer has not
	attemptTimer                     // ends an attempt that has had its time
	migrationTimer                   // closes a client that has not migrated
	sweepTimer                       // runs the regular checks
	statisticsTimer                  // logs the statistics
	readyTimer                       // calls the gateway ready without an endpoint list
	closingTimer                     // ends the time for answers of a shutdown
	shutdownTimer                    // completes a shutdown
)

// timer is an entry of the timer queue. The request is set for the kinds that are about one, ref for those of the
// balancer.
type timer struct {
	kind    timerKind
	request slotmap.Handle
	ref     int64
}

// requestTimer is a timer that a request keeps, to reset or stop it. It is nil before it was first set.
type requestTimer = *timerqueue.Timer[timer]

// Next is when Expire has something to do; ok is false where no timer is set.
func (e *Engine) Next() (at time.Duration, ok bool) { return e.timers.Next() }

// Expire fires the timers that are due, in order of their times. Once the engine has ended it does nothing.
func (e *Engine) Expire(now time.Duration) {
	e.now = max(e.now, now)
	for !e.Ended() {
		t, ok := e.timers.PopExpired(e.now)
		if !ok {
			return
		}
		e.fire(t)
	}
}

func (e *Engine) fire(t timer) {
	switch t.kind {
	case balancerTimer:
		e.notify(balancer.TimerFired{Ref: t.ref})
	case sweepTimer:
		e.onSweep()
	case statisticsTimer:
		e.onStatisticsDue()
	case readyTimer:
		e.onReadyTimeout()
	case closingTimer:
		e.onClosing()
	case shutdownTimer:
		e.completeShutdown()
	default:
		if r := e.requests.get(t.request); r != nil {
			e.fireForRequest(t.kind, r)
		}
	}
}

// fireForRequest fires a timer of a request that is still there.
func (e *Engine) fireForRequest(kind timerKind, r *request) {
	switch kind {
	case idleTimer:
		e.onIdleTimeout(r)
	case answerTimer:
		e.onAnswerOverdue(r)
	case attemptTimer:
		e.onAttemptTimeout(r)
	case migrationTimer:
		e.onMigrationTimeout(r)
	}
}

// setTimer sets a timer that is never stopped.
func (e *Engine) setTimer(after time.Duration, t timer) { e.timers.Add(e.now+after, t) }

// resetTimer sets a request's timer, in place of what it was set to.
func (e *Engine) resetTimer(it *requestTimer, at time.Duration, kind timerKind, r *request) {
	e.timers.Remove(*it)
	*it = e.timers.Add(at, timer{kind: kind, request: r.handle})
}
