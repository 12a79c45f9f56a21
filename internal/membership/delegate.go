package membership

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/hashicorp/memberlist"
)

// delegate receives the notifications of memberlist, in goroutines of memberlist. The metadata of a member is its
// incarnation, 8 bytes big-endian.
type delegate struct{ gossip *Gossip }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(int) []byte {
	return binary.BigEndian.AppendUint64(nil, d.gossip.Incarnation())
}

// NotifyMsg implements memberlist.Delegate.
func (d delegate) NotifyMsg(packet []byte) {
	if to, reply := d.gossip.HandlePacket(bytes.Clone(packet)); reply != nil {
		d.gossip.enqueue(to, reply)
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (d delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (d delegate) MergeRemoteState([]byte, bool) {}

// NotifyJoin implements memberlist.EventDelegate.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.setMember(n, Alive) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.setMember(n, Alive) }

// NotifyLeave implements memberlist.EventDelegate.
func (d delegate) NotifyLeave(n *memberlist.Node) { d.setMember(n, Dead) }

func (d delegate) setMember(n *memberlist.Node, state State) {
	if n.Name == d.gossip.Options().Name {
		return
	}
	m := gossipMember{Member{Name: n.Name, State: state}, *n}
	m.node.Addr, m.node.Meta = slices.Clone(n.Addr), nil
	if len(n.Meta) == incarnationSize {
		m.Incarnation = binary.BigEndian.Uint64(n.Meta)
		d.gossip.ObserveIncarnation(n.Name, m.Incarnation)
	}
	d.gossip.mu.Lock()
	defer d.gossip.mu.Unlock()
	d.gossip.members[n.Name] = m
}
