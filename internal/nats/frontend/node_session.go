package frontend

import (
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// nodeSession is the part of a session that belongs to one node. The engine treats each nodeSession as a separate client, so
// that a migrating session temporarily has two of them.
type nodeSession struct {
	handle   engine.ClientHandle
	session  *Session
	nodeConn *backend.NodeConn // of the current attempt; nil until its node has sent INFO
	released bool              // the engine no longer holds state for this nodeSession
	draining bool              // the node is draining
	flushing bool              // its subscriptions were ended; the node gets nothing new and delivers what it has queued
	flushed  bool              // the node has delivered everything, was lost, or did not finish within FlushTimeout
}

var (
	_ backend.SessionClient = (*nodeSession)(nil)
	_ engine.DrainObserver  = (*nodeSession)(nil)
)

// Handle implements engine.Client.
func (n *nodeSession) Handle() *engine.ClientHandle { return &n.handle }

// Conn implements backend.SessionClient.
func (n *nodeSession) Conn() *reactor.Conn { return n.session.conn }

// Reject implements engine.Client.
func (n *nodeSession) Reject(retryAfter time.Duration) {
	n.Conn().Post(func() { n.session.nodeRejected(n, retryAfter) })
}

// Fail implements engine.Client.
func (n *nodeSession) Fail() { n.Conn().Post(func() { n.session.nodeRejected(n, 0) }) }

// Close implements engine.Client. It is called if the client sent no CONNECT in time or the session did not migrate in time.
func (n *nodeSession) Close() {
	n.Conn().Post(func() {
		s := n.session
		n.released = true
		if n == s.current || n == s.next && s.phase != established {
			s.close(errStaleConnection)
		} else if n == s.previous {
			n.close()
			s.previous = nil
		}
	})
}

// Migrate implements engine.Client. It starts a migration, or the shutdown of the session if the Frontend is shutting
// down, and returns the maximum duration of a migration.
func (n *nodeSession) Migrate() time.Duration {
	n.Conn().Post(func() {
		if s := n.session; s.frontend.shuttingDown.Load() {
			s.shutdown()
		} else {
			s.nodeDraining(n)
		}
	})
	settings := n.session.frontend.settings()
	return settings.MigrationTimeout + settings.FlushTimeout
}

// ServerDraining implements engine.DrainObserver.
func (n *nodeSession) ServerDraining() { n.Conn().Post(func() { n.session.nodeDraining(n) }) }

// isEstablished reports whether the node has confirmed the handshake.
func (n *nodeSession) isEstablished() bool { return n.nodeConn != nil && n.nodeConn.IsEstablished() }

// close closes the connection to the node and tells the engine to release its state for the nodeSession.
func (n *nodeSession) close() {
	if n.nodeConn != nil {
		n.nodeConn.Close()
	}
	if !n.released {
		n.released = true
		n.session.frontend.engine.Post(engine.ClientDisconnected{Client: n})
	}
}

// AppendHandshake implements backend.SessionClient. It ends an earlier attempt, which has failed, with its buffered messages.
func (n *nodeSession) AppendHandshake(b []byte) []byte {
	s := n.session
	s.discardBuffered()
	if s.current != nil {
		// A SUB that is read after this point would reach only the old node.
		s.conn.Pause()
		if s.frontend.settings().NodesForward {
			s.dedup.Start()
		}
	}
	return s.subscriptions.AppendSubscribe(s.appendConnect(b))
}

// InfoReceived implements backend.SessionClient. The client receives another INFO if the maximum payload is lower than in the
// last INFO that was sent to the client.
func (n *nodeSession) InfoReceived(c *backend.NodeConn, info codec.ServerInfo) {
	s := n.session
	n.nodeConn = c
	s.frontend.lowerMaxPayload(info.MaxPayload)
	if lowest := int(s.frontend.maxPayload.Load()); lowest < s.advertisedMaxPayload && s.phase != closed {
		s.advertisedMaxPayload = lowest
		s.send(s.frontend.infoFrame(s.id))
	}
}

// Established implements backend.SessionClient. It closes a connection that the session no longer needs.
func (n *nodeSession) Established(c *backend.NodeConn) {
	s := n.session
	if s.phase == closed || n != s.next {
		c.Close()
		return
	}
	s.nodeEstablished(n)
}

// Forward implements backend.SessionClient.
func (n *nodeSession) Forward(c *backend.NodeConn, frames []byte) {
	if s := n.session; s.phase != closed {
		s.sendFrom(c.Conn(), frames)
	}
}

// ErrReceived implements backend.SessionClient.
func (n *nodeSession) ErrReceived(_ *backend.NodeConn, raw []byte) {
	if s := n.session; s.phase == established && n == s.current {
		s.send(raw)
	}
}

// AuthorizationFailed implements backend.SessionClient. It closes the session with the error text of the node.
func (n *nodeSession) AuthorizationFailed(_ *backend.NodeConn, text []byte) {
	if s := n.session; n == s.current || n == s.next {
		s.close(string(text))
	}
}

// Disconnected implements backend.SessionClient. The backend has notified the engine, which releases its state.
func (n *nodeSession) Disconnected(*backend.NodeConn) {
	n.released = true
	if s := n.session; s.phase != closed {
		s.nodeLost(n)
	}
}
