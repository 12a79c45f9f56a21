package placement

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// checkPlan checks that the goals of a plan follow from its loads and flows, and that loads and flows agree by zone.
func checkPlan(tb testing.TB, p *Problem, plan *Plan) {
	tb.Helper()
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
			tb.Errorf("node %s: got load %d, want 0 to its capacity of %d", n.ID, load, n.Capacity)
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
			tb.Errorf("zone %s: the loads of the nodes exceed the flows to it by %d, want 0", z, n)
		}
	}
	for _, d := range p.Demands {
		total += d.Load
	}
	want := Goals{Uncarried: total - carried, Crossings: crossings, Fullest: fullest.reduced(), Moves: moves}
	if diff := cmp.Diff(want, plan.Goals); diff != "" {
		tb.Errorf("goals (-from loads and flows, +from the plan):\n%s", diff)
	}
}

func TestGoalsMatchLoadsAndFlows(t *testing.T) {
	for seed := range uint64(5) {
		p := RandomProblem(60, 5, seed)
		plan, err := Solve(p, Options{})
		if err != nil {
			t.Fatal(err)
		}
		checkPlan(t, p, plan)
		// With the plan as the current plan, nothing moves.
		for i := range p.Nodes {
			p.Nodes[i].CurrentLoad = plan.Load[p.Nodes[i].ID]
		}
		again, err := Solve(p, Options{})
		if err != nil || again.Moves != 0 {
			t.Errorf("seed %d: solved again from its plan: got error %v, %d moves, want none", seed, err, again.Moves)
		}
	}
}

// pairProblem returns a problem with a large node that must be paired with a small one. Its headroom allows a load of exactly
// 240 units.
func pairProblem(load int64) *Problem {
	return &Problem{
		Zones: []string{"west"},
		Nodes: []Node{
			{ID: "a", Zone: "west", Model: "small", Capacity: 100},
			{ID: "n", Zone: "west", Model: "large", Capacity: 200},
		},
		Demands: []Demand{{"west", "plan", load}},
		Constraints: []Constraint{
			{Name: "room", Line: 3, Kind: Headroom, Part: Ratio{8, 10}},
			{Name: "pairs", Line: 4, Kind: Pair, Model: "large", With: "small"},
			{Name: "all", Line: 5, Kind: Carry},
		},
	}
}

// A conflict must name the constraints with their lines, and say how far each would have to be relaxed.
func TestPairUnderHeadroom(t *testing.T) {
	plan, err := Solve(pairProblem(240), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]int64{"a": 80, "n": 160}, plan.Load); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
	if plan.Fullest != (Ratio{4, 5}) || !plan.Proven {
		t.Errorf("got fullest %v, proven %t; want 4/5, true", plan.Fullest, plan.Proven)
	}

	_, err = Solve(pairProblem(241), Options{})
	var conflict *InfeasibleError
	if !errors.As(err, &conflict) || len(conflict.Conflict) != 2 {
		t.Fatalf("got error %v, want a conflict of 2 constraints", err)
	}
	for _, want := range []string{
		"room (line 3): 805/1000 would suffice in place of 8/10",
		"all (line 5): without it 1 units from west are not carried",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

// Three constraints of which any two can be met together must be reported as one conflict.
func TestConflictOfThreeConstraints(t *testing.T) {
	p := &Problem{
		Zones:   []string{"a", "b"},
		Nodes:   []Node{{ID: "1", Zone: "a", Capacity: 2}, {ID: "2", Zone: "b", Capacity: 2}},
		Demands: []Demand{{"a", "x", 2}, {"a", "y", 2}},
		Constraints: []Constraint{
			{Name: "one", Kind: Together, Classes: []string{"x", "y"}},
			{Name: "x", Kind: Carry, Class: "x"},
			{Name: "y", Kind: Carry, Class: "y"},
			{Name: "idle", Kind: KeepOut, Class: "z", Zones: []string{"a"}},
		},
	}
	_, err := Solve(p, Options{})
	var conflict *InfeasibleError
	if !errors.As(err, &conflict) || len(conflict.Conflict) != 3 {
		t.Errorf("got error %v, want a conflict of 3 constraints", err)
	}
}

func TestSolveEdgeCases(t *testing.T) {
	node := func(id string, capacity int64) Node { return Node{ID: id, Zone: "a", Capacity: capacity} }
	for name, p := range map[string]*Problem{
		"nothing":     {},
		"one node":    {Zones: []string{"a"}, Nodes: []Node{node("1", 5)}, Demands: []Demand{{"a", "x", 3}}},
		"no node":     {Zones: []string{"a"}, Demands: []Demand{{"a", "x", 3}}},
		"no demand":   {Zones: []string{"a"}, Nodes: []Node{node("1", 5)}},
		"no capacity": {Zones: []string{"a"}, Nodes: []Node{node("1", 0)}, Demands: []Demand{{"a", "x", 3}}},
		"zone without nodes": {
			Zones: []string{"a", "b"}, Nodes: []Node{node("1", 5)}, Demands: []Demand{{"b", "x", 3}}, DefaultCost: 1,
		},
		"largest figures": {
			Zones: []string{"a"}, Nodes: []Node{node("1", MaxLoad)}, Demands: []Demand{{"a", "x", MaxLoad}},
		},
		"demand over all capacity": {
			Zones: []string{"a"}, Nodes: []Node{node("1", 2), node("2", 3)}, Demands: []Demand{{"a", "x", 9}},
		},
		"demand of 0": {Zones: []string{"a"}, Demands: []Demand{{"a", "x", 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			plan, err := Solve(p, Options{})
			if err != nil {
				t.Fatal(err)
			}
			checkPlan(t, p, plan)
		})
	}
}

func TestCheckReportsInvalidProblems(t *testing.T) {
	for want, p := range map[string]*Problem{
		`node 1: zone "b" does not exist`: {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "b"}}},
		`node "1" is given twice`:         {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a"}, {ID: "1", Zone: "a"}}},
		`capacity -1`:                     {Zones: []string{"a"}, Nodes: []Node{{ID: "1", Zone: "a", Capacity: -1}}},
		`demand "a x" is given twice`:     {Zones: []string{"a"}, Demands: []Demand{{"a", "x", 1}, {"a", "x", 2}}},
		`constraint room: 3/2 is not a fraction between 0 and 1`: {
			Constraints: []Constraint{{Name: "room", Kind: Headroom, Part: Ratio{3, 2}}},
		},
	} {
		t.Run(want, func(t *testing.T) {
			if _, err := Solve(p, Options{}); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want one that contains %q", err, want)
			}
		})
	}
}

// Each contingency must have a plan, or a conflict and a shortfall, and its plan must not use the lost nodes.
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
			t.Errorf("%s: got a plan %t, shortfall %d, conflict %v; want a plan, or a conflict with a shortfall",
				c.Name, c.Plan != nil, c.Shortfall, c.Conflict)
		}
		for _, id := range c.Lost {
			if c.Plan != nil && c.Plan.Load[id] != 0 {
				t.Errorf("%s: lost node %s carries %d units, want 0", c.Name, id, c.Plan.Load[id])
			}
		}
	}
	if kinds["node"] != 12 || kinds["zone"] == 0 || kinds["batch"] == 0 {
		t.Errorf("got contingencies by kind %v, want 12 for nodes and some for zones and batches", kinds)
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
