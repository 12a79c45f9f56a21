package placement

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// relaxedPartDenominator is the denominator of the fractions that are tried as a relaxed Part.
const relaxedPartDenominator = 1000

// Relaxation is a constraint of a conflict, with a description of the change to it that lets the others be met.
type Relaxation struct {
	Constraint Constraint
	Text       string // the change, for operators
}

// findConflict returns a minimal set of constraints that conflict. It tries each constraint in turn, and leaves out a
// constraint if the rest still conflicts without it. MaxSteps does not apply here, but a new search limit applies to all the
// work of findConflict.
func (s *planner) findConflict() *InfeasibleError {
	s.setSearchLimit()
	s.maxSteps = 0
	conflict := slices.Clone(s.problem.Constraints)
	for i := 0; i < len(conflict); {
		if rest := withoutConstraint(conflict, i); s.isFeasible(rest) {
			i++
		} else {
			conflict = rest
		}
	}
	e := &InfeasibleError{}
	for i, c := range conflict {
		e.Conflict = append(e.Conflict, Relaxation{c, s.describeRelaxation(conflict, i)})
	}
	return e
}

// withoutConstraint returns a copy of the list without the constraint at position i.
func withoutConstraint(constraints []Constraint, i int) []Constraint {
	return slices.Delete(slices.Clone(constraints), i, i+1)
}

// describeRelaxation describes how much a constraint of a conflict must be relaxed for the others to be met.
func (s *planner) describeRelaxation(conflict []Constraint, i int) string {
	text := ""
	switch conflict[i].Kind {
	case Carry:
		text = s.describeCarryRelaxation(conflict, i)
	case Headroom, Share:
		text = s.describePartRelaxation(conflict, i)
	case Spread:
		text = s.describeSpreadRelaxation(conflict, i)
	case Connections:
		text = s.describeConnectionsRelaxation(conflict, i)
	case Moves:
		text = fmt.Sprintf("%d units would suffice in place of %d", s.minCount(conflict, i), conflict[i].Count)
	}
	if text == "" {
		return "without it the others can be met"
	}
	return text
}

// isFeasibleWith reports whether the constraints can be met together after a change to the constraint at position i.
func (s *planner) isFeasibleWith(constraints []Constraint, i int, change func(*Constraint)) bool {
	changed := slices.Clone(constraints)
	change(&changed[i])
	return s.isFeasible(changed)
}

// minCount returns the smallest Count of a constraint with which all constraints can be met, or the total demand plus 1 if
// there is none.
func (s *planner) minCount(constraints []Constraint, i int) int64 {
	return int64(sort.Search(int(s.index.totalDemand)+1, func(n int) bool {
		return s.isFeasibleWith(constraints, i, func(c *Constraint) { c.Count = int64(n) })
	}))
}

func (s *planner) describeCarryRelaxation(conflict []Constraint, i int) string {
	plan := s.optimum(withoutConstraint(conflict, i))
	if plan == nil {
		return ""
	}
	missed := map[string]int64{}
	for _, d := range plan.Unplaced {
		if class := conflict[i].Class; class == "" || class == d.Class {
			missed[d.Zone] += d.Load
		}
	}
	var parts []string
	for zone, load := range missed {
		parts = append(parts, fmt.Sprintf("%d units from %s", load, zone))
	}
	slices.Sort(parts)
	return "without it " + strings.Join(parts, " and ") + " are not carried"
}

func (s *planner) describePartRelaxation(conflict []Constraint, i int) string {
	minPart := sort.Search(relaxedPartDenominator+1, func(n int) bool {
		return s.isFeasibleWith(conflict, i, func(c *Constraint) { c.Part = Ratio{int64(n), relaxedPartDenominator} })
	})
	if minPart > relaxedPartDenominator {
		return "no fraction up to 1 suffices; the others can be met only without it"
	}
	part := conflict[i].Part
	return fmt.Sprintf("%d/%d would suffice in place of %d/%d", minPart, relaxedPartDenominator, part.Num, part.Den)
}

func (s *planner) describeSpreadRelaxation(conflict []Constraint, i int) string {
	count := conflict[i].Count
	for n := count - 1; n > 0; n-- {
		if s.isFeasibleWith(conflict, i, func(c *Constraint) { c.Count = n }) {
			return fmt.Sprintf("%d zones would suffice in place of %d", n, count)
		}
	}
	return ""
}

func (s *planner) describeConnectionsRelaxation(conflict []Constraint, i int) string {
	minCount := s.minCount(conflict, i)
	if minCount > s.index.totalDemand {
		return ""
	}
	return fmt.Sprintf("%d connections would suffice in place of %d", minCount, conflict[i].Count)
}
