package frontend

import (
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// OnData implements reactor.Handler. Consecutive frames that the node is to get unchanged are forwarded together.
func (s *Session) OnData(c *reactor.Conn, b []byte) int {
	limits := codec.Limits{MaxControlLine: s.frontend.settings().ControlLine, MaxPayload: s.sentMaxPayload}
	parsed, forwarded := 0, 0 // b[forwarded:parsed] are frames to forward
	acks := 0                 // frames to acknowledge with +OK, as a verbose client wants
	flush := func() {
		s.forward(b[forwarded:parsed])
		for ; acks > 0; acks-- {
			s.send([]byte(codec.OKFrame))
		}
	}
	s.isActive, s.unansweredPings = true, 0
	for parsed < len(b) && s.phase != closed {
		if s.awaitsNode() {
			c.Pause()
			break
		}
		f, size, err := codec.Parse(b[parsed:], limits)
		if err == nil && size > 0 && !isClientOperation(f.Op) {
			err = codec.ErrUnknownOperation
		}
		if err != nil {
			flush()
			s.close(err.Error())
			return len(b)
		}
		if size == 0 {
			break
		}
		isForNode := s.isForNode(&f)
		if s.phase == closed {
			return len(b)
		}
		if s.options.Verbose && isAcknowledged(f.Op) {
			acks++
		}
		if !isForNode {
			flush()
			forwarded = parsed + size
			s.handleFrame(&f)
		}
		parsed += size
	}
	flush()
	return parsed
}

// forward sends frames to the node.
func (s *Session) forward(frames []byte) {
	if len(frames) > 0 && s.current != nil {
		// An error says that the node's connection has ended, which its OnEnd handles.
		_ = s.current.nodeConn.Conn().SendFrom(s.conn, frames)
	}
}

// awaitsNode reports whether frames of the client must wait for a node.
func (s *Session) awaitsNode() bool {
	return s.phase == connecting || s.phase == established && (s.current == nil || s.current.flushing)
}

func isClientOperation(op codec.Op) bool {
	return isAcknowledged(op) || op == codec.Ping || op == codec.Pong || op == codec.Connect
}

// isAcknowledged reports whether a verbose client gets +OK for an operation. That for CONNECT is sent on its own.
func isAcknowledged(op codec.Op) bool {
	switch op {
	case codec.Pub, codec.HPub, codec.Sub, codec.Unsub:
		return true
	default:
		return false
	}
}

// isForNode applies a frame to the state of the session and reports whether the node is to get it unchanged.
func (s *Session) isForNode(f *codec.Frame) bool {
	switch f.Op {
	case codec.Pub, codec.HPub:
		return s.phase == established && !s.startRequest(f)
	case codec.Sub, codec.Unsub:
		return s.phase == established && s.updateSubscriptions(f)
	default:
		return false
	}
}

// handleFrame handles a frame that the node does not get unchanged.
func (s *Session) handleFrame(f *codec.Frame) {
	switch f.Op {
	case codec.Connect:
		s.handleConnect(f.Body)
	case codec.Ping:
		if s.phase == established {
			s.current.nodeConn.PingForClient(s.sendPong)
		} else {
			s.send([]byte(codec.PongFrame)) // there is no node yet
		}
	case codec.Pub, codec.HPub, codec.Sub, codec.Unsub:
		if s.phase == awaitingConnect {
			s.close(errAuthorizationViolation) // as the reference server does before CONNECT
		}
	}
}

// updateSubscriptions applies SUB and UNSUB. It reports false if the session was closed for it.
func (s *Session) updateSubscriptions(f *codec.Frame) bool {
	if backend.IsGatewaySID(f.SID) {
		s.close(codec.ErrParse.Error())
		return false
	}
	if f.Op == codec.Unsub {
		s.subscriptions.Unsubscribe(f.SID, f.MaxMessages)
		return true
	}
	if s.subscriptions.Len() >= s.frontend.settings().MaxSubscriptions {
		s.close(errMaxSubscriptions)
		return false
	}
	s.subscriptions.Add(f.Subject, f.Queue, f.SID)
	return true
}
