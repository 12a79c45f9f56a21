package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
	"example.org/milletvane/internal/timerqueue"
)

// timerKind is the action of a timer.
type timerKind uint8

const (
	balancerTimer   timerKind = iota // notifies the balancer, which set the timer
	idleTimer                        // closes a client that has sent no request
	answerTimer                      // fails a request that the balancer has not answered
	attemptTimer                     // cancels an attempt that is not established in time
	migrationTimer                   // closes a client that has not migrated
	sweepTimer                       // runs the periodic checks
	statisticsTimer                  // logs the statistics
	readyTimer                       // makes the gateway ready without an endpoint list
	closingTimer                     // begins the closing stage of a shutdown
	shutdownTimer                    // completes a shutdown
)

// timer is an entry of the timer queue.
type timer struct {
	kind    timerKind
	request slotmap.Handle // handle of the request that the timer concerns; zero means none
	ref     int64          // reference of the balancer, for balancerTimer
}

// requestTimer is a timer that a request keeps in order to reset or stop it. It is nil until it is first set.
type requestTimer = *timerqueue.Timer[timer]

// Next returns the time at which the next timer is due. The ok result is false if no timer is set.
func (e *Engine) Next() (at time.Duration, ok bool) { return e.timers.Next() }

// Expire fires the timers that are due at a time, in order of their times. Once the engine has ended, Expire does
// nothing.
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
		e.beginClosing()
	case shutdownTimer:
		e.completeShutdown()
	default:
		if r := e.requests.get(t.request); r != nil {
			e.fireRequestTimer(t.kind, r)
		}
	}
}

// fireRequestTimer fires a timer of a request that has not ended.
func (e *Engine) fireRequestTimer(kind timerKind, r *request) {
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

// setTimer sets a timer that can't be stopped.
func (e *Engine) setTimer(after time.Duration, t timer) { e.timers.Add(e.now+after, t) }

// resetTimer stops the timer in a field of a request and sets a new one in its place.
func (e *Engine) resetTimer(field *requestTimer, at time.Duration, kind timerKind, r *request) {
	e.timers.Remove(*field)
	*field = e.timers.Add(at, timer{kind: kind, request: r.handle})
}
