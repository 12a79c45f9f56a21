package placement

import "container/heap"

// distribute returns the load of each node of a zone, none over its capacity. As little load as possible moves from the nodes
// that have it in the plan in force. Beyond that the fullest node is as empty as possible, then the next: each unit of load
// has a mark, the ratio to which its node is full with it, and the highest mark is the lowest possible. Of equal marks that of
// the first node by name counts as lower.
func distribute(nodes []Node, capacities []int64, load int64) []int64 {
	loads := make([]int64, len(nodes))
	unmoved := int64(0)
	for i, n := range nodes {
		loads[i] = min(n.CurrentLoad, capacities[i])
		unmoved += loads[i]
	}
	if unmoved > load {
		empty := make([]int64, len(nodes))
		(&leveller{nodes: nodes, loads: loads, limits: empty, sign: -1}).move(unmoved - load)
	} else {
		(&leveller{nodes: nodes, loads: loads, limits: capacities, sign: 1}).move(load - unmoved)
	}
	return loads
}

// leveller adds load where it fills a node least, or takes it from the fullest. It is the heap of the nodes that are not at
// their limits; the first one is next to change.
type leveller struct {
	nodes  []Node
	loads  []int64
	limits []int64 // of loads, in the direction of the change
	sign   int64   // 1: load is added; -1: it is taken away
	open   []int   // heap of positions in nodes
}

// move changes the loads by an amount in total, or to their limits. Units move in blocks as large as the order allows.
func (l *leveller) move(amount int64) {
	for i := range l.nodes {
		if l.room(i) > 0 {
			l.open = append(l.open, i)
		}
	}
	heap.Init(l)
	for amount > 0 && len(l.open) > 0 {
		node := l.open[0]
		block := min(l.block(node, amount), l.room(node), amount)
		l.loads[node] += l.sign * block
		amount -= block
		if l.room(node) > 0 {
			heap.Fix(l, 0)
		} else {
			heap.Remove(l, 0)
		}
	}
}

// room is how many units a node is from its limit.
func (l *leveller) room(node int) int64 { return (l.limits[node] - l.loads[node]) * l.sign }

// block is how many units the first node may take at once.
func (l *leveller) block(node int, amount int64) int64 {
	if len(l.open) == 1 {
		return amount
	}
	// While much is left, blocks small against it can't overshoot the level that all nodes will reach.
	if limit := amount / int64(4*len(l.open)); limit > 1 {
		return l.blockToNext(node, limit)
	}
	return 1
}

// blockToNext is how many units, limit at most, bring the first node to the mark of the one that follows it.
func (l *leveller) blockToNext(node int, limit int64) int64 {
	follower := l.open[1]
	if len(l.open) > 2 && l.before(l.open[2], follower) {
		follower = l.open[2]
	}
	level := l.mark(follower).of(max(l.nodes[node].Capacity, 1))
	return min(max((level-l.loads[node])*l.sign, 1), limit)
}

// mark is the ratio to which a node is full with its next unit, or with the one that it would give up.
func (l *leveller) mark(node int) Ratio {
	load := l.loads[node]
	if l.sign > 0 {
		load++
	}
	return Ratio{load, max(l.nodes[node].Capacity, 1)}
}

// before reports whether a node changes before another.
func (l *leveller) before(i, j int) bool {
	if l.sign < 0 {
		i, j = j, i
	}
	a, b := l.mark(i), l.mark(j)
	if a.less(b) || b.less(a) {
		return a.less(b)
	}
	return i < j
}

func (l *leveller) Len() int           { return len(l.open) }
func (l *leveller) Less(a, b int) bool { return l.before(l.open[a], l.open[b]) }
func (l *leveller) Swap(a, b int)      { l.open[a], l.open[b] = l.open[b], l.open[a] }
func (l *leveller) Push(x any)         { l.open = append(l.open, x.(int)) }

func (l *leveller) Pop() any {
	last := len(l.open) - 1
	node := l.open[last]
	l.open = l.open[:last]
	return node
}
