package placement

import "container/heap"

// cost is a vector of goals, the first of which counts first. Ordered so, vectors form a group that is ordered like the whole
// numbers, and that is all that cheapest paths ask for.
type cost [4]int64

func (a cost) add(b cost) cost {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

func (a cost) sub(b cost) cost {
	for i := range a {
		a[i] -= b[i]
	}
	return a
}

func (a cost) less(b cost) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// network is a directed graph with capacities and costs. Arcs come in pairs: arc i^1 takes back what arc i carries.
type network struct {
	arcs []arc
	from [][]int32 // arcs that leave each vertex
}

type arc struct {
	to   int32
	left int64 // that it may still carry
	cost cost
}

func newNetwork(vertices int) *network { return &network{from: make([][]int32, vertices)} }

func (n *network) add(from, to int, capacity int64, c cost) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{int32(to), capacity, c}, arc{int32(from), 0, cost{}.sub(c)})
	n.from[from] = append(n.from[from], int32(id))
	n.from[to] = append(n.from[to], int32(id+1))
	return id
}

// carried is what an arc carries.
func (n *network) carried(id int) int64 { return n.arcs[id^1].left }

// reached is a vertex with the cost of the cheapest path found to it.
type reached struct {
	v    int32
	cost cost
}

type frontier []reached

func (f frontier) Len() int           { return len(f) }
func (f frontier) Less(i, j int) bool { return f[i].cost.less(f[j].cost) }
func (f frontier) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *frontier) Push(x any)        { *f = append(*f, x.(reached)) }
func (f *frontier) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

// fill sends as much as can be from s to t at the least cost, by cheapest paths one after another, and returns how much,
// its cost, and the vertices' potentials: with them no arc that can carry more has a negative reduced cost, which proves
// that none is cheaper. The network has no cycles to begin with.
func (n *network) fill(s, t int) (sent int64, total cost, potential []cost) {
	potential = n.first(s)
	dist := make([]cost, len(n.from))
	seen := make([]bool, len(n.from))
	done := make([]bool, len(n.from))
	by := make([]int32, len(n.from))
	for {
		for v := range seen {
			seen[v], done[v] = false, false
		}
		seen[s], dist[s] = true, cost{}
		open := frontier{{int32(s), cost{}}}
		for len(open) > 0 {
			u := heap.Pop(&open).(reached)
			if done[u.v] {
				continue
			}
			done[u.v] = true
			for _, id := range n.from[u.v] {
				a := &n.arcs[id]
				if a.left == 0 || done[a.to] {
					continue
				}
				d := u.cost.add(a.cost).add(potential[u.v]).sub(potential[a.to])
				if !seen[a.to] || d.less(dist[a.to]) {
					seen[a.to], dist[a.to], by[a.to] = true, d, id
					heap.Push(&open, reached{a.to, d})
				}
			}
		}
		if !seen[t] {
			return sent, total, potential
		}
		for v := range potential {
			if seen[v] && dist[v].less(dist[t]) {
				potential[v] = potential[v].add(dist[v])
			} else {
				potential[v] = potential[v].add(dist[t])
			}
		}
		n.augment(s, t, potential, &sent, &total)
	}
}

// augment sends all that paths of no reduced cost can take, by depth first search: many paths share one round of fill.
func (n *network) augment(s, t int, potential []cost, sent *int64, total *cost) {
	next := make([]int, len(n.from))
	on := make([]bool, len(n.from))
	var walk func(v int, most int64) int64
	walk = func(v int, most int64) int64 {
		if v == t {
			return most
		}
		on[v] = true
		defer func() { on[v] = false }()
		for ; next[v] < len(n.from[v]); next[v]++ {
			id := n.from[v][next[v]]
			a := &n.arcs[id]
			if a.left == 0 || on[a.to] || a.cost.add(potential[v]) != potential[a.to] {
				continue
			}
			if got := walk(int(a.to), min(most, a.left)); got > 0 {
				a.left -= got
				n.arcs[id^1].left += got
				return got
			}
		}
		return 0
	}
	for {
		got := walk(s, 1<<62)
		if got == 0 {
			return
		}
		*sent += got
		each := potential[t].sub(potential[s])
		for i := range each {
			total[i] += each[i] * got
		}
	}
}

// first gives potentials for a network without cycles that carries nothing: the cost of the cheapest path to each vertex.
func (n *network) first(s int) []cost {
	potential := make([]cost, len(n.from))
	known := make([]bool, len(n.from))
	known[s] = true
	for changed := true; changed; { // a few rounds: paths are short
		changed = false
		for v := range n.from {
			if !known[v] {
				continue
			}
			for _, id := range n.from[v] {
				a := &n.arcs[id]
				if d := potential[v].add(a.cost); a.left > 0 && (!known[a.to] || d.less(potential[a.to])) {
					known[a.to], potential[a.to], changed = true, d, true
				}
			}
		}
	}
	return potential
}

// least makes an arc carry as little as any flow of the same cost does, and keeps it there. The potentials are those that
// prove the present flow cheapest: a flow of the same cost differs from it along arcs of no reduced cost alone.
func (n *network) least(id int, potential []cost) {
	a, back := &n.arcs[id], &n.arcs[id^1]
	u, v := int(back.to), int(a.to)
	flat := func(i int32, from int) bool {
		x := &n.arcs[i]
		return x.left > 0 && int(i) != id && int(i) != id^1 && x.cost.add(potential[from]) == potential[x.to]
	}
	by := make([]int32, len(n.from))
	for back.left > 0 && a.cost.add(potential[u]) == potential[v] {
		// Another way from u to v takes over what this arc carries.
		for i := range by {
			by[i] = -1
		}
		queue := []int{u}
		for len(queue) > 0 && by[v] < 0 {
			x := queue[0]
			queue = queue[1:]
			for _, i := range n.from[x] {
				if to := int(n.arcs[i].to); flat(i, x) && to != u && by[to] < 0 {
					by[to] = i
					queue = append(queue, to)
				}
			}
		}
		if by[v] < 0 {
			break
		}
		amount := back.left
		for x := v; x != u; x = int(n.arcs[by[x]^1].to) {
			amount = min(amount, n.arcs[by[x]].left)
		}
		for x := v; x != u; x = int(n.arcs[by[x]^1].to) {
			n.arcs[by[x]].left -= amount
			n.arcs[by[x]^1].left += amount
		}
		a.left += amount
		back.left -= amount
	}
	// It keeps what it has: neither more nor less.
	n.freeze(id)
}

// frozen arcs carry what they carry; what that is stays known.
func (n *network) freeze(id int) {
	a := &n.arcs[id]
	a.left = 0
	a.cost[0] += 1 << 40 // of no flat path any more, also backwards
	n.arcs[id^1].cost[0] -= 1 << 40
}
