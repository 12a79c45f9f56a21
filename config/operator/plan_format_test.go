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

// appendPlan prints a plan file, field by field.
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
		fmt.Fprintf(b, "contingency %q lost=%q short=%d\n", c.Name, c.Lost, c.Short)
		loads("  ", c.Load)
		flows("  ", c.Flows)
	}
}

// fullPlan has a value of its own in every field.
func fullPlan() *Plan {
	return &Plan{
		Version: 3, ListHash: 0x1f2e3d4c5b6a7988, SettingsHash: 2, Proven: true,
		Goals: placement.Goals{Uncarried: 1, Crossings: 2, Fullest: placement.Ratio{Num: 3, Den: 4}, Moves: 5},
		Load:  map[string]int64{"a \"quoted\" \\ one": 1, "b": 2, "ümlaut\t<&>": 1000000000, "": 0},
		Flows: []placement.Flow{{Class: "x", From: "z", To: "y", Load: 3}, {Class: "w", From: "y", To: "z", Load: 4}},
		Contingencies: []PlanContingency{
			{
				Name: "node b", Lost: []string{"b"}, Short: 2, Load: map[string]int64{"c": 7, "b": 0},
				Flows: []placement.Flow{{Class: "x", From: "z", To: "z", Load: 1}},
			},
			{Name: "zone z", Lost: []string{"a", "b"}, Short: 3, Load: map[string]int64{}},
			{Name: "nothing", Load: map[string]int64{}},
		},
	}
}

// Plan files are written byte for byte as by earlier builds.
func TestFormatOfPlanWritten(t *testing.T) {
	for name, p := range map[string]*Plan{"plan-full.edn": fullPlan(), "plan-zero.edn": {}} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, p.Marshal()) })
	}
}

// Plan files of earlier builds are read field by field and written again as they were.
func TestFormatOfPlanReadAndWrittenAgain(t *testing.T) {
	for _, name := range []string{"plan-full", "plan-zero"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", name+".edn"))
			if err != nil {
				t.Fatal(err)
			}
			p, err := ParsePlan("p", text)
			if name == "plan-full" {
				// A node without a name is written, and not read.
				if err == nil || err.Error() != `p:6: node: "" is not a node, a string` {
					t.Fatalf("a node without a name: %v", err)
				}
				text = sealed(strings.Replace(body(string(text)), "(node \"\" 0)\n", "", 1))
				p, err = ParsePlan("p", text)
			}
			if err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			appendPlan(&b, p)
			golden.Check(t, name+".fields", b.Bytes())
			if again := p.Marshal(); !bytes.Equal(again, text) {
				t.Errorf("written again:\n%s\nwant:\n%s", again, text)
			}
		})
	}
}

// body is the text of a plan file without its checksum.
func body(text string) string { return text[:strings.LastIndex(text, "(sum ")] }

// sealed adds the checksum to a text, as the format states it.
func sealed(body string) []byte {
	return fmt.Appendf([]byte(body), "(sum \"%016x\")\n", xxhash.Sum64String(body))
}

// Good and bad plan files, each with a checksum that fits unless it says otherwise.
func TestFormatOfPlanForms(t *testing.T) {
	full, err := os.ReadFile(filepath.Join("testdata", "plan-full.edn"))
	if err != nil {
		t.Fatal(err)
	}
	base := strings.Replace(body(string(full)), "(node \"\" 0)\n", "", 1)
	var b bytes.Buffer
	check := func(name string, text []byte) {
		t.Helper()
		fmt.Fprintf(&b, "== %s\n", name)
		p, err := ParsePlan("p", text)
		if err != nil {
			var f FileError
			fmt.Fprintf(&b, "%v\nis a fault of the file: %t\n", err, errors.As(err, &f))
			return
		}
		appendPlan(&b, p)
	}
	for _, c := range planFileChanges {
		check(fmt.Sprintf("%q => %q", c.from, c.to), sealed(string(c.of(t, base))))
	}
	check("no checksum", []byte(base))
	check("checksum of another text", []byte(strings.Replace(string(sealed(base)), "(version 3)", "(version 4)", 1)))
	check("checksum that is no string", []byte(base+"(sum 7)\n"))
	check("checksum of two values", []byte(base+"(sum \"7\" \"8\")\n"))
	check("more after the checksum", append(sealed(base), []byte("(version 4)\n")...))
	check("cut in a list", []byte(base[:len(base)-3]))
	check("format alone", sealed("(format 1)\n"))
	check("empty", nil)
	golden.Check(t, "plan-forms.txt", b.Bytes())
}
