package backend

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/reactor"
)

// sharedKey identifies a shared connection by its node and its credentials.
type sharedKey struct {
	addr         string
	connectFrame string
}

// sharedConn is what a NodeConn has in addition if requests share it.
type sharedConn struct {
	key          sharedKey
	connectFrame []byte
	waiting      []*RequestAttempt // until it is established
}

const (
	sharedConnectTimeout = 2 * time.Second  // until it is established
	sharedIdleTimeout    = 30 * time.Second // without a request, until it is closed
)

// sharedConn returns the loop's connection to the node of an attempt with the client's credentials, and dials if there is
// none; nil: the loop has as many as it may have.
func (b *Backend) sharedConn(r *RequestAttempt) *NodeConn {
	loop := b.LoopState(r.client.Conn())
	connectFrame := r.client.ConnectFrame()
	key := sharedKey{b.addr(r.attempt.Addr), string(connectFrame)}
	if n := loop.shared[key]; n != nil {
		return n
	}
	if len(loop.shared) >= b.options().MaxSharedConns {
		return nil
	}
	n := &NodeConn{backend: b, loop: loop, shared: &sharedConn{key: key, connectFrame: connectFrame}}
	n.attempt.Server = r.attempt.Server
	loop.shared[key] = n
	timeout := b.connectTimeout(sharedConnectTimeout, 0)
	n.Start(func() *reactor.Conn { return b.conns.Dial(key.addr, timeout, n, r.client.Conn()) })
	n.timer = loop.After(sharedConnectTimeout, func() { n.failHandshake(balancer.ConnectFailed) })
	return n
}

// established sends the requests that waited.
func (s *sharedConn) established(n *NodeConn) {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		r.send(n)
	}
	s.scheduleIdleCheck(n)
}

// scheduleIdleCheck closes the connection after an interval without a request.
func (s *sharedConn) scheduleIdleCheck(n *NodeConn) {
	sidBefore := n.lastSID
	n.loop.After(sharedIdleTimeout, func() {
		if !n.IsEstablished() {
			return
		}
		if n.lastSID == sidBefore && len(n.requests) == 0 {
			n.Close()
			return
		}
		s.scheduleIdleCheck(n)
	})
}

// release removes the connection from its loop and ends the requests that wait for it.
func (s *sharedConn) release(n *NodeConn) {
	if n.loop.shared[s.key] == n {
		delete(n.loop.shared, s.key)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		r.end(balancer.ConnectFailed)
	}
}
