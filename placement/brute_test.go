package placement

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// brute is the best plan by trying every one: each unit of each demand goes to each node, or is not carried. It shares no
// code with the solver, but for the problem's form. nil: no plan meets the constraints.
func brute(p *Problem) *bruteBest {
	zones := slices.Sorted(slices.Values(p.Zones))
	nodes := slices.Clone(p.Nodes)
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID)) })
	demands := slices.Clone(p.Demands)
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone)) })
	var total int64
	for _, d := range demands {
		total += d.Load
	}
	crossing := func(from, to string) int64 {
		if from == to {
			return 0
		}
		for _, c := range p.Crossings {
			if c.From == from && c.To == to {
				return c.Cost
			}
		}
		return p.DefaultCost
	}
	var best *bruteBest
	to := make([][]int64, len(demands)) // units of each demand to each node, the last of which carries nothing
	for i := range to {
		to[i] = make([]int64, len(nodes)+1)
	}
	judge := func() {
		b := &bruteBest{loads: make([]int64, len(nodes))}
		for i, d := range demands {
			in := map[string]int64{}
			for j, n := range nodes {
				b.loads[j] += to[i][j]
				in[n.Zone] += to[i][j]
			}
			b.value[0] += to[i][len(nodes)]
			for _, z := range zones {
				b.flows = append(b.flows, in[z])
				b.value[1] += in[z] * crossing(d.Zone, z)
			}
		}
		if !b.meets(p, zones, nodes, demands, to, total) {
			return
		}
		for j, n := range nodes {
			if b.loads[j] > n.CurrentLoad {
				b.moves += b.loads[j] - n.CurrentLoad
			}
			for k := int64(1); k <= b.loads[j]; k++ {
				b.marks = append(b.marks, mark{k, n.Capacity, j})
			}
		}
		slices.SortFunc(b.marks, func(x, y mark) int { return y.compare(x) })
		if best == nil || b.compare(best, p.order()) < 0 {
			best = b
		}
	}
	var place func(i, j int, left int64)
	place = func(i, j int, left int64) {
		if i == len(demands) {
			judge()
			return
		}
		if j == len(nodes) {
			to[i][j] = left
			if i+1 < len(demands) {
				place(i+1, 0, demands[i+1].Load)
			} else {
				place(i+1, 0, 0)
			}
			return
		}
		for n := int64(0); n <= left; n++ {
			to[i][j] = n
			place(i, j+1, left-n)
		}
		to[i][j] = 0
	}
	if len(demands) == 0 {
		judge()
	} else {
		place(0, 0, demands[0].Load)
	}
	return best
}

// mark is where a unit of load stands on its node: the k-th of what that can carry.
type mark struct {
	k, of int64
	node  int
}

// compare orders marks by their part of the node, then by node.
func (m mark) compare(o mark) int {
	return cmp.Or(cmp.Compare(m.k*o.of, o.k*m.of), cmp.Compare(m.node, o.node))
}

type bruteBest struct {
	value [2]int64 // not carried, crossings
	marks []mark   // the highest first
	moves int64
	flows []int64
	loads []int64
}

// compare orders plans as Goals say, then by flows, then by marks.
func (b *bruteBest) compare(o *bruteBest, order []Goal) int {
	fullest := 0
	if len(b.marks) > 0 && len(o.marks) > 0 {
		fullest = cmp.Compare(b.marks[0].k*o.marks[0].of, o.marks[0].k*b.marks[0].of)
	}
	if len(b.marks) == 0 || len(o.marks) == 0 {
		fullest = cmp.Compare(len(b.marks), len(o.marks)) // of a plan that carries nothing none is fuller
	}
	goals := map[Goal]int{Uncarried: cmp.Compare(b.value[0], o.value[0]), Crossings: cmp.Compare(b.value[1], o.value[1]),
		Fullest: fullest, Moved: cmp.Compare(b.moves, o.moves)}
	for _, g := range order {
		if goals[g] != 0 {
			return goals[g]
		}
	}
	return cmp.Or(slices.Compare(b.flows, o.flows), slices.CompareFunc(b.marks, o.marks, mark.compare))
}

func (b *bruteBest) meets(p *Problem, zones []string, nodes []Node, demands []Demand, to [][]int64, total int64) bool {
	for j, n := range nodes {
		if b.loads[j] > n.Capacity {
			return false
		}
	}
	for _, c := range p.Constraints {
		in := map[string]int64{} // of the classes that the constraint names
		var moved int64
		for i, d := range demands {
			of := c.Class == d.Class || c.Class == "" && c.Kind == Carry || slices.Contains(c.Classes, d.Class)
			if !of {
				continue
			}
			if c.Kind == Carry && to[i][len(nodes)] > 0 {
				return false
			}
			for j, n := range nodes {
				in[n.Zone] += to[i][j]
				if to[i][j] == 0 {
					continue
				}
				if c.Kind == Keep && len(c.Zones) == 0 && n.Zone != d.Zone ||
					c.Kind == Keep && len(c.Zones) > 0 && !slices.Contains(c.Zones, n.Zone) ||
					c.Kind == KeepOut && slices.Contains(c.Zones, n.Zone) {
					return false
				}
			}
		}
		some := 0
		for _, z := range zones {
			if in[z] >= max(c.Least, 1) {
				some++
			}
		}
		if c.Kind == Spread && some < int(c.Count) {
			return false
		}
		if c.Kind == Together {
			some = 0
			for _, n := range in {
				if n > 0 {
					some++
				}
			}
			if some > 1 {
				return false
			}
		}
		for j, n := range nodes {
			if c.Kind == Headroom && b.loads[j]*c.Part.Den > n.Capacity*c.Part.Num ||
				c.Kind == Share && b.loads[j]*c.Part.Den > total*c.Part.Num {
				return false
			}
			if c.Kind == Connections && n.Model == c.Model && b.loads[j] > c.Count*max(c.Least, 1) {
				return false
			}
			moved += max(b.loads[j]-n.CurrentLoad, 0)
		}
		if c.Kind == Moves && moved > c.Count {
			return false
		}
		if c.Kind == Pair && !pairs(c, zones, nodes, b.loads) {
			return false
		}
	}
	return true
}

// pairs reports whether the nodes of a model that a pairing keeps are the only ones of it that carry anything.
func pairs(c Constraint, zones []string, nodes []Node, loads []int64) bool {
	for _, z := range zones {
		partners := 0
		var of []int
		for j, n := range nodes {
			if n.Zone == z && n.Capacity > 0 {
				if n.Model == c.With {
					partners++
				} else if n.Model == c.Model {
					of = append(of, j)
				}
			}
		}
		for _, j := range of { // it counts if fewer than partners go before it
			before := 0
			for _, k := range of {
				if nodes[k].Capacity > nodes[j].Capacity || nodes[k].Capacity == nodes[j].Capacity && k < j {
					before++
				}
			}
			if before >= partners && loads[j] > 0 {
				return false
			}
		}
	}
	return true
}

// agree compares the solver with brute force: value, canonical plan, or the conflict, each member of which is needed.
func agree(p *Problem) error {
	want := brute(p)
	got, err := Solve(p, Options{})
	var conflict *InfeasibleError
	if errors.As(err, &conflict) {
		if want != nil {
			return fmt.Errorf("no plan, but there is %+v", want)
		}
		var cs []Constraint
		for _, r := range conflict.Conflict {
			cs = append(cs, r.Constraint)
		}
		q := *p
		if q.Constraints = cs; brute(&q) != nil {
			return fmt.Errorf("%v, but these can be met", err)
		}
		for i := range cs {
			q.Constraints = slices.Delete(slices.Clone(cs), i, i+1)
			if brute(&q) == nil {
				return fmt.Errorf("%v, of which %s is not needed", err, cs[i].Name)
			}
		}
		return nil
	}
	if err != nil {
		return err
	}
	if want == nil {
		return fmt.Errorf("a plan where there is none: %+v", got)
	}
	x := p.index()
	have := &bruteBest{value: [2]int64{got.Uncarried, got.Crossings}, moves: got.Moves}
	for _, n := range x.nodes {
		have.loads = append(have.loads, got.Load[n.ID])
	}
	flows := map[Flow]int64{}
	for _, f := range got.Flows {
		flows[Flow{f.Class, f.From, f.To, 0}] = f.Load
	}
	for _, class := range x.classes {
		for _, from := range x.zones {
			if !slices.ContainsFunc(p.Demands, func(d Demand) bool { return d.Class == class && d.Zone == from }) {
				continue
			}
			for _, to := range x.zones {
				have.flows = append(have.flows, flows[Flow{class, from, to, 0}])
			}
		}
	}
	if have.value != want.value || have.moves != want.moves || !slices.Equal(have.flows, want.flows) || !slices.Equal(have.loads, want.loads) {
		return fmt.Errorf("got %+v, want %+v", have, want)
	}
	if len(want.marks) > 0 && (Ratio{want.marks[0].k, want.marks[0].of}).lowest() != got.Fullest {
		return fmt.Errorf("fullest %v, want %v", got.Fullest, want.marks[0])
	}
	return nil
}

// drawProblem draws a small problem.
func drawProblem(t *rapid.T) *Problem {
	zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
	p := &Problem{Zones: zones, DefaultCost: rapid.Int64Range(0, 2).Draw(t, "cost")}
	for i := range rapid.IntRange(1, 6).Draw(t, "nodes") {
		p.Nodes = append(p.Nodes, Node{ID: fmt.Sprint("n", i), Zone: rapid.SampledFrom(zones).Draw(t, "zone"),
			Model:    rapid.SampledFrom([]string{"large", "small"}).Draw(t, "model"),
			Capacity: rapid.Int64Range(0, 3).Draw(t, "capacity"), CurrentLoad: rapid.Int64Range(0, 2).Draw(t, "now")})
	}
	if len(zones) > 1 && rapid.Bool().Draw(t, "dear") {
		p.Crossings = append(p.Crossings, Crossing{"a", "b", 3})
	}
	for _, z := range zones {
		p.Demands = append(p.Demands, Demand{z, "x", rapid.Int64Range(0, 2).Draw(t, "x")})
	}
	if rapid.Bool().Draw(t, "two classes") {
		p.Demands = append(p.Demands, Demand{"a", "y", rapid.Int64Range(0, 2).Draw(t, "y")})
	}
	if rapid.Bool().Draw(t, "ordered") {
		p.Order = rapid.Permutation(DefaultOrder).Draw(t, "order")
	}
	for i, c := range []Constraint{
		{Kind: Carry}, {Kind: Headroom, Part: Ratio{2, 3}}, {Kind: Keep, Class: "x"}, {Kind: Keep, Class: "x", Zones: []string{"a"}},
		{Kind: KeepOut, Class: "x", Zones: []string{"a"}}, {Kind: Spread, Class: "x", Count: 2}, {Kind: Spread, Class: "x", Count: 2, Least: 2},
		{Kind: Share, Part: Ratio{1, 2}}, {Kind: Together, Classes: []string{"x", "y"}}, {Kind: Pair, Model: "large", With: "small"},
		{Kind: Moves, Count: 1}, {Kind: Carry, Class: "y"}, {Kind: Connections, Model: "large", Count: 1, Least: 1},
	} {
		if rapid.IntRange(0, 3).Draw(t, "constrained") == 0 {
			c.Name = fmt.Sprint("c", i)
			p.Constraints = append(p.Constraints, c)
		}
	}
	return p
}

func TestAgreesWithBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProblem(t)
		if err := agree(p); err != nil {
			t.Fatalf("%+v: %v", p, err)
		}
	})
}
