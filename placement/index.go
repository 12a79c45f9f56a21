package placement

import (
	"cmp"
	"slices"
)

// index holds the figures of a Problem with numbers in place of names. Zones, classes and nodes are numbered in a canonical
// order: zones and classes by name, nodes by zone and then ID.
type index struct {
	zones        []string
	classes      []string
	nodes        []Node    // in the order of their zones, then of their IDs
	nodesInZone  [][]int   // numbers of nodes, by zone
	demand       [][]int64 // by class and zone of origin
	totalDemand  int64
	crossingCost [][]int64 // by zone of origin and destination zone
}

func (p *Problem) index() *index {
	x := &index{zones: slices.Sorted(slices.Values(p.Zones))}
	zoneNumber := map[string]int{}
	for number, zone := range x.zones {
		zoneNumber[zone] = number
	}
	x.indexDemands(p.Demands, zoneNumber)
	x.indexCrossings(p, zoneNumber)
	x.indexNodes(p.Nodes, zoneNumber)
	return x
}

func (x *index) indexDemands(demands []Demand, zoneNumber map[string]int) {
	for _, d := range demands {
		if !slices.Contains(x.classes, d.Class) {
			x.classes = append(x.classes, d.Class)
		}
	}
	slices.Sort(x.classes)
	x.demand = make([][]int64, len(x.classes))
	for class := range x.demand {
		x.demand[class] = make([]int64, len(x.zones))
	}
	for _, d := range demands {
		x.demand[slices.Index(x.classes, d.Class)][zoneNumber[d.Zone]] = d.Load
		x.totalDemand += d.Load
	}
}

func (x *index) indexCrossings(p *Problem, zoneNumber map[string]int) {
	x.crossingCost = make([][]int64, len(x.zones))
	for from := range x.crossingCost {
		x.crossingCost[from] = make([]int64, len(x.zones))
		for to := range x.crossingCost[from] {
			if from != to {
				x.crossingCost[from][to] = p.DefaultCost
			}
		}
	}
	for _, c := range p.Crossings {
		x.crossingCost[zoneNumber[c.From]][zoneNumber[c.To]] = c.Cost
	}
}

func (x *index) indexNodes(nodes []Node, zoneNumber map[string]int) {
	x.nodes = slices.Clone(nodes)
	slices.SortFunc(x.nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(zoneNumber[a.Zone], zoneNumber[b.Zone]), cmp.Compare(a.ID, b.ID))
	})
	x.nodesInZone = make([][]int, len(x.zones))
	for node, n := range x.nodes {
		zone := zoneNumber[n.Zone]
		x.nodesInZone[zone] = append(x.nodesInZone[zone], node)
	}
}

// demandPosition returns the position of a demand in a list that is ordered by class and zone of origin.
func (x *index) demandPosition(class, zone int) int { return class*len(x.zones) + zone }

// flowPosition returns the position of a flow in a list that is ordered by class, zone of origin and destination zone.
func (x *index) flowPosition(class, from, to int) int {
	return x.demandPosition(class, from)*len(x.zones) + to
}
