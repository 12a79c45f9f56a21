package operator

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/golden"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/placement"
)

// appendPlan prints all fields of a plan.
func appendPlan(b *bytes.Buffer, p *Plan) {
	loads := func(indent string, load map[string]int64) {
		for _, id := range slices.Sorted(maps.Keys(load)) {
			fmt.Fprintf(b, "%snode %q %d\n", indent, id, load[id])
		}
	}
	flows := func(indent string, list []placement.Flow) {
		for _, f := range list {
			fmt.Fprintf(b, "%sflow %q %q %q %d\n", indent, f.Class, f.From, f.To, f.Load)
		}
	}
	fmt.Fprintf(b, "version=%d list=%016x settings=%016x proven=%t\n", p.Version, p.ListHash, p.SettingsHash, p.Proven)
	fmt.Fprintf(b, "goals uncarried=%d crossings=%d fullest=%d/%d moves=%d\n", p.Goals.Uncarried, p.Goals.Crossings,
		p.Goals.Fullest.Num,
		p.Goals.Fullest.Den, p.Goals.Moves)
	loads("", p.Load)
	flows("", p.Flows)
	for _, c := range p.Contingencies {
		fmt.Fprintf(b, "contingency %q lost=%q short=%d\n", c.Name, c.Lost, c.Shortfall)
		loads("  ", c.Load)
		flows("  ", c.Flows)
	}
}

// fullPlan returns a plan in which every field is set.
func fullPlan() *Plan {
	return &Plan{
		Version: 3, ListHash: 0x1f2e3d4c5b6a7988, SettingsHash: 2, Proven: true,
		Goals: placement.Goals{Uncarried: 1, Crossings: 2, Fullest: placement.Ratio{Num: 3, Den: 4}, Moves: 5},
		Load:  map[string]int64{"a \"quoted\" \\ one": 1, "b": 2, "ümlaut\t<&>": 1000000000, "": 0},
		Flows: []placement.Flow{{Class: "x", From: "z", To: "y", Load: 3}, {Class: "w", From: "y", To: "z", Load: 4}},
		Contingencies: []PlanContingency{
			{
				Name: "node b", Lost: []string{"b"}, Shortfall: 2, Load: map[string]int64{"c": 7, "b": 0},
				Flows: []placement.Flow{{Class: "x", From: "z", To: "z", Load: 1}},
			},
			{Name: "zone z", Lost: []string{"a", "b"}, Shortfall: 3, Load: map[string]int64{}},
			{Name: "nothing", Load: map[string]int64{}},
		},
	}
}

// Plan files are written byte for byte as earlier builds wrote them.
func TestWrittenPlansMatchGolden(t *testing.T) {
	for name, p := range map[string]*Plan{"plan-full.edn": fullPlan(), "plan-zero.edn": {}} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, p.Marshal()) })
	}
}

// Plan files of earlier builds have the fields that the golden files hold, and are written again byte for byte.
func TestPlansRoundTripByteForByte(t *testing.T) {
	for _, name := range []string{"plan-full", "plan-zero"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", name+".edn"))
			if err != nil {
				t.Fatal(err)
			}
			p, err := ParsePlan("p", text)
			if name == "plan-full" {
				// Marshal writes a node without a name, and ParsePlan rejects it.
				if err == nil || err.Error() != `p:6: node: "" is not a node, a string` {
					t.Fatalf("ParsePlan with a node without a name: %v", err)
				}
				text = withChecksum(strings.Replace(withoutChecksum(string(text)), "(node \"\" 0)\n", "", 1))
				p, err = ParsePlan("p", text)
			}
			if err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			appendPlan(&b, p)
			golden.Check(t, name+".fields", b.Bytes())
			if again := p.Marshal(); !bytes.Equal(again, text) {
				t.Errorf("Marshal() of the parsed plan:\n%s\nwant:\n%s", again, text)
			}
		})
	}
}

// withoutChecksum returns the text of a plan file without its last form, the checksum.
func withoutChecksum(text string) string { return text[:strings.LastIndex(text, "(sum ")] }

// withChecksum returns a text with its checksum appended in the plan file format.
func withChecksum(body string) []byte {
	return fmt.Appendf([]byte(body), "(sum \"%016x\")\n", xxhash.Sum64String(body))
}

// Valid and invalid plan files give the plans and errors in the golden file. Each has a matching checksum, unless its name says
// otherwise.
func TestPlanFormsMatchGolden(t *testing.T) {
	full, err := os.ReadFile(filepath.Join("testdata", "plan-full.edn"))
	if err != nil {
		t.Fatal(err)
	}
	base := strings.Replace(withoutChecksum(string(full)), "(node \"\" 0)\n", "", 1)
	var b bytes.Buffer
	check := func(name string, text []byte) {
		t.Helper()
		fmt.Fprintf(&b, "== %s\n", name)
		p, err := ParsePlan("p", text)
		if err != nil {
			var fileErr FileError
			fmt.Fprintf(&b, "%v\nis a fault of the file: %t\n", err, errors.As(err, &fileErr))
			return
		}
		appendPlan(&b, p)
	}
	for _, c := range planFileChanges {
		check(fmt.Sprintf("%q => %q", c.from, c.to), withChecksum(string(c.applyTo(t, base))))
	}
	check("no checksum", []byte(base))
	check("checksum of another text", []byte(strings.Replace(string(withChecksum(base)), "(version 3)", "(version 4)", 1)))
	check("checksum that is no string", []byte(base+"(sum 7)\n"))
	check("checksum of two values", []byte(base+"(sum \"7\" \"8\")\n"))
	check("more after the checksum", append(withChecksum(base), []byte("(version 4)\n")...))
	check("cut in a list", []byte(base[:len(base)-3]))
	check("format alone", withChecksum("(format 1)\n"))
	check("empty", nil)
	golden.Check(t, "plan-forms.txt", b.Bytes())
}
