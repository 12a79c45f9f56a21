package backend

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/line/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/rules"
)

type phase uint8

const (
	dialing phase = iota
	pending       // the opening line is out, the answer is not in
	up
	over
)

// Link is an attempt, and the server's side of the connection that it sets up.
type Link struct {
	backend *Backend
	attempt engine.Attempt
	client  Client
	started time.Time

	mu    sync.Mutex // guards the phase; never held while writing or posting
	phase phase
	conn  *reactor.Conn

	// The oldest line of the client that the server has not returned, in nanoseconds since started plus
	// one; 0: none.
	asked atomic.Int64

	// Of the server's lines; only its own callbacks touch these.
	head []byte     // of the line that has come in part
	last codec.Word // of the last line
}

// headMost is how much of a line is kept to see what it says.
const headMost = 64

// OnOpen implements reactor.Handler: it sends the opening line, or says that there is no connection.
func (l *Link) OnOpen(c *reactor.Conn, err error) {
	if err != nil {
		l.finish(rules.ConnectFailed)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == over {
		return
	}
	l.phase = pending
	c.Send(l.client.Forward(make([][]byte, 0, 3), l.attempt.Wait-time.Since(l.started))...)
}

// Abandon implements engine.Link. The connection is closed when it returns, or will carry nothing.
func (l *Link) Abandon() bool {
	l.mu.Lock()
	if l.phase >= up {
		l.mu.Unlock()
		return false
	}
	l.phase = over
	l.mu.Unlock()
	l.conn.Abort(false)
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
	l.mu.Unlock()
	l.conn.Abort(false)
	l.backend.events.Post(engine.Ended{Request: l.attempt.Request, Number: l.attempt.Number, Result: result})
}

// End ends the server's side of an open connection after the client's has ended.
func (l *Link) End(reset bool) {
	l.mu.Lock()
	was := l.phase
	l.phase = over
	l.mu.Unlock()
	switch {
	case was == over:
	case reset:
		l.conn.Abort(true)
	default:
		l.conn.Close()
	}
}

// Forward passes on bytes from the client, who is left unread while the server does not read.
func (l *Link) Forward(b []byte) {
	if l.backend.options.TellsDelay && bytes.IndexByte(b, '\n') >= 0 {
		l.asked.CompareAndSwap(0, int64(time.Since(l.started))+1)
	}
	l.conn.SendFrom(l.client.Conn(), b) // one that fails has ended; OnEnd follows
}

// OnEnd implements reactor.Handler. All that the server sent has been seen by then.
func (l *Link) OnEnd(c *reactor.Conn, err error) {
	l.mu.Lock()
	at := l.phase
	l.mu.Unlock()
	switch at {
	case pending:
		// What breaks before the last byte is written never ran; what breaks after may have.
		if c.Waiting() > 0 {
			l.finish(rules.ConnectFailed)
		} else {
			l.finish(rules.Reset)
		}
	case up:
		result := rules.Reset
		switch l.last {
		case codec.WordBye:
			result = rules.OK
		case codec.WordMove:
			result = rules.Cancelled
		}
		l.ended(result, reactor.WasReset(err))
	}
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

// OnData implements reactor.Handler.
func (l *Link) OnData(_ *reactor.Conn, b []byte) int {
	l.mu.Lock()
	at := l.phase
	l.mu.Unlock()
	switch at {
	case up:
		l.watch(b)
		l.client.Relay(l.conn, b)
	case pending:
		return l.answer(b)
	}
	return len(b)
}

// answer takes the server's first line once it is whole; the engine ends an attempt whose answer does not come in time.
func (l *Link) answer(b []byte) int {
	i := bytes.IndexByte(b[:min(len(b), codec.MaxLine)], '\n')
	if i < 0 {
		if len(b) < codec.MaxLine {
			return 0
		}
		l.finish(rules.Errored)
		return len(b)
	}
	line := b[:i+1]
	reply := codec.ParseReply(line)
	switch reply.Word {
	case codec.WordUp, codec.WordBye: // BYE alone: served, and over already
		l.last = reply.Word
		l.open(line)
		return len(line)
	case codec.WordBusy:
		l.finish(rules.Full)
	case codec.WordMove:
		l.finish(rules.Cancelled)
	default:
		l.finish(rules.Errored)
	}
	return len(b)
}

// open ties the client to the server. From here on the engine sees no lines.
func (l *Link) open(first []byte) {
	l.mu.Lock()
	if l.phase == over {
		l.mu.Unlock()
		return
	}
	l.phase = up
	l.mu.Unlock()
	l.backend.events.Post(engine.Up{Request: l.attempt.Request, Number: l.attempt.Number, Elapsed: time.Since(l.started)})
	if !l.client.Open(first, l) {
		l.End(false)
	}
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
		reply := codec.ParseReply(l.head)
		l.head = l.head[:0]
		l.last = reply.Word
		switch reply.Word {
		case codec.WordLoad:
			if l.backend.options.TellsLoad {
				l.backend.events.Offer(engine.Load{Request: l.attempt.Request, Load: reply.Load})
			}
		case codec.WordOther:
			if at := l.asked.Swap(0); at > 0 {
				delay := time.Since(l.started) - time.Duration(at)
				l.backend.events.Offer(engine.Answered{Request: l.attempt.Request, Delay: delay})
			}
		}
	}
}
