package simulation

import (
	"errors"
	"fmt"
	"time"
)

// ErrNodeSettings is wrapped by the errors that report out-of-range settings of a node.
var ErrNodeSettings = errors.New("settings out of range")

// minCapacity keeps the utilization of a node without capacity finite. It is in reference cores.
const minCapacity = 1e-9

// NodeSettings describes a node. The cold overload limit models servers that crash if they get too many connections while
// they warm up: a cold node crashes if the load sent to it within any ColdOverloadDuration exceeds the limit. The limit is
// ColdOverloadFactor times the load that a node gets in that time if it is filled evenly over WarmupDuration, plus
// ColdOverloadAllowance.
type NodeSettings struct {
	Cores             float64       // number of cores, above 0
	Speed             float64       // speed of a core relative to a reference core, above 0
	ColdCapacityRatio float64       // fraction of its capacity that a node has at its start, from 0 to 1
	WarmupDuration    time.Duration // time in which the capacity rises linearly to its full value; zero means a warm start
	MaxConnections    int           // zero means no limit
	FullOverheadRatio float64       // fraction of the capacity that MaxConnections connections take, from 0 to below 1

	ColdOverloadFactor    float64       // zero means no limit
	ColdOverloadDuration  time.Duration // window over which offered load is summed
	ColdOverloadAllowance float64       // added to the limit, in reference cores
}

func (s NodeSettings) validate() error {
	if !(s.Cores > 0) || !(s.Speed > 0) || !inUnitRange(s.ColdCapacityRatio) ||
		!(s.FullOverheadRatio >= 0 && s.FullOverheadRatio < 1) {
		return fmt.Errorf("%w: cores %v, speed %v, cold capacity ratio %v, full overhead ratio %v",
			ErrNodeSettings, s.Cores, s.Speed, s.ColdCapacityRatio, s.FullOverheadRatio)
	}
	return nil
}

// inUnitRange reports whether v is in the range from 0 to 1.
func inUnitRange(v float64) bool { return v >= 0 && v <= 1 }

// Node models one server of long-lived connections. Loads and capacities are in reference cores. A reference core is a core
// of Speed 1.
type Node struct {
	settings NodeSettings

	startedAt         time.Duration // time of the latest start
	startedWarm       bool          // whether the node started before the simulation began
	crashed           bool
	connections       int
	load              float64       // total load of the connections
	neighbourRatio    float64       // fraction of the capacity that noisy neighbors on the machine take
	recentOffers      []offeredLoad // offers within the last ColdOverloadDuration while cold, in the order of time
	recentOfferedLoad float64       // total load of recentOffers
}

// offeredLoad is the load of a connection that was sent to a cold node, whether or not the node accepted it.
type offeredLoad struct {
	at   time.Duration
	load float64
}

// NewNode returns a warm node. Its errors contain the name and wrap ErrNodeSettings.
func NewNode(name string, s NodeSettings) (*Node, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("simulation: node %s: %w", name, err)
	}
	return &Node{settings: s, startedWarm: true}, nil
}

// Restart restarts the node cold and without connections. The caller must end the connections that the node had.
func (n *Node) Restart(now time.Duration) {
	*n = Node{settings: n.settings, startedAt: now, neighbourRatio: n.neighbourRatio}
}

// SetNeighbourRatio sets the fraction of the node's capacity that noisy neighbors on the machine take. The ratio is clamped
// to the range from 0 to 1.
func (n *Node) SetNeighbourRatio(ratio float64) { n.neighbourRatio = min(max(ratio, 0), 1) }

// WarmupRatio returns the fraction of its capacity that the node has at this point of its warm-up. A warm node has 1.
func (n *Node) WarmupRatio(now time.Duration) float64 {
	s, age := &n.settings, now-n.startedAt
	if n.startedWarm || s.WarmupDuration <= 0 || age >= s.WarmupDuration {
		return 1
	}
	return s.ColdCapacityRatio + (1-s.ColdCapacityRatio)*float64(age)/float64(s.WarmupDuration)
}

// Capacity returns the load that the node can serve at the given time.
func (n *Node) Capacity(now time.Duration) float64 {
	s := &n.settings
	capacity := s.Cores * s.Speed * n.WarmupRatio(now) * (1 - n.neighbourRatio)
	if s.MaxConnections > 0 {
		capacity *= 1 - s.FullOverheadRatio*float64(n.connections)/float64(s.MaxConnections)
	}
	return capacity
}

// ConnectResult is the result of sending a connection to a node.
type ConnectResult int

// The results of Connect.
const (
	Accepted    ConnectResult = iota
	Rejected                  // the node has MaxConnections connections
	Unreachable               // the node crashed earlier
	Crashed                   // this connection exceeded the cold overload limit: the node and all its connections are lost
)

// Connect sends a connection of the given load to the node. Rejected connections also count towards the cold overload
// limit.
func (n *Node) Connect(now time.Duration, load float64) ConnectResult {
	if n.crashed {
		return Unreachable
	}
	if n.exceedsColdOverloadLimit(now, load) {
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

// exceedsColdOverloadLimit records an offered load and reports whether the total of the last ColdOverloadDuration exceeds
// the cold overload limit. A warm node has no limit.
func (n *Node) exceedsColdOverloadLimit(now time.Duration, load float64) bool {
	s := &n.settings
	if n.WarmupRatio(now) == 1 || s.ColdOverloadFactor <= 0 {
		n.recentOffers, n.recentOfferedLoad = nil, 0
		return false
	}
	expired := 0
	for expired < len(n.recentOffers) && n.recentOffers[expired].at <= now-s.ColdOverloadDuration {
		n.recentOfferedLoad -= n.recentOffers[expired].load
		expired++
	}
	n.recentOffers = append(n.recentOffers[expired:], offeredLoad{at: now, load: load})
	n.recentOfferedLoad += load
	evenRate := s.Cores * s.Speed / s.WarmupDuration.Seconds()
	return n.recentOfferedLoad > s.ColdOverloadFactor*evenRate*s.ColdOverloadDuration.Seconds()+s.ColdOverloadAllowance
}

// ChangeLoad changes the load of one of the node's connections by the given amount, which may be negative.
func (n *Node) ChangeLoad(change float64) {
	if n.connections > 0 {
		n.load = max(n.load+change, 0)
	}
}

// Disconnect ends a connection of the given load.
func (n *Node) Disconnect(load float64) {
	if n.connections == 0 {
		return
	}
	if n.connections--; n.connections == 0 {
		n.load = 0 // drops accumulated rounding errors
		return
	}
	n.load = max(n.load-load, 0)
}

// Connections returns the number of open connections.
func (n *Node) Connections() int { return n.connections }

// Utilization returns the load divided by the capacity, or 0 without load.
func (n *Node) Utilization(now time.Duration) float64 {
	if n.load == 0 {
		return 0
	}
	return n.load / max(n.Capacity(now), minCapacity)
}

// Up reports whether the node is running, that is, has not crashed since its latest start.
func (n *Node) Up() bool { return !n.crashed }
