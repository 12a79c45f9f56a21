package placement

import "container/heap"

// distribute divides the load of a zone among its nodes, and returns the load of each node. No load exceeds the node's entry
// in capacities. As little load as possible moves away from the nodes that carry it in the current plan. Subject to that, the
// highest ratio of load to capacity is minimal, then the second highest, and so on.
//
// The ratios are compared for each unit of load. The marginal fullness of the k-th unit on a node is k divided by the node's
// Capacity. distribute minimizes the highest marginal fullness of all units, then the second highest, and so on. If two units
// have equal marginal fullness, the unit on the node that comes first in nodes counts as less full.
func distribute(nodes []Node, capacities []int64, load int64) []int64 {
	loads := make([]int64, len(nodes))
	keptLoad := int64(0)
	for i, n := range nodes {
		loads[i] = min(n.CurrentLoad, capacities[i])
		keptLoad += loads[i]
	}
	if keptLoad > load {
		zeroLimits := make([]int64, len(nodes))
		(&waterFiller{nodes: nodes, loads: loads, limits: zeroLimits, direction: -1}).adjust(keptLoad - load)
	} else {
		(&waterFiller{nodes: nodes, loads: loads, limits: capacities, direction: 1}).adjust(load - keptLoad)
	}
	return loads
}

// waterFiller implements water-filling: it adds each unit to the node that is least full with this unit, or removes each unit
// from the fullest node. It implements heap.Interface over the nodes that are not at their limits. The node at the front of
// the heap changes next.
type waterFiller struct {
	nodes      []Node
	loads      []int64
	limits     []int64 // highest loads if load is added, lowest loads if it is removed
	direction  int64   // 1 adds load, -1 removes it
	adjustable []int   // heap of the positions in nodes that can still change
}

// adjust changes the loads by an amount in total, or until all are at their limits. It first brings all nodes to a common
// level. The units that could still change before the next level have equal marginal fullness, and there is at most one for
// each node. adjust changes as many of them as are left of the amount, one by one.
func (w *waterFiller) adjust(amount int64) {
	amount -= w.adjustToLevel(amount)
	for i := range w.nodes {
		if w.unitsToLimit(i) > 0 {
			w.adjustable = append(w.adjustable, i)
		}
	}
	heap.Init(w)
	for amount > 0 && len(w.adjustable) > 0 {
		node := w.adjustable[0]
		w.loads[node] += w.direction
		amount--
		if w.unitsToLimit(node) > 0 {
			heap.Fix(w, 0)
		} else {
			heap.Remove(w, 0)
		}
	}
}

// adjustToLevel brings all nodes to the furthest level that changes the loads by no more than an amount, and returns the sum
// of the changes. A level is a ratio of load to capacity, as a multiple of 1/fullnessScale. This step is smaller than the
// difference between any two different values of marginal fullness.
func (w *waterFiller) adjustToLevel(amount int64) (changed int64) {
	// Binary search: the number of units to a level grows with its distance.
	low, high := uint64(0), uint64(fullnessScale)
	for low < high {
		middle := low + (high-low)/2
		if w.direction > 0 {
			middle++ // round up: this finds the highest level that needs at most the amount
		}
		isWithin := w.unitsToLevel(middle) <= amount
		switch {
		case w.direction > 0 && isWithin:
			low = middle
		case w.direction > 0:
			high = middle - 1
		case isWithin: // this finds the lowest level that needs at most the amount
			high = middle
		default:
			low = middle + 1
		}
	}
	for i := range w.nodes {
		target := w.loadAtLevel(i, low)
		changed += (target - w.loads[i]) * w.direction
		w.loads[i] = target
	}
	return changed
}

// unitsToLevel returns by how many units the loads change if all nodes go to a level.
func (w *waterFiller) unitsToLevel(level uint64) (units int64) {
	for i := range w.nodes {
		units += (w.loadAtLevel(i, level) - w.loads[i]) * w.direction
	}
	return units
}

// loadAtLevel returns the load of a node at a level, or its limit if the node reaches that before the level.
func (w *waterFiller) loadAtLevel(node int, level uint64) int64 {
	load := loadAtFullness(level, max(w.nodes[node].Capacity, 1))
	if w.direction > 0 {
		return min(max(load, w.loads[node]), max(w.limits[node], w.loads[node]))
	}
	return max(min(load, w.loads[node]), min(w.limits[node], w.loads[node]))
}

// unitsToLimit returns by how many units the load of a node can still change.
func (w *waterFiller) unitsToLimit(node int) int64 {
	return (w.limits[node] - w.loads[node]) * w.direction
}

// marginalFullness returns the ratio of load to capacity that a node reaches with the next unit that is added or, if load is
// removed, the ratio that it has with the next unit that is removed.
func (w *waterFiller) marginalFullness(node int) Ratio {
	load := w.loads[node]
	if w.direction > 0 {
		load++
	}
	return Ratio{load, max(w.nodes[node].Capacity, 1)}
}

// changesBefore reports whether node i is adjusted before node j.
func (w *waterFiller) changesBefore(i, j int) bool {
	if w.direction < 0 {
		i, j = j, i
	}
	a, b := w.marginalFullness(i), w.marginalFullness(j)
	if a.less(b) || b.less(a) {
		return a.less(b)
	}
	return i < j
}

func (w *waterFiller) Len() int           { return len(w.adjustable) }
func (w *waterFiller) Less(a, b int) bool { return w.changesBefore(w.adjustable[a], w.adjustable[b]) }
func (w *waterFiller) Swap(a, b int) {
	w.adjustable[a], w.adjustable[b] = w.adjustable[b], w.adjustable[a]
}
func (w *waterFiller) Push(x any) { w.adjustable = append(w.adjustable, x.(int)) }

func (w *waterFiller) Pop() any {
	last := len(w.adjustable) - 1
	node := w.adjustable[last]
	w.adjustable = w.adjustable[:last]
	return node
}
