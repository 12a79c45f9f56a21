package frontend

import (
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
)

// A session migrates to another node in these steps, of which its client notices nothing:
//
//  1. Another node is requested. When it has confirmed the handshake with all subscriptions, it is established; its messages
//     are buffered.
//  2. From then on the client is not read. The old node gets UNSUB for all subscriptions, and its PONG to a PING after them
//     says that it has processed all that the client sent and delivered all that it had queued.
//  3. The buffered messages follow, without those that both nodes delivered. The client is read again, and the connection to
//     the old node is closed once no request is pending there.
//
// If the connection to the old node is lost, step 2 is skipped.

// minRetryDelay is the minimum delay after which a session that was given no other node requests one again.
const minRetryDelay = 50 * time.Millisecond

// drainReadDuration is for how long a client is still read after its node began to drain. A draining node may get nothing
// new after 500 ms.
const drainReadDuration = 400 * time.Millisecond

// nodeDraining is called when a node is draining.
func (s *Session) nodeDraining(n *nodeSession) {
	if s.phase == closed || n.draining {
		return
	}
	n.draining = true
	if n == s.current && !s.migrating && !s.dedup.Active() { // else the end of the last migration starts this one
		s.startMigration()
	}
}

func (s *Session) startMigration() {
	s.migrating = true
	current := s.current
	s.migrationTimer = s.loop.After(s.frontend.settings().MigrationTimeout, func() { s.close(errStaleConnection) })
	if current != nil {
		s.loop.After(drainReadDuration, func() {
			if s.phase != closed && s.current == current && s.migrating {
				s.publishEnded = true
				s.conn.Pause()
			}
		})
	}
	s.requestNextNode()
}

func (s *Session) requestNextNode() {
	if s.phase == closed || s.next != nil || !s.migrating {
		return
	}
	s.next = &nodeSession{session: s}
	s.frontend.engine.Post(engine.ClientConnected{Client: s.next})
	s.requestNode(s.next, true)
}

// nodeRejected is called when the engine has no node for the session.
func (s *Session) nodeRejected(n *nodeSession, retryAfter time.Duration) {
	n.released = true
	if s.phase == closed || n != s.next {
		return
	}
	s.next, s.buffered = nil, nil
	if s.phase != established {
		s.close(errMaxConnections)
		return
	}
	if s.current != nil && !s.current.flushing && !s.publishEnded {
		s.conn.Resume()
	}
	s.retryTimer = s.loop.After(max(retryAfter, minRetryDelay), s.requestNextNode)
}

// nodeEstablished is called when the next node has confirmed the handshake.
func (s *Session) nodeEstablished(n *nodeSession) {
	if s.phase != established { // the first node
		s.phase = established
		s.scheduleHealthCheck()
		s.switchTo(n)
		return
	}
	n.nodeConn.Pause() // its messages follow those of the old node
	old := s.current
	switch {
	case old == nil || old.flushed:
		s.switchTo(n)
	case !old.flushing:
		s.flush(old)
	}
}

// flush ends the subscriptions at the old node and waits until it has delivered what it had queued.
func (s *Session) flush(old *nodeSession) {
	old.flushing = true
	s.conn.Pause()
	// An error says that the node's connection has ended, which its OnEnd handles.
	_ = old.nodeConn.Conn().Send(s.subscriptions.AppendUnsubscribe(nil))
	old.nodeConn.Ping(func() { s.nodeFlushed(old) })
	s.flushTimer = s.loop.After(s.frontend.settings().FlushTimeout, func() { s.nodeFlushed(old) })
}

// nodeFlushed is called when the old node has delivered everything, is lost, or is no longer waited for.
func (s *Session) nodeFlushed(old *nodeSession) {
	if s.phase == closed || old.flushed || s.current != old {
		return
	}
	old.flushed = true
	s.loop.Cancel(s.flushTimer)
	s.switchToNextIfEstablished()
}

func (s *Session) switchToNextIfEstablished() {
	if n := s.next; n != nil && n.isEstablished() {
		s.switchTo(n)
	}
}

// switchTo makes a node the current one, which completes a migration.
func (s *Session) switchTo(n *nodeSession) {
	old := s.current
	s.current, s.next = n, nil
	s.loop.Cancel(s.migrationTimer)
	s.migrating, s.publishEnded = false, false
	s.deliverBuffered(n)
	if s.dedup.Active() { // at its PONG the new node has delivered all that the old one did
		n.nodeConn.Ping(func() { s.stopDedup(n) })
	}
	for ; s.owedPongs > 0; s.owedPongs-- {
		n.nodeConn.PingForClient(s.sendPong)
	}
	n.nodeConn.Resume()
	s.conn.Resume()
	if old != nil {
		s.retire(old)
	}
	if n.draining && !s.dedup.Active() {
		s.startMigration()
	}
}

// stopDedup ends the deduplication of messages after the migration to a node.
func (s *Session) stopDedup(n *nodeSession) {
	if s.current != n || s.migrating {
		return
	}
	s.dedup.Stop()
	if n.draining {
		s.startMigration()
	}
}

// deliverBuffered delivers the messages that were buffered of a node.
func (s *Session) deliverBuffered(n *nodeSession) {
	buffered := s.buffered
	s.buffered = nil
	limits := s.frontend.backend.Limits()
	for len(buffered) > 0 {
		f, size, err := codec.Parse(buffered, limits)
		if err != nil || size == 0 { // not possible with the same limits, as only complete frames are buffered
			return
		}
		if s.shouldDeliver(n, &f) {
			s.sendFrom(n.nodeConn.Conn(), f.Raw)
		}
		buffered = buffered[size:]
	}
}

// shouldDeliver reports whether the client is to get a message: it is no duplicate, and its subscription has not ended.
func (s *Session) shouldDeliver(n *nodeSession, f *codec.Frame) bool {
	if s.dedup.Active() {
		if n != s.current || n.flushing || s.next != nil {
			s.dedup.RecordOld(f.Raw)
		} else if s.dedup.IsDuplicate(f.Raw) {
			return false
		}
	}
	return !s.subscriptions.HasLimits() || s.subscriptions.Deliver(f.SID)
}

// retire closes the connection to the old node once no request is pending there.
func (s *Session) retire(old *nodeSession) {
	if s.previous != nil { // after two migrations in a row, the requests at the first node end
		s.previous.close()
	}
	s.previous = old
	s.closePreviousIfIdle()
}

func (s *Session) closePreviousIfIdle() {
	if s.previous != nil && (s.previous.nodeConn == nil || s.previous.nodeConn.PendingRequests() == 0) {
		s.previous.close()
		s.previous = nil
	}
}

// nodeLost is called when an established connection to a node is lost.
func (s *Session) nodeLost(n *nodeSession) {
	switch n {
	case s.previous:
		s.previous = nil
	case s.next: // established, but the old node had not delivered everything yet
		s.next, s.buffered = nil, nil
		s.requestNextNode()
	case s.current:
		s.currentNodeLost(n)
	}
}

func (s *Session) currentNodeLost(n *nodeSession) {
	if n.flushing { // nothing more can be delivered
		s.nodeFlushed(n)
		if s.current != n {
			return
		}
	}
	s.current = nil
	s.dedup.Stop()
	s.owedPongs += n.nodeConn.PendingClientPongs()
	s.conn.Pause()
	if s.migrating {
		s.switchToNextIfEstablished()
	} else {
		s.startMigration()
	}
}
