package simulation

import (
	"fmt"
	"time"
)

// NodeSettings is what nodes of one sort are like.
type NodeSettings struct {
	Cores             float64
	Speed             float64       // of a core, 1 is the reference
	ColdCapacityRatio float64       // of its power that a fresh node has
	WarmupDuration    time.Duration // until it has all of it, evenly; 0: it starts warm
	MaxConnections    int           // connections that it holds at most; 0: no bound
	FullOverheadRatio float64       // of its power that a full table of connections takes
	// The rule on cold nodes: sent over TipMultiple of what it can take of new load within TipTime, it falls over and stays
	// down. What it can take is that which fills it over ColdFor. 0: it bears anything.
	ColdOverloadFactor    float64
	ColdOverloadDuration  time.Duration
	ColdOverloadAllowance float64 // load that is let pass in any case, for chance
}

// Node is one server of long-lived connections. Loads are in cores of reference.
type Node struct {
	NodeSettings
	Name string

	started time.Duration // its latest start
	warm    bool          // since before the run
	down    bool          // fell over
	held    int
	asked   float64 // load of what it holds
	taken   float64 // by others, as a neighbour on the machine: a part of its power
	sent    []sending
	window  float64 // the sum of sent
}

type sending struct {
	at   time.Duration
	load float64
}

// NewNode returns a node that has been running since long before.
func NewNode(name string, k NodeSettings) (*Node, error) {
	if !(k.Cores > 0) || !(k.Speed > 0) || !(k.ColdCapacityRatio >= 0 && k.ColdCapacityRatio <= 1) || !(k.FullOverheadRatio >= 0 && k.FullOverheadRatio < 1) {
		return nil, fmt.Errorf("model: node %s: cores %v, speed %v, cold share %v, full tax %v", name, k.Cores, k.Speed, k.ColdCapacityRatio, k.FullOverheadRatio)
	}
	return &Node{NodeSettings: k, Name: name, warm: true}, nil
}

// Restart has it begin anew, cold and empty. What it held is cut off by the caller.
func (n *Node) Restart(now time.Duration) {
	*n = Node{NodeSettings: n.NodeSettings, Name: n.Name, started: now, taken: n.taken}
}

// SetNeighbourRatio takes a part of its power away, from 0 to 1.
func (n *Node) SetNeighbourRatio(part float64) { n.taken = min(max(part, 0), 1) }

// WarmupRatio is the part of its power that it has for being cold: 1 is warm.
func (n *Node) WarmupRatio(now time.Duration) float64 {
	if n.warm || n.WarmupDuration <= 0 || now-n.started >= n.WarmupDuration {
		return 1
	}
	return n.ColdCapacityRatio + (1-n.ColdCapacityRatio)*float64(now-n.started)/float64(n.WarmupDuration)
}

// Capacity is what it can do now.
func (n *Node) Capacity(now time.Duration) float64 {
	p := n.Cores * n.Speed * n.WarmupRatio(now) * (1 - n.taken)
	if n.MaxConnections > 0 {
		p *= 1 - n.FullOverheadRatio*float64(n.held)/float64(n.MaxConnections)
	}
	return p
}

// ConnectResult is what becomes of a connection that is sent to a node.
type ConnectResult int

const (
	Accepted    ConnectResult = iota
	Rejected                  // turned away unseen
	Unreachable               // nobody answers
	Crashed                   // this one was too much: the node falls over with all that it holds
)

// Connect brings a connection of some load. What is turned away counts against a cold node too.
func (n *Node) Connect(now time.Duration, load float64) ConnectResult {
	if n.down {
		return Unreachable
	}
	if n.tips(now, load) {
		n.down, n.held, n.asked = true, 0, 0
		return Crashed
	}
	if n.MaxConnections > 0 && n.held >= n.MaxConnections {
		return Rejected
	}
	n.held++
	n.asked += load
	return Accepted
}

// tips counts what is sent to a cold node within any TipTime.
func (n *Node) tips(now time.Duration, load float64) bool {
	if n.WarmupRatio(now) == 1 || n.ColdOverloadFactor <= 0 {
		n.sent, n.window = nil, 0
		return false
	}
	old := 0
	for old < len(n.sent) && n.sent[old].at <= now-n.ColdOverloadDuration {
		n.window -= n.sent[old].load
		old++
	}
	n.sent = append(n.sent[old:], sending{now, load})
	n.window += load
	rate := n.Cores * n.Speed / n.WarmupDuration.Seconds()
	return n.window > n.ColdOverloadFactor*rate*n.ColdOverloadDuration.Seconds()+n.ColdOverloadAllowance
}

// ChangeLoad alters the load of a connection that it holds.
func (n *Node) ChangeLoad(by float64) {
	if n.held > 0 {
		n.asked = max(n.asked+by, 0)
	}
}

// Disconnect ends a connection of some load.
func (n *Node) Disconnect(load float64) {
	if n.held == 0 {
		return
	}
	if n.held--; n.held == 0 {
		n.asked = 0 // sums of fractions drift
		return
	}
	n.asked = max(n.asked-load, 0)
}

// Connections is how many connections it holds.
func (n *Node) Connections() int { return n.held }

// Utilization is what is asked of it over what it can do; 0 where nothing is.
func (n *Node) Utilization(now time.Duration) float64 {
	if n.asked == 0 {
		return 0
	}
	return n.asked / max(n.Capacity(now), 1e-9)
}

// Up reports whether it answers.
func (n *Node) Up() bool { return !n.down }
