package frontend

import (
	"sync"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/backend"
	"example.org/milletvane/internal/lineproto/codec"
	"example.org/milletvane/internal/reactor"
)

// phase is the phase of a client's connection. A connection passes through the phases in the order of the constants.
// phaseEnded may follow any other phase.
type phase uint8

const (
	phaseOpening  phase = iota // no opening line has been received
	phaseWaiting               // the opening line was passed to the engine; no server has accepted it yet
	phaseRelaying              // lines are forwarded to the server
	phaseEnded
)

// Conn is the connection of a client. The reactor calls its Handler methods, the engine its engine.Client methods, and a
// server's connection its backend.Client methods.
type Conn struct {
	listener *Listener
	onSeen   func() // tells the reactor's listener that the engine knows the connection
	conn     *reactor.Conn
	handle   engine.ClientHandle
	open     codec.Open

	mu     sync.Mutex // protects phase and server
	phase  phase
	server *backend.ServerConn // set from phaseRelaying on

	outMu       sync.Mutex // orders writes of the server's lines and of MOVE; protects the fields below
	midLine     bool       // the last relayed line is incomplete
	movePending bool       // MOVE has to be sent at the end of that line
}

var _ backend.Client = (*Conn)(nil)

// OnOpen implements reactor.Handler.
func (c *Conn) OnOpen(rc *reactor.Conn, _ error) {
	c.conn = rc
	if c.listener.stopped.Load() {
		c.Reject(0)
		return
	}
	c.listener.engine.Post(engine.ClientConnected{Client: c, Done: c.onSeen})
}

// OnData implements reactor.Handler.
func (c *Conn) OnData(_ *reactor.Conn, b []byte) int {
	c.mu.Lock()
	phase, server := c.phase, c.server
	c.mu.Unlock()
	switch phase {
	case phaseOpening:
		return c.readFirstLine(b)
	case phaseWaiting:
		// A client has to wait for UP before it sends more. No server may receive these bytes, so the request is abandoned.
		c.failProtocol()
	case phaseRelaying:
		server.Forward(b)
	}
	return len(b)
}

// OnEnd implements reactor.Handler. All bytes that the client sent were passed to OnData before.
func (c *Conn) OnEnd(_ *reactor.Conn, err error) {
	if !c.markEnded() {
		return
	}
	c.endServer(reactor.IsFailure(err))
	c.listener.engine.Post(engine.ClientDisconnected{Client: c})
}

// currentPhase returns the current phase.
func (c *Conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// markEnded sets the phase to phaseEnded. It returns false if that was the phase already.
func (c *Conn) markEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.phase
	c.phase = phaseEnded
	return previous != phaseEnded
}

// endServer closes the server's connection if there is one. It must be called after markEnded, after which c.server doesn't
// change.
func (c *Conn) endServer(reset bool) {
	if c.server != nil {
		c.server.End(reset)
	}
}

// send writes to the client. The error is ignored: a write fails only if the connection has ended, which OnEnd handles, or
// if it was closed after markEnded.
func (c *Conn) send(parts ...[]byte) { _ = c.conn.Send(parts...) }

// Handle implements engine.Client.
func (c *Conn) Handle() *engine.ClientHandle { return &c.handle }

// Reject implements engine.Client.
func (c *Conn) Reject(retryAfter time.Duration) { c.closeWithLine(codec.Busy(retryAfter)) }

// Fail implements engine.Client.
func (c *Conn) Fail() { c.closeWithLine([]byte(codec.Err)) }

// closeWithLine sends a last line and closes the connection.
func (c *Conn) closeWithLine(line []byte) {
	if !c.markEnded() {
		return
	}
	c.send(line)
	c.conn.Close()
}

// failProtocol answers ERR and closes the connection after a violation of the protocol.
func (c *Conn) failProtocol() {
	if !c.markEnded() {
		return
	}
	c.send([]byte(codec.Err))
	c.conn.Close()
	c.listener.engine.Post(engine.ProtocolViolated{Client: c})
}

// Close implements engine.Client. While no server has accepted a request of the client, an opening line may be on its way to
// this process or to the engine. Close sends BUSY, which answers that line; a client that has sent no request ignores BUSY.
// An established client is disconnected without MOVE: an earlier Migrate could not send MOVE, because the last relayed line
// is incomplete and its rest has not arrived.
func (c *Conn) Close() {
	switch c.currentPhase() {
	case phaseOpening, phaseWaiting:
		c.Reject(0)
	case phaseRelaying:
		c.conn.Post(c.closeRelaying) // runs after the call that an earlier Migrate has posted
	}
}

func (c *Conn) closeRelaying() {
	if c.markEnded() {
		c.conn.Close()
	}
	c.endServer(false)
}

// rejectWaiting rejects a client that has no server yet. It is for clients that the engine can no longer answer,
// because it has ended.
func (c *Conn) rejectWaiting() {
	if c.currentPhase() < phaseRelaying {
		c.Reject(0)
	}
}
