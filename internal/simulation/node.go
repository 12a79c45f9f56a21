package simulation

import (
	"errors"
	"fmt"
	"time"
)

// ErrNodeSettings is wrapped by errors about settings of a node that are out of range.
var ErrNodeSettings = errors.New("settings out of range")

// minCapacity keeps the utilization of a node without capacity finite, in cores of reference.
const minCapacity = 1e-9

// NodeSettings describes a node. Its cold overload limit models servers that crash when they get too many connections
// while they warm up: more than ColdOverloadFactor times the load that would fill the node evenly over WarmupDuration,
// within any ColdOverloadDuration.
type NodeSettings struct {
	Cores             float64       // above 0
	Speed             float64       // of a core, above 0; 1 is the reference
	ColdCapacityRatio float64       // of its capacity that a node has at its start, from 0 to 1
	WarmupDuration    time.Duration // until it has all of it, rising evenly; 0: it starts warm
	MaxConnections    int           // 0: no limit
	FullOverheadRatio float64       // of its capacity that MaxConnections connections take, from 0 and below 1

	ColdOverloadFactor    float64       // 0: no limit
	ColdOverloadDuration  time.Duration // over which load is summed up
	ColdOverloadAllowance float64       // added to the limit, in cores of reference
}

func (s NodeSettings) validate() error {
	if !(s.Cores > 0) || !(s.Speed > 0) || !inUnitRange(s.ColdCapacityRatio) ||
		!(s.FullOverheadRatio >= 0 && s.FullOverheadRatio < 1) {
		return fmt.Errorf("%w: cores %v, speed %v, cold capacity ratio %v, full overhead ratio %v",
			ErrNodeSettings, s.Cores, s.Speed, s.ColdCapacityRatio, s.FullOverheadRatio)
	}
	return nil
}

func inUnitRange(v float64) bool { return v >= 0 && v <= 1 }

// Node is one server of long-lived connections. Loads and capacities are in cores of reference.
type Node struct {
	settings NodeSettings

	startedAt      time.Duration // its latest start
	startedWarm    bool          // before the simulation began
	crashed        bool
	connections    int
	load           float64 // of all connections
	neighbourRatio float64 // of its capacity that others on the machine take
	recent         []offeredLoad
	recentLoad     float64 // the sum of recent
}

// offeredLoad is a connection that was sent to a cold node, whether or not it was accepted.
type offeredLoad struct {
	at   time.Duration
	load float64
}

// NewNode returns a warm node. The name is for errors, which wrap ErrNodeSettings.
func NewNode(name string, s NodeSettings) (*Node, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("simulation: node %s: %w", name, err)
	}
	return &Node{settings: s, startedWarm: true}, nil
}

// Restart starts the node again, cold and without connections; the caller ends those that it had.
func (n *Node) Restart(now time.Duration) {
	*n = Node{settings: n.settings, startedAt: now, neighbourRatio: n.neighbourRatio}
}

// SetNeighbourRatio sets the part of its capacity that others on the machine take, limited to 0 to 1.
func (n *Node) SetNeighbourRatio(ratio float64) { n.neighbourRatio = min(max(ratio, 0), 1) }

// WarmupRatio returns the part of its capacity that the node has at this point of its warm-up; 1 is warm.
func (n *Node) WarmupRatio(now time.Duration) float64 {
	s, age := &n.settings, now-n.startedAt
	if n.startedWarm || s.WarmupDuration <= 0 || age >= s.WarmupDuration {
		return 1
	}
	return s.ColdCapacityRatio + (1-s.ColdCapacityRatio)*float64(age)/float64(s.WarmupDuration)
}

// Capacity returns the load that the node can serve now.
func (n *Node) Capacity(now time.Duration) float64 {
	s := &n.settings
	capacity := s.Cores * s.Speed * n.WarmupRatio(now) * (1 - n.neighbourRatio)
	if s.MaxConnections > 0 {
		capacity *= 1 - s.FullOverheadRatio*float64(n.connections)/float64(s.MaxConnections)
	}
	return capacity
}

// ConnectResult is what becomes of a connection that is sent to a node.
type ConnectResult int

// The results of Connect.
const (
	Accepted    ConnectResult = iota
	Rejected                  // the node has MaxConnections connections
	Unreachable               // the node has crashed before
	Crashed                   // this connection exceeds the cold overload limit: the node and all its connections are lost
)

// Connect sends a connection of some load to the node. Rejected ones count for the cold overload limit too.
func (n *Node) Connect(now time.Duration, load float64) ConnectResult {
	if n.crashed {
		return Unreachable
	}
	if n.exceedsColdLimit(now, load) {
		n.crashed, n.connections, n.load = true, 0, 0
		return Crashed
	}
	if limit := n.settings.MaxConnections; limit > 0 && n.connections >= limit {
		return Rejected
	}
	n.connections++
	n.load += load
	return Accepted
}

// exceedsColdLimit adds a load to those of the last ColdOverloadDuration and compares their sum with the limit.
func (n *Node) exceedsColdLimit(now time.Duration, load float64) bool {
	s := &n.settings
	if n.WarmupRatio(now) == 1 || s.ColdOverloadFactor <= 0 {
		n.recent, n.recentLoad = nil, 0
		return false
	}
	expired := 0
	for expired < len(n.recent) && n.recent[expired].at <= now-s.ColdOverloadDuration {
		n.recentLoad -= n.recent[expired].load
		expired++
	}
	n.recent = append(n.recent[expired:], offeredLoad{at: now, load: load})
	n.recentLoad += load
	evenRate := s.Cores * s.Speed / s.WarmupDuration.Seconds()
	return n.recentLoad > s.ColdOverloadFactor*evenRate*s.ColdOverloadDuration.Seconds()+s.ColdOverloadAllowance
}

// ChangeLoad adds to the load of a connection of the node; a negative change reduces it.
func (n *Node) ChangeLoad(change float64) {
	if n.connections > 0 {
		n.load = max(n.load+change, 0)
	}
}

// Disconnect ends a connection of some load.
func (n *Node) Disconnect(load float64) {
	if n.connections == 0 {
		return
	}
	if n.connections--; n.connections == 0 {
		n.load = 0 // rounding errors of sums must not remain
		return
	}
	n.load = max(n.load-load, 0)
}

// Connections returns the number of open connections.
func (n *Node) Connections() int { return n.connections }

// Utilization returns the load over the capacity; 0 without load.
func (n *Node) Utilization(now time.Duration) float64 {
	if n.load == 0 {
		return 0
	}
	return n.load / max(n.Capacity(now), minCapacity)
}

// Up reports whether the node has not crashed.
func (n *Node) Up() bool { return !n.crashed }
