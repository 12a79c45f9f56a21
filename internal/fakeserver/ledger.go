package fakeserver

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"example.org/milletvane/internal/nats/codec"
)

// Tolerances of a ledger that sees several nodes, each through goroutines of its own.
const (
	seenLate = 50 * time.Millisecond // two attempts are at once if they overlap by more
	drainFor = 500 * time.Millisecond
)

// DeliveryLog writes down what nodes see of requests and numbered streams. The cluster's lock guards it; a nil one notes nothing.
type DeliveryLog struct {
	attempts map[string][]*attempt // by the request's id, which is its payload's first word
	open     map[*natsConn]map[string]*attempt
	late     int
	streams  map[int]*stream
	bad      map[*NATSNode]bool
}

type attempt struct {
	node       *NATSNode
	start, end time.Time // end zero: not over
}

// stream is what nodes know of one session's messages.
type stream struct {
	last    *NATSNode           // that was subscribed at last
	holders map[int][]*NATSNode // of each message: who was to hand it over
}

// NewDeliveryLog returns an empty ledger.
func NewDeliveryLog() *DeliveryLog {
	return &DeliveryLog{attempts: map[string][]*attempt{}, open: map[*natsConn]map[string]*attempt{}, streams: map[int]*stream{},
		bad: map[*NATSNode]bool{}}
}

func (l *DeliveryLog) failed(n *NATSNode) {
	if l != nil {
		l.bad[n] = true
	}
}

// attempt notes a request that came. Its end is the end of the inbox's subscription, by an answer or by UNSUB.
func (l *DeliveryLog) attempt(c *natsConn, f *codec.Frame) {
	if l == nil {
		return
	}
	id, _, _ := strings.Cut(string(f.Payload()), " ")
	a := &attempt{node: c.node, start: time.Now()}
	l.attempts[id] = append(l.attempts[id], a)
	if late(c.node) {
		l.late++
	}
	for sid, s := range c.subs {
		if bytes.Equal(s.subject, f.Reply) {
			if l.open[c] == nil {
				l.open[c] = map[string]*attempt{}
			}
			l.open[c][sid] = a
		}
	}
}

// late reports whether nothing new may come to a node any more.
func late(n *NATSNode) bool { return n.draining && time.Since(n.drainedAt) > drainFor }

func (l *DeliveryLog) withdrawn(c *natsConn, sid string) {
	if l == nil {
		return
	}
	if a := l.open[c][sid]; a != nil {
		a.end = time.Now()
		delete(l.open[c], sid)
	}
}

func (l *DeliveryLog) stream(session int) *stream {
	s := l.streams[session]
	if s == nil {
		s = &stream{holders: map[int][]*NATSNode{}}
		l.streams[session] = s
	}
	return s
}

func (l *DeliveryLog) subscribed(c *natsConn, subject []byte) {
	if l == nil {
		return
	}
	if late(c.node) {
		l.late++
	}
	if rest, ok := bytes.CutPrefix(subject, []byte("stream.")); ok {
		if n, err := strconv.Atoi(string(rest)); err == nil {
			l.stream(n).last = c.node
		}
	}
}

// streamed notes a numbered message and who was to hand it over.
func (l *DeliveryLog) streamed(session, seq int, holders []*NATSNode) {
	if l == nil {
		return
	}
	s := l.stream(session)
	if len(holders) == 0 && s.last != nil {
		holders = []*NATSNode{s.last} // the session has no place since that one failed, or was left without one
	}
	s.holders[seq] = holders
}

// AttemptStats sums up the requests seen: the most attempts for one, and how many had two at once.
func (c *NATSCluster) AttemptStats() (most, overlapping, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, as := range c.ledger.attempts {
		most = max(most, len(as))
		for i, a := range as {
			for _, b := range as[i+1:] {
				first, second := a, b
				if b.start.Before(a.start) {
					first, second = b, a
				}
				if first.end.IsZero() || first.end.Sub(second.start) > seenLate {
					overlapping++
				}
			}
		}
	}
	return most, overlapping, c.ledger.late
}

// LossExcused reports whether a numbered message may be missing: each node that was to hand it over has failed.
func (c *NATSCluster) LossExcused(session, seq int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.ledger.streams[session]
	if s == nil || len(s.holders[seq]) == 0 {
		return false
	}
	for _, n := range s.holders[seq] {
		if !c.ledger.bad[n] {
			return false
		}
	}
	return true
}

// StreamLength is how many numbered messages a session's stream had.
func (c *NATSCluster) StreamLength(session int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.ledger.streams[session]; s != nil {
		return len(s.holders)
	}
	return 0
}
