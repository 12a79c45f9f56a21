package engine

import (
	"time"

	"example.org/milletvane/internal/slotmap"
)

// idleTimeout is how long a client may stay connected without a request. Clients send their request at once. The
// connections of those that don't must end within 3 s, which leaves half a second for the end to arrive.
const idleTimeout = 2500 * time.Millisecond

// ClientHandle links a client to its entry in the engine. A frontend stores a zero ClientHandle in each client and
// leaves its value to the engine.
type ClientHandle struct{ id slotmap.Handle }

// Client is the frontend's side of a client connection, or of a request without a connection. The engine calls its
// methods on the engine's goroutine, and no method may wait for the peer. Reject, Fail and Close are final: the frontend
// sends no ClientDisconnected after them.
type Client interface {
	// Handle returns the handle of the client, always the same one.
	Handle() *ClientHandle
	// Reject answers that the request had no effect, and that the client may retry it once the time in after has passed.
	// Zero means that the answer states no time.
	Reject(after time.Duration)
	// Fail answers that the request failed: it may have had an effect, or can never be served.
	Fail()
	// Close closes the connections to the client and to its server. If a request of the client arrives at the same time,
	// the frontend answers it as if it was rejected.
	Close()
	// Migrate starts to move an established connection away from its server: the client is asked to reconnect, or the
	// frontend moves it to another server. ClientDisconnected reports that this is done. Migrate returns the time limit
	// of the move: once it has passed, the engine closes the client. Zero means one second.
	Migrate() time.Duration
}

// DrainObserver is a Client that its frontend can move to another server without the client's help. It is notified once
// for each connection, as soon as the connection is established and its server is draining or removed.
type DrainObserver interface{ ServerDraining() }

func (e *Engine) onClientConnected(ev ClientConnected) {
	e.admitClient(ev.Client)
	if ev.Done != nil {
		ev.Done()
	}
}

// admitClient adds a client that has sent no request. It rejects the client if no socket is left, or if the
// shutdown has reached its closing stage.
func (e *Engine) admitClient(c Client) {
	if e.shutdown.stage >= closing || !e.ensureClientSocket() {
		e.rejectUnadmitted(c)
		return
	}
	r := &request{client: c, phase: idle}
	e.requests.insert(r) // the table can't be full: its capacity is MaxSockets, and each entry takes a socket or more
	e.requests.idle++
	c.Handle().id = r.handle
	e.resetTimer(&r.phaseTimer, e.now+idleTimeout, idleTimer, r)
}

func (e *Engine) rejectUnadmitted(c Client) {
	e.statistics.rejected++
	c.Reject(e.options.RetryAfter)
}

func (e *Engine) onClientActive(ev ClientActive) {
	if r := e.requestOf(ev.Client); r != nil && r.phase == idle {
		e.resetTimer(&r.phaseTimer, e.now+idleTimeout, idleTimer, r)
	}
}

func (e *Engine) onIdleTimeout(r *request) {
	if r.phase == idle {
		e.closeIdle(r)
	}
}

// closeIdle closes a client that has sent no request.
func (e *Engine) closeIdle(r *request) {
	e.statistics.idleClosed++
	r.client.Close()
	e.release(r)
}

func (e *Engine) onClientDisconnected(ev ClientDisconnected) {
	r := e.requestOf(ev.Client)
	if r == nil {
		return
	}
	if r.phase == pending || r.phase == established {
		e.statistics.disconnected++
	}
	e.abandon(r)
}

func (e *Engine) onProtocolViolated(ev ProtocolViolated) {
	r := e.requestOf(ev.Client)
	if r == nil {
		return
	}
	e.statistics.invalid++
	if r.phase == pending {
		r.counters.Aborted.Add(1)
	}
	e.abandon(r)
}

// requestOf returns the request entry of a client, or nil if the client has none or it has ended.
func (e *Engine) requestOf(c Client) *request { return e.requests.get(c.Handle().id) }

// ensureClientSocket makes room for the socket of a new client, if need be by closing an idle client. It returns false if
// there is no room.
func (e *Engine) ensureClientSocket() bool {
	tooManyIdle := e.options.MaxIdleClients > 0 && e.requests.idle >= e.options.MaxIdleClients
	return !tooManyIdle && e.hasFreeSocket() || e.evictLongestIdle(nil)
}

// ensureServerSocket makes room for the server socket of a client that now has a request, if need be by closing another
// idle client. It returns false if there is no room.
func (e *Engine) ensureServerSocket(r *request) bool {
	return e.hasFreeSocket() || e.evictLongestIdle(r)
}

// hasFreeSocket reports whether another socket fits into MaxSockets. A request takes two sockets, an idle client one.
func (e *Engine) hasFreeSocket() bool {
	return 2*e.requests.len()-e.requests.idle < e.options.MaxSockets
}

// evictLongestIdle closes the client that has been idle longest, other than the given one. It returns false if there is
// none. This keeps hundreds of clients that connect and send nothing from locking out all others. A client with a request
// is never evicted.
func (e *Engine) evictLongestIdle(except *request) bool {
	longest := e.longestIdle(except)
	if longest == nil {
		return false
	}
	e.closeIdle(longest)
	return true
}

func (e *Engine) longestIdle(except *request) (longest *request) {
	if e.requests.idle == 0 {
		return nil
	}
	e.requests.each(func(r *request) {
		if r.phase == idle && r != except && (longest == nil || r.phaseTimer.ExpiresAt() < longest.phaseTimer.ExpiresAt()) {
			longest = r
		}
	})
	return longest
}
