package placement

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that each run checks the same problems, and has rapid write no files on failure.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// compareWithBruteForce returns an error if the solver and brute force disagree on a problem. They must have the same goals
// and the same canonical plan. If there is no plan, the conflict of the solver must be a minimal one.
func compareWithBruteForce(p *Problem) error {
	want := bruteForce(p)
	got, err := Solve(p, Options{})
	var conflict *InfeasibleError
	if errors.As(err, &conflict) {
		if want != nil {
			return fmt.Errorf("got no plan, want %+v", want)
		}
		return checkConflict(p, conflict)
	}
	if err != nil {
		return err
	}
	if want == nil {
		return fmt.Errorf("got plan %+v, want a conflict", got)
	}
	if diff := cmp.Diff(want.comparable(), toComparable(p, got)); diff != "" {
		return fmt.Errorf("plan (-brute force +solver):\n%s", diff)
	}
	if len(want.unitRatios) > 0 && (Ratio{want.unitRatios[0].unit, want.unitRatios[0].capacity}).reduced() != got.Fullest {
		return fmt.Errorf("got fullest %v, want %v", got.Fullest, want.unitRatios[0])
	}
	return nil
}

// checkConflict returns an error if the constraints of a conflict can be met together, or still can't be met after the removal
// of any one of them.
func checkConflict(p *Problem, conflict *InfeasibleError) error {
	var constraints []Constraint
	for _, r := range conflict.Conflict {
		constraints = append(constraints, r.Constraint)
	}
	problem := *p
	if problem.Constraints = constraints; bruteForce(&problem) != nil {
		return fmt.Errorf("got a conflict whose constraints can be met together: %w", conflict)
	}
	for i := range constraints {
		problem.Constraints = slices.Delete(slices.Clone(constraints), i, i+1)
		if bruteForce(&problem) == nil {
			return fmt.Errorf("got a conflict that is not minimal: %w: the others conflict without %s",
				conflict, constraints[i].Name)
		}
	}
	return nil
}

// comparableResult holds the figures that the solver and brute force must agree on.
type comparableResult struct {
	Uncarried, Crossings, Moves int64
	Flows                       []int64 // by class, zone of origin and destination zone
	Loads                       []int64 // by zone, then node
}

func (b *brutePlan) comparable() comparableResult {
	return comparableResult{b.costs[0], b.costs[1], b.moves, b.flows, b.loads}
}

func toComparable(p *Problem, plan *Plan) comparableResult {
	x := p.index()
	result := comparableResult{Uncarried: plan.Uncarried, Crossings: plan.Crossings, Moves: plan.Moves}
	for _, n := range x.nodes {
		result.Loads = append(result.Loads, plan.Load[n.ID])
	}
	flows := map[Flow]int64{}
	for _, f := range plan.Flows {
		flows[Flow{f.Class, f.From, f.To, 0}] = f.Load
	}
	for _, class := range x.classes {
		for _, from := range x.zones {
			if !slices.ContainsFunc(p.Demands, func(d Demand) bool { return d.Class == class && d.Zone == from }) {
				continue
			}
			for _, to := range x.zones {
				result.Flows = append(result.Flows, flows[Flow{class, from, to, 0}])
			}
		}
	}
	return result
}

// drawSmallProblem draws a problem that is small enough for brute force.
func drawSmallProblem(t *rapid.T) *Problem {
	zones := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "zones")]
	p := &Problem{Zones: zones, DefaultCost: rapid.Int64Range(0, 2).Draw(t, "cost")}
	for i := range rapid.IntRange(1, 6).Draw(t, "nodes") {
		p.Nodes = append(p.Nodes, Node{
			ID: fmt.Sprint("n", i), Zone: rapid.SampledFrom(zones).Draw(t, "zone"),
			Model:    rapid.SampledFrom([]string{"large", "small"}).Draw(t, "model"),
			Capacity: rapid.Int64Range(0, 3).Draw(t, "capacity"), CurrentLoad: rapid.Int64Range(0, 2).Draw(t, "now"),
		})
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
		{Kind: Carry},
		{Kind: Headroom, Part: Ratio{2, 3}},
		{Kind: Keep, Class: "x"},
		{Kind: Keep, Class: "x", Zones: []string{"a"}},
		{Kind: KeepOut, Class: "x", Zones: []string{"a"}},
		{Kind: Spread, Class: "x", Count: 2},
		{Kind: Spread, Class: "x", Count: 2, Least: 2},
		{Kind: Share, Part: Ratio{1, 2}},
		{Kind: Together, Classes: []string{"x", "y"}},
		{Kind: Pair, Model: "large", With: "small"},
		{Kind: Moves, Count: 1},
		{Kind: Carry, Class: "y"},
		{Kind: Connections, Model: "large", Count: 1, Least: 1},
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
		p := drawSmallProblem(t)
		if err := compareWithBruteForce(p); err != nil {
			t.Fatalf("%+v: %v", p, err)
		}
	})
}
