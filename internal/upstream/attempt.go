// Package upstream holds the state that an attempt at a server has in every protocol: its connection, its phase and the
// time for which the oldest request has gone without a response.
//
// An attempt is dialed, sends its request, is established and ends. Each transition happens once, while the engine may
// cancel the attempt at any moment from another goroutine. The package knows no protocol; a protocol's backend embeds
// Attempt and drives it from the callbacks of its reactor.Conn.
package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"example.org/milletvane/internal/reactor"
)

// Phase is the progress of an attempt. Phases follow in the order of the constants, but Ended may follow each.
type Phase uint8

// The phases of an attempt.
const (
	Dialing     Phase = iota
	Pending           // connected; no response has arrived
	Established       // the server has accepted the request
	Ended
)

// Attempt is a connection to a server with its phase. It is a part of what implements engine.ActiveAttempt. Its methods may
// be called by any goroutine and don't block on the network.
type Attempt struct {
	mu    sync.Mutex // protects phase; never held while writing or posting
	phase Phase
	conn  *reactor.Conn
	start time.Time

	// When the oldest request without a response was sent, in nanoseconds since start plus one; 0: there is none.
	sentAt atomic.Int64
}

// Start dials. The connection's handler may be called before Start returns; the methods that depend on the phase then block
// until it does.
func (a *Attempt) Start(dial func() *reactor.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.start = time.Now()
	a.conn = dial()
}

// Conn is the connection. It may be used in the connection's handler, and by others once Start has returned.
func (a *Attempt) Conn() *reactor.Conn { return a.conn }

// Age is the time since Start.
func (a *Attempt) Age() time.Duration { return time.Since(a.start) }

// Phase is the current phase.
func (a *Attempt) Phase() Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase
}

// Transition changes the phase from one to another. It reports false, and changes nothing, in any other phase.
func (a *Attempt) Transition(from, to Phase) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != from {
		return false
	}
	a.phase = to
	return true
}

// Finish ends the attempt and returns the phase that it was in. The connection is left to the caller.
func (a *Attempt) Finish() (previous Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	previous = a.phase
	a.phase = Ended
	return previous
}

// Cancel implements engine.ActiveAttempt: it ends an attempt that is not established. When it returns true the connection is
// closed and carries nothing any more; false means that the attempt is established or has ended.
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

// RequestSent records that a request was sent now, unless an older one has no response yet.
func (a *Attempt) RequestSent() { a.sentAt.CompareAndSwap(0, a.now()) }

// RequestRenewed treats the oldest request without a response as sent now.
func (a *Attempt) RequestRenewed() { a.sentAt.Store(a.now()) }

// ResponseReceived records that every request has its response. It returns for how long the oldest had none, at least 1 ns;
// 0 if there was no request.
func (a *Attempt) ResponseReceived() time.Duration {
	sent := a.sentAt.Swap(0)
	if sent == 0 {
		return 0
	}
	return max(a.since(sent), 1)
}

// UnansweredFor implements engine.ActiveAttempt: for how long the oldest request has had no response; 0 if there is none.
func (a *Attempt) UnansweredFor() time.Duration {
	sent := a.sentAt.Load()
	if sent == 0 {
		return 0
	}
	return max(a.since(sent), 0)
}

// now is the current time in the form of sentAt.
func (a *Attempt) now() int64 { return int64(a.Age()) + 1 }

// since is the time since sent, a value of sentAt. It may be off by a nanosecond.
func (a *Attempt) since(sent int64) time.Duration { return a.Age() - time.Duration(sent) }
