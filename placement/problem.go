// Package placement works out which node is to carry how much, ahead of time and exactly. It does no I/O and reads no
// clock: a Problem goes in, and a Plan that is proven best comes out, or the constraints that can't be met together. All
// figures are whole numbers, so that a result is the same on every machine.
package placement

import (
	"errors"
	"fmt"
	"slices"
	"sort"
)

// Bounds of a Problem's figures. Sums and products of them stay within 64 bits.
const (
	MaxLoad  = 1_000_000_000 // of one demand, and one node's capacity
	MaxCost  = 1_000_000     // of one crossing
	MaxNodes = 20_000
	MaxZones = 200
)

// Ratio is a part of something, exactly. The zero value is nothing; see where it is used.
type Ratio struct{ Num, Den int64 }

func (r Ratio) of(n int64) int64 { return n/r.Den*r.Num + n%r.Den*r.Num/r.Den }

// Node can carry load.
type Node struct {
	ID          string
	Zone        string
	Model       string
	Capacity    int64 // in units of load; 0: it carries nothing
	CurrentLoad int64 // that the plan in force gives it; moves are counted from there
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

// Kind is what a Constraint demands.
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

// Constraint is one demand on plans. It is named, so that a conflict can be told.
type Constraint struct {
	Name    string
	Line    int // where it is written; 0: nowhere
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

// Problem is what a plan is wanted for.
type Problem struct {
	Zones       []string // all of them; a zone may have no node or no demand
	Nodes       []Node
	Demands     []Demand
	Crossings   []Crossing
	DefaultCost int64 // of a crossing that is not given
	Constraints []Constraint
	Order       []Goal // in which goals count; nil: DefaultOrder
}

// Goal is one of Goals.
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

// Check reports all that is wrong with a Problem's form.
func (p *Problem) Check() error {
	var errs []error
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	zone := func(where, z string) {
		if !slices.Contains(p.Zones, z) {
			fault("%s: %q is no zone", where, z)
		}
	}
	unique := func(what string, names []string) {
		sorted := slices.Sorted(slices.Values(names))
		for i := 1; i < len(sorted); i++ {
			if sorted[i] == sorted[i-1] {
				fault("%s %q is given twice", what, sorted[i])
			}
		}
	}
	if len(p.Zones) > MaxZones || len(p.Nodes) > MaxNodes {
		fault("%d zones and %d nodes are more than %d and %d", len(p.Zones), len(p.Nodes), MaxZones, MaxNodes)
	}
	unique("zone", p.Zones)
	var ids, names []string
	for _, n := range p.Nodes {
		ids = append(ids, n.ID)
		zone("node "+n.ID, n.Zone)
		if n.Capacity < 0 || n.Capacity > MaxLoad || n.CurrentLoad < 0 || n.CurrentLoad > MaxLoad {
			fault("node %s: capacity %d or load %d is not within 0 and %d", n.ID, n.Capacity, n.CurrentLoad, MaxLoad)
		}
	}
	unique("node", ids)
	var demands []string
	for _, d := range p.Demands {
		zone("demand", d.Zone)
		demands = append(demands, d.Zone+" "+d.Class)
		if d.Load < 0 || d.Load > MaxLoad {
			fault("demand of %s in %s: %d is not within 0 and %d", d.Class, d.Zone, d.Load, MaxLoad)
		}
	}
	unique("demand", demands)
	for _, c := range append([]Crossing{{Cost: p.DefaultCost}}, p.Crossings...) {
		if c.From != "" || c.To != "" {
			zone("crossing", c.From)
			zone("crossing", c.To)
		}
		if c.Cost < 0 || c.Cost > MaxCost {
			fault("crossing %s to %s: cost %d is not within 0 and %d", c.From, c.To, c.Cost, MaxCost)
		}
	}
	for _, c := range p.Constraints {
		names = append(names, c.Name)
		for _, z := range c.Zones {
			zone(c.Name, z)
		}
		if c.Count < 0 || c.Least < 0 || c.Count > MaxLoad || c.Least > MaxLoad {
			fault("%s: a count is out of range", c.Name)
		}
		if (c.Kind == Headroom || c.Kind == Share) && (c.Part.Den <= 0 || c.Part.Den > 1_000_000 || c.Part.Num < 0 || c.Part.Num > c.Part.Den) {
			fault("%s: %d/%d is no part", c.Name, c.Part.Num, c.Part.Den)
		}
	}
	unique("constraint", names)
	if got := slices.Sorted(slices.Values(p.order())); !slices.Equal(got, slices.Sorted(slices.Values(DefaultOrder))) {
		fault("goals: %v is not each of %v once", p.Order, DefaultOrder)
	}
	return errors.Join(errs...)
}

// indexed is a Problem by numbers, in the canonical order: zones, classes and nodes by name.
type indexed struct {
	zones   []string
	classes []string
	nodes   []Node    // by zone, then ID
	inZone  [][]int   // nodes of each zone
	demand  [][]int64 // by class and zone
	total   int64
	cost    [][]int64 // by zones
}

func (p *Problem) index() *indexed {
	x := &indexed{zones: slices.Sorted(slices.Values(p.Zones))}
	number := map[string]int{}
	for i, z := range x.zones {
		number[z] = i
	}
	for _, d := range p.Demands {
		if !slices.Contains(x.classes, d.Class) {
			x.classes = append(x.classes, d.Class)
		}
	}
	sort.Strings(x.classes)
	x.demand = make([][]int64, len(x.classes))
	for k := range x.demand {
		x.demand[k] = make([]int64, len(x.zones))
	}
	for _, d := range p.Demands {
		x.demand[slices.Index(x.classes, d.Class)][number[d.Zone]] = d.Load
		x.total += d.Load
	}
	x.cost = make([][]int64, len(x.zones))
	for i := range x.cost {
		x.cost[i] = make([]int64, len(x.zones))
		for j := range x.cost[i] {
			if i != j {
				x.cost[i][j] = p.DefaultCost
			}
		}
	}
	for _, c := range p.Crossings {
		x.cost[number[c.From]][number[c.To]] = c.Cost
	}
	x.nodes = slices.Clone(p.Nodes)
	slices.SortFunc(x.nodes, func(a, b Node) int {
		if d := number[a.Zone] - number[b.Zone]; d != 0 {
			return d
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	x.inZone = make([][]int, len(x.zones))
	for i, n := range x.nodes {
		z := number[n.Zone]
		x.inZone[z] = append(x.inZone[z], i)
	}
	return x
}
