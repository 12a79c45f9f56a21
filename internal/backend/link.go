package backend

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto"
	"example.org/milletvane/internal/netconn"
	"example.org/milletvane/rules"
)

type phase uint8

const (
	dialing phase = iota
	writing       // the opening line is on its way out
	pending       // it is out, the answer is not in
	up
	over
)

// Link is an attempt, and the server's side of the connection that it sets up.
type Link struct {
	backend *Backend
	attempt engine.Attempt
	client  Client
	started time.Time

	mu     sync.Mutex // guards the phase; never held while writing or posting
	phase  phase
	conn   *netconn.Conn
	closed bool // while writing

	// The oldest line of the client that the server has not returned, in nanoseconds since started plus
	// one; 0: none.
	asked atomic.Int64

	// Of the server's lines; only its own callbacks touch these.
	head []byte         // of the line that has come in part
	last lineproto.Word // of the last line
}

// headMost is how much of a line is kept to see what it says.
const headMost = 64

// begin takes in the connection, unless the attempt was given up meanwhile.
func (l *Link) begin(conn *netconn.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == over {
		return false
	}
	l.conn, l.phase = conn, writing
	return true
}

// wrote notes that the opening line is out; it returns true where the connection has ended already.
func (l *Link) wrote() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == writing {
		l.phase = pending
	}
	return l.closed && l.phase != over
}

// Abandon implements engine.Link. The connection is closed when it returns, or will carry nothing.
func (l *Link) Abandon() bool {
	l.mu.Lock()
	if l.phase >= up {
		l.mu.Unlock()
		return false
	}
	l.phase = over
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	return true
}

// Waiting implements engine.Link.
func (l *Link) Waiting() time.Duration {
	if at := l.asked.Load(); at > 0 {
		return max(time.Since(l.started)-time.Duration(at), 0)
	}
	return 0
}

// finish ends an attempt that is not up, once.
func (l *Link) finish(result rules.Result) {
	l.mu.Lock()
	if l.phase >= up {
		l.mu.Unlock()
		return
	}
	l.phase = over
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	l.backend.events.Post(engine.Ended{Request: l.attempt.Request, Number: l.attempt.Number, Result: result})
}

// End ends the server's side of an open connection after the client's has ended.
func (l *Link) End(reset bool) {
	l.mu.Lock()
	was := l.phase
	l.phase = over
	l.mu.Unlock()
	if was != over {
		l.conn.End(reset)
	}
}

// Forward passes on bytes from the client. It returns false where the server does not read, so that lines
// would be held back; the caller then calls Drop, with no lock held.
func (l *Link) Forward(b []byte) bool {
	if l.backend.tellsDelay && bytes.IndexByte(b, '\n') >= 0 {
		l.asked.CompareAndSwap(0, int64(time.Since(l.started))+1)
	}
	return !netconn.IsTimeout(l.conn.Send(b))
}

// Drop ends an open connection whose server does not read.
func (l *Link) Drop() { l.ended(rules.Reset, true) }

// onClose runs when the server's side has ended, after all that it sent has been seen.
func (l *Link) onClose(netpoll.Connection) error {
	l.mu.Lock()
	at := l.phase
	if at == writing {
		l.closed = true
	}
	l.mu.Unlock()
	switch at {
	case pending:
		l.finish(rules.Reset)
	case up:
		result := rules.Reset
		switch l.last {
		case lineproto.WordBye:
			result = rules.OK
		case lineproto.WordMove:
			result = rules.Cancelled
		}
		l.ended(result, l.conn.WasReset())
	}
	return nil
}

// ended is the end of an open connection from the server's side.
func (l *Link) ended(result rules.Result, reset bool) {
	l.mu.Lock()
	was := l.phase
	l.phase = over
	l.mu.Unlock()
	if was == over {
		return
	}
	l.client.End(reset)
	l.conn.Close()
	l.backend.events.Post(engine.Ended{Request: l.attempt.Request, Number: l.attempt.Number, Result: result})
}

// onRequest takes what the server sends.
func (l *Link) onRequest(_ context.Context, c netpoll.Connection) error {
	l.mu.Lock()
	at := l.phase
	l.mu.Unlock()
	switch at {
	case up:
		l.relay(c)
	case over:
		netconn.Discard(c)
	default: // an answer may be seen before the writer has noted that its line is out
		l.answer(c)
	}
	return nil
}

func (l *Link) answer(c netpoll.Connection) {
	line, err := netconn.Line(c, l.started.Add(l.attempt.Wait))
	if err != nil {
		netconn.Discard(c)
		if err == lineproto.ErrTooLong {
			l.finish(rules.Errored)
		} else if netconn.IsTimeout(err) {
			l.finish(rules.TimedOut)
		}
		return // an end is told by onClose
	}
	reply := lineproto.ParseReply(line)
	switch reply.Word {
	case lineproto.WordUp, lineproto.WordBye: // BYE alone: served, and over already
		l.last = reply.Word
		l.open(c, line)
	case lineproto.WordBusy:
		netconn.Discard(c)
		l.finish(rules.Full)
	case lineproto.WordMove:
		netconn.Discard(c)
		l.finish(rules.Cancelled)
	default:
		netconn.Discard(c)
		l.finish(rules.Errored)
	}
}

// open ties the client to the server. From here on the engine sees no lines.
func (l *Link) open(c netpoll.Connection, first []byte) {
	l.mu.Lock()
	if l.phase == over {
		l.mu.Unlock()
		netconn.Discard(c)
		return
	}
	l.phase = up
	l.mu.Unlock()
	l.backend.events.Post(engine.Up{Request: l.attempt.Request, Number: l.attempt.Number, Elapsed: time.Since(l.started)})
	opened := l.client.Open(first, l)
	c.Reader().Skip(len(first))
	c.Reader().Release()
	if !opened {
		l.End(false)
	}
}

func (l *Link) relay(c netpoll.Connection) {
	r := c.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return
	}
	l.watch(b)
	l.client.Relay(b)
	r.Release()
}

// watch sees what the server's lines say as they pass.
func (l *Link) watch(b []byte) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		part := b
		if i >= 0 {
			part, b = b[:i+1], b[i+1:]
		} else {
			b = nil
		}
		if room := headMost - len(l.head); room > 0 {
			l.head = append(l.head, part[:min(len(part), room)]...)
		}
		if i < 0 {
			return
		}
		reply := lineproto.ParseReply(l.head)
		l.head = l.head[:0]
		l.last = reply.Word
		switch reply.Word {
		case lineproto.WordLoad:
			if l.backend.tellsLoad {
				l.backend.events.Offer(engine.Load{Request: l.attempt.Request, Load: reply.Load})
			}
		case lineproto.WordOther:
			if at := l.asked.Swap(0); at > 0 {
				delay := time.Since(l.started) - time.Duration(at)
				l.backend.events.Offer(engine.Answered{Request: l.attempt.Request, Delay: delay})
			}
		}
	}
}
