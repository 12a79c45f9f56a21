package frontend

import (
	"encoding/json"
	"strconv"
	"time"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/nats/session"
	"example.org/milletvane/internal/reactor"
)

type phase uint8

const (
	opening phase = iota // no CONNECT yet
	waiting              // for its first node
	open                 // has a node, or seeks another
	over
)

// Session is a client's connection. All of it happens on the connection's loop.
type Session struct {
	front *Frontend
	hub   *backend.LoopState
	conn  *reactor.Conn
	id    uint64

	phase    phase
	options  codec.ConnectOptions
	connect  map[string]json.RawMessage // as the client sent it
	identity []byte                     // the CONNECT for requests at other nodes; nil: not made yet
	key      string
	told     int // the payload that the client was told last

	cur   *place // its node; nil: it has none
	next  *place // being set up
	old   *place // left, but for requests that are out there
	subs  session.Subscriptions
	twice session.Deduplicator
	held  []byte // messages of next, until cur has handed over what it had
	owed  int    // PONGs of the client's that a lost node owes

	moving  bool
	hold    bool // nothing new goes to cur any more: word of its drain is too old
	giveUp  *backend.Timer
	again   *backend.Timer
	flush   *backend.Timer
	asks    map[*ask]struct{}
	leaving bool

	keep   *backend.Timer
	probes int  // PINGs to the client without PONG
	heard  bool // since the last look
}

// OnOpen implements reactor.Handler. The server speaks first in this protocol.
func (s *Session) OnOpen(c *reactor.Conn, _ error) {
	f := s.front
	s.conn, s.hub = c, f.backend.LoopState(c)
	s.id = f.clients.Add(1)
	c.SetMaxPending(f.settings().MaxPending)
	f.mu.Lock()
	f.sessions[s] = struct{}{}
	f.mu.Unlock()
	s.told = int(f.payload.Load())
	c.Send(f.info(s.id))
	s.next = &place{session: s}
	f.engine.Post(engine.ClientConnected{Client: s.next})
}

// pingsMost is how many PINGs a client may leave unanswered.
const pingsMost = 2

// keepAsking finds a client that has vanished without a word: one that was not heard of is asked now and then.
func (s *Session) keepAsking() {
	s.keep = s.hub.After(s.front.settings().ClientPingInterval, func() {
		switch {
		case s.heard:
			s.heard = false
		case s.probes >= pingsMost:
			s.close(wordStale)
			return
		default:
			s.probes++
			s.conn.Send([]byte(codec.PingFrame))
		}
		s.keepAsking()
	})
}

// OnHangup implements reactor.HangupHandler. A client that leaves while it waits is not served; one that has a node may have
// sent something that is still to be read.
func (s *Session) OnHangup(*reactor.Conn) {
	if s.phase == waiting {
		s.end()
		s.conn.Abort(false)
	}
}

// OnEnd implements reactor.Handler.
func (s *Session) OnEnd(*reactor.Conn, error) { s.end() }

// end lets go of all that the session holds, after its client is gone or closed.
func (s *Session) end() {
	if s.phase == over {
		return
	}
	s.phase = over
	f := s.front
	f.mu.Lock()
	delete(f.sessions, s)
	f.mu.Unlock()
	for _, t := range []*backend.Timer{s.giveUp, s.again, s.flush, s.keep} {
		s.hub.Cancel(t)
	}
	for a := range s.asks {
		f.engine.Post(engine.ClientDisconnected{Client: a})
	}
	s.asks, s.held = nil, nil
	for _, p := range []*place{s.cur, s.next, s.old} {
		if p != nil {
			p.leave()
		}
	}
	s.cur, s.next, s.old = nil, nil, nil
}

// close ends the session with a word in the protocol's own form; empty: none.
func (s *Session) close(word string) {
	if s.phase == over {
		return
	}
	if word != "" {
		s.conn.Send(codec.AppendErr(nil, word))
	}
	s.conn.Close()
	s.end()
}

// Words for a client whose session ends here. Clients come again after either.
const (
	wordFull  = "maximum connections exceeded"
	wordStale = "Stale Connection"
	wordLost  = "Server Shutdown"
)

// OnData implements reactor.Handler. What needs no look goes to the node in runs, as it stands.
func (s *Session) OnData(c *reactor.Conn, b []byte) int {
	limits := codec.Limits{MaxControlLine: s.front.settings().ControlLine, MaxPayload: s.told}
	taken, from := 0, 0
	acks := 0
	flush := func() {
		if from < taken && s.cur != nil {
			s.cur.leg.Conn().SendFrom(c, b[from:taken])
		}
		for ; acks > 0; acks-- {
			c.Send([]byte(codec.OKFrame))
		}
	}
	s.heard, s.probes = true, 0
	for taken < len(b) && s.phase != over {
		if s.phase == waiting || s.phase == open && (s.cur == nil || s.cur.handing) {
			c.Pause() // until there is a node
			break
		}
		f, n, err := codec.Parse(b[taken:], limits)
		if err != nil {
			flush()
			s.close(err.Error())
			return len(b)
		}
		if n == 0 {
			break
		}
		pass := false
		switch f.Op {
		case codec.Pub, codec.HPub:
			pass = s.phase == open && !s.asked(&f)
		case codec.Sub, codec.Unsub:
			pass = s.phase == open && s.subscribe(&f)
		case codec.Ping:
		case codec.Pong:
		case codec.Connect:
		default:
			flush()
			s.close(string(codec.ErrUnknownOperation))
			return len(b)
		}
		if s.phase == over {
			return len(b)
		}
		if s.options.Verbose && f.Op != codec.Ping && f.Op != codec.Pong && f.Op != codec.Connect {
			acks++
		}
		if !pass {
			flush()
			from = taken + n
			s.handle(&f)
		}
		taken += n
	}
	flush()
	return taken
}

// handle takes a frame that does not go to the node as it stands.
func (s *Session) handle(f *codec.Frame) {
	switch f.Op {
	case codec.Connect:
		s.connected(f.Body)
	case codec.Ping:
		if s.phase == open {
			s.cur.leg.PingForClient(s.pong)
		} else {
			s.conn.Send([]byte(codec.PongFrame)) // nobody is behind the gateway yet
		}
	case codec.Pub, codec.HPub, codec.Sub, codec.Unsub:
		if s.phase == opening {
			s.close("Authorization Violation") // the reference server's word before CONNECT
		}
	}
}

func (s *Session) pong() {
	if s.phase != over {
		s.conn.Send([]byte(codec.PongFrame))
	}
}

func (s *Session) connected(body []byte) {
	if s.phase != opening {
		return // a client may say it again; it stands where it is
	}
	var err error
	if s.options, s.connect, err = codec.ParseConnect(body); err != nil {
		s.close(err.Error())
		return
	}
	if s.front.leaving.Load() {
		s.close(wordLost)
		return
	}
	if s.options.Verbose {
		s.conn.Send([]byte(codec.OKFrame))
	}
	s.phase = waiting
	s.key = s.from(s.front.settings().Session.Key)
	if s.key == "" {
		s.key = s.front.id + strconv.FormatUint(s.id, 36)
	}
	s.arrive(s.next, false)
}

// arrive asks the engine for a node.
func (s *Session) arrive(p *place, returned bool) {
	n := s.front.settings()
	s.front.engine.Post(engine.RequestReceived{Client: p, Request: engine.Request{
		Class: n.Session.Class, Tenant: s.options.User, Key: s.key, Group: s.from(n.Session.Group), Timeout: n.Session.Timeout,
		Reconnecting: returned,
	}})
}

func (s *Session) from(w operator.KeySource) string {
	switch w.Kind {
	case "user":
		return s.options.User
	case "name":
		return s.options.Name
	}
	return ""
}

// opening appends the client's CONNECT as a node is to get it.
func (s *Session) opening(b []byte) []byte {
	s.connect["verbose"] = json.RawMessage("false")
	s.connect["headers"] = json.RawMessage("true")
	s.connect["no_responders"] = json.RawMessage("true")
	s.connect["tls_required"] = json.RawMessage("false")
	s.connect["protocol"] = json.RawMessage("1")
	return codec.AppendJSON(b, "CONNECT", s.connect)
}

// subscribe takes SUB and UNSUB in. It returns whether the node is to be told.
func (s *Session) subscribe(f *codec.Frame) bool {
	if backend.IsGatewaySID(f.SID) {
		s.close(string(codec.ErrParse))
		return false
	}
	if f.Op == codec.Unsub {
		s.subs.Unsubscribe(f.SID, f.MaxMessages)
		return true
	}
	if s.subs.Len() >= s.front.settings().MaxSubscriptions {
		s.close("maximum subscriptions exceeded")
		return false
	}
	s.subs.Add(f.Subject, f.Queue, f.SID)
	return true
}

// leave begins the end with the gateway's own: the client hears of it, and is closed once nothing of its is under way.
func (s *Session) leave() {
	if s.phase == over || s.leaving {
		return
	}
	s.leaving = true
	s.conn.Send(s.front.info(s.id))
	switch {
	case s.phase == open && s.cur != nil:
		s.depart()
	case s.phase != open:
		s.close(wordLost)
	}
}

// departLook is how often a session that leaves looks whether its requests are over.
const departLook = 20 * time.Millisecond

// depart closes a session that leaves, once its requests are answered and its node has handed over what it had.
func (s *Session) depart() {
	if s.phase == over {
		return
	}
	if len(s.asks) > 0 || s.moving || s.cur == nil {
		s.hub.After(departLook, s.depart)
		return
	}
	s.cur.leg.Ping(func() { s.close("") })
}
