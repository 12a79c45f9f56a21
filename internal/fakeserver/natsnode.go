package fakeserver

import (
	"bytes"
	"net"
	"sync"
	"time"

	"example.org/milletvane/internal/nats/codec"
)

// RequestHandler answers a request with a body, which is sent after a delay. A nil answer loses the request. It is
// called with the cluster's lock held and must not block.
type RequestHandler func(payload []byte) (answer []byte, delay time.Duration)

// NATSNode is a fake server of the NATS client protocol. It answers requests on subjects below "svc" itself, by an echo
// unless SetHandler says otherwise.
type NATSNode struct {
	Name     string
	cluster  *NATSCluster
	listener net.Listener
	wg       sync.WaitGroup

	// Guarded by the cluster's lock.
	conns        map[*natsConn]struct{}
	draining     bool
	drainStarted time.Time
	unannounced  bool // its INFO does not say that it drains
	hung         bool
	dead         bool
	ignoresPings bool
	holdsInfo    bool           // it accepts connections and sends them no INFO
	handler      RequestHandler // nil: echo at once
}

// SetHandler sets how requests are answered.
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

// SubscriptionCount returns the number of subscriptions at the node.
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

// Drain puts the node into lame duck mode, in which it goes on serving what it has. With announce, its clients are
// notified by INFO.
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

// DrainUnannounced has the node counted as draining, which only the endpoint list says: it is not in lame duck mode.
func (n *NATSNode) DrainUnannounced() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.draining, n.unannounced = true, true
	n.drainStarted = time.Now()
}

// Hang makes the node stop answering while its connections stay. It still records what it receives.
func (n *NATSNode) Hang() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.hung = true
	n.cluster.log.nodeFailed(n)
}

// IgnorePings makes the node answer no PING, so that no connection setup is confirmed.
func (n *NATSNode) IgnorePings() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.ignoresPings = true
}

// HoldInfo makes the node accept connections without sending them INFO, until SendInfo.
func (n *NATSNode) HoldInfo() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.holdsInfo = true
}

// SendInfo sends INFO to the connections that have had none, and to all that follow.
func (n *NATSNode) SendInfo() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.holdsInfo = false
	for c := range n.conns {
		c.greet()
	}
}

// AwaitingInfoCount returns the number of connections that have had no INFO.
func (n *NATSNode) AwaitingInfoCount() (count int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for c := range n.conns {
		if !c.greeted {
			count++
		}
	}
	return count
}

// AnswerPings makes the node answer the PINGs that it has ignored, and all that follow.
func (n *NATSNode) AnswerPings() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.ignoresPings = false
	for c := range n.conns {
		c.push(bytes.Repeat([]byte(codec.PongFrame), c.ignoredPings), nil)
		c.ignoredPings = 0
	}
}

// Kill ends the node as a crash would: all connections are reset and new ones are refused. It does not wait for the
// node's goroutines, as Close does.
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

// Close ends the node and waits for its goroutines.
func (n *NATSNode) Close() {
	_ = n.listener.Close()
	n.cluster.mu.Lock()
	for c := range n.conns {
		c.close()
	}
	n.cluster.mu.Unlock()
	n.wg.Wait()
}

// CutMidMessage ends one connection in the middle of a message's payload. It reports whether there was one with a
// subscription that can receive such a message.
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

func (n *NATSNode) info() []byte { return appendServerInfo(nil, n.Name, n.draining && !n.unannounced) }

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

// serve starts the goroutines of a connection, unless the node was killed in the meantime.
func (n *NATSNode) serve(socket net.Conn) {
	c := newNATSConn(n, socket)
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.dead {
		c.disconnect()
		return
	}
	n.conns[c] = struct{}{}
	c.greet()
	n.wg.Go(c.writeLoop)
	n.wg.Go(c.readLoop)
}

// handleRequest answers a request, at once or after the delay that the handler wants. The cluster's lock is held.
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
