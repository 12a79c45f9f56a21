package engine

import (
	"time"

	"example.org/milletvane/internal/slotmap"
)

// idleTimeout is how long a client may stay connected without a request. Clients send their request at once; those that
// do not are owed the end of the connection within 3 s, which leaves half a second for it to arrive.
const idleTimeout = 2500 * time.Millisecond

// ClientHandle ties a client to the engine's record of it. A frontend embeds one in each client, in its zero value, and
// leaves it to the engine.
type ClientHandle struct{ id slotmap.Handle }

// Client is the frontend's end of a connection, or of a request without one. The engine calls it on its own
// goroutine; no method may wait for the peer. Reject, Fail and Close are final: no ClientDisconnected follows them.
type Client interface {
	// Handle returns the client's handle, always the same one.
	Handle() *ClientHandle
	// Reject answers that the request had no effect and may be retried, after a time; 0 gives no advice.
	Reject(after time.Duration)
	// Fail answers that the request failed: it may have had an effect, or can never be served.
	Fail()
	// Close ends both sides. A request that crosses it is answered as if it was rejected.
	Close()
	// Migrate asks an established connection to leave its server: its client is asked to connect again, or its
	// frontend takes it to another server. ClientDisconnected says that this is done. A client for which it is not
	// within the time returned is closed; 0 is taken as a second.
	Migrate() time.Duration
}

// DrainObserver is a Client that its frontend can take to another server without the client's help. It is notified once
// for a connection, as soon as that is established and its server drains or is removed, whichever comes first.
type DrainObserver interface{ ServerDraining() }

func (e *Engine) onClientConnected(ev ClientConnected) {
	e.admitClient(ev.Client)
	if ev.Done != nil {
		ev.Done()
	}
}

// admitClient takes in a client that has sent no request, or rejects it for want of sockets.
func (e *Engine) admitClient(c Client) {
	if e.shutdown.stage >= closing || !e.ensureClientSocket() {
		e.rejectUnadmitted(c)
		return
	}
	r := &request{client: c, phase: idle}
	e.requests.insert(r) // never full: there is an entry for each socket
	e.requests.idle++
	c.Handle().id = r.handle
	e.resetTimer(&r.answerTimer, e.now+idleTimeout, idleTimer, r)
}

func (e *Engine) rejectUnadmitted(c Client) {
	e.statistics.rejected++
	c.Reject(e.options.RetryAfter)
}

func (e *Engine) onClientActive(ev ClientActive) {
	if r := e.requestOf(ev.Client); r != nil && r.phase == idle {
		e.resetTimer(&r.answerTimer, e.now+idleTimeout, idleTimer, r)
	}
}

func (e *Engine) onIdleTimeout(r *request) {
	if r.phase == idle {
		e.closeIdle(r)
	}
}

// closeIdle ends a connection that has sent no request.
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

// requestOf returns a client's record; nil: it has none, or no longer has.
func (e *Engine) requestOf(c Client) *request { return e.requests.get(c.Handle().id) }

// ensureClientSocket makes room for the socket of a new client. It reports false where there is none.
func (e *Engine) ensureClientSocket() bool {
	tooManyIdle := e.options.MaxIdleClients > 0 && e.requests.idle >= e.options.MaxIdleClients
	return !tooManyIdle && e.hasFreeSocket() || e.evictLongestIdle(nil)
}

// ensureServerSocket makes room for the server's socket of a client that now has a request.
func (e *Engine) ensureServerSocket(r *request) bool {
	return e.hasFreeSocket() || e.evictLongestIdle(r)
}

// hasFreeSocket counts two sockets for each request, and one for an idle client.
func (e *Engine) hasFreeSocket() bool {
	return 2*e.requests.len()-e.requests.idle < e.options.MaxSockets
}

// evictLongestIdle closes the client, other than the given one, that has been idle longest. It keeps clients that
// connect by hundreds and send nothing from shutting out all others; a client with a request is never closed for
// that.
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
		if r.phase == idle && r != except && (longest == nil || r.answerTimer.At() < longest.answerTimer.At()) {
			longest = r
		}
	})
	return longest
}
