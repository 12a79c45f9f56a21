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
	// MaxSteps ends the search for a better plan, once one is known, after this many minimum-cost flows. Where none is known
	// the search ends after searchFactor times as many, or minSearchSteps, with a *StepLimitError. 0 is no bound.
	MaxSteps int
}

const (
	// searchFactor is how many times longer a first plan is searched for than a better one.
	searchFactor = 16
	// minSearchSteps leaves time for a first plan, of which each branch takes some 70 steps.
	minSearchSteps = 1 << 13
)

// StepLimitError says that a search ended with Options.MaxSteps before it reached anything.
type StepLimitError struct {
	Steps      int  // minimum-cost flows computed
	Infeasible bool // no plan meets the constraints; which of them conflict was not found
}

func (e *StepLimitError) Error() string { return e.Problem() + "; " + e.Remedy() }

// Problem says what was not reached.
func (e *StepLimitError) Problem() string {
	if e.Infeasible {
		return fmt.Sprintf("the constraints can't be met together, and which of them conflict was not found in %d steps", e.Steps)
	}
	return fmt.Sprintf("no plan was found in %d steps, nor shown that there is none", e.Steps)
}

// Retryable reports whether the same search may succeed later.
func (e *StepLimitError) Retryable() bool { return false }

// Remedy says what an operator can do.
func (e *StepLimitError) Remedy() string {
	return "allow more steps, or leave out constraints that force a choice of zones"
}

// Solve returns the best plan for a problem. Its error is an *InfeasibleError if no plan meets the constraints, a
// *StepLimitError if the search ended before that was known, or that of Problem.Check.
func Solve(p *Problem, o Options) (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s := &planner{problem: p, index: p.index(), maxSteps: o.MaxSteps}
	s.beginSearch()
	best := s.optimum(p.Constraints)
	if s.isExceeded {
		return nil, &StepLimitError{Steps: s.steps}
	}
	if best != nil {
		return best, nil
	}
	infeasible := s.explain()
	if s.isExceeded {
		return nil, &StepLimitError{Steps: s.steps, Infeasible: true}
	}
	return nil, infeasible
}

// planner is the state of one call of Solve.
type planner struct {
	problem  *Problem
	index    *index
	maxSteps int // 0: no bound
	steps    int // minimum-cost flows computed so far

	searchEnd  int  // steps after which a search without a plan ends; 0: no bound
	isExceeded bool // a search ended so
}

func (s *planner) isOutOfSteps() bool { return s.maxSteps > 0 && s.steps >= s.maxSteps }

// beginSearch sets the bound of a search without a plan, from the steps so far on.
func (s *planner) beginSearch() {
	if s.maxSteps > 0 {
		s.searchEnd = s.steps + max(searchFactor*s.maxSteps, minSearchSteps)
	}
}

// exceedsSearch reports whether a search without a plan has to end, and notes it.
func (s *planner) exceedsSearch() bool {
	if s.searchEnd > 0 && s.steps >= s.searchEnd {
		s.isExceeded = true
	}
	return s.isExceeded
}
