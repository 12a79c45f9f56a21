// Package upstream has what an attempt is in every protocol: a connection to a server that is dialed, is asked, stands, and
// ends, each once, while the engine may give it up at any moment. It knows no protocol; bytes pass between connections by
// reactor.Conn.SendFrom, which leaves a source unread while its other side does not read.
package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"example.org/milletvane/internal/reactor"
)

// Phase is how far an attempt has come. Phases follow in this order, but Over may follow each.
type Phase uint8

// The phases of an attempt.
const (
	Dialing     Phase = iota
	Pending           // asked, or about to be; no answer is in
	Established       // it stands
	Ended
)

// Attempt is a connection to a server through its phases. It is part of what implements engine.ActiveAttempt. Its methods may be
// called by any goroutine and never wait.
type Attempt struct {
	mu    sync.Mutex // guards the phase; never held while writing or posting
	phase Phase
	conn  *reactor.Conn
	begun time.Time

	// When the oldest question without an answer went out, in nanoseconds since begun plus one; 0: none is.
	asked atomic.Int64
}

// Start dials. The connection's handler may be called before it returns, and then waits for it in any method here.
func (a *Attempt) Start(dial func() *reactor.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = time.Now()
	a.conn = dial()
}

// Conn is the connection, for handlers and after Begin.
func (a *Attempt) Conn() *reactor.Conn { return a.conn }

// Age is the time since Begin.
func (a *Attempt) Age() time.Duration { return time.Since(a.begun) }

// Phase is how far it has come.
func (a *Attempt) Phase() Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase
}

// Transition goes from one phase to another; false says that it is in a third.
func (a *Attempt) Transition(from, to Phase) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != from {
		return false
	}
	a.phase = to
	return true
}

// Finish ends it, and tells from which phase.
func (a *Attempt) Finish() (was Phase) {
	a.mu.Lock()
	defer a.mu.Unlock()
	was = a.phase
	a.phase = Ended
	return was
}

// Cancel implements engine.ActiveAttempt: it gives up one that does not stand. When it returns true the connection is closed and
// carries nothing any more; false says that it stands, or has ended by itself.
func (a *Attempt) Cancel() bool {
	a.mu.Lock()
	if a.phase >= Established {
		a.mu.Unlock()
		return false
	}
	a.phase = Ended
	a.mu.Unlock()
	a.conn.Abort(false)
	return true
}

// RequestSent notes that the server was asked something now, unless an older question is open.
func (a *Attempt) RequestSent() { a.asked.CompareAndSwap(0, int64(a.Age())+1) }

// RequestRenewed notes that the oldest question that is open is as good as asked now.
func (a *Attempt) RequestRenewed() { a.asked.Store(int64(a.Age()) + 1) }

// ResponseReceived notes that no question is open, and returns how long the oldest was; 0: none was.
func (a *Attempt) ResponseReceived() time.Duration {
	if at := a.asked.Swap(0); at > 0 {
		return max(a.Age()-time.Duration(at), 1)
	}
	return 0
}

// UnansweredFor implements engine.ActiveAttempt: for how long the oldest question has been open; 0: none is.
func (a *Attempt) UnansweredFor() time.Duration {
	if at := a.asked.Load(); at > 0 {
		return max(a.Age()-time.Duration(at), 0)
	}
	return 0
}
