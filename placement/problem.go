// Package placement computes the load that each node of a fleet should carry. Solve takes a Problem and returns the best Plan,
// with a proof that no plan is better, or an InfeasibleError with a minimal set of constraints that conflict. Contingencies
// computes plans for the loss of nodes.
//
// The solver is a branch and bound over minimum-cost flows. All figures are integers and ties are broken by name, so a problem
// has the same result on every machine. The package does no I/O, reads no clock and keeps no state between calls. Its
// functions are safe for concurrent use as long as no goroutine changes a Problem that is in use.
package placement

// Limits of the figures of a Problem. Within them, sums and products of the figures fit into 64 bits.
const (
	MaxLoad  = 1_000_000_000 // units of load of one demand, and capacity of one node
	MaxCost  = 1_000_000     // cost of one crossing
	MaxNodes = 20_000
	MaxZones = 200
)

// Node is a server that can carry load.
type Node struct {
	ID          string
	Zone        string
	Model       string
	Capacity    int64 // in units of load; zero means that the node carries nothing
	CurrentLoad int64 // load in the current plan, in units of load; moves are counted from it
}

// Demand is the load of one class that the clients of one zone cause, in units of load.
type Demand struct {
	Zone  string
	Class string
	Load  int64
}

// Crossing gives the cost of a unit of load that originates in zone From and is carried in zone To. A pair of two zones that
// is not listed costs DefaultCost of the Problem. Load that stays in its zone costs nothing unless the pair is listed.
type Crossing struct {
	From, To string
	Cost     int64
}

// Kind is the kind of a Constraint. The comment on each kind says which fields of the Constraint it uses.
type Kind int

// The kinds of constraints.
const (
	Carry       Kind = iota // all load of Class is carried; an empty Class means every class
	Headroom                // no node carries more than the fraction Part of its capacity
	Keep                    // Class is carried only in Zones; without Zones, only in its zone of origin
	KeepOut                 // Class is carried in none of Zones
	Spread                  // at least Count zones carry at least Least units of Class each; a Least of zero counts as 1
	Share                   // no node carries more than the fraction Part of the total demand
	Together                // all load of Classes that is carried at all is carried in one zone
	Pair                    // a node of Model carries load only if paired, one to one, with a node of model With in its zone
	Connections             // a node of Model carries at most Count connections of Least units each; a Least of zero counts as 1
	Moves                   // at most Count units of load are on nodes that do not carry them in the current plan
)

// Constraint is a requirement that every plan must meet.
//
// Plan files hold a hash of the constraints as text, which includes the field names. Renaming or adding a field makes existing
// plan files outdated.
type Constraint struct {
	Name    string // unique within a Problem; named in conflicts
	Line    int    // line in the file that it was read from; zero means that there is none
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

// Problem is the input of Solve: a fleet, the load to place on it, and the constraints and goals of the placement. Check
// enforces the rules for its figures and names. Solve and Contingencies do not change it.
type Problem struct {
	Zones       []string // every zone; a zone may have no node or no demand
	Nodes       []Node
	Demands     []Demand
	Crossings   []Crossing
	DefaultCost int64 // cost of a crossing that is not in Crossings
	Constraints []Constraint
	Order       []Goal // goals, the most important first; nil means DefaultOrder
}

// Goal names one field of Goals.
type Goal string

// The goals by which plans are compared.
const (
	Uncarried Goal = "uncarried"
	Crossings Goal = "crossings"
	Fullest   Goal = "fullest"
	Moved     Goal = "moves"
)

// DefaultOrder is the order of the goals, the most important first, for a Problem without an Order.
var DefaultOrder = []Goal{Uncarried, Crossings, Fullest, Moved}

func (p *Problem) order() []Goal {
	if p.Order == nil {
		return DefaultOrder
	}
	return p.Order
}
