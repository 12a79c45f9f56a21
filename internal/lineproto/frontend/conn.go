package frontend

import (
	"sync"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/backend"
	"example.org/milletvane/internal/lineproto/codec"
	"example.org/milletvane/internal/reactor"
)

// phase is the progress of a client's connection. Phases follow in the order of the constants, but phaseEnded may follow
// each.
type phase uint8

const (
	phaseOpening  phase = iota // no opening line has been read
	phaseWaiting               // for the engine, or for a server's reply
	phaseRelaying              // lines are forwarded to the server
	phaseEnded
)

// Conn is a client's connection.
type Conn struct {
	listener *Listener
	onSeen   func() // reports to the reactor that the engine knows the connection
	conn     *reactor.Conn
	handle   engine.ClientHandle
	open     codec.Open

	mu     sync.Mutex // protects phase and server
	phase  phase
	server *backend.ServerConn // set while phaseRelaying, and after it

	outMu       sync.Mutex // orders the server's lines and MOVE
	midLine     bool       // the last line that was relayed is incomplete
	movePending bool       // MOVE has to follow that line
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
		// A client has to wait for UP before it sends more: no server may read this, so its request is given up.
		c.failProtocol()
	case phaseRelaying:
		server.Forward(b)
	}
	return len(b)
}

// OnEnd implements reactor.Handler. All that the client has sent was passed to OnData before.
func (c *Conn) OnEnd(_ *reactor.Conn, err error) {
	if !c.finish() {
		return
	}
	c.endServer(reactor.WasReset(err))
	c.listener.engine.Post(engine.ClientDisconnected{Client: c})
}

// currentPhase is the phase at the moment.
func (c *Conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// finish ends the client's side. It returns false if that had ended already.
func (c *Conn) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.phase
	c.phase = phaseEnded
	return previous != phaseEnded
}

// endServer ends the server's side if there is one. It is called after finish, when server changes no more.
func (c *Conn) endServer(reset bool) {
	if c.server != nil {
		c.server.End(reset)
	}
}

// send writes to the client. A write that fails does so because the connection has ended, which OnEnd handles, or finish
// has been called.
func (c *Conn) send(parts ...[]byte) { _ = c.conn.Send(parts...) }

// Handle implements engine.Client.
func (c *Conn) Handle() *engine.ClientHandle { return &c.handle }

// Reject implements engine.Client.
func (c *Conn) Reject(retryAfter time.Duration) { c.endWith(codec.Busy(retryAfter)) }

// Fail implements engine.Client.
func (c *Conn) Fail() { c.endWith([]byte(codec.Err)) }

// endWith sends a last line and closes the connection.
func (c *Conn) endWith(line []byte) {
	if !c.finish() {
		return
	}
	c.send(line)
	c.conn.Close()
}

// failProtocol ends the connection after what the protocol doesn't allow.
func (c *Conn) failProtocol() {
	if !c.finish() {
		return
	}
	c.send([]byte(codec.Err))
	c.conn.Close()
	c.listener.engine.Post(engine.ProtocolViolated{Client: c})
}

// Close implements engine.Client. An idle client's opening line may be in flight, to this side or to the engine: BUSY
// answers it, and means nothing to a client that has sent no request. An established one was due to get MOVE, after a line
// that has not ended.
func (c *Conn) Close() {
	switch c.currentPhase() {
	case phaseOpening, phaseWaiting:
		c.Reject(0)
	case phaseRelaying:
		c.conn.Do(c.closeRelayed) // runs after a Migrate that was called before
	}
}

func (c *Conn) closeRelayed() {
	if c.finish() {
		c.conn.Close()
	}
	c.endServer(false)
}

// RejectWaiting rejects a client that has no server yet. It is for clients that an engine which has ended will not answer.
func (c *Conn) RejectWaiting() {
	if c.currentPhase() < phaseRelaying {
		c.Reject(0)
	}
}
