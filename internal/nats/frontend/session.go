package frontend

import (
	"encoding/json"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/nats/session"
	"example.org/milletvane/internal/reactor"
)

// phase is the progress of a session.
type phase uint8

const (
	awaitingConnect phase = iota // the client has not sent CONNECT
	connecting                   // until the first node is established
	established                  // connected to a node, or migrating
	closed
)

// Session is a client with its connection. It is used on the connection's loop only.
type Session struct {
	frontend *Frontend
	loop     *backend.LoopState
	conn     *reactor.Conn
	id       uint64

	phase              phase
	options            codec.ConnectOptions
	connectMembers     map[string]json.RawMessage // of the client's CONNECT
	sharedConnectFrame []byte                     // CONNECT for requests on shared connections; nil: not built yet
	key                string                     // affinity key
	sentMaxPayload     int                        // in the last INFO to the client

	current       *nodeSession // nil: connected to no node
	next          *nodeSession // being set up
	previous      *nodeSession // migrated away from, until its requests have ended
	subscriptions session.Subscriptions
	dedup         session.Deduplicator
	buffered      []byte // messages of next, until current has delivered what it had queued
	owedPongs     int    // PONGs for the client that a lost node did not send

	migrating      bool
	publishEnded   bool           // current has been draining for too long to get anything new
	migrationTimer *backend.Timer // until the migration fails
	retryTimer     *backend.Timer // until the next node is requested again
	flushTimer     *backend.Timer // until current is no longer waited for
	requests       map[*request]struct{}
	shuttingDown   bool

	healthTimer     *backend.Timer
	unansweredPings int  // to the client
	isActive        bool // the client has sent something since the last health check
}

// Errors that are sent to clients besides those of the codec. Clients connect again after the first three.
const (
	errMaxConnections         = "maximum connections exceeded"
	errStaleConnection        = "Stale Connection"
	errServerShutdown         = "Server Shutdown"
	errAuthorizationViolation = "Authorization Violation"
	errMaxSubscriptions       = "maximum subscriptions exceeded"
)

// OnOpen implements reactor.Handler. The gateway sends INFO first.
func (s *Session) OnOpen(c *reactor.Conn, _ error) {
	f := s.frontend
	s.conn, s.loop = c, f.backend.LoopState(c)
	s.id = f.lastID.Add(1)
	c.SetMaxPending(f.settings().MaxPending)
	f.add(s)
	s.sentMaxPayload = int(f.maxPayload.Load())
	s.send(f.infoFrame(s.id))
	s.next = &nodeSession{session: s}
	f.engine.Post(engine.ClientConnected{Client: s.next})
}

// OnHangup implements reactor.HangupHandler. A client that disconnects before its first node is established is not served
// any further; later it may have sent something that is still to be read.
func (s *Session) OnHangup(*reactor.Conn) {
	if s.phase == connecting {
		s.release()
		s.conn.Abort(false)
	}
}

// OnEnd implements reactor.Handler.
func (s *Session) OnEnd(*reactor.Conn, error) { s.release() }

// release gives up everything that the session holds, once its client has disconnected or its connection is closed.
func (s *Session) release() {
	if s.phase == closed {
		return
	}
	s.phase = closed
	s.frontend.remove(s)
	for _, t := range []*backend.Timer{s.migrationTimer, s.retryTimer, s.flushTimer, s.healthTimer} {
		s.loop.Cancel(t)
	}
	for r := range s.requests {
		s.frontend.engine.Post(engine.ClientDisconnected{Client: r})
	}
	s.requests, s.buffered = nil, nil
	for _, n := range []*nodeSession{s.current, s.next, s.previous} {
		if n != nil {
			n.close()
		}
	}
	s.current, s.next, s.previous = nil, nil, nil
}

// close closes the session, with -ERR unless the text is empty.
func (s *Session) close(errorText string) {
	if s.phase == closed {
		return
	}
	if errorText != "" {
		s.send(codec.AppendErr(nil, errorText))
	}
	s.conn.Close()
	s.release()
}

// send writes to the client. An error of Conn.Send says that the connection has ended, which OnEnd handles.
func (s *Session) send(parts ...[]byte) { _ = s.conn.Send(parts...) }

// sendFrom is send for frames from another connection, which is not read while too much is queued for the client.
func (s *Session) sendFrom(source *reactor.Conn, frames []byte) { _ = s.conn.SendFrom(source, frames) }

func (s *Session) sendPong() {
	if s.phase != closed {
		s.send([]byte(codec.PongFrame))
	}
}

// maxUnansweredPings is how many PINGs a client may leave unanswered.
const maxUnansweredPings = 2

// scheduleHealthCheck finds a client that vanished without closing its connection: it gets a PING at each interval in which
// it sent nothing.
func (s *Session) scheduleHealthCheck() {
	s.healthTimer = s.loop.After(s.frontend.settings().ClientPingInterval, func() {
		switch {
		case s.isActive:
			s.isActive = false
		case s.unansweredPings >= maxUnansweredPings:
			s.close(errStaleConnection)
			return
		default:
			s.unansweredPings++
			s.send([]byte(codec.PingFrame))
		}
		s.scheduleHealthCheck()
	})
}

// shutdown starts the graceful shutdown of the session.
func (s *Session) shutdown() {
	if s.phase == closed || s.shuttingDown {
		return
	}
	s.shuttingDown = true
	s.send(s.frontend.infoFrame(s.id))
	switch {
	case s.phase == established && s.current != nil:
		s.closeWhenIdle()
	case s.phase != established:
		s.close(errServerShutdown)
	}
}

// shutdownPollInterval is the interval at which a session that shuts down checks whether its requests have ended.
const shutdownPollInterval = 20 * time.Millisecond

// closeWhenIdle closes the session after its requests have ended and its node has delivered what it had queued.
func (s *Session) closeWhenIdle() {
	if s.phase == closed {
		return
	}
	if len(s.requests) > 0 || s.migrating || s.current == nil {
		s.loop.After(shutdownPollInterval, s.closeWhenIdle)
		return
	}
	s.current.nodeConn.Ping(func() { s.close("") })
}
