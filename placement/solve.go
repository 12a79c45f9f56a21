package placement

import (
	"fmt"
	"strings"
)

// Goals are what plans are compared by, in the Problem's order: less is better in each. Of plans that are equal in all, the
// one with the least flows is the best, compared by class, zone of origin and zone in the order of names.
type Goals struct {
	Uncarried int64 // units of load that no node carries
	Crossings int64 // units of load times the cost of their crossing
	Fullest   Ratio // load to capacity of the fullest node; 0/0: no node carries anything
	Moves     int64 // units of load that the plan in force has on other nodes
}

// Flow is load of a class from the zone of its clients to the zone that carries it.
type Flow struct {
	Class, From, To string
	Load            int64
}

// Plan is a placement: what each node carries.
type Plan struct {
	Goals
	Load   map[string]int64 // by node ID; nodes without load have 0
	Flows  []Flow           // that are not 0, by class, zone of origin and zone
	Missed []Demand         // load that is not carried
	Proven bool             // no plan is better; otherwise Bound is the best that one could reach
	Bound  Goals
	Steps  int // minimum-cost flows computed
}

// InfeasibleError says that the constraints can't be met together.
type InfeasibleError struct {
	Conflict []Relaxation // minimal: without any one of them the others can be met
}

func (e *InfeasibleError) Error() string {
	var text strings.Builder
	text.WriteString("the constraints can't be met together:")
	for _, r := range e.Conflict {
		fmt.Fprintf(&text, "\n  %s (line %d): %s", r.Constraint.Name, r.Constraint.Line, r.Text)
	}
	return text.String()
}

// Options bound the work of the solver.
type Options struct {
	// MaxSteps ends the search for a better plan, once one is known, after this many minimum-cost flows. 0 is no bound.
	MaxSteps int
}

// Solve returns the best plan for a problem. Its error is an *InfeasibleError if no plan meets the constraints, or that of
// Problem.Check.
func Solve(p *Problem, o Options) (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s := &planner{problem: p, index: p.index(), maxSteps: o.MaxSteps}
	best := s.optimum(p.Constraints)
	if best == nil {
		return nil, s.explain()
	}
	return best, nil
}

// planner is the state of one call of Solve.
type planner struct {
	problem  *Problem
	index    *index
	maxSteps int // 0: no bound
	steps    int // minimum-cost flows computed so far
}

func (s *planner) isOutOfSteps() bool { return s.maxSteps > 0 && s.steps >= s.maxSteps }
