package backend

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/reactor"
)

// sharedConnKey identifies a shared connection by the address of its node and by its CONNECT frame, which holds the credentials.
type sharedConnKey struct {
	addr         string
	connectFrame string
}

// sharedConn holds the additional state of a NodeConn that requests share.
type sharedConn struct {
	key          sharedConnKey
	connectFrame []byte
	waiting      []*RequestAttempt // requests to send once the connection is established
}

const (
	sharedConnectTimeout = 2 * time.Second  // maximum time until a shared connection is established
	sharedIdleTimeout    = 30 * time.Second // time without a request after which a shared connection is closed
)

// sharedConn returns the shared connection of the loop to the node of an attempt, with the credentials of the attempt's client.
// It dials if there is none yet. It returns nil if that would exceed MaxSharedConns.
func (b *Backend) sharedConn(r *RequestAttempt) *NodeConn {
	loop := b.LoopState(r.client.Conn())
	connectFrame := r.client.ConnectFrame()
	key := sharedConnKey{b.addr(r.attempt.Addr), string(connectFrame)}
	if n := loop.sharedConns[key]; n != nil {
		return n
	}
	if len(loop.sharedConns) >= b.options().MaxSharedConns {
		return nil
	}
	n := &NodeConn{backend: b, loop: loop, shared: &sharedConn{key: key, connectFrame: connectFrame}}
	n.attempt.Server = r.attempt.Server
	loop.sharedConns[key] = n
	timeout := b.connectTimeout(sharedConnectTimeout, 0)
	n.Start(func() *reactor.Conn { return b.conns.Dial(key.addr, timeout, n, r.client.Conn()) })
	n.timer = loop.After(sharedConnectTimeout, func() { n.failHandshake(balancer.ConnectFailed) })
	return n
}

// established sends the requests that waited for the connection.
func (s *sharedConn) established(n *NodeConn) {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		r.send(n)
	}
	s.scheduleIdleCheck(n)
}

// scheduleIdleCheck schedules a check that closes the connection if no request was sent during sharedIdleTimeout and none is
// pending.
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

// release removes the connection from its loop and ends the attempts that wait for it.
func (s *sharedConn) release(n *NodeConn) {
	if n.loop.sharedConns[s.key] == n {
		delete(n.loop.sharedConns, s.key)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		r.end(balancer.ConnectFailed)
	}
}
