package simulation

import (
	"fmt"
	"time"
)

// Kind is what nodes of one sort are like.
type Kind struct {
	Cores     float64
	Speed     float64       // of a core, 1 is the reference
	ColdShare float64       // of its power that a fresh node has
	ColdFor   time.Duration // until it has all of it, evenly; 0: it starts warm
	Cap       int           // connections that it holds at most; 0: no bound
	FullTax   float64       // of its power that a full table of connections takes
	// The rule on cold nodes: sent over TipMultiple of what it can take of new load within TipTime, it falls over and stays
	// down. What it can take is that which fills it over ColdFor. 0: it bears anything.
	TipMultiple float64
	TipTime     time.Duration
	TipSlack    float64 // load that is let pass in any case, for chance
}

// Node is one server of long-lived connections. Loads are in cores of reference.
type Node struct {
	Kind
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
func NewNode(name string, k Kind) (*Node, error) {
	if !(k.Cores > 0) || !(k.Speed > 0) || !(k.ColdShare >= 0 && k.ColdShare <= 1) || !(k.FullTax >= 0 && k.FullTax < 1) {
		return nil, fmt.Errorf("model: node %s: cores %v, speed %v, cold share %v, full tax %v", name, k.Cores, k.Speed, k.ColdShare, k.FullTax)
	}
	return &Node{Kind: k, Name: name, warm: true}, nil
}

// Restart has it begin anew, cold and empty. What it held is cut off by the caller.
func (n *Node) Restart(now time.Duration) {
	*n = Node{Kind: n.Kind, Name: n.Name, started: now, taken: n.taken}
}

// Neighbour takes a part of its power away, from 0 to 1.
func (n *Node) Neighbour(part float64) { n.taken = min(max(part, 0), 1) }

// Warmth is the part of its power that it has for being cold: 1 is warm.
func (n *Node) Warmth(now time.Duration) float64 {
	if n.warm || n.ColdFor <= 0 || now-n.started >= n.ColdFor {
		return 1
	}
	return n.ColdShare + (1-n.ColdShare)*float64(now-n.started)/float64(n.ColdFor)
}

// Power is what it can do now.
func (n *Node) Power(now time.Duration) float64 {
	p := n.Cores * n.Speed * n.Warmth(now) * (1 - n.taken)
	if n.Cap > 0 {
		p *= 1 - n.FullTax*float64(n.held)/float64(n.Cap)
	}
	return p
}

// Verdict is what becomes of a connection that is sent to a node.
type Verdict int

const (
	Taken  Verdict = iota
	Full           // turned away unseen
	Down           // nobody answers
	Tipped         // this one was too much: the node falls over with all that it holds
)

// Send brings a connection of some load. What is turned away counts against a cold node too.
func (n *Node) Send(now time.Duration, load float64) Verdict {
	if n.down {
		return Down
	}
	if n.tips(now, load) {
		n.down, n.held, n.asked = true, 0, 0
		return Tipped
	}
	if n.Cap > 0 && n.held >= n.Cap {
		return Full
	}
	n.held++
	n.asked += load
	return Taken
}

// tips counts what is sent to a cold node within any TipTime.
func (n *Node) tips(now time.Duration, load float64) bool {
	if n.Warmth(now) == 1 || n.TipMultiple <= 0 {
		n.sent, n.window = nil, 0
		return false
	}
	old := 0
	for old < len(n.sent) && n.sent[old].at <= now-n.TipTime {
		n.window -= n.sent[old].load
		old++
	}
	n.sent = append(n.sent[old:], sending{now, load})
	n.window += load
	rate := n.Cores * n.Speed / n.ColdFor.Seconds()
	return n.window > n.TipMultiple*rate*n.TipTime.Seconds()+n.TipSlack
}

// Change alters the load of a connection that it holds.
func (n *Node) Change(by float64) {
	if n.held > 0 {
		n.asked = max(n.asked+by, 0)
	}
}

// Leave ends a connection of some load.
func (n *Node) Leave(load float64) {
	if n.held == 0 {
		return
	}
	if n.held--; n.held == 0 {
		n.asked = 0 // sums of fractions drift
		return
	}
	n.asked = max(n.asked-load, 0)
}

// Held is how many connections it holds.
func (n *Node) Held() int { return n.held }

// Load is what is asked of it over what it can do; 0 where nothing is.
func (n *Node) Load(now time.Duration) float64 {
	if n.asked == 0 {
		return 0
	}
	return n.asked / max(n.Power(now), 1e-9)
}

// Up reports whether it answers.
func (n *Node) Up() bool { return !n.down }
