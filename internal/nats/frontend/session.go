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

// phase is the stage that a session has reached.
type phase uint8

const (
	awaitingConnect phase = iota // the client has not sent CONNECT
	connecting                   // the session waits until it is established at its first node
	established                  // connected to a node, or migrating
	closed
)

// Session holds the state of one client and its connection. It may only be used on the loop of that connection.
type Session struct {
	frontend *Frontend
	loop     *backend.LoopState
	conn     *reactor.Conn
	id       uint64

	phase                phase
	options              codec.ConnectOptions
	connectMembers       map[string]json.RawMessage // JSON members of the client's CONNECT
	sharedConnectFrame   []byte                     // CONNECT frame for requests on shared connections; nil means not built yet
	key                  string                     // affinity key
	advertisedMaxPayload int                        // in bytes, as in the last INFO sent to the client

	current       *nodeSession // nil means that no node is connected
	next          *nodeSession // node that is being set up; nil means none
	previous      *nodeSession // node that the session migrated from, until the requests there have ended; nil means none
	subscriptions session.Subscriptions
	dedup         session.Deduplicator
	buffered      []byte // messages of next, held until current has delivered all that it has queued
	missingPongs  int    // number of the client's PINGs that lost nodes did not answer

	migrating             bool
	publishDeadlinePassed bool           // drainReadDuration has passed since the migration began; current must get nothing new
	migrationTimer        *backend.Timer // closes the session if the migration takes too long
	retryTimer            *backend.Timer // requests another node again after a rejection or failure
	flushTimer            *backend.Timer // limits the wait for current to deliver what it has queued
	requests              map[*request]struct{}
	shuttingDown          bool

	healthTimer              *backend.Timer
	unansweredPings          int  // PINGs to the client without a PONG
	receivedSinceHealthCheck bool // the client has sent data since the last health check
}

// Errors that are sent to clients, in addition to those of package codec. Clients reconnect after the first three.
const (
	errMaxConnections         = "maximum connections exceeded"
	errStaleConnection        = "Stale Connection"
	errServerShutdown         = "Server Shutdown"
	errAuthorizationViolation = "Authorization Violation"
	errMaxSubscriptions       = "maximum subscriptions exceeded"
)

// OnOpen implements reactor.Handler. The protocol requires that the gateway sends INFO first.
func (s *Session) OnOpen(c *reactor.Conn, _ error) {
	f := s.frontend
	s.conn, s.loop = c, f.backend.LoopState(c)
	s.id = f.lastID.Add(1)
	c.SetMaxPending(f.settings().MaxPending)
	f.add(s)
	s.advertisedMaxPayload = int(f.maxPayload.Load())
	s.send(f.infoFrame(s.id))
	s.next = &nodeSession{session: s}
	f.engine.Post(engine.ClientConnected{Client: s.next})
}

// OnHangup implements reactor.HangupHandler. A session that is connecting to its first node ends when its client disconnects.
// An established session continues, because frames that the client sent may still have to be read.
func (s *Session) OnHangup(*reactor.Conn) {
	if s.phase == connecting {
		s.release()
		s.conn.Abort(false)
	}
}

// OnEnd implements reactor.Handler.
func (s *Session) OnEnd(*reactor.Conn, error) { s.release() }

// release releases all resources of the session after its client has disconnected or its connection was closed.
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

// close closes the session. It sends errorText to the client as -ERR first, unless errorText is empty.
func (s *Session) close(errorText string) {
	if s.phase == closed {
		return
	}
	s.discardBuffered()
	if errorText != "" {
		s.send(codec.AppendErr(nil, errorText))
	}
	s.conn.Close()
	s.release()
}

// send sends data to the client. It ignores the error of Conn.Send, which says that the connection has ended: OnEnd handles
// that.
func (s *Session) send(parts ...[]byte) { _ = s.conn.Send(parts...) }

// sendFrom sends frames that were read from the connection source to the client. source is paused while too much data is
// queued for the client.
func (s *Session) sendFrom(source *reactor.Conn, frames []byte) { _ = s.conn.SendFrom(source, frames) }

func (s *Session) sendPong() {
	if s.phase != closed {
		s.send([]byte(codec.PongFrame))
	}
}

// maxUnansweredPings is the number of PINGs that a client may leave unanswered.
const maxUnansweredPings = 2

// scheduleHealthCheck schedules the next health check, which detects a client that is gone without having closed its
// connection. After each interval in which the client sent nothing it receives a PING. The session is closed if
// maxUnansweredPings PINGs are unanswered.
func (s *Session) scheduleHealthCheck() {
	s.healthTimer = s.loop.After(s.frontend.settings().ClientPingInterval, func() {
		switch {
		case s.receivedSinceHealthCheck:
			s.receivedSinceHealthCheck = false
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

// shutdown starts the graceful shutdown of the session. A session that is not established is closed at once.
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

// shutdownPollInterval is the interval at which a session in shutdown checks whether its requests have ended.
const shutdownPollInterval = 20 * time.Millisecond

// closeWhenIdle closes the session once its requests have ended and its node has delivered all that it has queued.
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
