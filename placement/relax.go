package placement

import "math/bits"

// fullnessScale is the denominator of the search for the fullest node's ratio: finer than the ratios of two nodes can differ.
const fullnessScale = 1 << 61

// loadAt returns a node's load, rounded down, if it is filled to a ratio of fullness to fullnessScale.
func loadAt(fullness uint64, capacity int64) int64 {
	high, low := bits.Mul64(fullness, uint64(capacity))
	quotient, _ := bits.Div64(high, low, fullnessScale)
	return int64(quotient)
}

// minimizeCost fills a network at the least cost. The first part of the cost is the number of violations.
func (s *planner) minimizeCost(n *flowNetwork) (total cost, potentials []cost) {
	s.steps++
	total, potentials = n.fill(source, sink)
	total[0] += n.required
	return total, potentials
}

// relaxWithoutGoals finds a placement that meets the constraints of a branch, without those that it has not decided, and its
// cost by the goals before Fullest. It returns nil if there is none.
func (s *planner) relaxWithoutGoals(b branch) (*candidate, cost) {
	capacities := s.capacities(b.constraints)
	network := s.buildNetwork(b, capacities, s.goalsBeforeFullest())
	total, _ := s.minimizeCost(network)
	if total[0] > 0 {
		return nil, total
	}
	return s.newCandidate(network, capacities), total
}

// relax finds the best placement that meets the constraints of a branch, without those that it has not decided. It returns
// nil if there is none.
func (s *planner) relax(b branch) *candidate {
	first, total := s.relaxWithoutGoals(b)
	if first == nil {
		return nil
	}
	fullness := s.minFullness(b, first.capacities, total)
	capacities := s.capacitiesAt(fullness, first.capacities)
	network := s.buildNetwork(b, capacities, s.problem.order())
	total, potentials := s.minimizeCost(network)
	for _, arc := range network.flows {
		if arc >= 0 {
			network.minimizeArc(arc, potentials)
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

// minFullness finds how full the fullest node must be at least for a branch to have the given cost.
func (s *planner) minFullness(b branch, capacities []int64, want cost) uint64 {
	goals := s.goalsBeforeFullest()
	low, high := uint64(0), uint64(fullnessScale)
	for low < high {
		middle := low + (high-low)/2
		total, _ := s.minimizeCost(s.buildNetwork(b, s.capacitiesAt(middle, capacities), goals))
		if total == want {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return high
}

// capacitiesAt returns capacities with all nodes filled to a ratio at most.
func (s *planner) capacitiesAt(fullness uint64, capacities []int64) []int64 {
	limited := make([]int64, len(capacities))
	for i, n := range s.index.nodes {
		limited[i] = min(capacities[i], loadAt(fullness, n.Capacity))
	}
	return limited
}

// fullestRatio returns the fullness as a ratio of whole numbers: the largest of a node's load to its capacity.
func (s *planner) fullestRatio(fullness uint64, capacities []int64) Ratio {
	var fullest Ratio
	if fullness == 0 {
		return fullest
	}
	for i, n := range s.index.nodes {
		load := loadAt(fullness, n.Capacity)
		if load <= 0 || load > capacities[i] {
			continue
		}
		if ratio := (Ratio{load, n.Capacity}); fullest.Den == 0 || fullest.less(ratio) {
			fullest = ratio
		}
	}
	return fullest.reduced()
}
