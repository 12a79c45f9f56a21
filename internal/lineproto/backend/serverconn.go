package backend

import (
	"bytes"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/upstream"
)

// maxOpenParts is the number of pieces in which a client's opening line is sent.
const maxOpenParts = 3

// ServerConn is an attempt and, once it is established, the server's side of the client's connection. Its response clock
// runs from a line of the client's to the server's next line. OnOpen, OnData and OnEnd are called by the connection's loop,
// Forward by the client's, which is the same; End may be called by any goroutine.
type ServerConn struct {
	upstream.Attempt
	backend *Backend
	attempt engine.Attempt
	client  Client

	// The connection's loop alone uses these.
	forwarded bool            // the opening line was written completely, and counted
	lines     lineTracker     // of the server, once established
	lastReply codec.ReplyKind // of the server's last complete line
}

// OnOpen implements reactor.Handler: it sends the opening line, or ends the attempt if there is no connection.
func (s *ServerConn) OnOpen(c *reactor.Conn, err error) {
	if err != nil || s.connectedLate() {
		s.fail(balancer.ConnectFailed)
		return
	}
	if !s.Transition(upstream.Dialing, upstream.Pending) { // cancelled meanwhile
		return
	}
	line := s.client.Forward(make([][]byte, 0, maxOpenParts), s.attempt.Timeout-s.Age())
	_ = c.Send(line...) // fails only once the connection has ended, which OnEnd or Cancel handles
	s.countForwarded()
}

// connectedLate reports whether the time to connect is over: a loop that was delayed runs the dial's timeout late too.
func (s *ServerConn) connectedLate() bool {
	return s.attempt.ConnectTimeout > 0 && s.Age() > s.attempt.ConnectTimeout
}

// countForwarded counts the attempt once the kernel has the last byte of its opening line. It is called again at each later
// event of an attempt for which that was not so at first.
func (s *ServerConn) countForwarded() {
	if !s.forwarded && s.Conn().Buffered() == 0 {
		s.forwarded = true
		s.backend.options.Forwarded.Add(1)
	}
}

// fail ends an attempt that is not established, and posts its result, once.
func (s *ServerConn) fail(result balancer.Result) {
	if s.Cancel() {
		s.postEnded(result)
	}
}

func (s *ServerConn) postEnded(result balancer.Result) {
	s.backend.events.Post(engine.AttemptEnded{
		RequestID: s.attempt.RequestID, Number: s.attempt.Number, Result: result,
	})
}

// End ends the server's side after the client's has ended; with reset the server sees a reset connection.
func (s *ServerConn) End(reset bool) {
	switch previous := s.Finish(); {
	case previous == upstream.Ended:
	case reset:
		s.Conn().Abort(true)
	default:
		s.Conn().Close()
	}
}

// Forward sends bytes of the client to the server. The client is left unread while the server doesn't read.
func (s *ServerConn) Forward(b []byte) {
	if s.backend.options.MeasuresDelay && bytes.IndexByte(b, '\n') >= 0 {
		s.RequestSent()
	}
	_ = s.Conn().SendFrom(s.client.Conn(), b) // fails only once the connection has ended, which OnEnd or End handles
}

// OnEnd implements reactor.Handler. All that the server has sent was passed to OnData before.
func (s *ServerConn) OnEnd(c *reactor.Conn, err error) {
	switch s.Phase() {
	case upstream.Pending:
		s.countForwarded()
		// The request never ran if its last byte was not written; otherwise it may have.
		if c.Buffered() > 0 {
			s.fail(balancer.ConnectFailed)
		} else {
			s.fail(balancer.Reset)
		}
	case upstream.Established:
		s.endByServer(s.result(), reactor.WasReset(err))
	}
}

// result is that of an established connection that the server has ended, by its last line.
func (s *ServerConn) result() balancer.Result {
	switch s.lastReply {
	case codec.ReplyBye:
		return balancer.OK
	case codec.ReplyMove:
		return balancer.Cancelled
	}
	return balancer.Reset
}

// endByServer ends an established connection that the server has ended, once.
func (s *ServerConn) endByServer(result balancer.Result, reset bool) {
	if s.Finish() == upstream.Ended {
		return
	}
	s.client.ServerEnded(reset)
	s.Conn().Close()
	s.postEnded(result)
}

// OnData implements reactor.Handler.
func (s *ServerConn) OnData(_ *reactor.Conn, b []byte) int {
	switch s.Phase() {
	case upstream.Established:
		s.inspect(b)
		s.client.Relay(s.Conn(), b)
	case upstream.Pending:
		return s.readReply(b)
	}
	return len(b)
}

// readReply takes the server's first line once it is complete. The engine cancels an attempt whose reply is late.
func (s *ServerConn) readReply(b []byte) int {
	s.countForwarded()
	end := bytes.IndexByte(b[:min(len(b), codec.MaxLineLength)], '\n')
	if end < 0 && len(b) < codec.MaxLineLength {
		return 0
	}
	if end < 0 {
		s.fail(balancer.Errored)
		return len(b)
	}
	line := b[:end+1]
	switch reply := codec.ParseReply(line); reply.Kind {
	case codec.ReplyUp, codec.ReplyBye: // BYE as the first line: served and ended at once
		s.lastReply = reply.Kind
		s.establish(line)
		return len(line)
	case codec.ReplyBusy:
		s.fail(balancer.Rejected)
	case codec.ReplyMove:
		s.fail(balancer.Cancelled)
	default:
		s.fail(balancer.Errored)
	}
	return len(b)
}

// establish connects the client to the server. From here on the engine sees no lines.
func (s *ServerConn) establish(firstLine []byte) {
	if !s.Transition(upstream.Pending, upstream.Established) {
		return
	}
	s.backend.events.Post(engine.AttemptEstablished{
		RequestID: s.attempt.RequestID, Number: s.attempt.Number, Elapsed: s.Age(),
	})
	if !s.client.Established(firstLine, s) {
		s.End(false)
	}
}

// inspect reads the server's lines as they pass.
func (s *ServerConn) inspect(b []byte) {
	for len(b) > 0 {
		line, rest, complete := s.lines.next(b)
		if !complete {
			return
		}
		s.observe(codec.ParseReply(line))
		b = rest
	}
}

// observe reports the connection's load, and the delay of an answer to the client.
func (s *ServerConn) observe(reply codec.Reply) {
	s.lastReply = reply.Kind
	switch reply.Kind {
	case codec.ReplyLoad:
		if s.backend.options.ReportsLoad {
			s.backend.events.TryPost(engine.ConnectionLoad{RequestID: s.attempt.RequestID, Load: reply.Load})
		}
	case codec.ReplyOther:
		if delay := s.ResponseReceived(); delay > 0 {
			s.backend.events.TryPost(engine.MessageAnswered{RequestID: s.attempt.RequestID, Delay: delay})
		}
	}
}
