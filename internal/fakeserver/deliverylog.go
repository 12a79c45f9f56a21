package fakeserver

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"example.org/milletvane/internal/nats/codec"
)

// Tolerances of the log, which receives events from the goroutines of several nodes.
const (
	attemptOverlapTolerance = 50 * time.Millisecond  // attempts that overlap by more count as concurrent
	drainGracePeriod        = 500 * time.Millisecond // work that reaches a node later after its drain began counts as late
)

const streamSubjectPrefix = "stream."

// DeliveryLog records the requests and numbered stream messages that reach the nodes of a cluster. The cluster's lock
// guards it, and methods of NATSCluster evaluate it. A nil log records nothing.
type DeliveryLog struct {
	attempts     map[string][]*attempt // by the request's ID, which is the first word of its payload
	openAttempts map[*natsConn]map[string]*attempt
	lateCount    int
	streams      map[int]*stream
	failedNodes  map[*NATSNode]bool
}

// attempt is the period during which a node handled a request.
type attempt struct {
	start time.Time
	end   time.Time // zero while the attempt is open
}

func (a *attempt) overlaps(b *attempt) bool {
	first, second := a, b
	if b.start.Before(a.start) {
		first, second = b, a
	}
	return first.end.IsZero() || first.end.Sub(second.start) > attemptOverlapTolerance
}

// stream holds what is recorded about the numbered messages of one session.
type stream struct {
	lastSubscribed *NATSNode
	deliverers     map[int][]*NATSNode // by message number: the nodes that had to deliver the message
}

// NewDeliveryLog returns an empty log.
func NewDeliveryLog() *DeliveryLog {
	return &DeliveryLog{
		attempts:     map[string][]*attempt{},
		openAttempts: map[*natsConn]map[string]*attempt{},
		streams:      map[int]*stream{},
		failedNodes:  map[*NATSNode]bool{},
	}
}

func (l *DeliveryLog) nodeFailed(n *NATSNode) {
	if l != nil {
		l.failedNodes[n] = true
	}
}

// attemptStarted records a request. The attempt ends when the subscription to its reply subject ends, by an answer or by
// UNSUB.
func (l *DeliveryLog) attemptStarted(c *natsConn, f *codec.Frame) {
	if l == nil {
		return
	}
	requestID, _, _ := strings.Cut(string(f.Payload()), " ")
	a := &attempt{start: time.Now()}
	l.attempts[requestID] = append(l.attempts[requestID], a)
	l.countIfLate(c.node)
	for sid, subscription := range c.subscriptions {
		if !bytes.Equal(subscription.subject, f.Reply) {
			continue
		}
		if l.openAttempts[c] == nil {
			l.openAttempts[c] = map[string]*attempt{}
		}
		l.openAttempts[c][sid] = a
	}
}

func (l *DeliveryLog) countIfLate(n *NATSNode) {
	if n.draining && time.Since(n.drainStarted) > drainGracePeriod {
		l.lateCount++
	}
}

func (l *DeliveryLog) subscriptionEnded(c *natsConn, sid string) {
	if l == nil {
		return
	}
	if a := l.openAttempts[c][sid]; a != nil {
		a.end = time.Now()
		delete(l.openAttempts[c], sid)
	}
}

func (l *DeliveryLog) subscribed(c *natsConn, subject []byte) {
	if l == nil {
		return
	}
	l.countIfLate(c.node)
	suffix, isStream := bytes.CutPrefix(subject, []byte(streamSubjectPrefix))
	if !isStream {
		return
	}
	if session, err := strconv.Atoi(string(suffix)); err == nil {
		l.stream(session).lastSubscribed = c.node
	}
}

func (l *DeliveryLog) stream(session int) *stream {
	s := l.streams[session]
	if s == nil {
		s = &stream{deliverers: map[int][]*NATSNode{}}
		l.streams[session] = s
	}
	return s
}

// published records a numbered message and the nodes that have to deliver it.
func (l *DeliveryLog) published(session, number int, deliverers []*NATSNode) {
	if l == nil {
		return
	}
	s := l.stream(session)
	if len(deliverers) == 0 && s.lastSubscribed != nil {
		deliverers = []*NATSNode{s.lastSubscribed} // the node at which the session lost its subscription
	}
	s.deliverers[number] = deliverers
}

// AttemptStats summarizes the recorded requests: the largest number of attempts of one request, the number of pairs of
// overlapping attempts of the same request, and the number of requests and subscriptions that reached a draining node
// after its drain grace.
func (c *NATSCluster) AttemptStats() (maxAttempts, overlapping, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, attempts := range c.log.attempts {
		maxAttempts = max(maxAttempts, len(attempts))
		for i, a := range attempts {
			for _, b := range attempts[i+1:] {
				if a.overlaps(b) {
					overlapping++
				}
			}
		}
	}
	return maxAttempts, overlapping, c.log.lateCount
}

// LossExcused reports whether a numbered message of a session's stream may be missing, because every node that had to
// deliver the message has failed.
func (c *NATSCluster) LossExcused(session, number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.log.streams[session]
	if s == nil || len(s.deliverers[number]) == 0 {
		return false
	}
	for _, n := range s.deliverers[number] {
		if !c.log.failedNodes[n] {
			return false
		}
	}
	return true
}

// StreamLength returns the number of numbered messages that were published to a session's stream.
func (c *NATSCluster) StreamLength(session int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.log.streams[session]; s != nil {
		return len(s.deliverers)
	}
	return 0
}
