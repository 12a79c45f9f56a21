package placement

// fixedArcCost is added to the cost of an arc with a fixed flow, so that its reduced cost is no longer zero. It exceeds any
// possible cost of constraint violations.
const fixedArcCost = 1 << 40

// noArc marks a vertex that a search has not reached.
const noArc = -1

// minimizeArcFlow reduces the flow on an arc to the minimum over all flows of the same total cost, and fixes it there. The
// potentials must prove that the current flow has minimum cost: flows of the same cost then differ from it only along arcs
// with a reduced cost of zero.
func (n *network) minimizeArcFlow(id int, potentials []cost) {
	from, to := int(n.arcs[id^1].to), int(n.arcs[id].to)
	incoming := make([]int32, len(n.outgoing))
	for n.flowOn(id) > 0 && n.arcs[id].cost.add(potentials[from]) == potentials[to] {
		if !n.findAlternativePath(id, potentials, incoming) {
			break
		}
		amount := n.flowOn(id)
		for v := to; v != from; v = n.tail(incoming[v]) {
			amount = min(amount, n.arcs[incoming[v]].residual)
		}
		for v := to; v != from; v = n.tail(incoming[v]) {
			n.push(incoming[v], amount)
		}
		n.push(int32(id), -amount)
	}
	n.fixArcFlow(id)
}

// tail returns the vertex that an arc leaves.
func (n *network) tail(id int32) int { return int(n.arcs[id^1].to) }

// findAlternativePath searches, breadth first, for a path between the ends of an arc that does not use the arc and whose
// reduced cost is zero. It stores the arc by which the path enters each vertex in incoming, and reports whether there is such
// a path.
func (n *network) findAlternativePath(id int, potentials []cost, incoming []int32) bool {
	from, to := int(n.arcs[id^1].to), int(n.arcs[id].to)
	for v := range incoming {
		incoming[v] = noArc
	}
	queue := []int{from}
	for len(queue) > 0 && incoming[to] == noArc {
		v := queue[0]
		queue = queue[1:]
		for _, next := range n.outgoing[v] {
			a := &n.arcs[next]
			isUsable := a.residual > 0 && int(next) != id && int(next) != id^1 && a.cost.add(potentials[v]) == potentials[a.to]
			if isUsable && int(a.to) != from && incoming[a.to] == noArc {
				incoming[a.to] = next
				queue = append(queue, int(a.to))
			}
		}
	}
	return incoming[to] != noArc
}

// fixArcFlow fixes the flow on an arc. flowOn still returns that flow.
func (n *network) fixArcFlow(id int) {
	n.arcs[id].residual = 0
	n.arcs[id].cost[0] += fixedArcCost
	n.arcs[id^1].cost[0] -= fixedArcCost
}
