package placement

import (
	"cmp"
	"slices"
)

// bruteForce returns the best plan, which it finds by trying all of them: each unit of each demand on each node, or on none.
// It returns nil if no plan meets the constraints. It shares no code with the solver except the type Problem.
func bruteForce(p *Problem) *brutePlan {
	s := &bruteSearch{
		problem: p,
		zones:   slices.Sorted(slices.Values(p.Zones)),
		nodes:   slices.Clone(p.Nodes),
		demands: slices.Clone(p.Demands),
	}
	slices.SortFunc(s.nodes, func(a, b Node) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID)) })
	slices.SortFunc(s.demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone))
	})
	for _, d := range s.demands {
		s.totalDemand += d.Load
		s.units = append(s.units, make([]int64, len(s.nodes)+1))
	}
	s.placeDemand(0)
	return s.best
}

// bruteSearch holds the state of an exhaustive search through all placements.
type bruteSearch struct {
	problem     *Problem
	zones       []string
	nodes       []Node
	demands     []Demand
	totalDemand int64
	units       [][]int64 // units of load by demand and node; the last position of a demand holds those that are not carried
	best        *brutePlan
}

// placeDemand tries all placements of a demand and of all demands after it.
func (s *bruteSearch) placeDemand(demand int) {
	if demand == len(s.demands) {
		s.evaluate()
		return
	}
	s.placeUnits(demand, 0, s.demands[demand].Load)
}

// placeUnits tries all placements of the units that are left of a demand on a node and on all nodes after it.
func (s *bruteSearch) placeUnits(demand, node int, left int64) {
	if node == len(s.nodes) {
		s.units[demand][node] = left
		s.placeDemand(demand + 1)
		return
	}
	for n := int64(0); n <= left; n++ {
		s.units[demand][node] = n
		s.placeUnits(demand, node+1, left-n)
	}
	s.units[demand][node] = 0
}

// evaluate replaces the best plan by the current placement if that meets the constraints and is better.
func (s *bruteSearch) evaluate() {
	b := &brutePlan{loads: make([]int64, len(s.nodes))}
	for i, d := range s.demands {
		byZone := map[string]int64{}
		for j, n := range s.nodes {
			b.loads[j] += s.units[i][j]
			byZone[n.Zone] += s.units[i][j]
		}
		b.costs[0] += s.units[i][len(s.nodes)]
		for _, z := range s.zones {
			b.flows = append(b.flows, byZone[z])
			b.costs[1] += byZone[z] * s.crossingCost(d.Zone, z)
		}
	}
	if !s.meetsConstraints(b.loads) {
		return
	}
	for j, n := range s.nodes {
		b.moves += max(b.loads[j]-n.CurrentLoad, 0)
		for k := int64(1); k <= b.loads[j]; k++ {
			b.unitRatios = append(b.unitRatios, unitRatio{k, n.Capacity, j})
		}
	}
	slices.SortFunc(b.unitRatios, func(x, y unitRatio) int { return y.compare(x) })
	if s.best == nil || b.compare(s.best, s.problem.order()) < 0 {
		s.best = b
	}
}

func (s *bruteSearch) crossingCost(from, to string) int64 {
	if from == to {
		return 0
	}
	for _, c := range s.problem.Crossings {
		if c.From == from && c.To == to {
			return c.Cost
		}
	}
	return s.problem.DefaultCost
}

// unitRatio is the ratio of load to capacity that a node reaches with one of its units of load. The units of a node are
// numbered from 1.
type unitRatio struct {
	unit, capacity int64
	node           int
}

// compare orders unit ratios by their values, then by the positions of their nodes.
func (m unitRatio) compare(o unitRatio) int {
	return cmp.Or(cmp.Compare(m.unit*o.capacity, o.unit*m.capacity), cmp.Compare(m.node, o.node))
}

// brutePlan is a plan found by brute force, with the figures by which plans are compared.
type brutePlan struct {
	costs      [2]int64    // load that is not carried, cost of crossings
	unitRatios []unitRatio // of all units of load, in descending order
	moves      int64
	flows      []int64
	loads      []int64
}

// compare orders plans by their goals in the given order, then by flows, then by unit ratios.
func (b *brutePlan) compare(o *brutePlan, order []Goal) int {
	fullest := 0
	if len(b.unitRatios) > 0 && len(o.unitRatios) > 0 {
		fullest = cmp.Compare(b.unitRatios[0].unit*o.unitRatios[0].capacity, o.unitRatios[0].unit*b.unitRatios[0].capacity)
	}
	if len(b.unitRatios) == 0 || len(o.unitRatios) == 0 {
		fullest = cmp.Compare(len(b.unitRatios), len(o.unitRatios)) // a plan without load has the lowest ratio
	}
	goals := map[Goal]int{
		Uncarried: cmp.Compare(b.costs[0], o.costs[0]), Crossings: cmp.Compare(b.costs[1], o.costs[1]),
		Fullest: fullest, Moved: cmp.Compare(b.moves, o.moves),
	}
	for _, g := range order {
		if goals[g] != 0 {
			return goals[g]
		}
	}
	return cmp.Or(slices.Compare(b.flows, o.flows), slices.CompareFunc(b.unitRatios, o.unitRatios, unitRatio.compare))
}
