package placement

import "slices"

// meetsConstraints reports whether the current placement respects the capacities of the nodes and meets all constraints. loads
// holds the loads of the placement by node.
func (s *bruteSearch) meetsConstraints(loads []int64) bool {
	for j, n := range s.nodes {
		if loads[j] > n.Capacity {
			return false
		}
	}
	return !slices.ContainsFunc(s.problem.Constraints, func(c Constraint) bool { return !s.meets(c, loads) })
}

func (s *bruteSearch) meets(c Constraint, loads []int64) bool {
	switch c.Kind {
	case Carry:
		return s.meetsCarry(c)
	case Keep, KeepOut:
		return s.meetsKeep(c)
	case Spread:
		return s.countZones(c, max(c.Least, 1)) >= int(c.Count)
	case Together:
		return s.countZones(c, 1) <= 1
	case Headroom, Share, Connections:
		return s.meetsNodeLimits(c, loads)
	case Moves:
		return s.countMoves(loads) <= c.Count
	case Pair:
		return s.meetsPair(c, loads)
	}
	return false
}

// appliesTo reports whether a constraint restricts the class of a demand.
func appliesTo(c Constraint, d Demand) bool {
	return c.Class == d.Class || c.Class == "" && c.Kind == Carry || slices.Contains(c.Classes, d.Class)
}

func (s *bruteSearch) meetsCarry(c Constraint) bool {
	for i, d := range s.demands {
		if appliesTo(c, d) && s.units[i][len(s.nodes)] > 0 {
			return false
		}
	}
	return true
}

func (s *bruteSearch) meetsKeep(c Constraint) bool {
	for i, d := range s.demands {
		for j, n := range s.nodes {
			if appliesTo(c, d) && s.units[i][j] > 0 && !isAllowedZone(c, d.Zone, n.Zone) {
				return false
			}
		}
	}
	return true
}

func isAllowedZone(c Constraint, from, to string) bool {
	switch {
	case c.Kind == KeepOut:
		return !slices.Contains(c.Zones, to)
	case len(c.Zones) == 0:
		return from == to
	}
	return slices.Contains(c.Zones, to)
}

// countZones returns the number of zones that carry at least minLoad units of the constraint's classes.
func (s *bruteSearch) countZones(c Constraint, minLoad int64) (count int) {
	byZone := map[string]int64{}
	for i, d := range s.demands {
		for j, n := range s.nodes {
			if appliesTo(c, d) {
				byZone[n.Zone] += s.units[i][j]
			}
		}
	}
	for _, load := range byZone {
		if load >= minLoad {
			count++
		}
	}
	return count
}

func (s *bruteSearch) meetsNodeLimits(c Constraint, loads []int64) bool {
	for j, n := range s.nodes {
		switch {
		case c.Kind == Headroom && loads[j]*c.Part.Den > n.Capacity*c.Part.Num,
			c.Kind == Share && loads[j]*c.Part.Den > s.totalDemand*c.Part.Num,
			c.Kind == Connections && n.Model == c.Model && loads[j] > c.Count*max(c.Least, 1):
			return false
		}
	}
	return true
}

func (s *bruteSearch) countMoves(loads []int64) (moved int64) {
	for j, n := range s.nodes {
		moved += max(loads[j]-n.CurrentLoad, 0)
	}
	return moved
}

// meetsPair reports whether each node of a Pair constraint's Model that carries load is paired.
func (s *bruteSearch) meetsPair(c Constraint, loads []int64) bool {
	for _, z := range s.zones {
		partners := 0
		var ofModel []int
		for j, n := range s.nodes {
			switch {
			case n.Zone != z || n.Capacity == 0:
			case n.Model == c.With:
				partners++
			case n.Model == c.Model:
				ofModel = append(ofModel, j)
			}
		}
		for _, j := range ofModel {
			if loads[j] > 0 && s.countPairedBefore(j, ofModel) >= partners {
				return false
			}
		}
	}
	return true
}

// countPairedBefore returns the number of other nodes that are paired before a node.
func (s *bruteSearch) countPairedBefore(node int, others []int) (count int) {
	capacity := s.nodes[node].Capacity
	for _, k := range others {
		if other := s.nodes[k].Capacity; other > capacity || other == capacity && k < node {
			count++
		}
	}
	return count
}
