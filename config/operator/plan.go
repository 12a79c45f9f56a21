package operator

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"olympos.io/encoding/edn"

	"example.org/milletvane/placement"
)

// PlanFormat is the version of the plan file format that this program writes, and the newest that it reads.
const PlanFormat = 1

// Plan is the content of a plan file: the load that each node shall carry, now and after losses, and the hashes of the input
// from which the plan was computed.
type Plan struct {
	Version       int64
	ListHash      uint64 // hash of the list of nodes that the plan is for
	SettingsHash  uint64 // hash of the placement settings that the plan is for
	Proven        bool   // whether it is proven that no better plan exists
	Goals         placement.Goals
	Load          map[string]int64 // load of each node, in units of load
	Flows         []placement.Flow
	Contingencies []PlanContingency
}

// PlanContingency is the plan for one loss of nodes.
type PlanContingency struct {
	Name      string
	Lost      []string         // the lost nodes
	Shortfall int64            // units of load that are not carried after the loss
	Load      map[string]int64 // load after the loss, in units of load, of each node whose load then differs from Plan.Load
	Flows     []placement.Flow // all flows after the loss; empty if there is no plan for the loss
}

// Marshal returns the text of the plan file. Its last form is a checksum of everything before it.
func (p *Plan) Marshal() []byte {
	w := &planWriter{}
	w.printf("; Worked out by milletvane plan solve. Changed by hand it is not taken.\n")
	w.printf("(format %d)\n(version %d)\n", PlanFormat, p.Version)
	w.printf("(made-for (list \"%016x\") (settings \"%016x\"))\n", p.ListHash, p.SettingsHash)
	w.printf("(goals (uncarried %d) (crossings %d) (fullest %d %d) (moves %d) (proven %t))\n",
		p.Goals.Uncarried, p.Goals.Crossings, p.Goals.Fullest.Num, p.Goals.Fullest.Den, p.Goals.Moves, p.Proven)
	w.loads("", p.Load)
	w.flows("", p.Flows)
	for _, c := range p.Contingencies {
		w.contingency(c)
	}
	w.printf("(sum \"%016x\")\n", xxhash.Sum64(w.text.Bytes()))
	return w.text.Bytes()
}

// planWriter holds the text of a plan file as it is written.
type planWriter struct{ text bytes.Buffer }

func (w *planWriter) printf(format string, args ...any) { fmt.Fprintf(&w.text, format, args...) }

func (w *planWriter) loads(indent string, load map[string]int64) {
	for _, node := range slices.Sorted(maps.Keys(load)) {
		w.printf("%s(node %s %d)\n", indent, quote(node), load[node])
	}
}

func (w *planWriter) flows(indent string, flows []placement.Flow) {
	for _, f := range flows {
		w.printf("%s(flow %s %s %s %d)\n", indent, quote(f.Class), quote(f.From), quote(f.To), f.Load)
	}
}

func (w *planWriter) contingency(c PlanContingency) {
	w.printf("(contingency %s (lost", quote(c.Name))
	for _, node := range c.Lost {
		w.printf(" %s", quote(node))
	}
	w.printf(") (short %d)\n", c.Shortfall)
	w.loads("  ", c.Load)
	w.flows("  ", c.Flows)
	w.printf(" )\n")
}

// quote returns a string as an EDN literal.
func quote(s string) string {
	text, err := edn.Marshal(s)
	if err != nil { // can't happen: every string has an encoding
		panic(err)
	}
	return string(text)
}
