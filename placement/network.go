package placement

// cost is a vector of goals, the first of which counts first. Ordered so, vectors form an ordered group like the whole numbers,
// which is all that shortest paths require.
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

// network is a directed graph with capacities and costs. Arcs come in pairs: arc i^1 takes back what arc i carries.
type network struct {
	arcs     []arc
	outgoing [][]int32 // arcs by the vertex that they leave
}

type arc struct {
	to       int32
	residual int64 // what it may carry in addition
	cost     cost
}

func newNetwork(vertices int) *network { return &network{outgoing: make([][]int32, vertices)} }

// add adds an arc and returns its number.
func (n *network) add(from, to int, capacity int64, c cost) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{int32(to), capacity, c}, arc{int32(from), 0, cost{}.sub(c)})
	n.outgoing[from] = append(n.outgoing[from], int32(id))
	n.outgoing[to] = append(n.outgoing[to], int32(id+1))
	return id
}

// carried returns what an arc carries.
func (n *network) carried(id int) int64 { return n.arcs[id^1].residual }

// push has an arc carry more.
func (n *network) push(id int32, amount int64) {
	n.arcs[id].residual -= amount
	n.arcs[id^1].residual += amount
}
