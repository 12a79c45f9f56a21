package simnet

import (
	"time"

	"example.org/milletvane/internal/membership"
)

// Node is one instance's Transport.
type Node struct {
	*membership.Endpoint
	net           *Network
	closed        bool
	lastSeen      map[string]time.Duration // by peer
	linkFree      map[string]time.Duration // when a link to a peer has sent everything that was queued
	nextHeartbeat time.Duration
}

// Send implements membership.Transport.
func (d *Node) Send(to string, payload []byte) {
	if d.closed || len(payload) > membership.MaxBodyBytes || d.net.nodes[to] == nil {
		d.CountDropped(to)
		return
	}
	d.transmit(to, d.EncodeMessage(payload))
}

// transmit keeps to the link's bounds: a packet that would wait for longer than a full queue takes is dropped.
func (d *Node) transmit(to string, packet []byte) {
	o := d.Options()
	duration := o.SendDuration(len(packet))
	d.linkFree[to] = max(d.linkFree[to], d.net.Now)
	if wait := d.linkFree[to] - d.net.Now; wait > time.Duration(o.MaxQueuedMessages)*duration {
		d.CountDropped(to)
		return
	}
	d.linkFree[to] += duration
	d.CountSent(to)
	d.net.transmit(link{o.Name, to}, packet)
}

// Members implements membership.Transport.
func (d *Node) Members() (list []membership.Member) {
	for _, name := range d.net.names() {
		if name == d.Options().Name {
			list = append(list, membership.Member{Name: name, Incarnation: d.Incarnation()})
			continue
		}
		if lastSeen, known := d.lastSeen[name]; known {
			list = append(list, membership.Member{Name: name, Incarnation: d.PeerIncarnation(name), State: d.net.stateAfter(lastSeen)})
		}
	}
	return list
}

// stateAfter is a member's state by when something arrived from it last.
func (n *Network) stateAfter(lastSeen time.Duration) membership.State {
	switch silence := n.Now - lastSeen; {
	case silence > n.DeadAfter:
		return membership.Dead
	case silence > n.SuspectAfter:
		return membership.Suspect
	}
	return membership.Alive
}

// Close implements membership.Transport.
func (d *Node) Close() error {
	d.closed = true
	return nil
}
