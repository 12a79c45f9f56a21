package front

import (
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"example.org/milletvane/internal/backend"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto"
	"example.org/milletvane/internal/netconn"
)

type phase uint8

const (
	opening  phase = iota // no opening line yet
	waiting               // for its server
	relaying              // its lines go to the server
	over
)

// Conn is a client's connection.
type Conn struct {
	front  *Front
	conn   *netconn.Conn
	ticket engine.Ticket
	open   lineproto.Open

	mu    sync.Mutex // guards the phase
	phase phase
	link  *backend.Link

	out     sync.Mutex // orders the server's lines and MOVE
	midline bool       // the last line that was passed on is not whole
	moving  bool       // MOVE is due at its end
}

var _ backend.Client = (*Conn)(nil)

func (f *Front) accept(nc netpoll.Connection) *Conn {
	c := &Conn{front: f, conn: netconn.New(nc)}
	nc.AddCloseCallback(c.onClose)
	f.engine.Post(engine.Accepted{Client: c})
	return c
}

// Slot implements engine.Client.
func (c *Conn) Slot() *engine.Ticket { return &c.ticket }

func (c *Conn) at() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// onRequest takes what the client sends.
func (c *Conn) onRequest() {
	switch c.at() {
	case opening:
		c.readOpening()
	case over:
		netconn.Discard(c.conn)
	default:
		c.relay()
	}
}

func (c *Conn) readOpening() {
	// The engine ends a connection that does not send its line in time.
	line, err := netconn.Line(c.conn, time.Time{})
	if err != nil {
		netconn.Discard(c.conn)
		if errors.Is(err, lineproto.ErrTooLong) {
			c.reject()
		}
		return // an end is told by onClose
	}
	if c.conn.Reader().Len() > len(line) {
		// Clients wait after each line. What comes behind it is no part of a connection that any server has
		// taken, and hundreds of commands at once would have as many answers to write.
		c.reject()
		return
	}
	switch lineproto.KindOf(line) {
	case lineproto.KindPing:
		answer := lineproto.Err
		if c.front.engine.Ready() {
			answer = lineproto.Pong
		}
		c.skip(len(line))
		c.conn.Send([]byte(answer))
		c.front.engine.Post(engine.Alive{Client: c})
	case lineproto.KindStats: // a balancer has no load report
		c.skip(len(line))
		c.conn.Send([]byte(lineproto.No))
	case lineproto.KindOpen:
		c.readOpen(line)
	default:
		c.reject()
	}
}

func (c *Conn) skip(n int) {
	c.conn.Reader().Skip(n)
	c.conn.Reader().Release()
}

func (c *Conn) readOpen(line []byte) {
	// Read in place first, so that a malformed line costs no copy; what is kept for the attempts is then
	// read again from the copy, since the buffer is netpoll's.
	if _, err := lineproto.ParseOpen(line); err != nil {
		c.reject()
		return
	}
	open, _ := lineproto.ParseOpen(append([]byte(nil), line...))
	c.skip(len(line))
	c.mu.Lock()
	if c.phase != opening {
		c.mu.Unlock()
		return
	}
	c.open, c.phase = open, waiting
	c.mu.Unlock()
	c.front.engine.Post(engine.Arrived{Client: c, Request: engine.Request{
		ID: string(open.ID), Class: string(open.Class), Tenant: string(open.Tenant), Key: string(open.Key), Group: string(open.Group),
		Wait: open.Wait, Load: open.Hint, Returned: open.Returned, Stray: open.Stray, At: string(open.At),
	}})
}

// reject answers what is none of the protocol's.
func (c *Conn) reject() {
	netconn.Discard(c.conn)
	if c.finish() {
		c.conn.Send([]byte(lineproto.Err))
		c.conn.Close()
		c.front.engine.Post(engine.Rejected{Client: c})
	}
}

// relay passes the client's lines on. One that sends more before UP has not waited, as clients do: no server is
// to read it, so its request is given up.
func (c *Conn) relay() {
	c.mu.Lock()
	at, link := c.phase, c.link
	c.mu.Unlock()
	if at == waiting {
		c.reject()
		return
	}
	r := c.conn.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return
	}
	defer r.Release()
	if link != nil && !link.Forward(b) {
		link.Drop()
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

// onClose runs when the client's side has ended, after all that it sent has been passed on.
func (c *Conn) onClose(netpoll.Connection) error {
	if !c.finish() {
		return nil
	}
	if c.link != nil {
		c.link.End(c.conn.WasReset())
	}
	c.front.engine.Post(engine.Left{Client: c})
	return nil
}

func (c *Conn) final(line []byte) {
	if !c.finish() {
		return
	}
	c.conn.Send(line)
	c.conn.Close()
}

// Refuse implements engine.Client.
func (c *Conn) Refuse(after time.Duration) { c.final(lineproto.Busy(after)) }

// Fail implements engine.Client.
func (c *Conn) Fail() { c.final([]byte(lineproto.Err)) }

// Close implements engine.Client.
func (c *Conn) Close() {
	if c.finish() {
		c.conn.Close()
	}
	if c.link != nil { // it had been sent MOVE for a line that never ended
		c.link.End(false)
	}
}

// Move implements engine.Client. The client may be slow to read, so it is told from a goroutine of its own.
func (c *Conn) Move() { go c.move() }

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
	c.conn.Send(rest, []byte(lineproto.Move))
	c.conn.Close()
	if c.link != nil {
		c.link.End(false)
	}
	c.front.engine.Post(engine.Left{Client: c})
}

// Forward implements backend.Client.
func (c *Conn) Forward(parts [][]byte, wait time.Duration) [][]byte {
	return c.open.Forward(parts, wait)
}

// Open implements backend.Client.
func (c *Conn) Open(first []byte, l *backend.Link) bool {
	c.out.Lock()
	defer c.out.Unlock()
	c.mu.Lock()
	if c.phase != waiting {
		c.mu.Unlock()
		return false
	}
	c.phase, c.link = relaying, l
	c.mu.Unlock()
	c.conn.Send(first) // one that fails has ended; onClose follows
	return true
}

// Relay implements backend.Client.
func (c *Conn) Relay(b []byte) {
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
	if err := c.conn.Send(b); netconn.IsTimeout(err) {
		// A client that does not read would hold its server's lines back without bound.
		c.drop()
	}
}

func (c *Conn) drop() {
	if !c.finish() {
		return
	}
	c.conn.End(true)
	if c.link != nil {
		c.link.End(true)
	}
	c.front.engine.Post(engine.Left{Client: c})
}

// End implements backend.Client.
func (c *Conn) End(reset bool) {
	if c.finish() {
		c.conn.End(reset)
	}
}
