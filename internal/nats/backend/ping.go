package backend

import "example.org/milletvane/internal/nats/codec"

// pendingPing is a PING that has no PONG yet.
type pendingPing struct {
	onPong    func() // called when the PONG arrives; may be nil
	forClient bool   // a client sent the PING and waits for the PONG
}

// Ping sends a PING and calls onPong, unless it is nil, when the PONG arrives. Everything that the node sent before the PONG
// has been handled by then. onPong is not called if the connection ends first.
func (n *NodeConn) Ping(onPong func()) {
	n.send([]byte(codec.PingFrame))
	n.addPing(pendingPing{onPong: onPong})
}

// PingForClient is like Ping for a PING that a client sent.
func (n *NodeConn) PingForClient(onPong func()) {
	n.send([]byte(codec.PingFrame))
	n.addPing(pendingPing{onPong: onPong, forClient: true})
}

// PendingClientPongs returns the number of PINGs of clients that have no PONG yet.
func (n *NodeConn) PendingClientPongs() int {
	count := 0
	for _, p := range n.pings {
		if p.forClient {
			count++
		}
	}
	return count
}

func (n *NodeConn) addPing(p pendingPing) {
	if len(n.pings) == 0 {
		n.RequestSent()
	}
	n.pings = append(n.pings, p)
}

func (n *NodeConn) pongReceived() {
	if len(n.pings) == 0 {
		return
	}
	onPong := n.pings[0].onPong
	n.pings = n.pings[1:]
	if len(n.pings) == 0 {
		n.ResponseReceived()
	} else {
		n.RestartResponseTimer() // the node responds, even if late
	}
	if onPong != nil {
		onPong()
	}
}
