package placement

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// checkPlan holds a plan of any size to what it says of itself.
func checkPlan(t testing.TB, p *Problem, plan *Plan) {
	t.Helper()
	zoneOf, in := map[string]string{}, map[string]int64{}
	var carried, moves int64
	var fullest Ratio
	for _, n := range p.Nodes {
		load := plan.Load[n.ID]
		zoneOf[n.ID] = n.Zone
		in[n.Zone] += load
		carried += load
		moves += max(load-n.CurrentLoad, 0)
		if load < 0 || load > n.Capacity {
			t.Errorf("node %s carries %d of %d", n.ID, load, n.Capacity)
		}
		if load > 0 && (fullest.Den == 0 || fullest.less(Ratio{load, n.Capacity})) {
			fullest = Ratio{load, n.Capacity}
		}
	}
	cost := map[[2]string]int64{}
	for _, c := range p.Crossings {
		cost[[2]string{c.From, c.To}] = c.Cost
	}
	var crossings, total int64
	for _, f := range plan.Flows {
		in[f.To] -= f.Load
		if f.From != f.To {
			c, given := cost[[2]string{f.From, f.To}]
			if !given {
				c = p.DefaultCost
			}
			crossings += f.Load * c
		}
	}
	for z, n := range in {
		if n != 0 {
			t.Errorf("zone %s: nodes and flows differ by %d", z, n)
		}
	}
	for _, d := range p.Demands {
		total += d.Load
	}
	if got := plan.Goals; got.Uncarried != total-carried || got.Crossings != crossings || got.Moves != moves || got.Fullest != fullest.lowest() {
		t.Errorf("says %+v; it is %d, %d, %v, %d", got, total-carried, crossings, fullest.lowest(), moves)
	}
}

func TestPlansAreWhatTheySay(t *testing.T) {
	for seed := range uint64(5) {
		p := RandomProblem(60, 5, seed)
		plan, err := Solve(p, Options{})
		if err != nil {
			t.Fatal(err)
		}
		checkPlan(t, p, plan)
		// From the plan itself nothing moves.
		for i := range p.Nodes {
			p.Nodes[i].CurrentLoad = plan.Load[p.Nodes[i].ID]
		}
		again, err := Solve(p, Options{})
		if err != nil || again.Moves != 0 {
			t.Errorf("seed %d: %v, %d moves from the plan itself", seed, err, again.Moves)
		}
	}
}

// A fast machine and a slow one under a headroom that only just fits, and one that does not: the conflict is named with
// lines, and what each member would have to give.
func TestPairUnderHeadroom(t *testing.T) {
	p := &Problem{Zones: []string{"west"},
		Nodes:   []Node{{ID: "a", Zone: "west", Model: "small", Capacity: 100}, {ID: "n", Zone: "west", Model: "large", Capacity: 200}},
		Demands: []Demand{{"west", "plan", 240}},
		Constraints: []Constraint{{Name: "room", Line: 3, Kind: Headroom, Part: Ratio{8, 10}}, {Name: "pairs", Line: 4, Kind: Pair, Model: "large", With: "small"},
			{Name: "all", Line: 5, Kind: Carry}},
	}
	plan, err := Solve(p, Options{})
	if err != nil || plan.Load["a"] != 80 || plan.Load["n"] != 160 || plan.Fullest != (Ratio{4, 5}) || !plan.Proven {
		t.Fatalf("%+v, %v", plan, err)
	}
	p.Demands[0].Load = 241
	_, err = Solve(p, Options{})
	var e *InfeasibleError
	if !errors.As(err, &e) || len(e.Conflict) != 2 {
		t.Fatalf("%v", err)
	}
	for _, want := range []string{"room (line 3): 805/1000 would do in place of 8/10", "all (line 5): without it 1 units from west are not carried"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Constraints that fit two at a time and conflict as three.
func TestThreeConflict(t *testing.T) {
	p := &Problem{Zones: []string{"a", "b"},
		Nodes:   []Node{{ID: "1", Zone: "a", Capacity: 2}, {ID: "2", Zone: "b", Capacity: 2}},
		Demands: []Demand{{"a", "x", 2}, {"a", "y", 2}},
		Constraints: []Constraint{{Name: "one", Kind: Together, Classes: []string{"x", "y"}}, {Name: "x", Kind: Carry, Class: "x"},
			{Name: "y", Kind: Carry, Class: "y"}, {Name: "idle", Kind: KeepOut, Class: "z", Zones: []string{"a"}}}}
	_, err := Solve(p, Options{})
	var e *InfeasibleError
	if !errors.As(err, &e) || len(e.Conflict) != 3 {
		t.Errorf("%v", err)
	}
}

func TestOddSizes(t *testing.T) {
	for name, p := range map[string]*Problem{
		"nothing":      {},
		"one node":     {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a", Capacity: 5}}, Demands: []Demand{{"a", "x", 3}}},
		"no node":      {Zones: []string{"a"}, Demands: []Demand{{"a", "x", 3}}},
		"no demand":    {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a", Capacity: 5}}},
		"no capacity":  {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a"}}, Demands: []Demand{{"a", "x", 3}}},
		"a bare zone":  {Zones: []string{"a", "b"}, Nodes: []Node{{ID: "1", Zone: "a", Capacity: 5}}, Demands: []Demand{{"b", "x", 3}}, DefaultCost: 1},
		"the most":     {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a", Capacity: MaxLoad}}, Demands: []Demand{{"a", "x", MaxLoad}}},
		"over all":     {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a", Capacity: 2}, {ID: "2", Zone: "a", Capacity: 3}}, Demands: []Demand{{"a", "x", 9}}},
		"zero classes": {Zones: []string{"a"}, Demands: []Demand{{"a", "x", 0}}},
	} {
		plan, err := Solve(p, Options{})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		checkPlan(t, p, plan)
	}
}

func TestBadProblems(t *testing.T) {
	for want, p := range map[string]*Problem{
		`node 1: "b" is no zone`:      {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "b"}}},
		`node "1" is given twice`:     {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a"}, {ID: "1", Zone: "a"}}},
		`capacity -1`:                 {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a", Capacity: -1}}},
		`demand "a x" is given twice`: {Zones: []string{"a"}, Demands: []Demand{{"a", "x", 1}, {"a", "x", 2}}},
		`room: 3/2 is no part`:        {Constraints: []Constraint{{Name: "room", Kind: Headroom, Part: Ratio{3, 2}}}},
	} {
		if _, err := Solve(p, Options{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Each loss has its plan, or the word that none exists and by how much.
func TestContingencies(t *testing.T) {
	p := RandomProblem(12, 3, 3)
	plan, err := Solve(p, Options{})
	if err != nil {
		t.Fatal(err)
	}
	list, err := Contingencies(p, plan, []Batch{{"large", 2}}, Options{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]int{}
	for _, c := range list {
		kind, _, _ := strings.Cut(c.Name, " ")
		kinds[kind]++
		if (c.Plan == nil) != (c.Conflict != nil) || c.Plan == nil && c.Shortfall == 0 {
			t.Errorf("%s: plan %v, short %d, %v", c.Name, c.Plan != nil, c.Shortfall, c.Conflict)
		}
		for _, id := range c.Lost {
			if c.Plan != nil && c.Plan.Load[id] != 0 {
				t.Errorf("%s: %s still carries %d", c.Name, id, c.Plan.Load[id])
			}
		}
	}
	if kinds["node"] != 12 || kinds["zone"] == 0 || kinds["batch"] == 0 {
		t.Errorf("%v", kinds)
	}
}

func fleetName(nodes, zones int) string { return fmt.Sprintf("nodes=%d/zones=%d", nodes, zones) }

func BenchmarkSolve(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{50, 3}, {200, 8}, {500, 12}, {1000, 20}, {2000, 30}, {5000, 50}} {
		b.Run(fleetName(size.nodes, size.zones), func(b *testing.B) {
			p := RandomProblem(size.nodes, size.zones, 1)
			b.ReportAllocs()
			for b.Loop() {
				plan, err := Solve(p, Options{})
				if err != nil || !plan.Proven {
					b.Fatal(err)
				}
				checkPlan(b, p, plan)
			}
		})
	}
}
