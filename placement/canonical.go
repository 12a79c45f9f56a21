package placement

// frozenCost takes an arc off all paths of no reduced cost: more than any cost of violations.
const frozenCost = 1 << 40

// noArc stands for a vertex that a search has not reached.
const noArc = -1

// minimizeArc has an arc carry as little as in any flow of the same cost, and freezes it there. The potentials are those that
// prove the present flow cheapest: flows of the same cost differ from it along arcs of no reduced cost alone.
func (n *network) minimizeArc(id int, potentials []cost) {
	from, to := int(n.arcs[id^1].to), int(n.arcs[id].to)
	incoming := make([]int32, len(n.outgoing))
	for n.carried(id) > 0 && n.arcs[id].cost.add(potentials[from]) == potentials[to] {
		if !n.findDetour(id, potentials, incoming) {
			break
		}
		amount := n.carried(id)
		for v := to; v != from; v = n.tail(incoming[v]) {
			amount = min(amount, n.arcs[incoming[v]].residual)
		}
		for v := to; v != from; v = n.tail(incoming[v]) {
			n.push(incoming[v], amount)
		}
		n.push(int32(id), -amount)
	}
	n.freeze(id)
}

// tail returns the vertex that an arc leaves.
func (n *network) tail(id int32) int { return int(n.arcs[id^1].to) }

// findDetour finds another path of no reduced cost between the ends of an arc, breadth first. It writes the arc by which the
// path enters each vertex to incoming.
func (n *network) findDetour(id int, potentials []cost, incoming []int32) bool {
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

// freeze fixes what an arc carries; carried still returns it.
func (n *network) freeze(id int) {
	n.arcs[id].residual = 0
	n.arcs[id].cost[0] += frozenCost
	n.arcs[id^1].cost[0] -= frozenCost
}
