package placement

import "slices"

// candidate is the best placement that the relaxation of a branch allows, by zones. It may violate constraints on which the
// branch has no decision yet.
type candidate struct {
	index      *index
	order      []Goal
	goals      Goals
	flows      []int64 // by class, zone of origin and destination zone
	uncarried  []int64 // by class and zone of origin
	capacities []int64 // by node
}

// newCandidate reads a placement from a network with its maximum flow. It leaves the goals of the candidate empty.
func (s *planner) newCandidate(n *flowNetwork, capacities []int64) *candidate {
	c := &candidate{
		index: s.index, order: s.problem.order(), capacities: capacities,
		flows: make([]int64, len(n.flows)), uncarried: make([]int64, len(n.uncarried)),
	}
	for i, arc := range n.flows {
		if arc >= 0 {
			c.flows[i] = n.flowOn(arc)
		}
	}
	for i, arc := range n.uncarried {
		c.uncarried[i] = n.flowOn(arc)
	}
	return c
}

// isBetterThan reports whether a candidate is better than another by its goals or, if all goals are equal, by its flows.
func (c *candidate) isBetterThan(other *candidate) bool {
	a, b := c.goals, other.goals
	for _, goal := range c.order {
		switch {
		case goal == Uncarried && a.Uncarried != b.Uncarried:
			return a.Uncarried < b.Uncarried
		case goal == Crossings && a.Crossings != b.Crossings:
			return a.Crossings < b.Crossings
		case goal == Fullest && a.Fullest != b.Fullest:
			return a.Fullest.less(b.Fullest)
		case goal == Moved && a.Moves != b.Moves:
			return a.Moves < b.Moves
		}
	}
	return slices.Compare(c.flows, other.flows) < 0
}

// firstViolated returns the position of the first Together or Spread constraint of a branch that the candidate violates, or -1
// if it violates none.
func (c *candidate) firstViolated(b branch) int {
	for i, constraint := range b.constraints {
		switch constraint.Kind {
		case Together:
			if !b.decisions[i].hasZone && !c.isTogether(constraint) {
				return i
			}
		case Spread:
			if !c.isSpread(constraint) {
				return i
			}
		}
	}
	return -1
}

// isTogether reports whether at most one zone carries load of a constraint's Classes.
func (c *candidate) isTogether(constraint Constraint) bool {
	used := -1
	for class, name := range c.index.classes {
		if !slices.Contains(constraint.Classes, name) {
			continue
		}
		for zone, load := range c.carriedByZone(class) {
			if load == 0 {
				continue
			}
			if used >= 0 && used != zone {
				return false
			}
			used = zone
		}
	}
	return true
}

// isSpread reports whether at least Count zones carry at least Least units of a constraint's Class each. A Least of zero
// counts as 1.
func (c *candidate) isSpread(constraint Constraint) bool {
	zones := 0
	if class := slices.Index(c.index.classes, constraint.Class); class >= 0 {
		for _, load := range c.carriedByZone(class) {
			if load >= max(constraint.Least, 1) {
				zones++
			}
		}
	}
	return zones >= int(constraint.Count)
}

// carriedByZone returns how much load of a class each zone carries.
func (c *candidate) carriedByZone(class int) []int64 {
	carried := make([]int64, len(c.index.zones))
	for from := range carried {
		for to := range carried {
			carried[to] += c.flows[c.index.flowPosition(class, from, to)]
		}
	}
	return carried
}

// plan returns the candidate as a plan: it distributes the load of each zone over the nodes of the zone.
func (c *candidate) plan() *Plan {
	p := &Plan{Goals: c.goals, Load: map[string]int64{}}
	c.addFlows(p)
	carried := make([]int64, len(c.index.zones))
	for class := range c.index.classes {
		for zone, load := range c.carriedByZone(class) {
			carried[zone] += load
		}
	}
	for zone, load := range carried {
		var nodes []Node
		var capacities []int64
		for _, i := range c.index.nodesInZone[zone] {
			nodes, capacities = append(nodes, c.index.nodes[i]), append(capacities, c.capacities[i])
		}
		for i, nodeLoad := range distribute(nodes, capacities, load) {
			p.Load[nodes[i].ID] = nodeLoad
		}
	}
	return p
}

// addFlows adds the flows and the load that is not carried to a plan.
func (c *candidate) addFlows(p *Plan) {
	zones := c.index.zones
	for class, name := range c.index.classes {
		for from := range zones {
			for to := range zones {
				if load := c.flows[c.index.flowPosition(class, from, to)]; load > 0 {
					p.Flows = append(p.Flows, Flow{name, zones[from], zones[to], load})
				}
			}
			if load := c.uncarried[c.index.demandPosition(class, from)]; load > 0 {
				p.Unplaced = append(p.Unplaced, Demand{zones[from], name, load})
			}
		}
	}
}
