package backend

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/upstream"
)

// SessionClient is the client of an attempt for a session: the part of the session that uses one node. Its methods are called
// on the loop of Conn, except those of engine.Client.
type SessionClient interface {
	engine.Client
	Conn() *reactor.Conn
	// AppendHandshake appends the CONNECT frame and the SUB frames of all subscriptions.
	AppendHandshake(b []byte) []byte
	// InfoReceived is called with each INFO that the node sends.
	InfoReceived(*NodeConn, codec.ServerInfo)
	// Established is called when the node has confirmed the handshake.
	Established(*NodeConn)
	// MessageReceived is called with each message. It reports whether the message must be passed to Forward.
	MessageReceived(*NodeConn, *codec.Frame) bool
	// Forward is called with consecutive message frames, unchanged as received.
	Forward(n *NodeConn, frames []byte)
	// ErrReceived is called with the frame of a -ERR after which the node keeps the connection open.
	ErrReceived(n *NodeConn, raw []byte)
	// AuthorizationFailed is called with the text of the -ERR with which the node refuses the client's credentials.
	AuthorizationFailed(n *NodeConn, text []byte)
	// Disconnected is called when an established connection is lost or the node has ended it.
	Disconnected(*NodeConn)
}

// NodeConn is a connection to a node. It belongs to one session, or the requests of several sessions share it. Its methods
// must be called on its loop, except those of engine.ActiveAttempt.
type NodeConn struct {
	upstream.Attempt // its requests and responses are PING and PONG
	backend          *Backend
	loop             *LoopState
	attempt          engine.Attempt
	client           SessionClient // nil means that the connection is shared
	shared           *sharedConn   // nil means that the connection belongs to a session

	// Used by the loop only.
	infoReceived bool
	pings        []pendingPing // PINGs without a PONG, in the order in which they were sent
	timer        *Timer
	requests     map[string]*RequestAttempt // requests without a reply, by subscription ID
	lastSID      int
	paused       bool
}

// gatewaySIDPrefix is the first byte of the subscription IDs that the gateway uses for the replies to requests.
const gatewaySIDPrefix = '!'

// IsGatewaySID reports whether a subscription ID is reserved for the gateway. Clients must not use such an ID.
func IsGatewaySID(sid []byte) bool { return len(sid) > 0 && sid[0] == gatewaySIDPrefix }

// dial starts an attempt for a session and returns its connection.
func (b *Backend) dial(a engine.Attempt, client SessionClient) *NodeConn {
	n := &NodeConn{backend: b, attempt: a, client: client, loop: b.LoopState(client.Conn())}
	timeout := b.connectTimeout(a.Timeout, a.ConnectTimeout)
	n.Start(func() *reactor.Conn { return b.conns.Dial(b.addr(a.Addr), timeout, n, client.Conn()) })
	return n
}

// Server returns the ID of the node.
func (n *NodeConn) Server() balancer.ServerID { return n.attempt.Server }

// IsEstablished reports whether the node has confirmed the handshake and the connection has not ended.
func (n *NodeConn) IsEstablished() bool { return n.Phase() == upstream.Established }

// PendingRequests returns the number of requests without a reply.
func (n *NodeConn) PendingRequests() int { return len(n.requests) }

// Close closes the connection after everything that was sent has been written. The attempts of its pending requests end as
// reset. The session is not notified.
func (n *NodeConn) Close() {
	if n.Finish() != upstream.Ended {
		n.Conn().Close()
		n.release(balancer.Reset)
	}
}

// CancelHandshake ends a connection that is not established, without reporting a fault of the node. It does nothing if the
// connection is established or has ended.
func (n *NodeConn) CancelHandshake() { n.failHandshake(balancer.Cancelled) }

// fail ends the connection because of a fault of the node. The attempt ends with the given result if the connection is not
// established yet, and otherwise with balancer.Reset.
func (n *NodeConn) fail(result balancer.Result) {
	n.failHandshake(result)
	n.disconnect()
}

// failHandshake ends a connection that is not established. It does nothing if the connection is established or has ended.
func (n *NodeConn) failHandshake(result balancer.Result) {
	if !n.Cancel() {
		return
	}
	if n.client != nil {
		n.backend.postAttemptEnded(&n.attempt, result)
	} else {
		n.release(balancer.ConnectFailed)
	}
}

// disconnect ends an established connection because of a fault of the node, or because the node has ended it.
func (n *NodeConn) disconnect() {
	if !n.Transition(upstream.Established, upstream.Ended) {
		return
	}
	n.Conn().Abort(false)
	n.release(balancer.Reset)
	if n.client != nil {
		n.backend.postAttemptEnded(&n.attempt, balancer.Reset)
		n.client.Disconnected(n)
	}
}

// release stops the timer of a connection that has ended and ends the attempts of its requests with a result.
func (n *NodeConn) release(result balancer.Result) {
	n.loop.Cancel(n.timer)
	requests := n.requests
	n.requests = nil
	for _, r := range requests {
		r.end(result)
	}
	if n.shared != nil {
		n.shared.release(n)
	}
}

// send sends frames to the node. It ignores the error of Conn.Send, which says that the connection has ended: OnEnd handles
// that.
func (n *NodeConn) send(parts ...[]byte) { _ = n.Conn().Send(parts...) }

// SendUnsubscribe sends UNSUB for a subscription. The subscription ends at once.
func (n *NodeConn) SendUnsubscribe(sid []byte) { n.send(codec.AppendUnsub(nil, sid, 0)) }

// OnOpen implements reactor.Handler. The protocol requires that the node sends INFO first.
func (n *NodeConn) OnOpen(_ *reactor.Conn, err error) {
	if err != nil {
		n.failHandshake(balancer.ConnectFailed)
		return
	}
	n.Transition(upstream.Dialing, upstream.Pending)
}

// OnEnd implements reactor.Handler.
func (n *NodeConn) OnEnd(c *reactor.Conn, _ error) {
	switch {
	case n.IsEstablished():
		n.disconnect()
	case !n.infoReceived || c.PendingBytes() > 0: // the handshake was not sent, or not completely
		n.failHandshake(balancer.ConnectFailed)
	default:
		n.failHandshake(balancer.Reset)
	}
}

// established is called when the node has confirmed the handshake.
func (n *NodeConn) established() {
	if !n.Transition(upstream.Pending, upstream.Established) {
		return
	}
	n.scheduleHealthCheck()
	if n.client == nil {
		n.shared.established(n)
		return
	}
	n.backend.events.Post(engine.AttemptEstablished{
		RequestID: n.attempt.RequestID, Number: n.attempt.Number, Elapsed: n.Age(),
	})
	n.client.Established(n)
}

// sharedResponseTimeout is how long the node of a shared connection may leave a PING unanswered.
const sharedResponseTimeout = 4 * time.Second

// scheduleHealthCheck schedules the next health check, which detects a node that hangs. It sends a PING unless one is pending.
// The engine supervises the connections of sessions itself by UnansweredFor. It does not know the shared connections, so the
// health check closes a shared connection whose node does not respond within sharedResponseTimeout.
func (n *NodeConn) scheduleHealthCheck() {
	n.timer = n.loop.After(n.backend.options().PingInterval, func() {
		if len(n.pings) == 0 {
			n.Ping(nil)
		}
		if n.client == nil && n.UnansweredFor() > sharedResponseTimeout {
			n.disconnect()
			return
		}
		n.scheduleHealthCheck()
	})
}

// Pause stops reading after the frame that is being handled, until Resume is called.
func (n *NodeConn) Pause() {
	n.paused = true
	n.Conn().Pause()
}

// Resume continues reading after Pause.
func (n *NodeConn) Resume() {
	n.paused = false
	n.Conn().Resume()
}
