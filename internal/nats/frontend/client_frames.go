package frontend

import (
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// OnData implements reactor.Handler. Consecutive frames that are forwarded to the node unchanged are sent together.
func (s *Session) OnData(c *reactor.Conn, b []byte) int {
	limits := codec.Limits{MaxControlLine: s.frontend.settings().ControlLine, MaxPayload: s.advertisedMaxPayload}
	parsed, forwarded := 0, 0 // b[forwarded:parsed] are frames to forward
	pendingAcks := 0          // number of frames to acknowledge with +OK; only a verbose client expects it
	forwardParsed := func() {
		s.forward(b[forwarded:parsed])
		for ; pendingAcks > 0; pendingAcks-- {
			s.send([]byte(codec.OKFrame))
		}
	}
	s.receivedSinceHealthCheck, s.unansweredPings = true, 0
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
			forwardParsed()
			s.close(err.Error())
			return len(b)
		}
		if size == 0 {
			break
		}
		isForNode := s.applyFrame(&f)
		if s.phase == closed {
			return len(b)
		}
		if s.options.Verbose && isAcknowledged(f.Op) {
			pendingAcks++
		}
		if !isForNode {
			forwardParsed()
			forwarded = parsed + size
			s.handleFrame(&f)
		}
		parsed += size
	}
	forwardParsed()
	return parsed
}

// forward sends frames to the node. It does nothing if there are no frames or no node is connected.
func (s *Session) forward(frames []byte) {
	if len(frames) > 0 && s.current != nil {
		// An error says that the connection to the node has ended. NodeConn.OnEnd handles that.
		_ = s.current.nodeConn.Conn().SendFrom(s.conn, frames)
	}
}

// awaitsNode reports whether frames of the client must wait until the session is established at a node.
func (s *Session) awaitsNode() bool {
	return s.phase == connecting || s.phase == established && (s.current == nil || s.current.flushing)
}

func isClientOperation(op codec.Op) bool {
	return isAcknowledged(op) || op == codec.Ping || op == codec.Pong || op == codec.Connect
}

// isAcknowledged reports whether OnData acknowledges an operation of a verbose client with +OK. handleConnect sends the +OK
// for CONNECT.
func isAcknowledged(op codec.Op) bool {
	switch op {
	case codec.Pub, codec.HPub, codec.Sub, codec.Unsub:
		return true
	default:
		return false
	}
}

// applyFrame updates the state of the session by a frame and reports whether the frame must be forwarded to the node
// unchanged. It may start a request or close the session.
func (s *Session) applyFrame(f *codec.Frame) bool {
	switch f.Op {
	case codec.Pub, codec.HPub:
		return s.phase == established && !s.startRequest(f)
	case codec.Sub, codec.Unsub:
		return s.phase == established && s.updateSubscriptions(f)
	default:
		return false
	}
}

// handleFrame handles a frame that is not forwarded to the node unchanged.
func (s *Session) handleFrame(f *codec.Frame) {
	switch f.Op {
	case codec.Connect:
		s.handleConnect(f.Body)
	case codec.Ping:
		if s.phase == established {
			s.current.nodeConn.PingForClient(s.sendPong)
		} else {
			s.send([]byte(codec.PongFrame)) // no node is connected that could answer
		}
	case codec.Pub, codec.HPub, codec.Sub, codec.Unsub:
		if s.phase == awaitingConnect {
			s.close(errAuthorizationViolation) // the reference server does the same before CONNECT
		}
	}
}

// updateSubscriptions applies a SUB or UNSUB frame. It returns false if the frame is not allowed, after closing the session.
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
