package placement

import "container/heap"

// fill sends as much as possible from a source to a sink at the least cost, by successive shortest paths. It returns the cost
// and the potentials of the vertices: with them no arc that can carry more has a negative reduced cost, which proves that no
// flow is cheaper. The network must carry nothing and have no cycles.
func (n *network) fill(source, sink int) (total cost, potentials []cost) {
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

// initialPotentials returns the cost of the cheapest path to each vertex of a network that carries nothing.
func (n *network) initialPotentials(source int) []cost {
	potentials := make([]cost, len(n.outgoing))
	reached := make([]bool, len(n.outgoing))
	reached[source] = true
	for changed := true; changed; { // a few rounds: paths are short
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

// shortestPaths is Dijkstra's algorithm over reduced costs, with memory that is used again by each search.
type shortestPaths struct {
	network  *network
	distance []cost
	reached  []bool
	done     []bool
	open     frontier
}

func newShortestPaths(n *network) *shortestPaths {
	vertices := len(n.outgoing)
	return &shortestPaths{
		network:  n,
		distance: make([]cost, vertices),
		reached:  make([]bool, vertices),
		done:     make([]bool, vertices),
	}
}

// search finds the distance of each vertex from a source.
func (p *shortestPaths) search(source int, potentials []cost) {
	clear(p.reached)
	clear(p.done)
	p.reached[source], p.distance[source] = true, cost{}
	p.open = append(p.open[:0], pathEnd{int32(source), cost{}})
	for len(p.open) > 0 {
		end := heap.Pop(&p.open).(pathEnd)
		if p.done[end.vertex] {
			continue
		}
		p.done[end.vertex] = true
		for _, id := range p.network.outgoing[end.vertex] {
			a := &p.network.arcs[id]
			if a.residual == 0 || p.done[a.to] {
				continue
			}
			d := end.cost.add(a.cost).add(potentials[end.vertex]).sub(potentials[a.to])
			if !p.reached[a.to] || d.less(p.distance[a.to]) {
				p.reached[a.to], p.distance[a.to] = true, d
				heap.Push(&p.open, pathEnd{a.to, d})
			}
		}
	}
}

// pathEnd is a vertex with the cost of a path to it.
type pathEnd struct {
	vertex int32
	cost   cost
}

// frontier is a heap of paths, the cheapest first.
type frontier []pathEnd

func (f frontier) Len() int           { return len(f) }
func (f frontier) Less(i, j int) bool { return f[i].cost.less(f[j].cost) }
func (f frontier) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *frontier) Push(x any)        { *f = append(*f, x.(pathEnd)) }

func (f *frontier) Pop() any {
	last := len(*f) - 1
	end := (*f)[last]
	*f = (*f)[:last]
	return end
}

// augmentation sends flow along all paths of no reduced cost, by depth-first search: many paths share one search for
// distances.
type augmentation struct {
	network    *network
	sink       int
	potentials []cost
	next       []int  // by vertex: the first of its arcs that may still lead to the sink
	onPath     []bool // by vertex
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

// sendAll sends as much as possible from a source to the sink, and returns how much that is.
func (a *augmentation) sendAll(source int) (total int64) {
	for {
		sent := a.send(source, unlimited)
		if sent == 0 {
			return total
		}
		total += sent
	}
}

// send sends flow along one path from a vertex to the sink, limit at most, and returns how much; 0 if there is no path.
func (a *augmentation) send(from int, limit int64) int64 {
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
		if sent := a.send(int(next.to), min(limit, next.residual)); sent > 0 {
			a.network.push(id, sent)
			return sent
		}
	}
	return 0
}
