// Package simnet is a network in memory whose time a test advances: links delay, lose, duplicate and reorder packets as a
// seed decides, and are cut in one direction or both. The same seed and the same calls give the same run.
//
// A Network and its Nodes are for one goroutine.
package simnet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/milletvane/internal/membership"
)

// Faults are those of every link. Rates are between 0 and 1.
type Faults struct {
	MinDelay, MaxDelay      time.Duration
	LossRate, DuplicateRate float64
}

const (
	heartbeatInterval   = 200 * time.Millisecond
	defaultSuspectAfter = time.Second
	defaultDeadAfter    = 3 * time.Second
)

// Network connects instances.
type Network struct {
	Now    time.Duration
	Faults Faults
	// SuspectAfter and DeadAfter are how long nothing has arrived from a member when its state changes.
	SuspectAfter, DeadAfter time.Duration

	rnd      *rand.Rand
	nodes    map[string]*Node
	cut      map[link]bool
	queue    []packet // by time of arrival
	sequence int      // of the last packet
}

// link is a direction between two instances.
type link struct{ from, to string }

type packet struct {
	arrival  time.Duration
	sequence int // orders packets that arrive at one time
	link     link
	content  []byte // nil: a heartbeat
}

func (p packet) compare(other packet) int {
	return cmp.Or(cmp.Compare(p.arrival, other.arrival), cmp.Compare(p.sequence, other.sequence))
}

// New returns a network without instances.
func New(seed uint64, f Faults) *Network {
	return &Network{
		Faults:       f,
		SuspectAfter: defaultSuspectAfter,
		DeadAfter:    defaultDeadAfter,
		rnd:          rand.New(rand.NewPCG(seed, 5)),
		nodes:        map[string]*Node{},
		cut:          map[link]bool{},
	}
}

// Listen starts an instance. An instance of the same name that runs is closed.
func (n *Network) Listen(o membership.Options) *Node {
	if old := n.nodes[o.Name]; old != nil {
		old.closed = true
	}
	node := &Node{
		Endpoint:      membership.NewEndpoint(o),
		net:           n,
		lastSeen:      map[string]time.Duration{},
		linkFree:      map[string]time.Duration{},
		nextHeartbeat: n.Now,
	}
	n.nodes[o.Name] = node
	return node
}

// Cut cuts the link from one instance to another, or restores it.
func (n *Network) Cut(from, to string, cut bool) { n.cut[link{from, to}] = cut }

// Advance advances time, and delivers what arrives until then.
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

// nextEvent is the time of the next arrival or heartbeat; none: the time given.
func (n *Network) nextEvent(none time.Duration) time.Duration {
	next := none
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

// deliver passes on the packets that have arrived.
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

// sendHeartbeats sends those that are due, to all other instances.
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

// transmit puts a packet on a link, with the link's faults.
func (n *Network) transmit(l link, content []byte) {
	if n.cut[l] {
		return
	}
	copies := 1
	if n.rnd.Float64() < n.Faults.LossRate {
		copies = 0
	} else if n.rnd.Float64() < n.Faults.DuplicateRate {
		copies = 2
	}
	for range copies {
		n.sequence++
		p := packet{n.Now + n.drawDelay(), n.sequence, l, content}
		i, _ := slices.BinarySearchFunc(n.queue, p, packet.compare)
		n.queue = slices.Insert(n.queue, i, p)
	}
}

func (n *Network) drawDelay() time.Duration {
	delay := n.Faults.MinDelay
	if spread := n.Faults.MaxDelay - n.Faults.MinDelay; spread > 0 {
		delay += time.Duration(n.rnd.Int64N(int64(spread)))
	}
	return delay
}
