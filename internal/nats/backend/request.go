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

// RequestClient is the client of an attempt for a request. Its methods are called on the loop of Conn, except those of
// engine.Client.
type RequestClient interface {
	engine.Client
	Conn() *reactor.Conn
	// SessionConn returns the session's own connection if it is established at the given node and may be used for new
	// messages. It returns nil if a shared connection must be used.
	SessionConn(balancer.ServerID) *NodeConn
	// ConnectFrame returns the CONNECT frame for shared connections.
	ConnectFrame() []byte
	// Publication returns the message to publish, with the size of its headers in bytes. The message must not change while
	// the request is open.
	Publication() (subject, body []byte, headerSize int)
	// ReplyReceived is called with the reply from the node. No other reply follows.
	ReplyReceived(*codec.Frame)
	// AttemptCancelled is called after a cancelled attempt has been unsubscribed. It is called only if the attempt was sent and
	// has no reply.
	AttemptCancelled()
}

// RequestAttempt is one attempt of a request. Each attempt has its own inbox, so that a late reply to an earlier attempt is
// dropped.
type RequestAttempt struct {
	backend *Backend
	attempt engine.Attempt
	client  RequestClient

	startedAt time.Time

	mu    sync.Mutex
	ended bool

	// The fields below are used by the loop only. They are set when the attempt is sent.
	conn *NodeConn
	sid  string
}

// Cancel implements engine.ActiveAttempt. If it returns true, no reply is delivered any more, and the node receives UNSUB
// before a further attempt is sent. It returns false if the attempt has ended already.
func (r *RequestAttempt) Cancel() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	r.client.Conn().Post(r.unsubscribe)
	return true
}

// UnansweredFor implements engine.ActiveAttempt. It always returns 0, because a request has a timeout instead.
func (r *RequestAttempt) UnansweredFor() time.Duration { return 0 }

// markEnded marks the attempt as ended. It returns false if the attempt had ended already.
func (r *RequestAttempt) markEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hadEnded := r.ended
	r.ended = true
	return !hadEnded
}

func (r *RequestAttempt) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// end ends the attempt without a reply and reports the result to the engine. It does nothing if the attempt has ended already.
func (r *RequestAttempt) end(result balancer.Result) {
	if r.markEnded() {
		r.backend.postAttemptEnded(&r.attempt, result)
	}
}

// start sends the request on a connection to the node, or queues it until a shared connection is established.
func (r *RequestAttempt) start() {
	if r.hasEnded() {
		return
	}
	if n := r.client.SessionConn(r.attempt.Server); n != nil {
		r.send(n)
		return
	}
	n := r.backend.sharedConn(r)
	switch {
	case n == nil: // the gateway has reached its own limit, so the node is not at fault
		r.end(balancer.NotSent)
	case n.IsEstablished():
		r.send(n)
	default:
		n.shared.waiting = append(n.shared.waiting, r)
	}
}

// Initial capacities in bytes that are enough for most inboxes and control lines.
const (
	inboxCapacity       = 64
	controlLineCapacity = 256
)

// send subscribes to the inbox of the attempt for one message and publishes the request, in one write.
func (r *RequestAttempt) send(n *NodeConn) {
	if r.hasEnded() {
		return
	}
	if isPastConnectTimeout(&r.attempt, time.Since(r.startedAt)) { // it waited too long for a shared connection
		r.end(balancer.ConnectFailed)
		return
	}
	n.lastSID++
	r.conn, r.sid = n, string(strconv.AppendInt([]byte{gatewaySIDPrefix}, int64(n.lastSID), 10))
	if n.requests == nil {
		n.requests = map[string]*RequestAttempt{}
	}
	n.requests[r.sid] = r
	subject, body, headerSize := r.client.Publication()
	inbox := r.inbox()
	head := make([]byte, 0, controlLineCapacity)
	head = codec.AppendSub(head, inbox, nil, []byte(r.sid))
	head = codec.AppendUnsub(head, []byte(r.sid), 1)
	head = codec.AppendPub(head, subject, inbox, headerSize, len(body))
	n.send(head, body, []byte("\r\n"))
	r.backend.countForwarded()
}

// inbox returns the reply subject of the attempt.
func (r *RequestAttempt) inbox() []byte {
	b := make([]byte, 0, inboxCapacity)
	b = append(append(b, "_GW."...), r.backend.options().Name...)
	b = strconv.AppendUint(append(b, '.'), uint64(r.attempt.RequestID), 36)
	return strconv.AppendInt(append(b, '.'), int64(r.attempt.Number), 10)
}

// unsubscribe ends the subscription of a cancelled attempt that was sent and has no reply.
func (r *RequestAttempt) unsubscribe() {
	if r.conn == nil || r.conn.requests[r.sid] != r {
		return
	}
	delete(r.conn.requests, r.sid)
	r.conn.SendUnsubscribe([]byte(r.sid))
	r.client.AttemptCancelled()
}

// handleReply handles a message to the inbox of a request. A message for a cancelled attempt is dropped.
func (n *NodeConn) handleReply(f *codec.Frame) {
	r := n.requests[string(f.SID)]
	if r == nil {
		return
	}
	delete(n.requests, r.sid)
	if r.markEnded() {
		r.client.ReplyReceived(f)
		r.backend.postAttemptEnded(&r.attempt, balancer.OK)
	}
}
