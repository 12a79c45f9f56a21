package placement

import "slices"

// unlimited is the capacity of arcs that are no bottleneck. It exceeds the total of all loads.
const unlimited = 1 << 50

// The vertices that every flow network has. Those of zones and classes follow them.
const (
	source = iota
	sink
	relocation // passed by all load that moves
	fixedVertexCount
)

// flowNetwork is the minimum-cost flow problem of a branch. Load flows from the source to the vertex of its class and zone of
// origin, on to the zone that carries it, and on to the sink. Load that flows from the vertex of its origin straight to the
// sink is not carried.
type flowNetwork struct {
	*network
	index     *index
	flows     []int // arcs by class, zone of origin and destination zone; -1 without demand or if a constraint forbids it
	uncarried []int // arcs by class and zone of origin, for load that is not carried
	required  int64 // total of the minimum loads that Spread constraints require of zones
}

func (n *flowNetwork) originVertex(class, zone int) int {
	return fixedVertexCount + n.index.demandPosition(class, zone)
}

func (n *flowNetwork) destinationVertex(class, zone int) int {
	return n.originVertex(len(n.index.classes)+class, zone)
}

func (n *flowNetwork) zoneVertex(zone int) int { return n.originVertex(2*len(n.index.classes), zone) }

// goalPosition returns the position of a goal in a cost. Position 0 holds the violations of constraints, and the goals follow
// in their order. Fullest is not a sum over flows and has no position; the result for it is meaningless.
func (s *planner) goalPosition(goal Goal) int {
	position := 1
	for _, g := range s.problem.order() {
		if g == goal {
			return position
		}
		if g != Fullest {
			position++
		}
	}
	return -1
}

// goalsBeforeFullest returns the goals that take precedence over Fullest.
func (s *planner) goalsBeforeFullest() []Goal {
	order := s.problem.order()
	return order[:slices.Index(order, Fullest)]
}

// unitCosts holds the cost of one unit of load in each goal, which is zero for goals that are left out.
type unitCosts struct{ uncarried, crossing, move cost }

func (s *planner) unitCosts(goals []Goal) unitCosts {
	unit := func(goal Goal) (c cost) {
		if slices.Contains(goals, goal) {
			c[s.goalPosition(goal)] = 1
		}
		return c
	}
	return unitCosts{uncarried: unit(Uncarried), crossing: unit(Crossings), move: unit(Moved)}
}

// buildNetwork returns the flow network of a branch for the given capacities of the nodes. Its costs are the violations of
// constraints and the given goals.
func (s *planner) buildNetwork(b branch, capacities []int64, goals []Goal) *flowNetwork {
	x := s.index
	unit := s.unitCosts(goals)
	vertices := fixedVertexCount + (2*len(x.classes)+1)*len(x.zones)
	n := &flowNetwork{network: newNetwork(vertices), index: x}
	n.addArc(relocation, sink, b.moveLimit(), cost{})
	for class := range x.classes {
		n.addDemands(b, class, unit)
		n.addDestinations(b.minLoads(x, class), class)
	}
	for zone := range x.zones {
		n.addZone(zone, capacities, unit)
	}
	return n
}

// addDemands adds the arcs of a class from the source to the zones that may carry it, and to the sink.
func (n *flowNetwork) addDemands(b branch, class int, unit unitCosts) {
	name := n.index.classes[class]
	uncarriedCost := unit.uncarried
	if b.mustCarry(name) {
		uncarriedCost[0]++
	}
	for from, load := range n.index.demand[class] {
		origin := n.originVertex(class, from)
		n.addArc(source, origin, load, cost{})
		n.uncarried = append(n.uncarried, n.addArc(origin, sink, load, uncarriedCost))
		for to, crossingCost := range n.index.crossingCost[from] {
			arc := -1
			if load > 0 && b.allowsFlow(n.index, name, from, to) {
				arc = n.addArc(origin, n.destinationVertex(class, to), load, unit.crossing.times(crossingCost))
			}
			n.flows = append(n.flows, arc)
		}
	}
}

// addDestinations adds the arcs from a class to the zones that carry it. Up to the minimum load of a zone, each unit has a
// violation cost of -1, so that as much of the minimum load as possible is carried there.
func (n *flowNetwork) addDestinations(minLoads []int64, class int) {
	for zone, minLoad := range minLoads {
		if minLoad > 0 {
			n.required += minLoad
			n.addArc(n.destinationVertex(class, zone), n.zoneVertex(zone), minLoad, cost{-1})
		}
		n.addArc(n.destinationVertex(class, zone), n.zoneVertex(zone), unlimited, cost{})
	}
}

// addZone adds the arcs for the capacity of a zone's nodes: one for the load that can stay where it is in the current plan,
// and one for load that moves.
func (n *flowNetwork) addZone(zone int, capacities []int64, unit unitCosts) {
	keptLoad, total := int64(0), int64(0)
	for _, node := range n.index.nodesInZone[zone] {
		total += capacities[node]
		keptLoad += min(capacities[node], n.index.nodes[node].CurrentLoad)
	}
	n.addArc(n.zoneVertex(zone), sink, keptLoad, cost{})
	n.addArc(n.zoneVertex(zone), relocation, total-keptLoad, unit.move)
}

// moveLimit returns the number of units of load that may move.
func (b branch) moveLimit() int64 {
	limit := int64(unlimited)
	for _, c := range b.constraints {
		if c.Kind == Moves {
			limit = min(limit, c.Count)
		}
	}
	return limit
}

// mustCarry reports whether all load of a class must be carried.
func (b branch) mustCarry(class string) bool {
	return slices.ContainsFunc(b.constraints, func(c Constraint) bool {
		return c.Kind == Carry && (c.Class == "" || c.Class == class)
	})
}

// minLoads returns the minimum load of a class in each zone that the decisions on Spread constraints require.
func (b branch) minLoads(x *index, class int) []int64 {
	minLoads := make([]int64, len(x.zones))
	for i, c := range b.constraints {
		if c.Kind != Spread || c.Class != x.classes[class] {
			continue
		}
		for _, zone := range b.decisions[i].forcedZones {
			minLoads[zone] = max(minLoads[zone], c.Least, 1)
		}
	}
	return minLoads
}

// allowsFlow reports whether zone to may carry load of a class that originates in zone from.
func (b branch) allowsFlow(x *index, class string, from, to int) bool {
	for i, c := range b.constraints {
		switch {
		case c.Kind == Keep && c.Class == class && len(c.Zones) == 0:
			if from != to {
				return false
			}
		case c.Kind == Keep && c.Class == class:
			if !slices.Contains(c.Zones, x.zones[to]) {
				return false
			}
		case c.Kind == KeepOut && c.Class == class:
			if slices.Contains(c.Zones, x.zones[to]) {
				return false
			}
		case c.Kind == Together && slices.Contains(c.Classes, class):
			if d := b.decisions[i]; d.hasZone && d.zone != to {
				return false
			}
		}
	}
	return true
}
