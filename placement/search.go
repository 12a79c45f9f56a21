package placement

import "slices"

// decision is what a branch has decided for one constraint that a flow can't express.
type decision struct {
	hasZone     bool
	zone        int   // of Together: the one zone that carries the classes
	forcedZones []int // of Spread: zones that must carry the class
	nextZone    int   // of Spread: the first zone that is not decided on
}

// branch is a node of the search tree: the constraints, with a decision for each.
type branch struct {
	constraints []Constraint
	decisions   []decision
}

func newBranch(constraints []Constraint) branch {
	return branch{constraints, make([]decision, len(constraints))}
}

// with returns a copy of the branch with another decision for a constraint.
func (b branch) with(constraint int, d decision) branch {
	decisions := slices.Clone(b.decisions)
	decisions[constraint] = d
	return branch{b.constraints, decisions}
}

// split divides a branch by the decisions that there are for a constraint. The last is to be searched first.
func (s *planner) split(b branch, constraint int) []branch {
	if b.constraints[constraint].Kind == Together {
		return s.splitByZone(b, constraint)
	}
	return s.splitBySpread(b, constraint)
}

func (s *planner) splitByZone(b branch, constraint int) []branch {
	var branches []branch
	for zone := len(s.index.zones) - 1; zone >= 0; zone-- {
		branches = append(branches, b.with(constraint, decision{hasZone: true, zone: zone}))
	}
	return branches
}

// splitBySpread decides whether the next zone must carry the class.
func (s *planner) splitBySpread(b branch, constraint int) []branch {
	var branches []branch
	d := b.decisions[constraint]
	undecided := len(s.index.zones) - d.nextZone
	needed := int(b.constraints[constraint].Count) - len(d.forcedZones)
	if undecided > needed {
		branches = append(branches, b.with(constraint, decision{forcedZones: d.forcedZones, nextZone: d.nextZone + 1}))
	}
	if undecided >= needed && needed > 0 {
		forced := append(slices.Clip(d.forcedZones), d.nextZone)
		branches = append(branches, b.with(constraint, decision{forcedZones: forced, nextZone: d.nextZone + 1}))
	}
	return branches
}

// optimum finds the best plan under the constraints by branch and bound, or nil if none meets them. The relaxation of a branch
// leaves out the constraints that are not decided; if its best plan meets them all the same, that is the best of the branch.
func (s *planner) optimum(constraints []Constraint) *Plan {
	var best, root *candidate
	proven := true
	open := []branch{newBranch(constraints)}
	for len(open) > 0 {
		if best != nil && s.isOutOfSteps() {
			proven = false
			break
		}
		if best == nil && s.exceedsSearch() {
			return nil
		}
		b := open[len(open)-1]
		open = open[:len(open)-1]
		c := s.relax(b)
		if c == nil || best != nil && !c.betterThan(best) {
			continue
		}
		if root == nil {
			root = c
		}
		if constraint := c.firstBroken(b); constraint >= 0 {
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

// feasible reports whether any plan meets the constraints. It reports false where the search has exceeded its steps.
func (s *planner) feasible(constraints []Constraint) bool {
	open := []branch{newBranch(constraints)}
	for len(open) > 0 && !s.exceedsSearch() {
		b := open[len(open)-1]
		open = open[:len(open)-1]
		c, _ := s.relaxWithoutGoals(b)
		if c == nil {
			continue
		}
		constraint := c.firstBroken(b)
		if constraint < 0 {
			return true
		}
		open = append(open, s.split(b, constraint)...)
	}
	return false
}
