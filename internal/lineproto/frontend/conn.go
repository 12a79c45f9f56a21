package frontend

import (
	"bytes"
	"sync"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/backend"
	"example.org/milletvane/internal/lineproto/codec"
	"example.org/milletvane/internal/reactor"
)

type phase uint8

const (
	opening  phase = iota // no opening line yet
	waiting               // for its server, or for the engine
	relaying              // its lines go to the server
	over
)

// Conn is a client's connection.
type Conn struct {
	front  *Listener
	done   func() // tells the listener that the engine has seen it
	conn   *reactor.Conn
	handle engine.ClientHandle
	open   codec.Open

	mu    sync.Mutex // guards the phase
	phase phase
	link  *backend.ServerConn

	out     sync.Mutex // orders the server's lines and MOVE
	midline bool       // the last line that was passed on is not whole
	moving  bool       // MOVE is due at its end
}

var _ backend.Client = (*Conn)(nil)

// OnOpen implements reactor.Handler.
func (c *Conn) OnOpen(rc *reactor.Conn, _ error) {
	c.conn = rc
	c.front.engine.Post(engine.ClientConnected{Client: c, Done: c.done})
}

// Handle implements engine.Client.
func (c *Conn) Handle() *engine.ClientHandle { return &c.handle }

// OnData implements reactor.Handler.
func (c *Conn) OnData(_ *reactor.Conn, b []byte) int {
	c.mu.Lock()
	at, link := c.phase, c.link
	c.mu.Unlock()
	switch at {
	case opening:
		return c.readOpening(b)
	case waiting:
		// One that sends more before UP has not waited, as clients do: no server is to read it, so its request is
		// given up.
		c.reject()
	case relaying:
		link.Forward(b)
	}
	return len(b)
}

// readOpening takes a line once it is whole. The engine ends a connection that does not send its line in time.
func (c *Conn) readOpening(b []byte) int {
	i := bytes.IndexByte(b[:min(len(b), codec.MaxLineLength)], '\n')
	if i < 0 && len(b) < codec.MaxLineLength {
		return 0
	}
	if i < 0 || len(b) > i+1 {
		// Clients wait after each line. What comes behind it is no part of a connection that any server has
		// taken, and hundreds of commands at once would have as many answers to write.
		c.reject()
		return len(b)
	}
	switch codec.ParseRequestKind(b) {
	case codec.RequestPing:
		answer := codec.Err
		if c.front.engine.Ready() {
			answer = codec.Pong
		}
		c.conn.Send([]byte(answer))
		c.front.engine.Post(engine.ClientActive{Client: c})
	case codec.RequestStats: // a balancer has no load report
		c.conn.Send([]byte(codec.No))
	case codec.RequestOpen:
		c.readOpen(b)
	default:
		c.reject()
	}
	return len(b)
}

func (c *Conn) readOpen(line []byte) {
	// Read in place first, so that a malformed line costs no copy; what is kept for the attempts is then
	// read again from the copy, since the buffer is the loop's.
	if _, err := codec.ParseOpen(line); err != nil {
		c.reject()
		return
	}
	open, _ := codec.ParseOpen(append([]byte(nil), line...))
	c.mu.Lock()
	if c.phase != opening {
		c.mu.Unlock()
		return
	}
	c.open, c.phase = open, waiting
	c.mu.Unlock()
	c.front.engine.Post(engine.RequestReceived{Client: c, Request: engine.Request{
		ID: string(open.ID), Class: string(open.Class), Tenant: string(open.Tenant), Key: string(open.Key), Group: string(open.Group),
		Timeout: open.Timeout, Load: open.Load, Reconnecting: open.Reconnecting, MidFlow: open.MidFlow, Owner: string(open.Owner),
	}})
}

// reject answers what is none of the protocol's.
func (c *Conn) reject() {
	if c.finish() {
		c.conn.Send([]byte(codec.Err))
		c.conn.Close()
		c.front.engine.Post(engine.ProtocolViolated{Client: c})
	}
}

// finish marks the client's side as ended; it returns false where it was already.
func (c *Conn) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.phase
	c.phase = over
	return was != over
}

// OnEnd implements reactor.Handler. All that the client sent has been passed on by then.
func (c *Conn) OnEnd(_ *reactor.Conn, err error) {
	if !c.finish() {
		return
	}
	if c.link != nil {
		c.link.End(reactor.WasReset(err))
	}
	c.front.engine.Post(engine.ClientDisconnected{Client: c})
}

func (c *Conn) final(line []byte) {
	if !c.finish() {
		return
	}
	c.conn.Send(line)
	c.conn.Close()
}

// Reject implements engine.Client.
func (c *Conn) Reject(after time.Duration) { c.final(codec.Busy(after)) }

// Fail implements engine.Client.
func (c *Conn) Fail() { c.final([]byte(codec.Err)) }

// Close implements engine.Client. Of one that rests an opening line may be on its way, here or to the engine: BUSY answers
// it, and is nothing to a client that has asked for nothing. One that stands was to be sent MOVE, behind a line that has
// not ended.
func (c *Conn) Close() {
	c.mu.Lock()
	at := c.phase
	c.mu.Unlock()
	switch at {
	case opening, waiting:
		c.Reject(0)
		return
	case over:
		return
	}
	c.conn.Do(func() { // behind a MOVE that is only just asked for
		if c.finish() {
			c.conn.Close()
		}
		c.link.End(false)
	})
}

// RejectWaiting answers a client whose engine has ended, and will not.
func (c *Conn) RejectWaiting() {
	c.mu.Lock()
	at := c.phase
	c.mu.Unlock()
	if at < relaying {
		c.Reject(0)
	}
}

// Migrate implements engine.Client. Its loop tells the client, as word of it to the engine may have to wait.
func (c *Conn) Migrate() time.Duration {
	c.conn.Do(c.move)
	return 0
}

func (c *Conn) move() {
	c.out.Lock()
	defer c.out.Unlock()
	if c.midline { // the rest of the line goes first
		c.moving = true
		return
	}
	c.sendAway(nil)
}

// sendAway writes the rest of a line and MOVE, and ends both sides.
func (c *Conn) sendAway(rest []byte) {
	if !c.finish() {
		return
	}
	c.conn.Send(rest, []byte(codec.Move))
	c.conn.Close()
	if c.link != nil {
		c.link.End(false)
	}
	c.front.engine.Post(engine.ClientDisconnected{Client: c})
}

// Forward implements backend.Client.
func (c *Conn) Forward(parts [][]byte, wait time.Duration) [][]byte {
	return c.open.Forward(parts, wait)
}

// Established implements backend.Client.
func (c *Conn) Established(first []byte, l *backend.ServerConn) bool {
	c.out.Lock()
	defer c.out.Unlock()
	c.mu.Lock()
	if c.phase != waiting {
		c.mu.Unlock()
		return false
	}
	c.phase, c.link = relaying, l
	c.mu.Unlock()
	c.conn.Send(first) // one that fails has ended; OnEnd follows
	return true
}

// Relay implements backend.Client.
func (c *Conn) Relay(from *reactor.Conn, b []byte) {
	c.out.Lock()
	defer c.out.Unlock()
	if c.moving {
		for i, x := range b {
			if x == '\n' {
				c.sendAway(b[:i+1])
				return
			}
		}
	}
	c.midline = b[len(b)-1] != '\n'
	c.conn.SendFrom(from, b) // one that fails has ended; OnEnd follows
}

// ServerEnded implements backend.Client.
func (c *Conn) ServerEnded(reset bool) {
	if !c.finish() {
		return
	}
	if reset {
		c.conn.Abort(true)
	} else {
		c.conn.Close()
	}
}

// Conn implements backend.Client.
func (c *Conn) Conn() *reactor.Conn { return c.conn }
