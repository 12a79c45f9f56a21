package placement

import (
	"fmt"
	"math/bits"
	"slices"
)

// Goals are what plans are compared by, in the Problem's order: less is better in each. Where all are equal the plan
// counts whose flows are least, taken by class, zone of origin and zone in the order of names, so that one plan is the best.
type Goals struct {
	Uncarried int64 // units of load
	Crossings int64 // units of load times the cost of their crossing
	Fullest   Ratio // the fullest node's part of its capacity; 0/0: no node carries anything
	Moves     int64 // units of load that the plan in force has elsewhere
}

// Flow is load of a class that goes from its clients' zone to another, or stays.
type Flow struct {
	Class, From, To string
	Load            int64
}

// Plan is who carries what.
type Plan struct {
	Goals
	Load   map[string]int64 // by node; a node without load is in it with 0
	Flows  []Flow           // without those of no load
	Missed []Demand         // load that is not carried
	Proven bool             // no plan is better; else Bound says what one could reach at best
	Bound  Goals
	Steps  int // networks solved
}

// InfeasibleError says that the constraints can't be met together.
type InfeasibleError struct {
	Conflict []Relaxation // no proper subset of it conflicts
}

func (e *InfeasibleError) Error() string {
	text := "the constraints can't be met together:"
	for _, r := range e.Conflict {
		text += fmt.Sprintf("\n  %s (line %d): %s", r.Constraint.Name, r.Constraint.Line, r.Text)
	}
	return text
}

// Options bound the work.
type Options struct {
	MaxSteps int // networks to be solved at most; 0: no bound
}

// Solve returns the best plan, an *Infeasible, or a fault of the Problem's form.
func Solve(p *Problem, o Options) (*Plan, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	s := &planner{p: p, x: p.index(), steps: o.MaxSteps}
	best := s.search(p.Constraints, true)
	if best == nil {
		return nil, s.explain()
	}
	return best, nil
}

type planner struct {
	p     *Problem
	x     *indexed
	steps int // 0: no bound
	used  int
}

// choice is a branch's decisions: for constraints that are no flow's.
type choice struct {
	zone   map[int]int   // of Together, by constraint
	forced map[int][]int // of Spread: zones that must carry, by constraint
	next   map[int]int   // of Spread: the zone to decide on next
}

func (c choice) clone() choice {
	n := choice{zone: map[int]int{}, forced: map[int][]int{}, next: map[int]int{}}
	for k, v := range c.zone {
		n.zone[k] = v
	}
	for k, v := range c.forced {
		n.forced[k] = slices.Clone(v)
	}
	for k, v := range c.next {
		n.next[k] = v
	}
	return n
}

// search finds the best plan under the constraints by branch and bound; nil: there is none. A branch's relaxation leaves
// undecided constraints out; where its best plan meets them all the same, it is the branch's best.
func (s *planner) search(cs []Constraint, whole bool) *Plan {
	var best *found
	proven := true
	var bound *found
	open := []choice{(choice{}).clone()}
	for len(open) > 0 {
		c := open[len(open)-1]
		open = open[:len(open)-1]
		if s.steps > 0 && s.used >= s.steps && best != nil {
			proven = false
			break
		}
		f := s.relax(cs, c, whole)
		if f.violated > 0 || best != nil && !f.before(best) {
			continue
		}
		if bound == nil {
			bound = f // of the root: nothing is better
		}
		at := f.breaks(cs, c)
		if at < 0 {
			best = f
			if !whole {
				break
			}
			continue
		}
		k := cs[at]
		if k.Kind == Together {
			for z := len(s.x.zones) - 1; z >= 0; z-- {
				n := c.clone()
				n.zone[at] = z
				open = append(open, n)
			}
			continue
		}
		z := c.next[at]
		left := len(s.x.zones) - z
		need := int(k.Count) - len(c.forced[at])
		if left > need { // one that does not count on this zone
			n := c.clone()
			n.next[at]++
			open = append(open, n)
		}
		if left >= need && need > 0 {
			n := c.clone()
			n.forced[at] = append(n.forced[at], z)
			n.next[at]++
			open = append(open, n)
		}
	}
	if best == nil {
		return nil
	}
	plan := best.plan()
	plan.Proven, plan.Steps, plan.Bound = proven, s.used, bound.goals
	return plan
}

// caps are what nodes may carry under the constraints, before any goal.
func (s *planner) caps(cs []Constraint) []int64 {
	caps := make([]int64, len(s.x.nodes))
	for i, n := range s.x.nodes {
		caps[i] = n.Capacity
	}
	for _, c := range cs {
		switch c.Kind {
		case Headroom:
			for i, n := range s.x.nodes {
				caps[i] = min(caps[i], c.Part.of(n.Capacity))
			}
		case Share:
			for i := range caps {
				caps[i] = min(caps[i], c.Part.of(s.x.total))
			}
		case Connections:
			for i, n := range s.x.nodes {
				if n.Model == c.Model {
					caps[i] = min(caps[i], c.Count*max(c.Least, 1))
				}
			}
		case Pair:
			for _, zone := range s.x.inZone {
				var first []int
				partners := 0
				for _, i := range zone {
					switch n := s.x.nodes[i]; {
					case n.Capacity == 0:
					case n.Model == c.Model:
						first = append(first, i)
					case n.Model == c.With:
						partners++
					}
				}
				// The largest stay; of equal ones those whose names come first.
				slices.SortStableFunc(first, func(a, b int) int { return int(s.x.nodes[b].Capacity - s.x.nodes[a].Capacity) })
				for _, i := range first[min(partners, len(first)):] {
					caps[i] = 0
				}
			}
		}
	}
	return caps
}

// built is a network with what its arcs stand for.
type built struct {
	*network
	flows     []int // arcs by class, origin and zone; -1: none
	uncarried []int // by class and origin
	mandatory int64 // units that Spread asks for
}

const (
	source = 0
	sink   = 1
	mover  = 2 // takes what the plan in force has elsewhere
)

// place is where each goal that is a sum stands in a cost, behind breaches.
func (s *planner) place(g Goal) int {
	at := 1
	for _, o := range s.p.order() {
		if o == g {
			return at
		}
		if o != Fullest {
			at++
		}
	}
	return -1
}

// build makes the network of a branch. Without whole, goals that count after the fullest node are left out.
func (s *planner) build(cs []Constraint, c choice, caps []int64, whole bool) *built {
	x := s.x
	each := func(g Goal, n int64) (k cost) {
		order := s.p.order()
		if whole || slices.Index(order, g) < slices.Index(order, Fullest) {
			k[s.place(g)] = n
		}
		return k
	}
	Z, K := len(x.zones), len(x.classes)
	from := func(k, z int) int { return 3 + k*Z + z }
	into := func(k, z int) int { return 3 + K*Z + k*Z + z }
	zone := func(z int) int { return 3 + 2*K*Z + z }
	b := &built{network: newNetwork(3 + 2*K*Z + Z)}
	limit := int64(1) << 50
	for _, k := range cs {
		if k.Kind == Moves {
			limit = min(limit, k.Count)
		}
	}
	b.add(mover, sink, limit, cost{})
	for k, class := range x.classes {
		mustCarry := int64(0)
		for _, q := range cs {
			if q.Kind == Carry && (q.Class == "" || q.Class == class) {
				mustCarry = 1
			}
		}
		least := make([]int64, Z) // that Spread wants there
		for i, q := range cs {
			if q.Kind == Spread && q.Class == class {
				for _, z := range c.forced[i] {
					least[z] = max(least[z], max(q.Least, 1))
				}
			}
		}
		for z := range Z {
			d := x.demand[k][z]
			b.add(source, from(k, z), d, cost{})
			b.uncarried = append(b.uncarried, b.add(from(k, z), sink, d, each(Uncarried, 1).add(cost{mustCarry})))
			for to := range Z {
				if d == 0 || !s.allowed(cs, c, class, z, to) {
					b.flows = append(b.flows, -1)
					continue
				}
				b.flows = append(b.flows, b.add(from(k, z), into(k, to), d, each(Crossings, x.cost[z][to])))
			}
		}
		for z := range Z {
			if least[z] > 0 {
				b.mandatory += least[z]
				b.add(into(k, z), zone(z), least[z], cost{-1})
			}
			b.add(into(k, z), zone(z), 1<<50, cost{})
		}
	}
	for z := range Z {
		stay, all := int64(0), int64(0)
		for _, i := range x.inZone[z] {
			all += caps[i]
			stay += min(caps[i], x.nodes[i].CurrentLoad)
		}
		b.add(zone(z), sink, stay, cost{})
		b.add(zone(z), mover, all-stay, each(Moved, 1))
	}
	return b
}

// allowed reports whether load of a class may go from a zone to another.
func (s *planner) allowed(cs []Constraint, c choice, class string, from, to int) bool {
	for i, q := range cs {
		switch {
		case q.Kind == Keep && q.Class == class:
			if len(q.Zones) == 0 && from != to || len(q.Zones) > 0 && !slices.Contains(q.Zones, s.x.zones[to]) {
				return false
			}
		case q.Kind == KeepOut && q.Class == class:
			if slices.Contains(q.Zones, s.x.zones[to]) {
				return false
			}
		case q.Kind == Together && slices.Contains(q.Classes, class):
			if z, decided := c.zone[i]; decided && z != to {
				return false
			}
		}
	}
	return true
}

// found is a branch's best plan.
type found struct {
	s        *planner
	violated int64
	goals    Goals
	flows    []int64 // by class, origin and zone
	missed   []int64 // by class and origin
	caps     []int64 // of nodes, under the fullest one's part
}

func (s *planner) fill(b *built) cost {
	s.used++
	_, total, _ := b.fill(source, sink)
	total[0] += b.mandatory
	return total
}

// scale is the denominator of the search for the fullest node's part: finer than two parts of capacities can be apart.
const scale = 1 << 61

func portion(t uint64, capacity int64) int64 {
	hi, lo := bits.Mul64(t, uint64(capacity))
	q, _ := bits.Div64(hi, lo, scale)
	return int64(q)
}

// relax solves a branch without the constraints that are not decided. With whole unset only feasibility counts.
func (s *planner) relax(cs []Constraint, c choice, whole bool) *found {
	most := s.caps(cs)
	f := &found{s: s, caps: most}
	b := s.build(cs, c, most, false)
	first := s.fill(b)
	f.violated = first[0]
	if f.violated > 0 || !whole {
		f.read(b)
		return f
	}
	// The fullest node's part: the least at which the first goals are what they are.
	under := func(t uint64) []int64 {
		caps := make([]int64, len(most))
		for i, n := range s.x.nodes {
			caps[i] = min(most[i], portion(t, n.Capacity))
		}
		return caps
	}
	low, high := uint64(0), uint64(scale)
	for low < high {
		mid := low + (high-low)/2
		if s.fill(s.build(cs, c, under(mid), false)) == first {
			high = mid
		} else {
			low = mid + 1
		}
	}
	f.caps = under(high)
	b = s.build(cs, c, f.caps, true)
	s.used++
	_, total, potential := b.fill(source, sink)
	f.goals = Goals{Uncarried: total[s.place(Uncarried)], Crossings: total[s.place(Crossings)], Moves: total[s.place(Moved)],
		Fullest: s.exact(high, f.caps)}
	for _, id := range b.flows {
		if id >= 0 {
			b.least(id, potential)
		}
	}
	f.read(b)
	return f
}

// exact is the fullest node's part as a ratio of whole numbers: the largest of a node's portion to its capacity.
func (s *planner) exact(t uint64, caps []int64) (r Ratio) {
	if t == 0 {
		return Ratio{}
	}
	for i, n := range s.x.nodes {
		if p := portion(t, n.Capacity); n.Capacity > 0 && p <= caps[i] && p > 0 && (r.Den == 0 || r.less(Ratio{p, n.Capacity})) {
			r = Ratio{p, n.Capacity}
		}
	}
	return r.lowest()
}

func (r Ratio) less(o Ratio) bool {
	ah, al := bits.Mul64(uint64(r.Num), uint64(max(o.Den, 1)))
	bh, bl := bits.Mul64(uint64(o.Num), uint64(max(r.Den, 1)))
	return ah < bh || ah == bh && al < bl
}

func (r Ratio) lowest() Ratio {
	a, b := r.Num, r.Den
	for b != 0 {
		a, b = b, a%b
	}
	if a == 0 {
		return Ratio{}
	}
	return Ratio{r.Num / a, r.Den / a}
}

func (f *found) read(b *built) {
	for _, id := range b.flows {
		n := int64(0)
		if id >= 0 {
			n = b.carried(id)
		}
		f.flows = append(f.flows, n)
	}
	for _, id := range b.uncarried {
		f.missed = append(f.missed, b.carried(id))
	}
}

// before reports whether a plan is better than another.
func (f *found) before(o *found) bool {
	a, b := f.goals, o.goals
	for _, g := range f.s.p.order() {
		switch {
		case g == Uncarried && a.Uncarried != b.Uncarried:
			return a.Uncarried < b.Uncarried
		case g == Crossings && a.Crossings != b.Crossings:
			return a.Crossings < b.Crossings
		case g == Fullest && a.Fullest != b.Fullest:
			return a.Fullest.less(b.Fullest)
		case g == Moved && a.Moves != b.Moves:
			return a.Moves < b.Moves
		}
	}
	return slices.Compare(f.flows, o.flows) < 0
}

// carriedIn is what each zone carries of a class.
func (f *found) carriedIn(k int) []int64 {
	Z := len(f.s.x.zones)
	sum := make([]int64, Z)
	for z := range Z {
		for to := range Z {
			sum[to] += f.flows[(k*Z+z)*Z+to]
		}
	}
	return sum
}

// breaks is the first undecided constraint that a plan does not meet; -1: it meets all.
func (f *found) breaks(cs []Constraint, c choice) int {
	for i, q := range cs {
		switch q.Kind {
		case Together:
			if _, decided := c.zone[i]; decided {
				continue
			}
			in := -1
			for k, class := range f.s.x.classes {
				if !slices.Contains(q.Classes, class) {
					continue
				}
				for z, n := range f.carriedIn(k) {
					if n > 0 && in >= 0 && in != z {
						return i
					}
					if n > 0 {
						in = z
					}
				}
			}
		case Spread:
			k := slices.Index(f.s.x.classes, q.Class)
			have := 0
			if k >= 0 {
				for _, n := range f.carriedIn(k) {
					if n >= max(q.Least, 1) {
						have++
					}
				}
			}
			if have < int(q.Count) {
				return i
			}
		}
	}
	return -1
}

// plan puts the zones' loads on their nodes.
func (f *found) plan() *Plan {
	x := f.s.x
	Z := len(x.zones)
	p := &Plan{Goals: f.goals, Load: map[string]int64{}}
	for _, n := range x.nodes {
		p.Load[n.ID] = 0
	}
	carries := make([]int64, Z)
	for k, class := range x.classes {
		for z := range Z {
			for to := range Z {
				if n := f.flows[(k*Z+z)*Z+to]; n > 0 {
					carries[to] += n
					p.Flows = append(p.Flows, Flow{class, x.zones[z], x.zones[to], n})
				}
			}
			if n := f.missed[k*Z+z]; n > 0 {
				p.Missed = append(p.Missed, Demand{x.zones[z], class, n})
			}
		}
	}
	for z, load := range carries {
		var nodes []Node
		var caps []int64
		for _, i := range x.inZone[z] {
			nodes, caps = append(nodes, x.nodes[i]), append(caps, f.caps[i])
		}
		for i, n := range distribute(nodes, caps, load) {
			p.Load[nodes[i].ID] = n
		}
	}
	return p
}
