package placement

import "math/bits"

// fullnessScale is the denominator in searches for a ratio of load to capacity. 1/fullnessScale is smaller than the difference
// between any two different ratios of two nodes.
const fullnessScale = 1 << 61

// loadAtFullness returns the load at which the ratio of load to capacity is fullness divided by fullnessScale. The load is
// rounded down.
func loadAtFullness(fullness uint64, capacity int64) int64 {
	high, low := bits.Mul64(fullness, uint64(capacity))
	quotient, _ := bits.Div64(high, low, fullnessScale)
	return int64(quotient)
}

// minimizeCost computes the maximum flow of minimum cost in a network, and returns its cost and the potentials that prove it
// minimal. The first component of the cost is the number of units by which constraints are violated.
func (s *planner) minimizeCost(n *flowNetwork) (total cost, potentials []cost) {
	s.steps++
	total, potentials = n.maximizeFlow(source, sink)
	total[0] += n.required
	return total, potentials
}

// solveRelaxationBeforeFullest returns a placement that is optimal in the goals before Fullest, with its cost in these goals.
// The placement meets all constraints of a branch except those that the branch has no decision on. The returned placement is
// nil if there is none.
func (s *planner) solveRelaxationBeforeFullest(b branch) (*candidate, cost) {
	capacities := s.effectiveCapacities(b.constraints)
	network := s.buildNetwork(b, capacities, s.goalsBeforeFullest())
	total, _ := s.minimizeCost(network)
	if total[0] > 0 {
		return nil, total
	}
	return s.newCandidate(network, capacities), total
}

// solveRelaxation returns the best placement that meets all constraints of a branch except those that the branch has no
// decision on. It returns nil if there is no such placement.
func (s *planner) solveRelaxation(b branch) *candidate {
	first, total := s.solveRelaxationBeforeFullest(b)
	if first == nil {
		return nil
	}
	fullness := s.minFullness(b, first.capacities, total)
	capacities := s.capacitiesAtFullness(fullness, first.capacities)
	network := s.buildNetwork(b, capacities, s.problem.order())
	total, potentials := s.minimizeCost(network)
	for _, arc := range network.flows {
		if arc >= 0 {
			network.minimizeArcFlow(arc, potentials)
		}
	}
	best := s.newCandidate(network, capacities)
	best.goals = Goals{
		Uncarried: total[s.goalPosition(Uncarried)],
		Crossings: total[s.goalPosition(Crossings)],
		Moves:     total[s.goalPosition(Moved)],
		Fullest:   s.fullestRatio(fullness, capacities),
	}
	return best
}

// minFullness returns the lowest limit on the ratio of load to capacity, as a multiple of 1/fullnessScale, with which the
// branch can still have the given cost.
func (s *planner) minFullness(b branch, capacities []int64, want cost) uint64 {
	goals := s.goalsBeforeFullest()
	low, high := uint64(0), uint64(fullnessScale)
	for low < high {
		middle := low + (high-low)/2
		total, _ := s.minimizeCost(s.buildNetwork(b, s.capacitiesAtFullness(middle, capacities), goals))
		if total == want {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return high
}

// capacitiesAtFullness returns the capacities, lowered so that no node's ratio of load to capacity exceeds a limit.
func (s *planner) capacitiesAtFullness(fullness uint64, capacities []int64) []int64 {
	limited := make([]int64, len(capacities))
	for i, n := range s.index.nodes {
		limited[i] = min(capacities[i], loadAtFullness(fullness, n.Capacity))
	}
	return limited
}

// fullestRatio returns the exact ratio for a fullness from minFullness: the largest ratio of load to capacity among the nodes
// whose load this limit bounds.
func (s *planner) fullestRatio(fullness uint64, capacities []int64) Ratio {
	var fullest Ratio
	if fullness == 0 {
		return fullest
	}
	for i, n := range s.index.nodes {
		load := loadAtFullness(fullness, n.Capacity)
		if load <= 0 || load > capacities[i] {
			continue
		}
		if ratio := (Ratio{load, n.Capacity}); fullest.Den == 0 || fullest.less(ratio) {
			fullest = ratio
		}
	}
	return fullest.reduced()
}
