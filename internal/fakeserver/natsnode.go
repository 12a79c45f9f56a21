package fakeserver

import (
	"bytes"
	"net"
	"sync"
	"time"

	"example.org/milletvane/internal/nats/codec"
)

// RequestHandler returns the body of the answer to a request and the delay after which it is sent. If the body is nil, the
// request is never answered. The handler is called with the cluster's lock held and must not block.
type RequestHandler func(payload []byte) (answer []byte, delay time.Duration)

// NATSNode is a fake server of the NATS client protocol. It answers requests on subjects below "svc" itself: with the
// request's body, unless a handler was set by SetHandler.
type NATSNode struct {
	Name     string
	cluster  *NATSCluster
	listener net.Listener
	wg       sync.WaitGroup

	// Guarded by the cluster's lock.
	conns            map[*natsConn]struct{}
	draining         bool
	drainStarted     time.Time
	drainUnannounced bool // INFO does not announce the drain
	hung             bool
	dead             bool
	ignoresPings     bool
	withholdsInfo    bool           // new connections are accepted and receive no INFO
	handler          RequestHandler // nil means an immediate echo
}

// SetHandler sets the handler that answers requests.
func (n *NATSNode) SetHandler(handler RequestHandler) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.handler = handler
}

// Addr returns the address on which the node listens.
func (n *NATSNode) Addr() string { return n.listener.Addr().String() }

// ConnectionCount returns the number of connections that have sent CONNECT.
func (n *NATSNode) ConnectionCount() (count int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for c := range n.conns {
		if c.connected {
			count++
		}
	}
	return count
}

// SubscriptionCount returns the number of subscriptions of all connections to the node.
func (n *NATSNode) SubscriptionCount() (count int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for c := range n.conns {
		count += len(c.subscriptions)
	}
	return count
}

// Publish delivers a message as if a client of the node had sent it, and returns the number of its recipients.
func (n *NATSNode) Publish(subject string, body []byte) (recipients int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.deliver(n, nil, message{subject: []byte(subject), body: body})
}

// Drain puts the node into lame duck mode, in which it still serves its connections. If announce is set, it sends its
// connections an INFO that says so.
func (n *NATSNode) Drain(announce bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.draining = true
	n.drainStarted = time.Now()
	if !announce {
		return
	}
	for c := range n.conns {
		c.push(n.info(), nil)
	}
}

// DrainUnannounced marks the node as draining for the delivery log only. The node is not in lame duck mode, so that
// clients know of the drain from the endpoint list alone.
func (n *NATSNode) DrainUnannounced() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.draining, n.drainUnannounced = true, true
	n.drainStarted = time.Now()
}

// Hang makes the node stop answering while its connections stay open. The node still records what it receives.
func (n *NATSNode) Hang() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.hung = true
	n.cluster.log.nodeFailed(n)
}

// IgnorePings makes the node answer no PING, so that no connection setup is confirmed by a PONG.
func (n *NATSNode) IgnorePings() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.ignoresPings = true
}

// HoldInfo makes the node accept connections without sending INFO, until SendInfo is called.
func (n *NATSNode) HoldInfo() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.withholdsInfo = true
}

// SendInfo sends INFO to the connections that have not received it, and to all later connections.
func (n *NATSNode) SendInfo() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.withholdsInfo = false
	for c := range n.conns {
		c.sendFirstInfo()
	}
}

// AwaitingInfoCount returns the number of connections that have not received INFO.
func (n *NATSNode) AwaitingInfoCount() (count int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for c := range n.conns {
		if !c.infoSent {
			count++
		}
	}
	return count
}

// AnswerPings makes the node answer the PINGs that it has ignored, and all later PINGs.
func (n *NATSNode) AnswerPings() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.ignoresPings = false
	for c := range n.conns {
		c.push(bytes.Repeat([]byte(codec.PongFrame), c.ignoredPings), nil)
		c.ignoredPings = 0
	}
}

// Kill ends the node like a crash: all connections are reset and new connections are refused. Unlike Close, it does not
// wait for the node's goroutines.
func (n *NATSNode) Kill() {
	_ = n.listener.Close()
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.dead = true
	n.cluster.log.nodeFailed(n)
	for c := range n.conns {
		c.reset()
	}
}

// Close stops the node, closes its connections and waits for its goroutines.
func (n *NATSNode) Close() {
	_ = n.listener.Close()
	n.cluster.mu.Lock()
	for c := range n.conns {
		c.close()
	}
	n.cluster.mu.Unlock()
	n.wg.Wait()
}

// CutMidMessage closes one connection in the middle of a message's payload. It reports whether it found a connection with
// a subscription to a subject without wildcards, which such a message needs.
func (n *NATSNode) CutMidMessage() bool {
	const announcedBytes, partialBody = 100, "half of it"
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for c := range n.conns {
		for sid, subscription := range c.subscriptions {
			if bytes.ContainsAny(subscription.subject, "*>") {
				continue
			}
			b := codec.AppendMsg(nil, subscription.subject, []byte(sid), nil, 0, announcedBytes)
			c.push(append(b, partialBody...), c.disconnect)
			return true
		}
	}
	return false
}

func (n *NATSNode) info() []byte {
	return appendServerInfo(nil, n.Name, n.draining && !n.drainUnannounced)
}

func (n *NATSNode) hasSubscription(subject []byte) bool {
	for c := range n.conns {
		for _, subscription := range c.subscriptions {
			if codec.MatchesSubject(subscription.subject, subject) {
				return true
			}
		}
	}
	return false
}

func (n *NATSNode) accept() {
	for {
		socket, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.serve(socket)
	}
}

// serve starts the goroutines of a connection, unless the node was killed.
func (n *NATSNode) serve(socket net.Conn) {
	c := newNATSConn(n, socket)
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.dead {
		c.disconnect()
		return
	}
	n.conns[c] = struct{}{}
	c.sendFirstInfo()
	n.wg.Go(c.writeLoop)
	n.wg.Go(c.readLoop)
}

// handleRequest answers a request, immediately or after the delay that the handler returns. The caller holds the lock.
func (n *NATSNode) handleRequest(f *codec.Frame) {
	body, delay := bytes.Clone(f.Body), time.Duration(0)
	if n.handler != nil {
		body, delay = n.handler(bytes.Clone(f.Payload()))
	}
	if body == nil {
		return
	}
	answer := message{subject: bytes.Clone(f.Reply), body: body}
	if delay <= 0 {
		n.cluster.deliver(n, nil, answer)
		return
	}
	time.AfterFunc(delay, func() {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		if !n.hung && !n.dead {
			n.cluster.deliver(n, nil, answer)
		}
	})
}
