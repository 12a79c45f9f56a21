package operator

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"olympos.io/encoding/edn"

	"example.org/milletvane/placement"
)

// PlanFormat is the version of plan files that this program writes, and the newest that it reads.
const PlanFormat = 1

// Plan is a plan file: what each node is to carry, now and after losses, and what that was worked out from.
type Plan struct {
	Version       int64
	ListHash      uint64 // hash of the nodes that it is for
	SettingsHash  uint64 // hash of the placement settings
	Proven        bool
	Goals         placement.Goals
	Load          map[string]int64
	Flows         []placement.Flow
	Contingencies []PlanContingency
}

// PlanContingency is a loss with its plan; without loads there is none, and Short units are not carried.
type PlanContingency struct {
	Name  string
	Lost  []string
	Short int64
	Load  map[string]int64 // of nodes that carry something else than in the plan
	Flows []placement.Flow // all of them; none: there is no plan for this loss
}

// Marshal is the file's text. Its last form is a checksum of all before it.
func (p *Plan) Marshal() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "; Worked out by milletvane plan solve. Changed by hand it is not taken.\n(format %d)\n(version %d)\n", PlanFormat, p.Version)
	fmt.Fprintf(&b, "(made-for (list \"%016x\") (settings \"%016x\"))\n", p.ListHash, p.SettingsHash)
	fmt.Fprintf(&b, "(goals (uncarried %d) (crossings %d) (fullest %d %d) (moves %d) (proven %t))\n", p.Goals.Uncarried, p.Goals.Crossings,
		p.Goals.Fullest.Num, p.Goals.Fullest.Den, p.Goals.Moves, p.Proven)
	loads := func(indent string, m map[string]int64) {
		ids := make([]string, 0, len(m))
		for id := range m {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			fmt.Fprintf(&b, "%s(node %s %d)\n", indent, quote(id), m[id])
		}
	}
	loads("", p.Load)
	flows := func(indent string, list []placement.Flow) {
		for _, f := range list {
			fmt.Fprintf(&b, "%s(flow %s %s %s %d)\n", indent, quote(f.Class), quote(f.From), quote(f.To), f.Load)
		}
	}
	flows("", p.Flows)
	for _, c := range p.Contingencies {
		fmt.Fprintf(&b, "(contingency %s (lost", quote(c.Name))
		for _, id := range c.Lost {
			fmt.Fprintf(&b, " %s", quote(id))
		}
		fmt.Fprintf(&b, ") (short %d)\n", c.Short)
		loads("  ", c.Load)
		flows("  ", c.Flows)
		b.WriteString(" )\n")
	}
	fmt.Fprintf(&b, "(sum \"%016x\")\n", xxhash.Sum64(b.Bytes()))
	return b.Bytes()
}

func quote(s string) string {
	b, err := edn.Marshal(s)
	if err != nil { // of a string: it cannot be
		panic(err)
	}
	return string(b)
}

// ParsePlan reads a plan file. One that is cut short, altered or of a newer program is a Fault.
func ParsePlan(file string, text []byte) (*Plan, error) {
	forms, err := read(file, text)
	if err != nil {
		return nil, err
	}
	fault := func(line int, key, format string, args ...any) error {
		return FileError{File: file, Line: line, Key: key, Problem: fmt.Sprintf(format, args...)}
	}
	if len(forms) == 0 || !forms[0].named("format") || len(forms[0].list) != 2 {
		return nil, fault(1, "format", "is missing: this is no plan file")
	}
	if n, ok := forms[0].list[1].atom.(int64); !ok || n < 1 || n > PlanFormat {
		return nil, fault(forms[0].line, "format", "%s is not one that this program knows; %d is the newest", forms[0].list[1], PlanFormat)
	}
	last := forms[len(forms)-1]
	at := bytes.LastIndex(text, []byte("(sum "))
	if !last.named("sum") || len(last.list) != 2 || at < 0 {
		return nil, fault(last.line, "sum", "is missing: the file is cut short")
	}
	sum, _ := last.list[1].atom.(string)
	if want := fmt.Sprintf("%016x", xxhash.Sum64(text[:at])); sum != want {
		return nil, fault(last.line, "sum", "%q is not that of the file: it was altered", sum)
	}
	var faults []FileError
	s := &section{file: file, faults: &faults}
	s.open(forms[1:len(forms)-1], "node", "flow", "contingency")
	p := &Plan{Load: map[string]int64{}}
	s.each("version", func(e *entry) { p.Version = e.number("a version", 0, 1<<53) })
	hash := func(in *section, key string) (h uint64) {
		in.each(key, func(e *entry) { h, _ = strconv.ParseUint(e.text("a hash"), 16, 64) })
		return h
	}
	if vals, line := s.values("made-for"); line > 0 {
		in := &section{file: file, path: "made-for", line: line, faults: &faults}
		in.open(vals)
		p.ListHash, p.SettingsHash = hash(in, "list"), hash(in, "settings")
		in.close()
	}
	if vals, line := s.values("goals"); line > 0 {
		in := &section{file: file, path: "goals", line: line, faults: &faults}
		in.open(vals)
		figure := func(key string, to *int64) {
			in.each(key, func(e *entry) { *to = e.number("a figure", 0, 1<<62) })
		}
		figure("uncarried", &p.Goals.Uncarried)
		figure("crossings", &p.Goals.Crossings)
		figure("moves", &p.Goals.Moves)
		in.each("fullest", func(e *entry) {
			p.Goals.Fullest = placement.Ratio{Num: e.number("a figure", 0, 1<<62), Den: e.number("a figure", 0, 1<<62)}
		})
		p.Proven = in.boolean("proven", false)
		in.close()
	}
	s.each("node", func(e *entry) { p.Load[e.text("a node")] = e.number("its load", 0, placement.MostLoad) })
	flow := func(e *entry) placement.Flow {
		return placement.Flow{Class: e.text("a class"), From: e.text("a zone"), To: e.text("a zone"),
			Load: e.number("its load", 0, placement.MostLoad)}
	}
	s.each("flow", func(e *entry) { p.Flows = append(p.Flows, flow(e)) })
	s.each("contingency", func(e *entry) {
		c := PlanContingency{Name: e.text("its name"), Load: map[string]int64{}}
		in := &section{file: file, path: "contingency", line: e.form.line, faults: &faults}
		in.open(e.vals, "node", "flow")
		e.vals = nil
		in.each("lost", func(e *entry) { c.Lost = e.texts("a node") })
		in.each("short", func(e *entry) { c.Short = e.number("units of load", 0, 1<<62) })
		in.each("node", func(e *entry) { c.Load[e.text("a node")] = e.number("its load", 0, placement.MostLoad) })
		in.each("flow", func(e *entry) { c.Flows = append(c.Flows, flow(e)) })
		in.close()
		p.Contingencies = append(p.Contingencies, c)
	})
	s.close()
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return p, nil
}

// named reports whether a form is a list that begins with a word.
func (f form) named(word string) bool {
	return f.isList() && len(f.list) > 0 && f.list[0].atom == edn.Symbol(word)
}
