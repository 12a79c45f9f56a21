package placement

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// partScale is the denominator of the parts that are tried in a relaxation.
const partScale = 1000

// Relaxation is a constraint of a conflict, with what it would take for the others to be met.
type Relaxation struct {
	Constraint Constraint
	Text       string // for operators
}

// explain finds a minimal set of constraints that conflict: one after another is left out, and stays out if the rest still
// conflicts. Its steps have a bound of their own, as those of a search without a plan.
func (s *planner) explain() *InfeasibleError {
	s.beginSearch()
	s.maxSteps = 0
	conflict := slices.Clone(s.problem.Constraints)
	for i := 0; i < len(conflict); {
		if rest := without(conflict, i); s.feasible(rest) {
			i++
		} else {
			conflict = rest
		}
	}
	e := &InfeasibleError{}
	for i, c := range conflict {
		e.Conflict = append(e.Conflict, Relaxation{c, s.relaxation(conflict, i)})
	}
	return e
}

func without(constraints []Constraint, i int) []Constraint {
	return slices.Delete(slices.Clone(constraints), i, i+1)
}

// relaxation says by how much a constraint of a conflict must give way for the others to be met.
func (s *planner) relaxation(conflict []Constraint, i int) string {
	text := ""
	switch conflict[i].Kind {
	case Carry:
		text = s.carryRelaxation(conflict, i)
	case Headroom, Share:
		text = s.partRelaxation(conflict, i)
	case Spread:
		text = s.spreadRelaxation(conflict, i)
	case Connections:
		text = s.connectionsRelaxation(conflict, i)
	case Moves:
		text = fmt.Sprintf("%d units would do in place of %d", s.minCount(conflict, i), conflict[i].Count)
	}
	if text == "" {
		return "without it the others are met"
	}
	return text
}

// feasibleWith reports whether the constraints can be met together with one of them changed.
func (s *planner) feasibleWith(constraints []Constraint, i int, change func(*Constraint)) bool {
	changed := slices.Clone(constraints)
	change(&changed[i])
	return s.feasible(changed)
}

// minCount returns the least Count of a constraint with which all can be met, or more than all load.
func (s *planner) minCount(constraints []Constraint, i int) int64 {
	return int64(sort.Search(int(s.index.totalDemand)+1, func(n int) bool {
		return s.feasibleWith(constraints, i, func(c *Constraint) { c.Count = int64(n) })
	}))
}

func (s *planner) carryRelaxation(conflict []Constraint, i int) string {
	plan := s.optimum(without(conflict, i))
	if plan == nil {
		return ""
	}
	missed := map[string]int64{}
	for _, d := range plan.Missed {
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

func (s *planner) partRelaxation(conflict []Constraint, i int) string {
	minPart := sort.Search(partScale+1, func(n int) bool {
		return s.feasibleWith(conflict, i, func(c *Constraint) { c.Part = Ratio{int64(n), partScale} })
	})
	if minPart > partScale {
		return "no part of it is enough by itself; it would have to go"
	}
	part := conflict[i].Part
	return fmt.Sprintf("%d/%d would do in place of %d/%d", minPart, partScale, part.Num, part.Den)
}

func (s *planner) spreadRelaxation(conflict []Constraint, i int) string {
	count := conflict[i].Count
	for n := count - 1; n > 0; n-- {
		if s.feasibleWith(conflict, i, func(c *Constraint) { c.Count = n }) {
			return fmt.Sprintf("%d zones would do in place of %d", n, count)
		}
	}
	return ""
}

func (s *planner) connectionsRelaxation(conflict []Constraint, i int) string {
	minCount := s.minCount(conflict, i)
	if minCount > s.index.totalDemand {
		return ""
	}
	return fmt.Sprintf("%d connections would do in place of %d", minCount, conflict[i].Count)
}
