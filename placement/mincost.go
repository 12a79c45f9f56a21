package placement

import "container/heap"

// maximizeFlow computes the maximum flow of minimum cost from a source to a sink by successive shortest paths. It returns the
// cost of the flow and the potentials of the vertices. With these potentials no arc in the residual graph has a negative
// reduced cost, which proves that the cost is minimal. The network must carry no flow yet and have no cycles.
func (n *network) maximizeFlow(source, sink int) (total cost, potentials []cost) {
	potentials = n.initialPotentials(source)
	paths := newShortestPaths(n)
	for {
		paths.search(source, potentials)
		if !paths.reached[sink] {
			return total, potentials
		}
		for v := range potentials {
			if paths.reached[v] && paths.distance[v].less(paths.distance[sink]) {
				potentials[v] = potentials[v].add(paths.distance[v])
			} else {
				potentials[v] = potentials[v].add(paths.distance[sink])
			}
		}
		sent := newAugmentation(n, sink, potentials).sendAll(source)
		unit := potentials[sink].sub(potentials[source])
		total = total.add(unit.times(sent))
	}
}

// initialPotentials returns the cost of the cheapest path to each vertex of a network without flow. Costs may be negative, so
// it uses the Bellman-Ford algorithm.
func (n *network) initialPotentials(source int) []cost {
	potentials := make([]cost, len(n.outgoing))
	reached := make([]bool, len(n.outgoing))
	reached[source] = true
	for changed := true; changed; { // takes few rounds because paths are short
		changed = false
		for v := range n.outgoing {
			if !reached[v] {
				continue
			}
			for _, id := range n.outgoing[v] {
				a := &n.arcs[id]
				if d := potentials[v].add(a.cost); a.residual > 0 && (!reached[a.to] || d.less(potentials[a.to])) {
					reached[a.to], potentials[a.to], changed = true, d, true
				}
			}
		}
	}
	return potentials
}

// shortestPaths implements Dijkstra's algorithm over reduced costs. Its memory is reused by each search.
type shortestPaths struct {
	network  *network
	distance []cost
	reached  []bool
	settled  []bool
	queue    vertexQueue
}

func newShortestPaths(n *network) *shortestPaths {
	vertices := len(n.outgoing)
	return &shortestPaths{
		network:  n,
		distance: make([]cost, vertices),
		reached:  make([]bool, vertices),
		settled:  make([]bool, vertices),
	}
}

// search computes the distance of each vertex from a source. It leaves reached unset for vertices without a path.
func (p *shortestPaths) search(source int, potentials []cost) {
	clear(p.reached)
	clear(p.settled)
	p.reached[source], p.distance[source] = true, cost{}
	p.queue = append(p.queue[:0], queuedVertex{int32(source), cost{}})
	for len(p.queue) > 0 {
		current := heap.Pop(&p.queue).(queuedVertex)
		if p.settled[current.vertex] {
			continue
		}
		p.settled[current.vertex] = true
		for _, id := range p.network.outgoing[current.vertex] {
			a := &p.network.arcs[id]
			if a.residual == 0 || p.settled[a.to] {
				continue
			}
			d := current.cost.add(a.cost).add(potentials[current.vertex]).sub(potentials[a.to])
			if !p.reached[a.to] || d.less(p.distance[a.to]) {
				p.reached[a.to], p.distance[a.to] = true, d
				heap.Push(&p.queue, queuedVertex{a.to, d})
			}
		}
	}
}

// queuedVertex is a vertex with the cost of a path to it.
type queuedVertex struct {
	vertex int32
	cost   cost
}

// vertexQueue is a heap of vertices, ordered by the costs of their paths.
type vertexQueue []queuedVertex

func (q vertexQueue) Len() int           { return len(q) }
func (q vertexQueue) Less(i, j int) bool { return q[i].cost.less(q[j].cost) }
func (q vertexQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *vertexQueue) Push(x any)        { *q = append(*q, x.(queuedVertex)) }

func (q *vertexQueue) Pop() any {
	last := len(*q) - 1
	vertex := (*q)[last]
	*q = (*q)[:last]
	return vertex
}

// augmentation sends flow along paths with a reduced cost of zero, which it finds by depth-first search. One search for
// distances thus serves many paths.
type augmentation struct {
	network    *network
	sink       int
	potentials []cost
	next       []int  // by vertex: position of its first outgoing arc that may still lead to the sink
	onPath     []bool // by vertex: reports whether the current path contains it
}

func newAugmentation(n *network, sink int, potentials []cost) *augmentation {
	return &augmentation{
		network:    n,
		sink:       sink,
		potentials: potentials,
		next:       make([]int, len(n.outgoing)),
		onPath:     make([]bool, len(n.outgoing)),
	}
}

// sendAll sends flow from a source to the sink until no path is found, and returns the amount.
func (a *augmentation) sendAll(source int) (total int64) {
	for {
		sent := a.sendAlongPath(source, unlimited)
		if sent == 0 {
			return total
		}
		total += sent
	}
}

// sendAlongPath sends flow along one path from a vertex to the sink, at most limit, and returns the amount; zero means that
// there is no path.
func (a *augmentation) sendAlongPath(from int, limit int64) int64 {
	if from == a.sink {
		return limit
	}
	a.onPath[from] = true
	defer func() { a.onPath[from] = false }()
	outgoing := a.network.outgoing[from]
	for ; a.next[from] < len(outgoing); a.next[from]++ {
		id := outgoing[a.next[from]]
		next := &a.network.arcs[id]
		if next.residual == 0 || a.onPath[next.to] || next.cost.add(a.potentials[from]) != a.potentials[next.to] {
			continue
		}
		if sent := a.sendAlongPath(int(next.to), min(limit, next.residual)); sent > 0 {
			a.network.push(id, sent)
			return sent
		}
	}
	return 0
}
