// Package simnet implements an in-memory network in simulated time, which tests advance. Links delay, lose, duplicate and
// reorder packets at random, and can be cut in one direction or both. The same seed and the same sequence of calls result in
// the same run.
//
// A Network and its Nodes must be used from one goroutine.
package simnet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/milletvane/internal/membership"
)

// Faults configures the faults of every link. The rates are fractions of packets, between 0 and 1.
type Faults struct {
	MinDelay, MaxDelay      time.Duration
	LossRate, DuplicateRate float64
}

const (
	heartbeatInterval   = 200 * time.Millisecond
	defaultSuspectAfter = time.Second
	defaultDeadAfter    = 3 * time.Second
)

// Network is a simulated network that connects instances.
type Network struct {
	Now    time.Duration // simulated time since the network was created
	Faults Faults
	// A member becomes Suspect if no packet from it arrives for longer than SuspectAfter, and Dead if none arrives for longer
	// than DeadAfter.
	SuspectAfter, DeadAfter time.Duration

	rng          *rand.Rand
	nodes        map[string]*Node
	cutLinks     map[link]bool
	queue        []packet // packets in flight, in order of arrival
	lastSequence int      // sequence number of the last packet
}

// link is one direction of the connection between two instances.
type link struct{ from, to string }

type packet struct {
	arrival  time.Duration
	sequence int // orders packets that arrive at the same time
	link     link
	content  []byte // nil means a heartbeat
}

func (p packet) compare(other packet) int {
	return cmp.Or(cmp.Compare(p.arrival, other.arrival), cmp.Compare(p.sequence, other.sequence))
}

// New returns a network without instances. The seed decides the delays and which packets are lost or duplicated.
func New(seed uint64, f Faults) *Network {
	return &Network{
		Faults:       f,
		SuspectAfter: defaultSuspectAfter,
		DeadAfter:    defaultDeadAfter,
		rng:          rand.New(rand.NewPCG(seed, 5)),
		nodes:        map[string]*Node{},
		cutLinks:     map[link]bool{},
	}
}

// Start starts an instance. If an instance of the same name is running, Start closes it.
func (n *Network) Start(o membership.Options) *Node {
	if old := n.nodes[o.Name]; old != nil {
		old.closed = true
	}
	node := &Node{
		Endpoint:      membership.NewEndpoint(o),
		network:       n,
		lastSeen:      map[string]time.Duration{},
		linkIdleAt:    map[string]time.Duration{},
		nextHeartbeat: n.Now,
	}
	n.nodes[o.Name] = node
	return node
}

// Cut cuts the link from one instance to another if cut is true, and restores it otherwise.
func (n *Network) Cut(from, to string, cut bool) { n.cutLinks[link{from, to}] = cut }

// Advance advances the time by d, and delivers the packets that arrive before the new time.
func (n *Network) Advance(d time.Duration) {
	end := n.Now + d
	for {
		n.Now = max(n.Now, min(end, n.nextEvent(end)))
		if n.Now >= end {
			n.Now = end
			return
		}
		n.deliver()
		n.sendHeartbeats()
	}
}

// nextEvent returns the time of the next arrival or heartbeat, but at most fallback.
func (n *Network) nextEvent(fallback time.Duration) time.Duration {
	next := fallback
	for _, node := range n.nodes {
		if !node.closed {
			next = min(next, node.nextHeartbeat)
		}
	}
	if len(n.queue) > 0 {
		next = min(next, n.queue[0].arrival)
	}
	return next
}

// deliver passes the packets that have arrived to their instances, and sends the replies.
func (n *Network) deliver() {
	for len(n.queue) > 0 && n.queue[0].arrival <= n.Now {
		p := n.queue[0]
		n.queue = n.queue[1:]
		to := n.nodes[p.link.to]
		if to == nil || to.closed {
			continue
		}
		to.lastSeen[p.link.from] = n.Now
		if p.content == nil {
			continue
		}
		if peer, reply := to.HandlePacket(p.content); reply != nil {
			to.transmit(peer, reply)
		}
	}
}

// sendHeartbeats sends the heartbeats that are due, from each instance to all others.
func (n *Network) sendHeartbeats() {
	names := n.names()
	for _, name := range names {
		node := n.nodes[name]
		if node.closed || node.nextHeartbeat > n.Now {
			continue
		}
		node.nextHeartbeat = n.Now + heartbeatInterval
		for _, other := range names {
			if other != name {
				n.transmit(link{name, other}, nil)
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

// transmit sends a packet over a link, subject to the faults of the network.
func (n *Network) transmit(l link, content []byte) {
	if n.cutLinks[l] {
		return
	}
	copies := 1
	if n.rng.Float64() < n.Faults.LossRate {
		copies = 0
	} else if n.rng.Float64() < n.Faults.DuplicateRate {
		copies = 2
	}
	for range copies {
		n.lastSequence++
		p := packet{n.Now + n.drawDelay(), n.lastSequence, l, content}
		i, _ := slices.BinarySearchFunc(n.queue, p, packet.compare)
		n.queue = slices.Insert(n.queue, i, p)
	}
}

func (n *Network) drawDelay() time.Duration {
	delay := n.Faults.MinDelay
	if spread := n.Faults.MaxDelay - n.Faults.MinDelay; spread > 0 {
		delay += time.Duration(n.rng.Int64N(int64(spread)))
	}
	return delay
}
