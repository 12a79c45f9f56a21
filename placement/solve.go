package placement

import (
	"fmt"
	"strings"
)

// Goals holds the figures by which plans are compared, in the order of the Problem; less is better in each. If two plans are
// equal in all of them, the one with the smaller flows is better: the flows are compared one after another, by class, zone of
// origin and destination zone in the order of their names.
type Goals struct {
	Uncarried int64 // units of load that no node carries
	Crossings int64 // sum over all units of load of the costs of their crossings
	Fullest   Ratio // load of the fullest node divided by its capacity; 0/0 means that no node carries load
	Moves     int64 // units of load on nodes that do not carry them in the current plan
}

// Flow is the load of a class that goes from a zone of origin, where its clients are, to the zone that carries it, in units of
// load.
type Flow struct {
	Class, From, To string
	Load            int64
}

// Plan is a placement: the load that each node carries.
type Plan struct {
	Goals
	Load     map[string]int64 // by node ID, in units of load; zero for a node without load
	Flows    []Flow           // flows above zero, ordered by class, zone of origin and destination zone
	Unplaced []Demand         // load that no node carries
	Proven   bool             // reports whether the search proved that no plan is better
	Bound    Goals            // goals of the first relaxation; no plan can have better ones
	Steps    int              // number of minimum-cost flows that were computed
}

// InfeasibleError reports that no plan meets all constraints.
type InfeasibleError struct {
	Conflict []Relaxation // a minimal set: without any one of them the others can be met
}

func (e *InfeasibleError) Error() string {
	var text strings.Builder
	text.WriteString("the constraints can't be met together:")
	for _, r := range e.Conflict {
		fmt.Fprintf(&text, "\n  %s (line %d): %s", r.Constraint.Name, r.Constraint.Line, r.Text)
	}
	return text.String()
}

// Options limits the work of the solver.
type Options struct {
	// MaxSteps is the number of minimum-cost flows after which Solve returns the best plan so far. As long as there is no
	// plan, the limit is searchLimitFactor times as many, but at least minSearchLimit, and Solve then returns a
	// *StepLimitError. Zero means no limit.
	MaxSteps int
}

const (
	// searchLimitFactor is the ratio of the limit on the search for a first plan to the limit on the search for a better one.
	searchLimitFactor = 16
	// minSearchLimit leaves time to find a first plan. Each branch takes about 70 steps.
	minSearchLimit = 1 << 13
)

// StepLimitError reports that a search reached its step limit before it had a result.
type StepLimitError struct {
	Steps      int  // number of minimum-cost flows that were computed
	Infeasible bool // no plan meets the constraints, but the conflict was not found
}

func (e *StepLimitError) Error() string { return e.Problem() + "; " + e.Remedy() }

// Problem describes what the search did not find.
func (e *StepLimitError) Problem() string {
	if e.Infeasible {
		return fmt.Sprintf("the constraints can't be met together, but %d steps were not enough to find the conflict", e.Steps)
	}
	return fmt.Sprintf("%d steps were not enough to find a plan or to prove that there is none", e.Steps)
}

// Retryable reports whether the same search may succeed later. It is always false because searches are deterministic.
func (e *StepLimitError) Retryable() bool { return false }

// Remedy describes what an operator can do about the error.
func (e *StepLimitError) Remedy() string {
	return "allow more steps, or remove constraints that force a choice of zones (spread, together)"
}

// Solve returns the best plan for a problem. It returns an *InfeasibleError if no plan meets the constraints, a
// *StepLimitError if it reached the step limit before it found a plan or the conflict, and the error of Problem.Check if the
// problem is invalid.
func Solve(p *Problem, o Options) (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s := &planner{problem: p, index: p.index(), maxSteps: o.MaxSteps}
	s.setSearchLimit()
	best := s.optimum(p.Constraints)
	if s.searchLimitReached {
		return nil, &StepLimitError{Steps: s.steps}
	}
	if best != nil {
		return best, nil
	}
	infeasible := s.findConflict()
	if s.searchLimitReached {
		return nil, &StepLimitError{Steps: s.steps, Infeasible: true}
	}
	return nil, infeasible
}

// planner holds the state of one call of Solve. A step is the computation of one minimum-cost flow.
type planner struct {
	problem  *Problem
	index    *index
	maxSteps int // zero means no limit
	steps    int // steps so far

	searchLimit        int  // value of steps at which a search that has no plan ends; zero means no limit
	searchLimitReached bool // reports whether a search has ended at searchLimit
}

// isOutOfSteps reports whether the search for a better plan must end.
func (s *planner) isOutOfSteps() bool { return s.maxSteps > 0 && s.steps >= s.maxSteps }

// setSearchLimit sets the limit of a search that has no plan, counted from the current number of steps.
func (s *planner) setSearchLimit() {
	if s.maxSteps > 0 {
		s.searchLimit = s.steps + max(searchLimitFactor*s.maxSteps, minSearchLimit)
	}
}

// checkSearchLimit reports whether a search that has no plan must end. It sets searchLimitReached if the limit has been
// reached.
func (s *planner) checkSearchLimit() bool {
	if s.searchLimit > 0 && s.steps >= s.searchLimit {
		s.searchLimitReached = true
	}
	return s.searchLimitReached
}
