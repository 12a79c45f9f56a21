package frontend

import (
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
)

// A session moves in these steps, and its client sees none of them:
//
//  1. Another place is asked for. When its node has confirmed the session and all its subscriptions, it stands; its messages
//     are held.
//  2. From then on the client is not read. The old node is told to end the subscriptions, and its answer to a PING says that
//     it has taken all that the client sent and handed over all that it had for it.
//  3. What was held follows, without the messages that both nodes had. The client is read again, and the old place is left
//     once no request is out there.
//
// Where the old node is gone, step 2 is void.

// againLeast is how long a session that found no other node waits at least before it asks again.
const againLeast = 50 * time.Millisecond

// readUntil is how long after word of its node's drain the client is still read: nothing new goes to the node after 500 ms.
const readUntil = 400 * time.Millisecond

// quit takes in that a place's node leaves.
func (s *Session) quit(p *place) {
	if s.phase == over || p.quits {
		return
	}
	p.quits = true
	if p == s.cur && !s.moving && !s.twice.Active() { // else the end of the last move begins this one
		s.move()
	}
}

// move begins to seek another place.
func (s *Session) move() {
	s.moving = true
	cur := s.cur
	s.giveUp = s.hub.After(s.front.settings().MigrationTimeout, func() { s.close(wordStale) })
	if cur != nil {
		s.hub.After(readUntil, func() {
			if s.phase != over && s.cur == cur && s.moving {
				s.hold = true
				s.conn.Pause()
			}
		})
	}
	s.seek()
}

func (s *Session) seek() {
	if s.phase == over || s.next != nil || !s.moving {
		return
	}
	s.next = &place{session: s}
	s.front.engine.Post(engine.ClientConnected{Client: s.next})
	s.arrive(s.next, true)
}

// turnedAway takes the engine's final no for a place.
func (s *Session) turnedAway(p *place, after time.Duration) {
	p.gone = true
	if s.phase == over || p != s.next {
		return
	}
	s.next, s.held = nil, nil
	if s.phase != open {
		s.close(wordFull)
		return
	}
	if s.cur != nil && !s.cur.handing && !s.hold {
		s.conn.Resume()
	}
	s.again = s.hub.After(max(after, againLeast), s.seek)
}

// stands is called when the next place's node has confirmed.
func (s *Session) stands(p *place) {
	if s.phase != open { // its first
		s.phase = open
		s.keepAsking()
		s.take(p)
		return
	}
	p.leg.Pause() // its messages come after those of the old node
	old := s.cur
	if old == nil || old.handed {
		s.take(p)
		return
	}
	if old.handing {
		return
	}
	old.handing = true
	s.conn.Pause()
	old.leg.Conn().Send(s.subs.AppendUnsubscribe(nil))
	old.leg.Ping(func() { s.handedOver(old) })
	s.flush = s.hub.After(s.front.settings().FlushTimeout, func() { s.handedOver(old) })
}

// handedOver is called when the old node has nothing more for the client, or has no time left to say so.
func (s *Session) handedOver(old *place) {
	if s.phase == over || old.handed || s.cur != old {
		return
	}
	old.handed = true
	s.hub.Cancel(s.flush)
	if p := s.next; p != nil && p.leg != nil && p.leg.IsEstablished() {
		s.take(p)
	}
}

// take makes the next place the session's.
func (s *Session) take(p *place) {
	old := s.cur
	s.cur, s.next = p, nil
	s.hub.Cancel(s.giveUp)
	s.moving, s.hold = false, false
	s.release(p)
	if s.twice.Active() { // what both nodes had is in when the new one answers
		p.leg.Ping(func() {
			if s.cur == p && !s.moving {
				s.twice.Stop()
				if p.quits {
					s.move()
				}
			}
		})
	}
	for ; s.owed > 0; s.owed-- {
		p.leg.PingForClient(s.pong)
	}
	p.leg.Resume()
	s.conn.Resume()
	if old != nil {
		s.retire(old)
	}
	if p.quits && !s.twice.Active() {
		s.move()
	}
}

// release gives the client what was held.
func (s *Session) release(p *place) {
	held := s.held
	s.held = nil
	limits := s.front.backend.Limits()
	for len(held) > 0 {
		f, n, err := codec.Parse(held, limits)
		if err != nil || n == 0 { // it was parsed before
			return
		}
		if s.give(p, &f) {
			s.conn.SendFrom(p.leg.Conn(), f.Raw)
		}
		held = held[n:]
	}
}

// give decides whether the client is given a message: not what it had from another node, nor beyond a subscription's end.
func (s *Session) give(p *place, f *codec.Frame) bool {
	if s.twice.Active() {
		if p != s.cur || p.handing || s.next != nil {
			s.twice.RecordOld(f.Raw)
		} else if s.twice.IsDuplicate(f.Raw) {
			return false
		}
	}
	if !s.subs.HasLimits() {
		return true
	}
	return s.subs.Deliver(f.SID)
}

// retire leaves a place once no request is out there.
func (s *Session) retire(old *place) {
	if s.old != nil { // two moves in a row: its requests end with it
		s.old.leave()
	}
	s.old = old
	s.settle()
}

func (s *Session) settle() {
	if s.old != nil && (s.old.leg == nil || s.old.leg.PendingRequests() == 0) {
		s.old.leave()
		s.old = nil
	}
}

// lost takes in that a place's node is gone.
func (s *Session) lost(p *place) {
	switch p {
	case s.old:
		s.old = nil
	case s.next: // it stood, but was not taken yet
		s.next, s.held = nil, nil
		s.seek()
	case s.cur:
		if p.handing { // it was about to hand over, and has
			s.handedOver(p)
			if s.cur != p {
				return
			}
		}
		s.cur = nil
		s.twice.Stop()
		s.owed += p.leg.PendingClientPongs()
		s.conn.Pause()
		if !s.moving {
			s.move()
		} else if n := s.next; n != nil && n.leg != nil && n.leg.IsEstablished() {
			s.take(n)
		}
	}
}
