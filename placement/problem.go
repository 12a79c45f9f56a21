// Package placement computes how much load each node of a fleet is to carry, ahead of time and exactly: Solve takes a Problem
// and returns the best Plan with a proof that none is better, or an InfeasibleError with a minimal set of constraints that
// can't be met together. Contingencies computes the plans for the loss of nodes.
//
// The solver is a branch and bound over minimum-cost flows. All figures are whole numbers and ties are broken by name, so a
// result is the same on every machine. The package does no I/O, reads no clock and keeps no state between calls; its functions
// may be called from several goroutines if none of them changes the same Problem.
package placement

// Bounds of a Problem's figures. Sums and products of them stay within 64 bits.
const (
	MaxLoad  = 1_000_000_000 // of one demand, and one node's capacity
	MaxCost  = 1_000_000     // of one crossing
	MaxNodes = 20_000
	MaxZones = 200
)

// Node can carry load.
type Node struct {
	ID          string
	Zone        string
	Model       string
	Capacity    int64 // in units of load; 0: it carries nothing
	CurrentLoad int64 // in the plan in force, in units of load; moves are counted from it
}

// Demand is load that clients of a zone bring, of one class.
type Demand struct {
	Zone  string
	Class string
	Load  int64
}

// Crossing is what a unit of load costs when it comes from one zone and is carried in another. Pairs that are not given cost
// the Problem's DefaultCost.
type Crossing struct {
	From, To string
	Cost     int64
}

// Kind is what a Constraint demands. The comments on the kinds say which fields of the Constraint they use.
type Kind int

// Kinds of constraints.
const (
	Carry       Kind = iota // all load of Class is carried; empty Class: all load
	Headroom                // no node carries more than Part of its capacity
	Keep                    // Class is carried in Zones alone; no Zones: in the zone that it comes from
	KeepOut                 // Class is carried in none of Zones
	Spread                  // at least Count zones carry Least or more of Class each
	Share                   // no node carries more than Part of all load
	Together                // all load of Classes that is carried is carried in one zone
	Pair                    // a node of Model counts only beside one of With in its zone, each one once
	Connections             // a node of Model carries at most Count connections of Least load each
	Moves                   // at most Count units of load go to where the plan in force does not have them
)

// Constraint is a requirement that plans must meet.
//
// Plan files hold a hash of the constraints' text, field names included: a renamed or added field makes them out of date.
type Constraint struct {
	Name    string // unique; reported in conflicts
	Line    int    // of the file that it was read from; 0: none
	Kind    Kind
	Class   string
	Classes []string
	Zones   []string
	Count   int64
	Least   int64
	Part    Ratio
	Model   string
	With    string
}

// Problem is the input of Solve: a fleet, the load to place on it, and the constraints and goals of the placement. Check lists
// the rules for its figures. Solve and Contingencies do not change it.
type Problem struct {
	Zones       []string // all of them; a zone may have no node or no demand
	Nodes       []Node
	Demands     []Demand
	Crossings   []Crossing
	DefaultCost int64 // of a crossing that is not given
	Constraints []Constraint
	Order       []Goal // the most important goal first; nil: DefaultOrder
}

// Goal names a goal: one field of Goals.
type Goal string

// The goals that plans are compared by.
const (
	Uncarried Goal = "uncarried"
	Crossings Goal = "crossings"
	Fullest   Goal = "fullest"
	Moved     Goal = "moves"
)

// DefaultOrder is the order in which goals count where a Problem names none.
var DefaultOrder = []Goal{Uncarried, Crossings, Fullest, Moved}

func (p *Problem) order() []Goal {
	if p.Order == nil {
		return DefaultOrder
	}
	return p.Order
}
