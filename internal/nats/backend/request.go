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

// RequestClient is what an attempt of a request has as its client. Apart from the methods of engine.Client, its methods are
// called on the loop of Conn.
type RequestClient interface {
	engine.Client
	Conn() *reactor.Conn
	// SessionConn returns the session's own connection if it is established at the node and may be used for new messages;
	// nil: a shared connection is used.
	SessionConn(balancer.ServerID) *NodeConn
	// ConnectFrame returns the CONNECT frame for shared connections.
	ConnectFrame() []byte
	// Publication returns the message to publish. It must not change while the request is open.
	Publication() (subject, body []byte, headerSize int)
	// ReplyReceived is called with the reply of the node, which is the final one.
	ReplyReceived(*codec.Frame)
	// AttemptCancelled is called after an attempt that was sent was cancelled.
	AttemptCancelled()
}

// RequestAttempt is one attempt of a request. Its inbox is its own, so that a late reply to an earlier attempt is dropped.
type RequestAttempt struct {
	backend *Backend
	attempt engine.Attempt
	client  RequestClient

	startedAt time.Time

	mu    sync.Mutex
	ended bool

	// Used by the loop only; set when it is sent.
	conn *NodeConn
	sid  string
}

// Cancel implements engine.ActiveAttempt. After it returned true, no reply is delivered, and the node receives UNSUB before
// a further attempt is sent.
func (r *RequestAttempt) Cancel() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	r.client.Conn().Do(r.unsubscribe)
	return true
}

// UnansweredFor implements engine.ActiveAttempt; it is always 0, as a request has a timeout instead.
func (r *RequestAttempt) UnansweredFor() time.Duration { return 0 }

// markEnded ends the attempt. It returns false if it had ended already.
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

// end ends the attempt without a reply.
func (r *RequestAttempt) end(result balancer.Result) {
	if r.markEnded() {
		r.backend.postAttemptEnded(&r.attempt, result)
	}
}

// start sends the request on a connection to the node, as soon as it is established.
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
	case n == nil: // the limit is the gateway's: the node is not at fault
		r.end(balancer.NotSent)
	case n.IsEstablished():
		r.send(n)
	default:
		n.shared.waiting = append(n.shared.waiting, r)
	}
}

// Capacities that hold most inboxes and control lines.
const (
	inboxCapacity       = 64
	controlLineCapacity = 256
)

// send subscribes to an inbox for one message and publishes the request, in one write.
func (r *RequestAttempt) send(n *NodeConn) {
	if r.hasEnded() {
		return
	}
	if isTooLate(&r.attempt, time.Since(r.startedAt)) { // it waited for a shared connection
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

// inbox is the reply subject of the attempt.
func (r *RequestAttempt) inbox() []byte {
	b := make([]byte, 0, inboxCapacity)
	b = append(append(b, "_GW."...), r.backend.options().Name...)
	b = strconv.AppendUint(append(b, '.'), uint64(r.attempt.RequestID), 36)
	return strconv.AppendInt(append(b, '.'), int64(r.attempt.Number), 10)
}

// unsubscribe ends the subscription of a cancelled attempt, if it was sent and has no reply.
func (r *RequestAttempt) unsubscribe() {
	if r.conn == nil || r.conn.requests[r.sid] != r {
		return
	}
	delete(r.conn.requests, r.sid)
	r.conn.SendUnsubscribe([]byte(r.sid))
	r.client.AttemptCancelled()
}

// handleReply handles a message to an inbox of a request. One for an attempt that was cancelled is dropped.
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
