package backend

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/upstream"
)

// SessionClient is what an attempt for a session has as its client: the session as it uses one node. Apart from the methods
// of engine.Client, its methods are called on the loop of Conn.
type SessionClient interface {
	engine.Client
	Conn() *reactor.Conn
	// AppendHandshake appends CONNECT and all subscriptions.
	AppendHandshake(b []byte) []byte
	// InfoReceived is called with each INFO of the node.
	InfoReceived(*NodeConn, codec.ServerInfo)
	// Established is called when the node has confirmed the handshake.
	Established(*NodeConn)
	// MessageReceived is called with each message. It reports whether the message is to be passed to Forward.
	MessageReceived(*NodeConn, *codec.Frame) bool
	// Forward is called with consecutive frames as received.
	Forward(n *NodeConn, frames []byte)
	// ErrReceived is called with the frame of a -ERR after which the connection stays open.
	ErrReceived(n *NodeConn, raw []byte)
	// AuthorizationFailed is called with the text of the -ERR by which the node refuses the client's credentials.
	AuthorizationFailed(n *NodeConn, text []byte)
	// Disconnected is called when an established connection is lost or was ended by the node.
	Disconnected(*NodeConn)
}

// NodeConn is a connection to a node: that of one session, or one that requests of several sessions share. Its methods must
// be called on its loop, except those of engine.ActiveAttempt.
type NodeConn struct {
	upstream.Attempt // its requests are the PINGs
	backend          *Backend
	loop             *LoopState
	attempt          engine.Attempt
	client           SessionClient // nil: shared
	shared           *sharedConn   // nil: not shared

	// Used by the loop only.
	infoReceived bool
	pings        []pendingPing // in the order in which they were sent
	timer        *Timer
	requests     map[string]*RequestAttempt // without a reply, by subscription ID
	lastSID      int
	paused       bool
}

// gatewaySIDPrefix begins the subscription IDs that the gateway uses for the replies to requests.
const gatewaySIDPrefix = '!'

// IsGatewaySID reports whether a subscription ID is reserved for the gateway. Clients must not use it.
func IsGatewaySID(sid []byte) bool { return len(sid) > 0 && sid[0] == gatewaySIDPrefix }

// dial starts an attempt for a session.
func (b *Backend) dial(a engine.Attempt, client SessionClient) *NodeConn {
	n := &NodeConn{backend: b, attempt: a, client: client, loop: b.LoopState(client.Conn())}
	timeout := b.connectTimeout(a.Timeout, a.ConnectTimeout)
	n.Start(func() *reactor.Conn { return b.conns.Dial(b.addr(a.Addr), timeout, n, client.Conn()) })
	return n
}

// Server is the ID of the node.
func (n *NodeConn) Server() balancer.ServerID { return n.attempt.Server }

// IsEstablished reports whether the node has confirmed the handshake and the connection has not ended.
func (n *NodeConn) IsEstablished() bool { return n.Phase() == upstream.Established }

// PendingRequests is the number of requests without a reply.
func (n *NodeConn) PendingRequests() int { return len(n.requests) }

// Close ends the connection after all that was sent has been written. Its requests fail; the session is not notified.
func (n *NodeConn) Close() {
	if n.Finish() != upstream.Ended {
		n.Conn().Close()
		n.release(balancer.Reset)
	}
}

// Abandon ends a connection that is not established, for a reason that is not a fault of the node.
func (n *NodeConn) Abandon() { n.failHandshake(balancer.Cancelled) }

// fail ends the connection because of the node: with a result if it is not established yet, else as a reset.
func (n *NodeConn) fail(result balancer.Result) {
	n.failHandshake(result)
	n.disconnect()
}

// failHandshake ends a connection that is not established.
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

// disconnect ends an established connection because of the node.
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

// release stops the timer and ends the requests of a connection that has ended.
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

// send writes frames. An error of Conn.Send says that the connection has ended, which OnEnd handles.
func (n *NodeConn) send(parts ...[]byte) { _ = n.Conn().Send(parts...) }

// SendUnsubscribe sends UNSUB for a subscription, which ends at once.
func (n *NodeConn) SendUnsubscribe(sid []byte) { n.send(codec.AppendUnsub(nil, sid, 0)) }

// OnOpen implements reactor.Handler. The node sends INFO first.
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
	case !n.infoReceived || c.Buffered() > 0: // the handshake was not sent, or not all of it
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

// sharedResponseTimeout is for how long the node of a shared connection may leave a PING without a PONG.
const sharedResponseTimeout = 4 * time.Second

// scheduleHealthCheck sends a PING at each interval in which none is pending, so that a node that hangs is found. The engine
// supervises the connections of sessions itself, by UnansweredFor; shared ones are unknown to it.
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

// Pause stops reading after the frame that is being handled, until Resume.
func (n *NodeConn) Pause() {
	n.paused = true
	n.Conn().Pause()
}

// Resume reads again after Pause.
func (n *NodeConn) Resume() {
	n.paused = false
	n.Conn().Resume()
}
