package placement

import (
	"cmp"
	"slices"
)

// effectiveCapacities returns the load that each node may carry under the constraints, by node. Only constraints that limit
// single nodes lower it: Headroom, Share, Connections and Pair.
func (s *planner) effectiveCapacities(constraints []Constraint) []int64 {
	nodes := s.index.nodes
	capacities := make([]int64, len(nodes))
	for i, n := range nodes {
		capacities[i] = n.Capacity
	}
	for _, c := range constraints {
		if c.Kind == Pair {
			for _, unpaired := range s.unpairedNodes(c) {
				capacities[unpaired] = 0
			}
			continue
		}
		for i, n := range nodes {
			capacities[i] = min(capacities[i], s.nodeLimit(c, n))
		}
	}
	return capacities
}

// nodeLimit returns the load that a node may carry under a constraint of any kind but Pair.
func (s *planner) nodeLimit(c Constraint, n Node) int64 {
	switch c.Kind {
	case Headroom:
		return c.Part.of(n.Capacity)
	case Share:
		return c.Part.of(s.index.totalDemand)
	case Connections:
		if n.Model == c.Model {
			return c.Count * max(c.Least, 1)
		}
	}
	return n.Capacity
}

// unpairedNodes returns the nodes of the constraint's Model that find no partner in their zone under a Pair constraint. Nodes
// are paired in descending order of capacity, and nodes of equal capacity in the order of their IDs. Nodes without capacity
// are not paired.
func (s *planner) unpairedNodes(c Constraint) []int {
	var unpaired []int
	for _, zoneNodes := range s.index.nodesInZone {
		var ofModel []int
		partners := 0
		for _, i := range zoneNodes {
			n := s.index.nodes[i]
			switch {
			case n.Capacity == 0:
			case n.Model == c.Model:
				ofModel = append(ofModel, i)
			case n.Model == c.With:
				partners++
			}
		}
		slices.SortStableFunc(ofModel, func(a, b int) int {
			return cmp.Compare(s.index.nodes[b].Capacity, s.index.nodes[a].Capacity)
		})
		unpaired = append(unpaired, ofModel[min(partners, len(ofModel)):]...)
	}
	return unpaired
}
