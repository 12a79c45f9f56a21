package simnet

import (
	"time"

	"example.org/milletvane/internal/membership"
)

// Node is the Transport of one instance.
type Node struct {
	*membership.Endpoint
	network       *Network
	closed        bool
	lastSeen      map[string]time.Duration // time of the last packet, by peer
	linkIdleAt    map[string]time.Duration // time at which the link to a peer has sent all queued packets
	nextHeartbeat time.Duration
}

// Send implements membership.Transport.
func (node *Node) Send(to string, payload []byte) {
	if node.closed || len(payload) > membership.MaxPayloadBytes || node.network.nodes[to] == nil {
		node.CountDropped(to)
		return
	}
	node.transmit(to, node.EncodeMessage(payload))
}

// transmit sends a packet within the limits of the link. It drops a packet that would wait longer than it takes
// to send MaxQueuedMessages packets of its size.
func (node *Node) transmit(to string, packet []byte) {
	o := node.Options()
	duration := o.SendDuration(len(packet))
	node.linkIdleAt[to] = max(node.linkIdleAt[to], node.network.Now)
	if wait := node.linkIdleAt[to] - node.network.Now; wait > time.Duration(o.MaxQueuedMessages)*duration {
		node.CountDropped(to)
		return
	}
	node.linkIdleAt[to] += duration
	node.CountSent(to)
	node.network.transmit(link{o.Name, to}, packet)
}

// Members implements membership.Transport.
func (node *Node) Members() (list []membership.Member) {
	for _, name := range node.network.names() {
		if name == node.Options().Name {
			list = append(list, membership.Member{Name: name, Incarnation: node.Incarnation()})
			continue
		}
		if lastSeen, known := node.lastSeen[name]; known {
			list = append(list, membership.Member{
				Name: name, Incarnation: node.PeerIncarnation(name), State: node.network.stateOf(lastSeen),
			})
		}
	}
	return list
}

// stateOf returns the state of a member from which the last packet arrived at lastSeen.
func (n *Network) stateOf(lastSeen time.Duration) membership.State {
	switch silence := n.Now - lastSeen; {
	case silence > n.DeadAfter:
		return membership.Dead
	case silence > n.SuspectAfter:
		return membership.Suspect
	}
	return membership.Alive
}

// Close implements membership.Transport.
func (node *Node) Close() error {
	node.closed = true
	return nil
}
