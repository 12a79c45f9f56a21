package placement

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Relaxation is a constraint of a conflict, with what it would take for the others to be met.
type Relaxation struct {
	Constraint Constraint
	Text       string
}

// feasible reports whether constraints can be met together.
func (s *planner) feasible(cs []Constraint) bool { return s.search(cs, false) != nil }

// explain finds a smallest set of constraints that conflict: one after another is left out, and stays out where the rest
// conflicts all the same. What remains needs each of its members.
func (s *planner) explain() *InfeasibleError {
	s.steps = 0 // a conflict is found whole or not at all
	cs := slices.Clone(s.p.Constraints)
	for i := 0; i < len(cs); {
		without := slices.Delete(slices.Clone(cs), i, i+1)
		if s.feasible(without) {
			i++
		} else {
			cs = without
		}
	}
	e := &InfeasibleError{}
	for i, c := range cs {
		e.Conflict = append(e.Conflict, Relaxation{c, s.relaxation(cs, i)})
	}
	return e
}

// relaxation says by how much a member of a conflict must give way for the others to be met.
func (s *planner) relaxation(cs []Constraint, at int) string {
	with := func(change func(*Constraint)) bool {
		changed := slices.Clone(cs)
		change(&changed[at])
		return s.feasible(changed)
	}
	c := cs[at]
	switch c.Kind {
	case Carry:
		plan := s.search(slices.Delete(slices.Clone(cs), at, at+1), true)
		if plan == nil {
			break
		}
		missing := map[string]int64{}
		for _, d := range plan.Missed {
			if c.Class == "" || c.Class == d.Class {
				missing[d.Zone] += d.Load
			}
		}
		var parts []string
		for z, n := range missing {
			parts = append(parts, fmt.Sprintf("%d units from %s", n, z))
		}
		sort.Strings(parts)
		return "without it " + strings.Join(parts, " and ") + " are not carried"
	case Headroom, Share:
		const den = 1000
		least := sort.Search(den+1, func(n int) bool {
			return with(func(c *Constraint) { c.Part = Ratio{int64(n), den} })
		})
		if least <= den {
			return fmt.Sprintf("%d/%d would do in place of %d/%d", least, den, c.Part.Num, c.Part.Den)
		}
		return "no part of it is enough by itself; it would have to go"
	case Spread:
		for n := c.Count - 1; n > 0; n-- {
			if with(func(c *Constraint) { c.Count = n }) {
				return fmt.Sprintf("%d zones would do in place of %d", n, c.Count)
			}
		}
	case Connections:
		least := sort.Search(int(s.x.total)+1, func(n int) bool {
			return with(func(c *Constraint) { c.Count = int64(n) })
		})
		if int64(least) <= s.x.total {
			return fmt.Sprintf("%d connections would do in place of %d", least, c.Count)
		}
	case Moves:
		least := int64(sort.Search(int(s.x.total)+1, func(n int) bool {
			return with(func(c *Constraint) { c.Count = int64(n) })
		}))
		return fmt.Sprintf("%d units would do in place of %d", least, c.Count)
	}
	return "without it the others are met"
}
