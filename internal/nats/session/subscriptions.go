// Package session holds the state of one NATS session that does not depend on its connections: its subscriptions, and which
// messages are duplicates while it migrates from one node to another.
//
// The package does no I/O and has no clock. The session owns its Subscriptions and its Deduplicator; neither may be used by
// several goroutines at once.
package session

import (
	"bytes"
	"slices"

	"example.org/milletvane/internal/nats/codec"
)

// Subscription is a subscription of a client.
type Subscription struct {
	Subject     []byte // may contain wildcards
	Queue       []byte // queue group; empty: none
	SID         string
	MaxMessages int // messages after which it ends; 0: it does not end by itself
	Delivered   int // messages delivered to the client, counted only if MaxMessages is set
}

// Subscriptions are the subscriptions of a session. The zero value is empty and ready for use.
type Subscriptions struct {
	byID    map[string]*Subscription
	ordered []*Subscription // in the order of Add
	limited int             // those with MaxMessages
}

// Len returns the number of subscriptions.
func (s *Subscriptions) Len() int { return len(s.ordered) }

// HasLimits reports whether any subscription has MaxMessages, so that Deliver must be called for each message.
func (s *Subscriptions) HasLimits() bool { return s.limited > 0 }

// Add adds the subscription of a SUB. It replaces one with the same SID, as the client could not distinguish their
// messages. The arguments are copied.
func (s *Subscriptions) Add(subject, queue, sid []byte) {
	if s.byID == nil {
		s.byID = map[string]*Subscription{}
	}
	if old := s.byID[string(sid)]; old != nil {
		s.remove(old)
	}
	added := &Subscription{Subject: bytes.Clone(subject), Queue: bytes.Clone(queue), SID: string(sid)}
	s.byID[added.SID] = added
	s.ordered = append(s.ordered, added)
}

// Unsubscribe applies an UNSUB: the subscription ends once maxMessages were delivered since it began, or at once if
// maxMessages is not positive. Unknown SIDs are ignored.
func (s *Subscriptions) Unsubscribe(sid []byte, maxMessages int) {
	sub := s.byID[string(sid)]
	switch {
	case sub == nil:
	case maxMessages <= 0 || sub.Delivered >= maxMessages && sub.MaxMessages > 0:
		s.remove(sub)
	default:
		if sub.MaxMessages == 0 {
			s.limited++
		}
		sub.MaxMessages = maxMessages
	}
}

func (s *Subscriptions) remove(sub *Subscription) {
	delete(s.byID, sub.SID)
	if i := slices.Index(s.ordered, sub); i >= 0 {
		s.ordered = slices.Delete(s.ordered, i, i+1)
	}
	if sub.MaxMessages > 0 {
		s.limited--
	}
}

// Deliver counts a message for a subscription, which ends with its last one. It returns false if the subscription has ended
// already, so that the message must be dropped.
func (s *Subscriptions) Deliver(sid []byte) bool {
	sub := s.byID[string(sid)]
	if sub == nil {
		return false
	}
	if sub.MaxMessages > 0 {
		sub.Delivered++
		if sub.Delivered >= sub.MaxMessages {
			s.remove(sub)
		}
	}
	return true
}

// Match returns the oldest subscription that matches a subject; nil: there is none.
func (s *Subscriptions) Match(subject []byte) *Subscription {
	for _, sub := range s.ordered {
		if codec.MatchesSubject(sub.Subject, subject) {
			return sub
		}
	}
	return nil
}

// AppendSubscribe appends the frames that set up all subscriptions at another node, limited to the messages that remain.
func (s *Subscriptions) AppendSubscribe(b []byte) []byte {
	for _, sub := range s.ordered {
		b = codec.AppendSub(b, sub.Subject, sub.Queue, []byte(sub.SID))
		if sub.MaxMessages > 0 {
			b = codec.AppendUnsub(b, []byte(sub.SID), sub.MaxMessages-sub.Delivered)
		}
	}
	return b
}

// AppendUnsubscribe appends the frames that end all subscriptions at a node.
func (s *Subscriptions) AppendUnsubscribe(b []byte) []byte {
	for _, sub := range s.ordered {
		b = codec.AppendUnsub(b, []byte(sub.SID), 0)
	}
	return b
}
