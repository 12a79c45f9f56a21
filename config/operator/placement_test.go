package operator

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/placement"
)

const samplePlacement = `(placement
  (capacity "n" 15) (demand "z" "x" 4) (crossing "z" "y" 3) (crossing-default 2) (batch "n" 2)
  (constraint "a" (carry)) (constraint "b" (headroom 8 10)) (constraint "c" (keep "x"))
  (constraint "d" (spread "x" 2 5)) (constraint "e" (pair "n" "m")) (constraint "f" (together "x" "y")))`

func TestParsePlacement(t *testing.T) {
	s, err := Parse("f", []byte(samplePlacement), nil)
	if err != nil {
		t.Fatal(err)
	}
	want := &Placement{
		Capacity:    map[string]int64{"n": 15},
		Demands:     []placement.Demand{{Zone: "z", Class: "x", Load: 4}},
		Crossings:   []placement.Crossing{{From: "z", To: "y", Cost: 3}},
		DefaultCost: 2,
		Batches:     []placement.Batch{{Model: "n", Size: 2}},
		Constraints: []placement.Constraint{
			{Name: "a", Line: 3, Kind: placement.Carry},
			{Name: "b", Line: 3, Kind: placement.Headroom, Part: placement.Ratio{Num: 8, Den: 10}},
			{Name: "c", Line: 3, Kind: placement.Keep, Class: "x"},
			{Name: "d", Line: 4, Kind: placement.Spread, Class: "x", Count: 2, Least: 5},
			{Name: "e", Line: 4, Kind: placement.Pair, Model: "n", With: "m"},
			{Name: "f", Line: 4, Kind: placement.Together, Classes: []string{"x", "y"}},
		},
	}
	if diff := cmp.Diff(want, s.Placement); diff != "" {
		t.Errorf("placement (-want +got):\n%s", diff)
	}
}

func TestPlacementErrors(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown kind": {`(carry)`, `(curry)`, `f:3: placement.constraint.a: "curry" is no kind of constraint`},
		"missing value": {
			`(headroom 8 10)`, `(headroom 8)`,
			`f:3: placement.constraint.b: a part's denominator is missing`,
		},
		"not a string": {`(spread "x" 2 5)`, `(spread 2)`, `f:4: placement.constraint.d: 2 is not a class, a string`},
		"repeated constraint": {
			`(constraint "d"`, `(constraint "a"`,
			`f:4: placement.constraint: "a" is given twice, first on line 3`,
		},
		"extra value": {`"z" "x" 4`, `"z" "x" 4 5`, `f:2: placement.demand: 5 is one value too many`},
		"missing goals": {
			`(batch "n" 2)`, `(goals fullest moves)`,
			`f:2: placement.goals: 2 goals are named and 4 wanted`,
		},
		"negative capacity": {
			`"n" 15`, `"n" -1`,
			`f:2: placement.capacity: -1 is not its capacity, a whole number within 0 and 1000000000`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", change{c.from, c.to}.applyTo(t, samplePlacement), nil)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Parse: %v, want an error that contains %q", err, c.want)
			}
		})
	}
}
