package frontend

import (
	"time"

	"example.org/milletvane/internal/engine"
)

// A session migrates to another node in three steps that are invisible to its client:
//
//  1. The session requests another node, and stops reading from the client before it sends the handshake, which includes all
//     subscriptions. The new node is established when it has confirmed the handshake. The new node's messages are buffered.
//  2. The session sends the old node UNSUB for all subscriptions, followed by a PING. The PONG confirms that the old node has
//     processed all frames of the client and delivered all messages that it had queued.
//  3. The session delivers the buffered messages and reads from the client again. If the nodes form a cluster, it drops those
//     messages of the new node that the old node has already delivered. It closes the connection to the old node once no
//     request is pending there.
//
// If the connection to the old node is lost, step 2 is skipped.

// minRetryDelay is the minimum delay before a session requests another node again after its request was rejected or failed.
const minRetryDelay = 50 * time.Millisecond

// drainReadDuration is how long the session continues to read from the client after a migration has started. A node
// must not receive anything new later than 500 ms after it has begun to drain.
const drainReadDuration = 400 * time.Millisecond

// nodeDraining is called when a node starts to drain. It starts a migration if the node is the current one.
func (s *Session) nodeDraining(n *nodeSession) {
	if s.phase == closed || n.draining {
		return
	}
	n.draining = true
	if n == s.current && !s.migrating && !s.dedup.Active() { // otherwise the end of the running migration starts this one
		s.startMigration()
	}
}

// startMigration requests another node. The session is closed if the migration is not complete after MigrationTimeout.
func (s *Session) startMigration() {
	s.migrating = true
	current := s.current
	s.migrationTimer = s.loop.After(s.frontend.settings().MigrationTimeout, func() { s.close(errStaleConnection) })
	if current != nil {
		s.loop.After(drainReadDuration, func() {
			if s.phase != closed && s.current == current && s.migrating {
				s.publishDeadlinePassed = true
				s.conn.Pause()
			}
		})
	}
	s.requestNextNode()
}

// requestNextNode requests another node, unless a request is running or no migration is in progress.
func (s *Session) requestNextNode() {
	if s.phase == closed || s.next != nil || !s.migrating {
		return
	}
	s.next = &nodeSession{session: s}
	s.frontend.engine.Post(engine.ClientConnected{Client: s.next})
	s.requestNode(s.next, true)
}

// nodeRejected is called when the engine rejects the request for a node or the request fails. An established session requests
// a node again after a delay; any other session is closed.
func (s *Session) nodeRejected(n *nodeSession, retryAfter time.Duration) {
	n.released = true
	if s.phase == closed || n != s.next {
		return
	}
	s.next = nil
	s.discardBuffered()
	if s.phase != established {
		s.close(errMaxConnections)
		return
	}
	if s.current != nil && !s.current.flushing && !s.publishDeadlinePassed {
		s.conn.Resume()
	}
	s.retryTimer = s.loop.After(max(retryAfter, minRetryDelay), s.requestNextNode)
}

// nodeEstablished is called when the next node has confirmed the handshake, which establishes the session there.
func (s *Session) nodeEstablished(n *nodeSession) {
	if s.phase != established { // the first node
		s.phase = established
		s.scheduleHealthCheck()
		s.switchTo(n)
		return
	}
	n.nodeConn.Pause() // its messages must follow those of the old node
	old := s.current
	switch {
	case old == nil || old.flushed:
		s.switchTo(n)
	case !old.flushing:
		s.flushOldNode(old)
	}
}

// flushOldNode ends the subscriptions at the old node. nodeFlushed is called once the old node has delivered all that it has
// queued, or after FlushTimeout.
func (s *Session) flushOldNode(old *nodeSession) {
	old.flushing = true
	s.conn.Pause()
	// An error says that the connection to the node has ended. NodeConn.OnEnd handles that.
	_ = old.nodeConn.Conn().Send(s.subscriptions.AppendUnsubscribe(nil))
	old.nodeConn.Ping(func() { s.nodeFlushed(old) })
	s.flushTimer = s.loop.After(s.frontend.settings().FlushTimeout, func() { s.nodeFlushed(old) })
}

// nodeFlushed is called when the old node has delivered everything, when it is lost, and after FlushTimeout.
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

// switchTo makes n the current node of the session, which completes a migration.
func (s *Session) switchTo(n *nodeSession) {
	old := s.current
	s.current, s.next = n, nil
	s.loop.Cancel(s.migrationTimer)
	s.migrating, s.publishDeadlinePassed = false, false
	s.deliverBuffered(n)
	if s.dedup.Active() { // when n sends PONG, it has sent its copies of all messages that the old node delivered
		n.nodeConn.Ping(func() { s.stopDedup(n) })
	}
	for ; s.missingPongs > 0; s.missingPongs-- {
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

// stopDedup ends the deduplication after the migration to n, and starts another migration if n is draining. It does nothing if
// n is no longer the current node or another migration is in progress.
func (s *Session) stopDedup(n *nodeSession) {
	if s.current != n || s.migrating {
		return
	}
	s.dedup.Stop()
	if n.draining {
		s.startMigration()
	}
}

// retire makes old the previous node of the session and closes its connection once no request is pending there.
func (s *Session) retire(old *nodeSession) {
	if s.previous != nil { // a second migration ends the attempts that are pending at the first node
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
	case s.next: // n was established, but the old node has not delivered everything yet
		s.next = nil
		s.discardBuffered()
		s.requestNextNode()
	case s.current:
		s.currentNodeLost(n)
	}
}

// currentNodeLost handles the loss of the current node. If the next node is established, it switches to that node. Otherwise the
// running migration continues, or a new one starts.
func (s *Session) currentNodeLost(n *nodeSession) {
	if n.flushing { // the lost node can deliver nothing more
		s.nodeFlushed(n)
		if s.current != n {
			return
		}
	}
	s.current = nil
	s.dedup.Stop()
	s.missingPongs += n.nodeConn.PendingClientPongs()
	s.conn.Pause()
	if s.migrating {
		s.switchToNextIfEstablished()
	} else {
		s.startMigration()
	}
}
