package operator

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/placement"
)

func samplePlan() *Plan {
	return &Plan{
		Version: 3, ListHash: 0x1f, SettingsHash: 2, Proven: true,
		Goals: placement.Goals{Uncarried: 1, Crossings: 2, Fullest: placement.Ratio{Num: 3, Den: 4}, Moves: 5},
		Load:  map[string]int64{"a \"quoted\" one": 1, "b": 2},
		Flows: []placement.Flow{{Class: "x", From: "z", To: "y", Load: 3}},
		Contingencies: []PlanContingency{
			{
				Name: "node b", Lost: []string{"b"}, Shortfall: 2, Load: map[string]int64{"b": 0},
				Flows: []placement.Flow{{Class: "x", From: "z", To: "z", Load: 1}},
			},
			{Name: "zone z", Lost: []string{"a", "b"}, Shortfall: 3, Load: map[string]int64{}},
		},
	}
}

func TestPlanRoundTrip(t *testing.T) {
	want := samplePlan()
	got, err := ParsePlan("p", want.Marshal())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
}

// A plan file that is truncated after any byte is rejected. With one bit flipped in any byte it is rejected too, or still read
// as the same plan.
func TestDamagedPlansAreRejected(t *testing.T) {
	text := string(samplePlan().Marshal())
	for n := range len(text) - 1 {
		if _, err := ParsePlan("p", []byte(text[:n])); err == nil {
			t.Fatalf("ParsePlan accepts a file that is truncated after %d bytes", n)
		}
		changed := []byte(text)
		changed[n] ^= 1
		if p, err := ParsePlan("p", changed); err == nil && !cmp.Equal(p, samplePlan()) {
			t.Fatalf("ParsePlan reads another plan from a file with byte %d altered", n)
		}
	}
}

func TestPlanErrors(t *testing.T) {
	text := string(samplePlan().Marshal())
	for name, c := range map[string]struct{ from, to, want string }{
		"newer format":     {`(format 1)`, `(format 2)`, "p:2: format: 2 is not one that this program knows; 1 is the newest"},
		"altered load":     {`(node "b" 2)`, `(node "b" 3)`, "sum: "},
		"missing checksum": {`(sum`, `(sun`, "sum: is missing: the file is cut short"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParsePlan("p", change{c.from, c.to}.applyTo(t, text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ParsePlan: %v, want an error that contains %q", err, c.want)
			}
		})
	}
}
