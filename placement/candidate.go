package placement

import "slices"

// candidate is the best placement of a branch, by zones. It may break constraints that the branch has not decided.
type candidate struct {
	index      *index
	order      []Goal
	goals      Goals
	flows      []int64 // by class, zone of origin and zone
	uncarried  []int64 // by class and zone of origin
	capacities []int64 // by node
}

// newCandidate reads a placement from a network that is filled.
func (s *planner) newCandidate(n *flowNetwork, capacities []int64) *candidate {
	c := &candidate{
		index: s.index, order: s.problem.order(), capacities: capacities,
		flows: make([]int64, len(n.flows)), uncarried: make([]int64, len(n.uncarried)),
	}
	for i, arc := range n.flows {
		if arc >= 0 {
			c.flows[i] = n.carried(arc)
		}
	}
	for i, arc := range n.uncarried {
		c.uncarried[i] = n.carried(arc)
	}
	return c
}

// betterThan compares candidates by their goals, and equal ones by their flows.
func (c *candidate) betterThan(other *candidate) bool {
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

// firstBroken returns the first constraint of a branch that is not decided and that the candidate does not meet, or -1.
func (c *candidate) firstBroken(b branch) int {
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

// isTogether reports whether one zone carries all that is carried of a constraint's classes.
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

// isSpread reports whether enough zones carry a constraint's class.
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

// carriedByZone returns what each zone carries of a class.
func (c *candidate) carriedByZone(class int) []int64 {
	carried := make([]int64, len(c.index.zones))
	for from := range carried {
		for to := range carried {
			carried[to] += c.flows[c.index.flowAt(class, from, to)]
		}
	}
	return carried
}

// plan distributes the load of each zone over its nodes.
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

// addFlows adds the flows to a plan, and the demands that are not carried.
func (c *candidate) addFlows(p *Plan) {
	zones := c.index.zones
	for class, name := range c.index.classes {
		for from := range zones {
			for to := range zones {
				if load := c.flows[c.index.flowAt(class, from, to)]; load > 0 {
					p.Flows = append(p.Flows, Flow{name, zones[from], zones[to], load})
				}
			}
			if load := c.uncarried[c.index.demandAt(class, from)]; load > 0 {
				p.Missed = append(p.Missed, Demand{zones[from], name, load})
			}
		}
	}
}
