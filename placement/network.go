package placement

// cost is a vector of costs in lexicographic order: the first component in which two vectors differ decides. With this order
// and componentwise addition, the vectors form an ordered group like the integers, which is all that shortest-path algorithms
// require.
type cost [4]int64

func (c cost) add(other cost) cost {
	for i := range c {
		c[i] += other[i]
	}
	return c
}

func (c cost) sub(other cost) cost {
	for i := range c {
		c[i] -= other[i]
	}
	return c
}

func (c cost) times(n int64) cost {
	for i := range c {
		c[i] *= n
	}
	return c
}

func (c cost) less(other cost) bool {
	for i := range c {
		if c[i] != other[i] {
			return c[i] < other[i]
		}
	}
	return false
}

// network is a directed graph with arc capacities and costs. Arcs come in pairs: arc i^1 is the reverse of arc i in the
// residual graph.
type network struct {
	arcs     []arc
	outgoing [][]int32 // numbers of the arcs that leave a vertex, by vertex
}

type arc struct {
	to       int32
	residual int64 // capacity that is left
	cost     cost
}

func newNetwork(vertices int) *network { return &network{outgoing: make([][]int32, vertices)} }

// addArc adds an arc and its reverse, and returns the number of the arc.
func (n *network) addArc(from, to int, capacity int64, c cost) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{int32(to), capacity, c}, arc{int32(from), 0, cost{}.sub(c)})
	n.outgoing[from] = append(n.outgoing[from], int32(id))
	n.outgoing[to] = append(n.outgoing[to], int32(id+1))
	return id
}

// flowOn returns the flow on an arc.
func (n *network) flowOn(id int) int64 { return n.arcs[id^1].residual }

// push increases the flow on an arc by an amount. A negative amount decreases the flow.
func (n *network) push(id int32, amount int64) {
	n.arcs[id].residual -= amount
	n.arcs[id^1].residual += amount
}
