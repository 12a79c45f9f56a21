package placement

import "container/heap"

// distribute puts a zone's load on its nodes, none over its cap. As little as can be moves from where the plan in force has
// it. Then units stand as low as can be: each has a mark, the part of its node that is full up to it, and the highest mark is
// the lowest possible, then the next; of equal marks that of the first node by name counts as lower.
func distribute(nodes []Node, caps []int64, load int64) []int64 {
	loads := make([]int64, len(nodes))
	sum := int64(0)
	for i, n := range nodes {
		loads[i] = min(n.CurrentLoad, caps[i])
		sum += loads[i]
	}
	if sum > load {
		level(nodes, loads, sum-load, make([]int64, len(nodes)), loads, -1)
	} else {
		level(nodes, loads, load-sum, loads, caps, 1)
	}
	return loads
}

// level changes loads by an amount in all, each between its low and its high. With by 1 each unit goes where it fills least;
// with -1 each is taken from the fullest. Units go in blocks as large as the order allows.
func level(nodes []Node, loads []int64, amount int64, low, high []int64, by int64) {
	lows, highs := append([]int64(nil), low...), append([]int64(nil), high...)
	q := &fillOrder{nodes: nodes, loads: loads, by: by}
	for i := range nodes {
		if by > 0 && loads[i] < highs[i] || by < 0 && loads[i] > lows[i] {
			q.open = append(q.open, i)
		}
	}
	heap.Init(q)
	for amount > 0 && len(q.open) > 0 {
		i := q.open[0]
		block := int64(1)
		if len(q.open) == 1 {
			block = amount
		} else if spare := amount / int64(4*len(q.open)); spare > 1 {
			// While much is left, blocks small against it can't overshoot the level that all will reach.
			block = q.blockTo(i, spare)
		}
		if by > 0 {
			block = min(block, highs[i]-loads[i])
		} else {
			block = min(block, loads[i]-lows[i])
		}
		block = min(block, amount)
		loads[i] += by * block
		amount -= block
		if by > 0 && loads[i] >= highs[i] || by < 0 && loads[i] <= lows[i] {
			heap.Remove(q, 0)
		} else {
			heap.Fix(q, 0)
		}
	}
}

// fillOrder has the node first that the next unit goes to, or is taken from.
type fillOrder struct {
	nodes []Node
	loads []int64
	by    int64
	open  []int
}

// after is a node's part of its capacity once it has the next unit, or before it gives one up.
func (q *fillOrder) after(i int) Ratio {
	n := q.loads[i]
	if q.by > 0 {
		n++
	}
	return Ratio{n, max(q.nodes[i].Capacity, 1)}
}

// blockTo is how many units a node may take at once: as many as keep it first, at most.
func (q *fillOrder) blockTo(i int, most int64) int64 {
	next := -1
	for _, j := range []int{1, 2} {
		if j < len(q.open) && (next < 0 || q.before(q.open[j], next)) {
			next = q.open[j]
		}
	}
	if next < 0 {
		return most
	}
	goal := q.after(next)
	c := max(q.nodes[i].Capacity, 1)
	at := Ratio{goal.Num, goal.Den}.of(c) // its load at the next one's part
	room := (at - q.loads[i]) * q.by
	return min(max(room, 1), most)
}

func (q *fillOrder) before(i, j int) bool {
	a, b := q.after(i), q.after(j)
	if q.by < 0 {
		a, b = b, a
	}
	if a.less(b) {
		return true
	}
	if b.less(a) {
		return false
	}
	if q.by < 0 {
		return i > j
	}
	return i < j
}

func (q *fillOrder) Len() int           { return len(q.open) }
func (q *fillOrder) Less(a, b int) bool { return q.before(q.open[a], q.open[b]) }
func (q *fillOrder) Swap(a, b int)      { q.open[a], q.open[b] = q.open[b], q.open[a] }
func (q *fillOrder) Push(x any)         { q.open = append(q.open, x.(int)) }
func (q *fillOrder) Pop() any {
	x := q.open[len(q.open)-1]
	q.open = q.open[:len(q.open)-1]
	return x
}
