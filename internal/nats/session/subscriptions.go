// Package session holds the state of one NATS session that does not depend on its connections: the subscriptions of the
// client, and the message counts by which duplicates are detected while the session migrates from one node to another.
//
// The package does no I/O and reads no clock. A session owns its Subscriptions and its Deduplicator. Neither of them may be
// used by several goroutines at once.
package session

import (
	"bytes"
	"slices"

	"example.org/milletvane/internal/nats/codec"
)

// Subscription holds one subscription of a client.
type Subscription struct {
	Subject     []byte // may contain wildcards
	Queue       []byte // queue group; empty means none
	SID         string // subscription ID, which the client chose
	MaxMessages int    // messages after which the subscription ends; 0 means no limit
	Delivered   int    // messages delivered to the client since MaxMessages was set; 0 without MaxMessages
}

// Subscriptions holds the subscriptions of a session. The zero value is empty and ready for use.
type Subscriptions struct {
	bySID        map[string]*Subscription
	ordered      []*Subscription // in the order in which they were added
	limitedCount int             // number of subscriptions with MaxMessages
}

// Len returns the number of subscriptions.
func (s *Subscriptions) Len() int { return len(s.ordered) }

// HasLimits reports whether any subscription has MaxMessages. If so, Deliver must be called for each message.
func (s *Subscriptions) HasLimits() bool { return s.limitedCount > 0 }

// Add adds the subscription that a SUB frame requests. It replaces a subscription with the same SID, because the client could
// not distinguish the messages of the two. Add copies its arguments.
func (s *Subscriptions) Add(subject, queue, sid []byte) {
	if s.bySID == nil {
		s.bySID = map[string]*Subscription{}
	}
	if old := s.bySID[string(sid)]; old != nil {
		s.remove(old)
	}
	added := &Subscription{Subject: bytes.Clone(subject), Queue: bytes.Clone(queue), SID: string(sid)}
	s.bySID[added.SID] = added
	s.ordered = append(s.ordered, added)
}

// Unsubscribe applies an UNSUB frame. The subscription ends after maxMessages messages, or at once if maxMessages is not
// positive. The count of messages begins at the first UNSUB that sets a limit. A later UNSUB changes the limit and
// keeps the count; if the count has reached the new limit, the subscription ends at once. An unknown SID is ignored.
func (s *Subscriptions) Unsubscribe(sid []byte, maxMessages int) {
	sub := s.bySID[string(sid)]
	switch {
	case sub == nil:
	case maxMessages <= 0 || sub.Delivered >= maxMessages && sub.MaxMessages > 0:
		s.remove(sub)
	default:
		if sub.MaxMessages == 0 {
			s.limitedCount++
		}
		sub.MaxMessages = maxMessages
	}
}

func (s *Subscriptions) remove(sub *Subscription) {
	delete(s.bySID, sub.SID)
	if i := slices.Index(s.ordered, sub); i >= 0 {
		s.ordered = slices.Delete(s.ordered, i, i+1)
	}
	if sub.MaxMessages > 0 {
		s.limitedCount--
	}
}

// Deliver counts a message for a subscription and removes the subscription once its limit is reached. It returns false if
// the subscription does not exist or has ended already. The message must then be dropped.
func (s *Subscriptions) Deliver(sid []byte) bool {
	sub := s.bySID[string(sid)]
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

// InQueueGroup reports whether a subscription is a member of a queue group. It returns false for an unknown SID.
func (s *Subscriptions) InQueueGroup(sid []byte) bool {
	sub := s.bySID[string(sid)]
	return sub != nil && len(sub.Queue) > 0
}

// Match returns the oldest subscription whose subject matches, or nil if there is none.
func (s *Subscriptions) Match(subject []byte) *Subscription {
	for _, sub := range s.ordered {
		if codec.MatchesSubject(sub.Subject, subject) {
			return sub
		}
	}
	return nil
}

// AppendSubscribe appends the SUB frames that set up all subscriptions at another node. A subscription with MaxMessages is
// followed by an UNSUB frame with the number of messages that remain.
func (s *Subscriptions) AppendSubscribe(b []byte) []byte {
	for _, sub := range s.ordered {
		b = codec.AppendSub(b, sub.Subject, sub.Queue, []byte(sub.SID))
		if sub.MaxMessages > 0 {
			b = codec.AppendUnsub(b, []byte(sub.SID), sub.MaxMessages-sub.Delivered)
		}
	}
	return b
}

// AppendUnsubscribe appends the UNSUB frames that end all subscriptions at a node.
func (s *Subscriptions) AppendUnsubscribe(b []byte) []byte {
	for _, sub := range s.ordered {
		b = codec.AppendUnsub(b, []byte(sub.SID), 0)
	}
	return b
}
