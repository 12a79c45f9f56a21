// Package session holds what a gateway must know of one NATS session besides its connections: its subscriptions, and which
// messages came from two nodes while it moved. It does no I/O and has no clock.
package session

import (
	"bytes"

	"example.org/milletvane/internal/nats/codec"
)

// Subscription is a subscription as its client made it.
type Subscription struct {
	Subject     []byte
	Queue       []byte
	SID         string
	MaxMessages int // messages in all; 0: no end
	Delivered   int // messages that the client was given, counted where there is an end
}

// Subscriptions are a session's subscriptions. The zero value is ready for use.
type Subscriptions struct {
	byID    map[string]*Subscription
	order   []*Subscription // as they were made, so that a node is told in that order
	limited int             // of them, those with an end
}

// Len is the number of subscriptions.
func (s *Subscriptions) Len() int { return len(s.order) }

// HasLimits reports whether any subscription has an end, so that messages must be counted.
func (s *Subscriptions) HasLimits() bool { return s.limited > 0 }

// Add takes a SUB in. One whose SID is in use replaces the older one, as its client can tell no message of the two apart.
func (s *Subscriptions) Add(subject, queue, sid []byte) {
	if s.byID == nil {
		s.byID = map[string]*Subscription{}
	}
	if old := s.byID[string(sid)]; old != nil {
		s.remove(old)
	}
	n := &Subscription{Subject: bytes.Clone(subject), Queue: bytes.Clone(queue), SID: string(sid)}
	s.byID[n.SID] = n
	s.order = append(s.order, n)
}

// Unsubscribe takes an UNSUB in: at once with max 0, or when so many messages have been given in all.
func (s *Subscriptions) Unsubscribe(sid []byte, max int) {
	sub := s.byID[string(sid)]
	switch {
	case sub == nil:
	case max <= 0 || sub.Delivered >= max && sub.MaxMessages > 0:
		s.remove(sub)
	default:
		if sub.MaxMessages == 0 {
			s.limited++
		}
		sub.MaxMessages = max
	}
}

func (s *Subscriptions) remove(sub *Subscription) {
	delete(s.byID, sub.SID)
	for i, o := range s.order {
		if o == sub {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	if sub.MaxMessages > 0 {
		s.limited--
	}
}

// Deliver counts a message for a subscription. It returns false for one that is not to be given: its subscription has ended.
func (s *Subscriptions) Deliver(sid []byte) bool {
	sub := s.byID[string(sid)]
	if sub == nil {
		return false
	}
	if sub.MaxMessages > 0 {
		if sub.Delivered++; sub.Delivered >= sub.MaxMessages {
			s.remove(sub)
		}
	}
	return true
}

// Match is the first subscription that takes a subject in; nil: none does.
func (s *Subscriptions) Match(subject []byte) *Subscription {
	for _, sub := range s.order {
		if codec.MatchesSubject(sub.Subject, subject) {
			return sub
		}
	}
	return nil
}

// AppendSubscribe appends the frames that set all of them up at another node, with what is left of their ends.
func (s *Subscriptions) AppendSubscribe(b []byte) []byte {
	for _, sub := range s.order {
		b = codec.AppendSub(b, sub.Subject, sub.Queue, []byte(sub.SID))
		if sub.MaxMessages > 0 {
			b = codec.AppendUnsub(b, []byte(sub.SID), sub.MaxMessages-sub.Delivered)
		}
	}
	return b
}

// AppendUnsubscribe appends the frames that end all of them at a node.
func (s *Subscriptions) AppendUnsubscribe(b []byte) []byte {
	for _, sub := range s.order {
		b = codec.AppendUnsub(b, []byte(sub.SID), 0)
	}
	return b
}
