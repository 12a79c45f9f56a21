package frontend

import (
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
)

// bufferFactor times MaxPending is the maximum number of bytes that are buffered from the next node of a client. MaxPending is
// the limit on the bytes that are queued for the client.
const bufferFactor = 16

// MessageReceived implements backend.SessionClient. It buffers messages of the next node, and cancels the handshake with that
// node if the buffer exceeds its limit.
func (n *nodeSession) MessageReceived(c *backend.NodeConn, f *codec.Frame) bool {
	s := n.session
	switch {
	case s.phase == closed:
		return false
	case n == s.next:
		s.bufferMessage(c, f)
		return false
	case n != s.current && !n.flushing:
		s.frontend.dropped.Detached.Add(1)
		return false
	}
	return s.shouldDeliver(n, f)
}

// bufferMessage holds a message of the next node until the session has switched to that node. If the buffer is full, it cancels
// the handshake. It then keeps the message only if no other node delivers it, and at most one such message.
func (s *Session) bufferMessage(c *backend.NodeConn, f *codec.Frame) {
	limit := bufferFactor * s.frontend.settings().MaxPending
	if len(s.buffered)+len(f.Raw) > limit {
		c.CancelHandshake()
		if len(s.buffered) > limit || !s.subscriptions.InQueueGroup(f.SID) {
			s.frontend.dropped.Setup.Add(1)
			return
		}
	}
	s.buffered = append(s.buffered, f.Raw...)
}

// takeBuffered empties the buffer of the next node's messages and calls handle with each of them.
func (s *Session) takeBuffered(handle func(*codec.Frame)) {
	buffered := s.buffered
	s.buffered = nil
	limits := s.frontend.backend.Limits()
	for len(buffered) > 0 {
		f, size, err := codec.Parse(buffered, limits)
		if err != nil || size == 0 { // cannot happen with the same limits, because only complete frames are buffered
			return
		}
		handle(&f)
		buffered = buffered[size:]
	}
}

// deliverBuffered delivers the messages of n that were buffered during the migration.
func (s *Session) deliverBuffered(n *nodeSession) {
	s.takeBuffered(func(f *codec.Frame) {
		if s.shouldDeliver(n, f) {
			s.sendFrom(n.nodeConn.Conn(), f.Raw)
		}
	})
}

// discardBuffered discards the messages of a node whose set-up did not complete. It delivers those of queue groups, because no
// other node delivers them. They stay buffered while too much data is queued for the client.
func (s *Session) discardBuffered() {
	s.takeBuffered(func(f *codec.Frame) {
		switch {
		case !s.subscriptions.InQueueGroup(f.SID):
			s.frontend.dropped.Setup.Add(1)
		case s.conn.PendingBytes() > s.frontend.settings().MaxPending:
			s.buffered = append(s.buffered, f.Raw...)
		case s.countMessage(f):
			s.send(f.Raw)
		}
	})
}

// shouldDeliver reports whether a message must be delivered to the client: it is not a duplicate, and its subscription has not
// ended. It counts the message for deduplication and for the limit of its subscription.
func (s *Session) shouldDeliver(n *nodeSession, f *codec.Frame) bool {
	if s.dedup.Active() && !s.subscriptions.InQueueGroup(f.SID) {
		if n != s.current || s.migrating { // n is the old node
			s.dedup.RecordOld(f.Raw)
		} else if s.dedup.IsDuplicate(f.Raw) {
			s.frontend.dropped.Duplicate.Add(1)
			return false
		}
	}
	return s.countMessage(f)
}

// countMessage counts a message for the limit of its subscription. It returns false if the subscription has ended, so that the
// message must be dropped.
func (s *Session) countMessage(f *codec.Frame) bool {
	if s.subscriptions.HasLimits() && !s.subscriptions.Deliver(f.SID) {
		s.frontend.dropped.Ended.Add(1)
		return false
	}
	return true
}
