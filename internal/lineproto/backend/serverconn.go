package backend

import (
	"bytes"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/upstream"
)

// maxOpenParts is the highest number of pieces of a forwarded opening line.
const maxOpenParts = 3

// ServerConn is an attempt and, once it is established, the server's side of a client's connection. Its response time runs
// from a line of the client to the next line of the server that is not a command. The connection's loop calls OnOpen, OnData,
// OnEnd and Forward; the loop of the client's connection is the same one. Any goroutine may call End.
type ServerConn struct {
	upstream.Attempt
	backend *Backend
	attempt engine.Attempt
	client  Client

	// Only the connection's loop uses the fields below.
	forwarded bool            // the attempt was counted in Options.Forwarded
	lines     lineTracker     // the server's lines, once established
	lastReply codec.ReplyKind // the kind of the server's last complete line
}

// OnOpen implements reactor.Handler: it sends the opening line, or ends the attempt if the dial has failed.
func (s *ServerConn) OnOpen(c *reactor.Conn, err error) {
	if err != nil || s.connectTimedOut() {
		s.fail(balancer.ConnectFailed)
		return
	}
	if !s.Transition(upstream.Dialing, upstream.Pending) { // cancelled in the meantime
		return
	}
	line := s.client.Forward(make([][]byte, 0, maxOpenParts), s.attempt.Timeout-s.Age())
	_ = c.Send(line...) // fails only if the connection has ended, which OnEnd or Cancel handles
	s.countForwarded()
}

// connectTimedOut reports whether the connect timeout has passed. A delayed loop also delays the timeout of the dial, so a
// connection can be established too late.
func (s *ServerConn) connectTimedOut() bool {
	return s.attempt.ConnectTimeout > 0 && s.Age() > s.attempt.ConnectTimeout
}

// countForwarded counts the attempt once the kernel has accepted the last byte of its opening line. It is called at each
// event of the attempt until it has counted the attempt.
func (s *ServerConn) countForwarded() {
	if !s.forwarded && s.Conn().PendingBytes() == 0 {
		s.forwarded = true
		s.backend.options.Forwarded.Add(1)
	}
}

// fail ends an attempt that is not established, and posts its result. It has no effect if the attempt is established or has
// ended.
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

// End closes the server's connection after the client's has ended. If reset is true, the server sees a connection reset.
func (s *ServerConn) End(reset bool) {
	switch previous := s.Finish(); {
	case previous == upstream.Ended:
	case reset:
		s.Conn().Abort(true)
	default:
		s.Conn().Close()
	}
}

// Forward sends bytes of the client to the server. The client's connection is paused while too many bytes are pending for
// the server.
func (s *ServerConn) Forward(b []byte) {
	if s.backend.options.MeasuresDelay && bytes.IndexByte(b, '\n') >= 0 {
		s.RequestSent()
	}
	_ = s.Conn().SendFrom(s.client.Conn(), b) // fails only if the connection has ended, which OnEnd or End handles
}

// OnEnd implements reactor.Handler. All bytes that the server sent were passed to OnData before.
func (s *ServerConn) OnEnd(c *reactor.Conn, err error) {
	switch s.Phase() {
	case upstream.Pending:
		s.countForwarded()
		// If the last byte of the opening line was not written, the request never ran. Otherwise it may have run.
		if c.PendingBytes() > 0 {
			s.fail(balancer.ConnectFailed)
		} else {
			s.fail(balancer.Reset)
		}
	case upstream.Established:
		s.handleServerEnd(s.result(), reactor.IsFailure(err))
	}
}

// result returns the result of an established connection that the server has ended. It depends on the server's last line.
func (s *ServerConn) result() balancer.Result {
	switch s.lastReply {
	case codec.ReplyBye:
		return balancer.OK
	case codec.ReplyMove:
		return balancer.Cancelled
	}
	return balancer.Reset
}

// handleServerEnd handles the end of an established connection by the server. A second call has no effect.
func (s *ServerConn) handleServerEnd(result balancer.Result, reset bool) {
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
		s.inspectLines(b)
		s.client.Relay(s.Conn(), b)
	case upstream.Pending:
		return s.readReply(b)
	}
	return len(b)
}

// readReply handles the server's first line once it is complete and returns the number of consumed bytes. The engine
// cancels an attempt whose reply is late.
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
	case codec.ReplyUp, codec.ReplyBye: // BYE as the first line: the request was served and has ended
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

// establish marks the attempt as established and connects the client to the server. The lines that follow
// do not pass through the engine.
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

// inspectLines parses the server's lines as they are relayed.
func (s *ServerConn) inspectLines(b []byte) {
	for len(b) > 0 {
		line, rest, complete := s.lines.nextLine(b)
		if !complete {
			return
		}
		s.handleReply(codec.ParseReply(line))
		b = rest
	}
}

// handleReply posts the load of the connection, or the delay of a server's answer to the client.
func (s *ServerConn) handleReply(reply codec.Reply) {
	s.lastReply = reply.Kind
	switch reply.Kind {
	case codec.ReplyLoad:
		if s.backend.options.ReportsLoad {
			s.backend.events.TryPost(engine.ConnectionLoadChanged{RequestID: s.attempt.RequestID, Load: reply.Load})
		}
	case codec.ReplyOther:
		if delay := s.ResponseReceived(); delay > 0 {
			s.backend.events.TryPost(engine.MessageAnswered{RequestID: s.attempt.RequestID, Delay: delay})
		}
	}
}
