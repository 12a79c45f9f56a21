package frontend

import (
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// place is a session's place at one node: to the engine it is a client of its own, so that a session that moves holds two
// for a while.
type place struct {
	ticket  engine.ClientHandle
	session *Session
	leg     *backend.NodeConn // the present attempt's, once it is informed of its node
	gone    bool              // the engine holds it no more
	quits   bool              // its node leaves
	handing bool              // asked to hand over what it has queued; nothing new goes there
	handed  bool
}

var _ backend.SessionClient = (*place)(nil)
var _ engine.DrainObserver = (*place)(nil)

// Handle implements engine.Client.
func (p *place) Handle() *engine.ClientHandle { return &p.ticket }

// Conn implements backend.SessionClient.
func (p *place) Conn() *reactor.Conn { return p.session.conn }

// Reject implements engine.Client.
func (p *place) Reject(after time.Duration) {
	p.Conn().Do(func() { p.session.turnedAway(p, after) })
}

// Fail implements engine.Client.
func (p *place) Fail() { p.Conn().Do(func() { p.session.turnedAway(p, 0) }) }

// Close implements engine.Client: it asked for nothing in time, or was not moved in time.
func (p *place) Close() {
	p.Conn().Do(func() {
		s := p.session
		p.gone = true
		if p == s.cur || p == s.next && s.phase != open {
			s.close(wordStale)
		} else if p == s.old {
			p.leave()
			s.old = nil
		}
	})
}

// Migrate implements engine.Client.
func (p *place) Migrate() time.Duration {
	p.Conn().Do(func() {
		if s := p.session; s.front.leaving.Load() {
			s.leave()
		} else {
			s.quit(p)
		}
	})
	n := p.session.front.settings()
	return n.MigrationTimeout + n.FlushTimeout
}

// ServerDraining implements engine.DrainObserver.
func (p *place) ServerDraining() { p.Conn().Do(func() { p.session.quit(p) }) }

// leave gives the place up.
func (p *place) leave() {
	if p.leg != nil {
		p.leg.Close()
	}
	if !p.gone {
		p.gone = true
		p.session.front.engine.Post(engine.ClientDisconnected{Client: p})
	}
}

// AppendHandshake implements backend.SessionClient. What was held for an attempt that failed is void.
func (p *place) AppendHandshake(b []byte) []byte {
	s := p.session
	s.held = nil
	if s.cur != nil {
		// What the client subscribes to from here on must not go to the old node alone.
		s.conn.Pause()
		if s.front.settings().Cluster {
			s.twice.Start()
		}
	}
	return s.subs.AppendSubscribe(s.opening(b))
}

// InfoReceived implements backend.SessionClient.
func (p *place) InfoReceived(l *backend.NodeConn, info codec.ServerInfo) {
	s := p.session
	p.leg = l
	s.front.lower(info.MaxPayload)
	if least := int(s.front.payload.Load()); least < s.told && s.phase != over {
		s.told = least
		s.conn.Send(s.front.info(s.id))
	}
}

// Established implements backend.SessionClient.
func (p *place) Established(l *backend.NodeConn) {
	s := p.session
	if s.phase == over || p != s.next {
		l.Close()
		return
	}
	s.stands(p)
}

// heldTimes is how many times what may wait for a client is held of a node whose set-up is not confirmed.
const heldTimes = 16

// MessageReceived implements backend.SessionClient.
func (p *place) MessageReceived(l *backend.NodeConn, f *codec.Frame) bool {
	s := p.session
	switch {
	case s.phase == over:
		return false
	case p == s.next:
		if len(s.held)+len(f.Raw) > heldTimes*s.front.settings().MaxPending {
			l.Abandon()
			return false
		}
		s.held = append(s.held, f.Raw...)
		return false
	case p != s.cur && !p.handing:
		return false
	}
	return s.give(p, f)
}

// Forward implements backend.SessionClient.
func (p *place) Forward(l *backend.NodeConn, frames []byte) {
	if s := p.session; s.phase != over {
		s.conn.SendFrom(l.Conn(), frames)
	}
}

// ErrReceived implements backend.SessionClient.
func (p *place) ErrReceived(_ *backend.NodeConn, raw []byte) {
	if s := p.session; s.phase == open && p == s.cur {
		s.conn.Send(raw)
	}
}

// AuthorizationFailed implements backend.SessionClient. The word is the node's own.
func (p *place) AuthorizationFailed(_ *backend.NodeConn, text []byte) {
	if s := p.session; p == s.cur || p == s.next {
		s.close(string(text))
	}
}

// Disconnected implements backend.SessionClient. The engine has word of it, and holds the place no more.
func (p *place) Disconnected(l *backend.NodeConn) {
	p.gone = true
	if s := p.session; s.phase != over {
		s.lost(p)
	}
}
