package placement

import "slices"

// decision restricts the zones of one Together or Spread constraint in a branch. A flow network can't express these
// constraints without such decisions.
type decision struct {
	hasZone     bool  // for Together: zone is decided
	zone        int   // for Together, if hasZone is set: the zone that carries the classes
	forcedZones []int // for Spread: the zones that must carry the class
	nextZone    int   // for Spread: the first zone without a decision
}

// branch is a node of the search tree: the constraints, and one decision for each of them.
type branch struct {
	constraints []Constraint
	decisions   []decision
}

func newBranch(constraints []Constraint) branch {
	return branch{constraints, make([]decision, len(constraints))}
}

// withDecision returns a copy of the branch with a new decision for a constraint.
func (b branch) withDecision(constraint int, d decision) branch {
	decisions := slices.Clone(b.decisions)
	decisions[constraint] = d
	return branch{b.constraints, decisions}
}

// split returns the child branches of a branch, one for each possible decision on a constraint. The searches take the last
// child first.
func (s *planner) split(b branch, constraint int) []branch {
	if b.constraints[constraint].Kind == Together {
		return s.splitByZone(b, constraint)
	}
	return s.splitBySpread(b, constraint)
}

// splitByZone returns one branch for each zone that can carry the classes of a Together constraint.
func (s *planner) splitByZone(b branch, constraint int) []branch {
	var branches []branch
	for zone := len(s.index.zones) - 1; zone >= 0; zone-- {
		branches = append(branches, b.withDecision(constraint, decision{hasZone: true, zone: zone}))
	}
	return branches
}

// splitBySpread decides whether the next zone must carry the class of a Spread constraint, and returns a branch for each
// possible answer.
func (s *planner) splitBySpread(b branch, constraint int) []branch {
	var branches []branch
	d := b.decisions[constraint]
	undecided := len(s.index.zones) - d.nextZone
	needed := int(b.constraints[constraint].Count) - len(d.forcedZones)
	if undecided > needed {
		branches = append(branches, b.withDecision(constraint, decision{forcedZones: d.forcedZones, nextZone: d.nextZone + 1}))
	}
	if undecided >= needed && needed > 0 {
		forced := append(slices.Clip(d.forcedZones), d.nextZone)
		branches = append(branches, b.withDecision(constraint, decision{forcedZones: forced, nextZone: d.nextZone + 1}))
	}
	return branches
}

// optimum returns the best plan under the constraints, or nil if no plan meets them or the search limit is reached. It is a
// branch and bound: the relaxation of a branch leaves out the constraints without a decision. If the best placement of the
// relaxation meets these constraints too, it is the best of the branch.
func (s *planner) optimum(constraints []Constraint) *Plan {
	var best, root *candidate
	proven := true
	open := []branch{newBranch(constraints)}
	for len(open) > 0 {
		if best != nil && s.isOutOfSteps() {
			proven = false
			break
		}
		if best == nil && s.checkSearchLimit() {
			return nil
		}
		b := open[len(open)-1]
		open = open[:len(open)-1]
		c := s.solveRelaxation(b)
		if c == nil || best != nil && !c.isBetterThan(best) {
			continue
		}
		if root == nil {
			root = c
		}
		if constraint := c.firstViolated(b); constraint >= 0 {
			open = append(open, s.split(b, constraint)...)
		} else {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	plan := best.plan()
	plan.Proven, plan.Steps, plan.Bound = proven, s.steps, root.goals
	return plan
}

// isFeasible reports whether any plan meets the constraints. It also returns false once the search limit is reached, which
// Solve recognizes by searchLimitReached.
func (s *planner) isFeasible(constraints []Constraint) bool {
	open := []branch{newBranch(constraints)}
	for len(open) > 0 && !s.checkSearchLimit() {
		b := open[len(open)-1]
		open = open[:len(open)-1]
		c, _ := s.solveRelaxationBeforeFullest(b)
		if c == nil {
			continue
		}
		constraint := c.firstViolated(b)
		if constraint < 0 {
			return true
		}
		open = append(open, s.split(b, constraint)...)
	}
	return false
}
