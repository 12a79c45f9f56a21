package operator

import (
	"reflect"
	"strings"
	"testing"

	"example.org/milletvane/placement"
)

func somePlan() *Plan {
	return &Plan{Version: 3, ListHash: 0x1f, SettingsHash: 2, Proven: true, Goals: placement.Goals{Uncarried: 1, Crossings: 2, Fullest: placement.Ratio{Num: 3, Den: 4}, Moves: 5},
		Load: map[string]int64{"a \"quoted\" one": 1, "b": 2}, Flows: []placement.Flow{{Class: "x", From: "z", To: "y", Load: 3}},
		Contingencies: []PlanContingency{{Name: "node b", Lost: []string{"b"}, Short: 2, Load: map[string]int64{"b": 0}, Flows: []placement.Flow{{Class: "x", From: "z", To: "z", Load: 1}}},
			{Name: "zone z", Lost: []string{"a", "b"}, Short: 3, Load: map[string]int64{}}}}
}

func TestPlanFilesReadAsWritten(t *testing.T) {
	want := somePlan()
	got, err := ParsePlan("p", want.Marshal())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v: got %+v, want %+v", err, got, want)
	}
}

// A file that is cut short, altered or of a newer program is told as such, whatever byte it is.
func TestDamagedPlanFiles(t *testing.T) {
	text := string(somePlan().Marshal())
	for n := range len(text) - 1 {
		if _, err := ParsePlan("p", []byte(text[:n])); err == nil {
			t.Fatalf("taken, cut short after %d bytes", n)
		}
		changed := []byte(text)
		changed[n] ^= 1
		if p, err := ParsePlan("p", changed); err == nil && !reflect.DeepEqual(p, somePlan()) {
			t.Fatalf("taken, with byte %d altered", n)
		}
	}
	for from, want := range map[string]string{"(format 1)=>(format 2)": "p:2: format: 2 is not one that this program knows; 1 is the newest",
		"(node \"b\" 2)=>(node \"b\" 3)": "sum: ", "(sum=>(sun": "sum: is missing: the file is cut short"} {
		a, b, _ := strings.Cut(from, "=>")
		if _, err := ParsePlan("p", []byte(strings.Replace(text, a, b, 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", from, err)
		}
	}
}

func TestPlacementSettings(t *testing.T) {
	good := `(placement
  (capacity "n" 15) (demand "z" "x" 4) (crossing "z" "y" 3) (crossing-default 2) (batch "n" 2)
  (constraint "a" (carry)) (constraint "b" (headroom 8 10)) (constraint "c" (keep "x"))
  (constraint "d" (spread "x" 2 5)) (constraint "e" (pair "n" "m")) (constraint "f" (together "x" "y")))`
	s, err := Parse("f", []byte(good), nil)
	if err != nil {
		t.Fatal(err)
	}
	p := s.Placement
	if p.Capacity["n"] != 15 || p.DefaultCost != 2 || len(p.Constraints) != 6 || p.Constraints[1].Part != (placement.Ratio{Num: 8, Den: 10}) ||
		p.Constraints[3].Least != 5 || p.Constraints[3].Line != 4 || p.Batches[0].Size != 2 {
		t.Errorf("read as %+v", p)
	}
	for change, want := range map[string]string{
		`(carry)=>(curry)`:                     `f:3: placement.constraint.a: "curry" is no kind of constraint`,
		`(headroom 8 10)=>(headroom 8)`:        `f:3: placement.constraint.b: a part's denominator is missing`,
		`(spread "x" 2 5)=>(spread 2)`:         `f:4: placement.constraint.d: 2 is not a class, a string`,
		`(constraint "d"=>(constraint "a"`:     `f:4: placement.constraint: "a" is given twice, first on line 3`,
		`"z" "x" 4=>"z" "x" 4 5`:               `f:2: placement.demand: 5 is one value too many`,
		`(batch "n" 2)=>(goals fullest moves)`: `f:2: placement.goals: 2 goals are named and 4 wanted`,
		`"n" 15=>"n" -1`:                       `f:2: placement.capacity: -1 is not its capacity, a whole number within 0 and 1000000000`,
	} {
		from, to, _ := strings.Cut(change, "=>")
		if _, err := Parse("f", []byte(strings.Replace(good, from, to, 1)), nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", change, err)
		}
	}
}
