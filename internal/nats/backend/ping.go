package backend

import "example.org/milletvane/internal/nats/codec"

// pendingPing is a PING without a PONG.
type pendingPing struct {
	onPong    func() // nil: nothing is to be done
	forClient bool   // a client waits for the PONG
}

// Ping sends PING and calls onPong, unless it is nil, at its PONG: after all that the node sent before it was handled. It is
// not called if the connection ends first.
func (n *NodeConn) Ping(onPong func()) {
	n.send([]byte(codec.PingFrame))
	n.addPing(pendingPing{onPong: onPong})
}

// PingForClient is Ping for a PING of a client.
func (n *NodeConn) PingForClient(onPong func()) {
	n.send([]byte(codec.PingFrame))
	n.addPing(pendingPing{onPong: onPong, forClient: true})
}

// PendingClientPongs is the number of PINGs of clients without a PONG.
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
		n.RequestRenewed() // the node responds, if late
	}
	if onPong != nil {
		onPong()
	}
}
