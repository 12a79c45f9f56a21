package backend

import (
	"strconv"
	"sync"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// RequestClient is a request, as an attempt's client. But for the engine's methods, all are called on the loop of Conn.
type RequestClient interface {
	engine.Client
	Conn() *reactor.Conn
	// SessionConn is the session's own leg, if that stands at the node and takes new messages; nil: another is to be used.
	SessionConn(balancer.ServerID) *NodeConn
	// ConnectFrame is the CONNECT under which requests go to other nodes, as a frame.
	ConnectFrame() []byte
	// Publication is what to publish. It is not changed while the request is open.
	Publication() (subject, body []byte, headers int)
	// ReplyReceived brings the node's answer, which is the request's final one.
	ReplyReceived(*codec.Frame)
	// AttemptCancelled says that an attempt was given up.
	AttemptCancelled()
}

// RequestAttempt is one attempt of a request: it has an inbox of its own, so that the answer to an earlier one reaches nobody.
type RequestAttempt struct {
	backend *Backend
	attempt engine.Attempt
	asker   RequestClient

	mu   sync.Mutex
	over bool

	// The loop alone uses these.
	leg *NodeConn
	sid string
}

// Cancel implements engine.ActiveAttempt. No answer counts once it has returned true, and the node hears that none is wanted before
// a further attempt is sent.
func (t *RequestAttempt) Cancel() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return false
	}
	t.over = true
	t.asker.Conn().Do(t.withdraw)
	return true
}

// UnansweredFor implements engine.ActiveAttempt; a request has a deadline instead.
func (t *RequestAttempt) UnansweredFor() time.Duration { return 0 }

// done marks the try as over; it returns false where it was already.
func (t *RequestAttempt) done() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.over
	t.over = true
	return !was
}

// finish ends the try without an answer.
func (t *RequestAttempt) finish(result balancer.Result) {
	if t.done() {
		t.backend.events.Post(engine.AttemptEnded{RequestID: t.attempt.RequestID, Number: t.attempt.Number, Result: result})
	}
}

func (t *RequestAttempt) isOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.over
}

// start finds a leg and sends, at once or as soon as it stands.
func (t *RequestAttempt) start() {
	if t.isOver() {
		return
	}
	if l := t.asker.SessionConn(t.attempt.Server); l != nil {
		t.send(l)
		return
	}
	l := t.backend.sharedLeg(t)
	switch {
	case l == nil: // the node is not to blame
		t.finish(balancer.NotSent)
	case l.IsEstablished():
		t.send(l)
	default:
		l.shared.waiting = append(l.shared.waiting, t)
	}
}

// send subscribes to an inbox for one message and publishes, in one write.
func (t *RequestAttempt) send(l *NodeConn) {
	if t.isOver() {
		return
	}
	l.sids++
	t.leg, t.sid = l, string(strconv.AppendInt([]byte{sidMark}, int64(l.sids), 10))
	if l.tries == nil {
		l.tries = map[string]*RequestAttempt{}
	}
	l.tries[t.sid] = t
	inbox := make([]byte, 0, 64)
	inbox = append(append(inbox, "_GW."...), t.backend.options().Name...)
	inbox = strconv.AppendUint(append(inbox, '.'), uint64(t.attempt.RequestID), 36)
	inbox = strconv.AppendInt(append(inbox, '.'), int64(t.attempt.Number), 10)
	subject, body, headers := t.asker.Publication()
	head := make([]byte, 0, 256)
	head = codec.AppendSub(head, inbox, nil, []byte(t.sid))
	head = codec.AppendUnsub(head, []byte(t.sid), 1)
	head = codec.AppendPub(head, subject, inbox, headers, len(body))
	l.Conn().Send(head, body, []byte("\r\n"))
	t.backend.forwarded()
}

// withdraw tells the node that no answer is wanted any more.
func (t *RequestAttempt) withdraw() {
	if t.leg == nil || t.leg.tries[t.sid] != t {
		return
	}
	delete(t.leg.tries, t.sid)
	t.leg.Conn().Send(codec.AppendUnsub(nil, []byte(t.sid), 0))
	t.asker.AttemptCancelled()
}

// replied takes a message to an inbox.
func (l *NodeConn) replied(f *codec.Frame) {
	t := l.tries[string(f.SID)]
	if t == nil {
		return // late: its attempt was given up
	}
	delete(l.tries, t.sid)
	if t.done() {
		t.asker.ReplyReceived(f)
		t.backend.events.Post(engine.AttemptEnded{RequestID: t.attempt.RequestID, Number: t.attempt.Number, Result: balancer.OK})
	}
}

// sharedKey is a node and who asks.
type sharedKey struct {
	addr     string
	identity string
}

// sharedState is what a shared leg has instead of an owner.
type sharedState struct {
	key     sharedKey
	opening []byte
	waiting []*RequestAttempt // until it stands
}

// Bounds of shared legs.
const (
	sharedWithin = 2 * time.Second  // it stands by then
	sharedIdle   = 30 * time.Second // unused, it is closed after this
)

// sharedLeg is the loop's connection to the attempt's node for who asks; nil: there is room for no other.
func (b *Backend) sharedLeg(t *RequestAttempt) *NodeConn {
	h := b.LoopState(t.asker.Conn())
	identity := t.asker.ConnectFrame()
	key := sharedKey{b.addr(t.attempt.Addr), string(identity)}
	if l := h.shared[key]; l != nil {
		return l
	}
	if len(h.shared) >= b.options().MaxSharedConns {
		return nil
	}
	l := &NodeConn{backend: b, hub: h, shared: &sharedState{key: key, opening: identity}}
	l.attempt.Server = t.attempt.Server
	h.shared[key] = l
	within := sharedWithin
	if c := b.options().ConnectTimeout; c > 0 {
		within = min(within, c)
	}
	l.Start(func() *reactor.Conn { return b.conns.Dial(key.addr, within, l, t.asker.Conn()) })
	l.pinger = h.After(sharedWithin, func() { l.finish(balancer.ConnectFailed) })
	return l
}

func (s *sharedState) stands(l *NodeConn) {
	waiting := s.waiting
	s.waiting = nil
	for _, t := range waiting {
		t.send(l)
	}
	s.look(l, l.sids)
}

// look closes the leg when it was not used since the last look, or when its node has hung.
func (s *sharedState) look(l *NodeConn, used int) {
	l.hub.After(sharedIdle, func() {
		if !l.IsEstablished() {
			return
		}
		if l.sids == used && len(l.tries) == 0 {
			l.Close()
			return
		}
		s.look(l, l.sids)
	})
}

func (s *sharedState) fall(l *NodeConn, result balancer.Result) {
	if l.hub.shared[s.key] == l {
		delete(l.hub.shared, s.key)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, t := range waiting {
		t.finish(balancer.ConnectFailed)
	}
}
