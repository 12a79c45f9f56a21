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

// move changes the loads by an amount in total, or to their limits: first to the level that all nodes reach, then by the units
// whose marks are equal there, at most one a node.
func (l *leveller) move(amount int64) {
	amount -= l.moveToLevel(amount)
	for i := range l.nodes {
		if l.room(i) > 0 {
			l.open = append(l.open, i)
		}
	}
	heap.Init(l)
	for amount > 0 && len(l.open) > 0 {
		node := l.open[0]
		l.loads[node] += l.sign
		amount--
		if l.room(node) > 0 {
			heap.Fix(l, 0)
		} else {
			heap.Remove(l, 0)
		}
	}
}

// moveToLevel moves all units whose marks are on the near side of the furthest level that takes no more than an amount, and
// returns how many these are. Levels are ratios to fullnessScale, finer than two marks can differ.
func (l *leveller) moveToLevel(amount int64) (moved int64) {
	// Whether a level is far enough changes once, from the nearest to the furthest.
	low, high := uint64(0), uint64(fullnessScale)
	for low < high {
		middle := low + (high-low)/2
		if l.sign > 0 {
			middle++ // the highest level that takes at most the amount
		}
		isWithin := l.unitsTo(middle) <= amount
		switch {
		case l.sign > 0 && isWithin:
			low = middle
		case l.sign > 0:
			high = middle - 1
		case isWithin: // the lowest level that leaves enough
			high = middle
		default:
			low = middle + 1
		}
	}
	for i := range l.nodes {
		target := l.loadAtLevel(i, low)
		moved += (target - l.loads[i]) * l.sign
		l.loads[i] = target
	}
	return moved
}

// unitsTo is how many units move if all nodes reach a level.
func (l *leveller) unitsTo(level uint64) (units int64) {
	for i := range l.nodes {
		units += (l.loadAtLevel(i, level) - l.loads[i]) * l.sign
	}
	return units
}

// loadAtLevel is a node's load once it has reached a level, or its limit before that.
func (l *leveller) loadAtLevel(node int, level uint64) int64 {
	load := loadAt(level, max(l.nodes[node].Capacity, 1))
	if l.sign > 0 {
		return min(max(load, l.loads[node]), max(l.limits[node], l.loads[node]))
	}
	return max(min(load, l.loads[node]), min(l.limits[node], l.loads[node]))
}

// room is how many units a node is from its limit.
func (l *leveller) room(node int) int64 { return (l.limits[node] - l.loads[node]) * l.sign }

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
