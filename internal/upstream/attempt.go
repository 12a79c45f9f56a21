// Package upstream implements the part of an attempt at a server that is common to all protocols: its connection, its
// phase, and how long the oldest request has been waiting for a response.
//
// An attempt dials, sends its request, becomes established and ends. Each transition happens at most once, even though the
// engine may cancel the attempt at any time from another goroutine. The package is independent of any protocol: a
// protocol's backend embeds Attempt and drives it from the callbacks of its reactor.Conn.
package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"example.org/milletvane/internal/reactor"
)

// Phase is the phase of an attempt. An attempt passes through the phases in the order of the constants. Ended may follow
// any other phase.
type Phase uint8

// The phases of an attempt.
const (
	Dialing     Phase = iota
	Pending           // connected; the server has not accepted the request yet
	Established       // the server has accepted the request
	Ended
)

// Attempt is a connection to a server and the phase of the attempt. Types that embed it implement engine.ActiveAttempt with
// its methods. The methods may be called by any goroutine and don't block on the network.
type Attempt struct {
	mu    sync.Mutex // protects phase; not held while writing to a connection or posting events
	phase Phase
	conn  *reactor.Conn
	start time.Time

	// The time at which the oldest request without a response was sent, in nanoseconds since start, plus one. Zero means
	// that there is no such request.
	sentAt atomic.Int64
}

// Start calls dial and keeps the connection that it returns. The connection's handler may be called before Start returns;
// methods that depend on the phase then block until Start returns.
func (a *Attempt) Start(dial func() *reactor.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.start = time.Now()
	a.conn = dial()
}

// Conn returns the connection. The connection's handler may call Conn at any time, others once Start has returned.
func (a *Attempt) Conn() *reactor.Conn { return a.conn }

// Age returns the time since Start.
func (a *Attempt) Age() time.Duration { return time.Since(a.start) }

// Phase returns the current phase.
func (a *Attempt) Phase() Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase
}

// Transition changes the phase from one value to another and returns true. If the phase is not from, Transition changes
// nothing and returns false.
func (a *Attempt) Transition(from, to Phase) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != from {
		return false
	}
	a.phase = to
	return true
}

// Finish ends the attempt and returns the phase that it was in. The caller is responsible for closing the connection.
func (a *Attempt) Finish() (previous Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	previous = a.phase
	a.phase = Ended
	return previous
}

// Cancel implements engine.ActiveAttempt: it ends an attempt that is not established. If it returns true, the connection is
// closed and carries no more data. It returns false if the attempt is established or has ended.
func (a *Attempt) Cancel() bool {
	if !a.endUnestablished() {
		return false
	}
	a.conn.Abort(false)
	return true
}

func (a *Attempt) endUnestablished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase >= Established {
		return false
	}
	a.phase = Ended
	return true
}

// RequestSent records that a request is sent now. It has no effect while an older request has no response.
func (a *Attempt) RequestSent() { a.sentAt.CompareAndSwap(0, a.now()) }

// RestartResponseTimer records that the oldest request without a response counts as sent now.
func (a *Attempt) RestartResponseTimer() { a.sentAt.Store(a.now()) }

// ResponseReceived records that every request has its response. It returns how long the oldest request waited, at
// least 1 ns, or zero if no request was waiting.
func (a *Attempt) ResponseReceived() time.Duration {
	sent := a.sentAt.Swap(0)
	if sent == 0 {
		return 0
	}
	return max(a.since(sent), 1)
}

// UnansweredFor implements engine.ActiveAttempt: it returns how long the oldest request has had no response, or zero if
// there is none.
func (a *Attempt) UnansweredFor() time.Duration {
	sent := a.sentAt.Load()
	if sent == 0 {
		return 0
	}
	return max(a.since(sent), 0)
}

// now returns the current time in the form of sentAt.
func (a *Attempt) now() int64 { return int64(a.Age()) + 1 }

// since returns the time since sent, a value of sentAt. The plus one in sentAt makes the result 1 ns too short.
func (a *Attempt) since(sent int64) time.Duration { return a.Age() - time.Duration(sent) }
