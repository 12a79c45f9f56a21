package backend

import (
	"bytes"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/upstream"
)

// Link is an attempt, and the server's side of the connection that it sets up.
type Link struct {
	upstream.Attempt // what is asked is that a line of the client's be returned
	backend          *Backend
	attempt          engine.Attempt
	client           Client

	// Of the server's lines; only its own callbacks touch these.
	sent bool            // the opening line was written whole, and counted
	head []byte          // of the line that has come in part
	last codec.ReplyKind // of the last line
}

// headMost is how much of a line is kept to see what it says.
const headMost = 64

// OnOpen implements reactor.Handler: it sends the opening line, or says that there is no connection.
func (l *Link) OnOpen(c *reactor.Conn, err error) {
	late := l.attempt.ConnectTimeout > 0 && l.Age() > l.attempt.ConnectTimeout // the loop may have been held up, and the dial's time with it
	if err != nil || late {
		l.finish(balancer.ConnectFailed)
		return
	}
	if l.Transition(upstream.Dialing, upstream.Pending) { // one that is given up meanwhile carries nothing
		c.Send(l.client.Forward(make([][]byte, 0, 3), l.attempt.Timeout-l.Age())...)
		l.written()
	}
}

// written counts an attempt once its last byte is with the kernel. One that was not at first is looked at again when
// something comes of it.
func (l *Link) written() {
	if !l.sent && l.Conn().Buffered() == 0 {
		l.sent = true
		l.backend.options.Forwarded.Add(1)
	}
}

// finish ends an attempt that is not up, once.
func (l *Link) finish(result balancer.Result) {
	if l.Cancel() {
		l.backend.events.Post(engine.AttemptEnded{RequestID: l.attempt.RequestID, Number: l.attempt.Number, Result: result})
	}
}

// End ends the server's side of an open connection after the client's has ended.
func (l *Link) End(reset bool) {
	switch was := l.Finish(); {
	case was == upstream.Ended:
	case reset:
		l.Conn().Abort(true)
	default:
		l.Conn().Close()
	}
}

// Forward passes on bytes from the client, who is left unread while the server does not read.
func (l *Link) Forward(b []byte) {
	if l.backend.options.MeasuresDelay && bytes.IndexByte(b, '\n') >= 0 {
		l.RequestSent()
	}
	l.Conn().SendFrom(l.client.Conn(), b) // one that fails has ended; OnEnd follows
}

// OnEnd implements reactor.Handler. All that the server sent has been seen by then.
func (l *Link) OnEnd(c *reactor.Conn, err error) {
	switch l.Phase() {
	case upstream.Pending:
		l.written()
		// What breaks before the last byte is written never ran; what breaks after may have.
		if c.Buffered() > 0 {
			l.finish(balancer.ConnectFailed)
		} else {
			l.finish(balancer.Reset)
		}
	case upstream.Established:
		result := balancer.Reset
		switch l.last {
		case codec.ReplyBye:
			result = balancer.OK
		case codec.ReplyMove:
			result = balancer.Cancelled
		}
		l.ended(result, reactor.WasReset(err))
	}
}

// ended is the end of an open connection from the server's side.
func (l *Link) ended(result balancer.Result, reset bool) {
	if l.Finish() == upstream.Ended {
		return
	}
	l.client.ServerEnded(reset)
	l.Conn().Close()
	l.backend.events.Post(engine.AttemptEnded{RequestID: l.attempt.RequestID, Number: l.attempt.Number, Result: result})
}

// OnData implements reactor.Handler.
func (l *Link) OnData(_ *reactor.Conn, b []byte) int {
	switch l.Phase() {
	case upstream.Established:
		l.watch(b)
		l.client.Relay(l.Conn(), b)
	case upstream.Pending:
		return l.answer(b)
	}
	return len(b)
}

// answer takes the server's first line once it is whole; the engine ends an attempt whose answer does not come in time.
func (l *Link) answer(b []byte) int {
	l.written()
	i := bytes.IndexByte(b[:min(len(b), codec.MaxLineLength)], '\n')
	if i < 0 {
		if len(b) < codec.MaxLineLength {
			return 0
		}
		l.finish(balancer.Errored)
		return len(b)
	}
	line := b[:i+1]
	reply := codec.ParseReply(line)
	switch reply.Kind {
	case codec.ReplyUp, codec.ReplyBye: // BYE alone: served, and over already
		l.last = reply.Kind
		l.open(line)
		return len(line)
	case codec.ReplyBusy:
		l.finish(balancer.Rejected)
	case codec.ReplyMove:
		l.finish(balancer.Cancelled)
	default:
		l.finish(balancer.Errored)
	}
	return len(b)
}

// open ties the client to the server. From here on the engine sees no lines.
func (l *Link) open(first []byte) {
	if !l.Transition(upstream.Pending, upstream.Established) {
		return
	}
	l.backend.events.Post(engine.AttemptEstablished{RequestID: l.attempt.RequestID, Number: l.attempt.Number, Elapsed: l.Age()})
	if !l.client.Established(first, l) {
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
		l.last = reply.Kind
		switch reply.Kind {
		case codec.ReplyLoad:
			if l.backend.options.ReportsLoad {
				l.backend.events.TryPost(engine.ConnectionLoad{RequestID: l.attempt.RequestID, Load: reply.Load})
			}
		case codec.ReplyOther:
			if delay := l.ResponseReceived(); delay > 0 {
				l.backend.events.TryPost(engine.MessageAnswered{RequestID: l.attempt.RequestID, Delay: delay})
			}
		}
	}
}
