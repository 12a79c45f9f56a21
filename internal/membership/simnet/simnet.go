// Package simnet is a network in memory whose time a test moves on: links delay, lose, double and reorder as a seed says,
// and are cut one way or both. The same seed and the same calls give the same run.
package simnet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/milletvane/internal/membership"
)

// Faults are those of every link. Parts are between 0 and 1.
type Faults struct {
	MinDelay, MaxDelay      time.Duration // delay
	LossRate, DuplicateRate float64
}

// Network connects instances. It is not safe for concurrent use.
type Network struct {
	Now    time.Duration
	Faults Faults
	// SuspectAfter and GoneAfter are how long nothing has come from a member when it is held to be so.
	SuspectAfter, GoneAfter time.Duration

	rnd   *rand.Rand
	nodes map[string]*Node
	cut   map[[2]string]bool
	queue []packet
	next  int
}

type packet struct {
	at       time.Duration
	order    int
	from, to string
	b        []byte
}

// beat is how often an instance shows the others that it lives.
const beat = 200 * time.Millisecond

// New returns a network without instances.
func New(seed uint64, f Faults) *Network {
	return &Network{Faults: f, SuspectAfter: time.Second, GoneAfter: 3 * time.Second, rnd: rand.New(rand.NewPCG(seed, 5)),
		nodes: map[string]*Node{}, cut: map[[2]string]bool{}}
}

// Node is one instance's Transport.
type Node struct {
	*membership.Endpoint
	net    *Network
	closed bool
	heard  map[string]time.Duration
	free   map[string]time.Duration // when a link has carried what was given to it
	beatAt time.Duration
}

// Listen starts an instance. One of the same name that runs is over.
func (n *Network) Listen(o membership.Options) *Node {
	if old := n.nodes[o.Name]; old != nil {
		old.closed = true
	}
	node := &Node{Endpoint: membership.NewEndpoint(o), net: n, heard: map[string]time.Duration{}, free: map[string]time.Duration{}, beatAt: n.Now}
	n.nodes[o.Name] = node
	return node
}

// Cut stops what goes from one instance to another, or has it go again.
func (n *Network) Cut(from, to string, cut bool) { n.cut[[2]string{from, to}] = cut }

// Advance lets time go by.
func (n *Network) Advance(d time.Duration) {
	end := n.Now + d
	for {
		at := end
		for _, node := range n.nodes {
			if !node.closed {
				at = min(at, node.beatAt)
			}
		}
		if len(n.queue) > 0 {
			at = min(at, n.queue[0].at)
		}
		n.Now = max(n.Now, at)
		if n.Now >= end {
			n.Now = end
			return
		}
		n.step()
	}
}

// step carries out what is due now.
func (n *Network) step() {
	for len(n.queue) > 0 && n.queue[0].at <= n.Now {
		p := n.queue[0]
		n.queue = n.queue[1:]
		to := n.nodes[p.to]
		if to == nil || to.closed {
			continue
		}
		if from := n.nodes[p.from]; from != nil {
			to.heard[p.from] = n.Now
		}
		if p.b == nil {
			continue
		}
		if whom, reply := to.Take(p.b); reply != nil {
			to.carry(whom, reply)
		}
	}
	for _, name := range n.names() {
		node := n.nodes[name]
		if node.closed || node.beatAt > n.Now {
			continue
		}
		node.beatAt = n.Now + beat
		for _, other := range n.names() {
			if other != name {
				n.put(name, other, nil)
			}
		}
	}
}

func (n *Network) names() (names []string) {
	for name := range n.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// put gives a packet to a link, which does with it what its faults say.
func (n *Network) put(from, to string, b []byte) {
	if n.cut[[2]string{from, to}] {
		return
	}
	copies := 1
	if n.rnd.Float64() < n.Faults.LossRate {
		copies = 0
	} else if n.rnd.Float64() < n.Faults.DuplicateRate {
		copies = 2
	}
	for range copies {
		delay := n.Faults.MinDelay
		if more := n.Faults.MaxDelay - n.Faults.MinDelay; more > 0 {
			delay += time.Duration(n.rnd.Int64N(int64(more)))
		}
		n.next++
		p := packet{n.Now + delay, n.next, from, to, b}
		i, _ := slices.BinarySearchFunc(n.queue, p, func(a, b packet) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
		n.queue = slices.Insert(n.queue, i, p)
	}
}

// Send implements membership.Transport.
func (d *Node) Send(to string, body []byte) {
	if d.closed || len(body) > membership.MaxBodyBytes || d.net.nodes[to] == nil {
		d.Dropped(to)
		return
	}
	d.carry(to, d.Wrap(body))
}

// carry keeps to the link's bounds: what is over its pace by more than its queue holds is dropped.
func (d *Node) carry(to string, b []byte) {
	o := d.Options()
	pace := o.Pace(len(b))
	if d.free[to] = max(d.free[to], d.net.Now); d.free[to]-d.net.Now > time.Duration(o.QueueMost)*pace {
		d.Dropped(to)
		return
	}
	d.free[to] += pace
	d.Sent(to)
	d.net.put(d.Options().Name, to, b)
}

// Members implements membership.Transport.
func (d *Node) Members() (list []membership.Member) {
	for _, name := range d.net.names() {
		m := membership.Member{Name: name, Incarnation: d.Life(name)}
		at, heard := d.heard[name]
		switch {
		case name == d.Options().Name:
			m.Incarnation = d.Incarnation()
		case !heard:
			continue
		case d.net.Now-at > d.net.GoneAfter:
			m.State = membership.Gone
		case d.net.Now-at > d.net.SuspectAfter:
			m.State = membership.Suspect
		}
		list = append(list, m)
	}
	return list
}

// Close implements membership.Transport.
func (d *Node) Close() error {
	d.closed = true
	return nil
}
