package placement

import "slices"

// unlimited is the capacity of arcs that bound nothing: more than all load.
const unlimited = 1 << 50

// Vertices that every flow network has.
const (
	source = iota
	sink
	relocation // load passes it that the plan in force has on other nodes
	fixedVertices
)

// flowNetwork is the flow problem of a branch: load goes from the source by its class and zone of origin to the zone that
// carries it, and on to the sink. What goes from an origin straight to the sink is not carried.
type flowNetwork struct {
	*network
	index     *index
	flows     []int // arcs by class, zone of origin and zone; -1: not allowed
	uncarried []int // arcs by class and zone of origin
	required  int64 // units that Spread constraints require
}

func (n *flowNetwork) origin(class, zone int) int {
	return fixedVertices + n.index.demandAt(class, zone)
}

func (n *flowNetwork) destination(class, zone int) int {
	return n.origin(len(n.index.classes)+class, zone)
}

func (n *flowNetwork) zone(zone int) int { return n.origin(2*len(n.index.classes), zone) }

// goalPosition is where the sum of a goal stands in a cost, after the violations of constraints. Fullest is no sum, and has
// none.
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

// goalsBeforeFullest are the goals that count more than the fullest node.
func (s *planner) goalsBeforeFullest() []Goal {
	order := s.problem.order()
	return order[:slices.Index(order, Fullest)]
}

// unitCosts are the costs of a unit of load by goal; 0 for goals that are left out.
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

// buildNetwork makes the flow network of a branch where nodes have the given capacities. Its costs are the violations of
// constraints and the goals given.
func (s *planner) buildNetwork(b branch, capacities []int64, goals []Goal) *flowNetwork {
	x := s.index
	unit := s.unitCosts(goals)
	vertices := fixedVertices + (2*len(x.classes)+1)*len(x.zones)
	n := &flowNetwork{network: newNetwork(vertices), index: x}
	n.add(relocation, sink, b.moveLimit(), cost{})
	for class := range x.classes {
		n.addDemands(b, class, unit)
		n.addDestinations(b.minLoads(x, class), class)
	}
	for zone := range x.zones {
		n.addZone(zone, capacities, unit)
	}
	return n
}

// addDemands adds the arcs of a class from the source to the zones that may carry it.
func (n *flowNetwork) addDemands(b branch, class int, unit unitCosts) {
	name := n.index.classes[class]
	uncarriedCost := unit.uncarried
	if b.mustCarry(name) {
		uncarriedCost[0]++
	}
	for from, load := range n.index.demand[class] {
		origin := n.origin(class, from)
		n.add(source, origin, load, cost{})
		n.uncarried = append(n.uncarried, n.add(origin, sink, load, uncarriedCost))
		for to, crossingCost := range n.index.crossingCost[from] {
			arc := -1
			if load > 0 && b.allows(n.index, name, from, to) {
				arc = n.add(origin, n.destination(class, to), load, unit.crossing.times(crossingCost))
			}
			n.flows = append(n.flows, arc)
		}
	}
}

// addDestinations adds the arcs by which a class reaches the zones. The load that must be there costs -1, so that as much as
// possible of it is carried.
func (n *flowNetwork) addDestinations(minLoads []int64, class int) {
	for zone, minLoad := range minLoads {
		if minLoad > 0 {
			n.required += minLoad
			n.add(n.destination(class, zone), n.zone(zone), minLoad, cost{-1})
		}
		n.add(n.destination(class, zone), n.zone(zone), unlimited, cost{})
	}
}

// addZone adds the arcs for what a zone's nodes can carry, with and without a move.
func (n *flowNetwork) addZone(zone int, capacities []int64, unit unitCosts) {
	unmoved, total := int64(0), int64(0)
	for _, node := range n.index.nodesInZone[zone] {
		total += capacities[node]
		unmoved += min(capacities[node], n.index.nodes[node].CurrentLoad)
	}
	n.add(n.zone(zone), sink, unmoved, cost{})
	n.add(n.zone(zone), relocation, total-unmoved, unit.move)
}

// moveLimit is how many units of load may move.
func (b branch) moveLimit() int64 {
	limit := int64(unlimited)
	for _, c := range b.constraints {
		if c.Kind == Moves {
			limit = min(limit, c.Count)
		}
	}
	return limit
}

// mustCarry reports whether all load of a class is to be carried.
func (b branch) mustCarry(class string) bool {
	return slices.ContainsFunc(b.constraints, func(c Constraint) bool {
		return c.Kind == Carry && (c.Class == "" || c.Class == class)
	})
}

// minLoads is how much of a class each zone must carry by the decisions on Spread constraints.
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

// allows reports whether load of a class may go from a zone to another.
func (b branch) allows(x *index, class string, from, to int) bool {
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
