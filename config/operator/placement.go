package operator

import (
	"slices"

	"olympos.io/encoding/edn"

	"example.org/milletvane/placement"
)

// Placement holds the input for the computation of plans, apart from the list of nodes.
type Placement struct {
	Capacity    map[string]int64 // capacity of a node in units of load, by the node's kind in the endpoint list
	Demands     []placement.Demand
	Crossings   []placement.Crossing
	DefaultCost int64 // cost per unit of load of a crossing between two zones that Crossings does not name
	Constraints []placement.Constraint
	Batches     []placement.Batch
	GoalOrder   []placement.Goal // the goals, most important first; nil means the default order
}

// readPlacement reads the section placement.
func readPlacement(s *section) *Placement {
	p := &Placement{Capacity: map[string]int64{}}
	s.entries("capacity", func(e *entry) {
		kind := e.text("a kind of node")
		if _, repeated := p.Capacity[kind]; repeated {
			e.fail(e.form.line, "%q is given twice", kind)
		}
		p.Capacity[kind] = e.number("its capacity", 0, placement.MaxLoad)
	})
	s.entries("demand", func(e *entry) {
		p.Demands = append(p.Demands, placement.Demand{
			Zone: e.text("a zone"), Class: e.text("a class"), Load: e.number("its load", 0, placement.MaxLoad),
		})
	})
	s.entries("crossing", func(e *entry) {
		p.Crossings = append(p.Crossings, placement.Crossing{
			From: e.text("a zone"), To: e.text("a zone"), Cost: e.number("its cost", 0, placement.MaxCost),
		})
	})
	s.entries("batch", func(e *entry) {
		p.Batches = append(p.Batches, placement.Batch{
			Model: e.text("a kind of node"), Size: int(e.number("its size", 1, placement.MaxNodes)),
		})
	})
	s.entries("goals", func(e *entry) { p.GoalOrder = readGoals(e) })
	p.DefaultCost = int64(s.integer("crossing-default", 1, 0, placement.MaxCost))
	p.Constraints = readConstraints(s)
	return p
}

// readGoals reads the order of the goals, which must name each goal once.
func readGoals(e *entry) (order []placement.Goal) {
	for e.hasMore() {
		x, _ := e.next("a goal")
		symbol, ok := x.atom.(edn.Symbol)
		goal := placement.Goal(symbol)
		if !ok || !slices.Contains(placement.DefaultOrder, goal) || slices.Contains(order, goal) {
			e.fail(x.line, "%s is not one of %v, each once", x, placement.DefaultOrder)
		}
		order = append(order, goal)
	}
	if len(order) != len(placement.DefaultOrder) {
		e.fail(e.form.line, "%d goals are named and %d wanted", len(order), len(placement.DefaultOrder))
	}
	return order
}
