package operator

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/placement"
)

const (
	maxPlanVersion = 1 << 53 // a float64 holds each integer up to here exactly
	maxGoalValue   = 1 << 62 // the largest value of a goal, and the largest load that is not carried
)

// ParsePlan reads a plan file. The error is a FileError, also for a file that is truncated, altered, or of a newer format.
func ParsePlan(file string, text []byte) (*Plan, error) {
	exprs, err := readExprs(file, text)
	if err != nil {
		return nil, err
	}
	errs := &errorList{file: file}
	checkPlanFormat(errs, exprs)
	if err := errs.first(); err != nil {
		return nil, err
	}
	checkPlanChecksum(errs, exprs[len(exprs)-1], text)
	if err := errs.first(); err != nil {
		return nil, err
	}
	top := openSection(errs, "", 0, exprs[1:len(exprs)-1], "node", "flow", "contingency")
	p := readPlan(top)
	top.close()
	if err := errs.first(); err != nil {
		return nil, err
	}
	return p, nil
}

// checkPlanFormat checks the first form of a plan file, (format N).
func checkPlanFormat(errs *errorList, exprs []expr) {
	if len(exprs) == 0 || !exprs[0].isForm("format") || len(exprs[0].list) != 2 {
		errs.add(1, "format", "is missing: this is no plan file")
		return
	}
	version := exprs[0].list[1]
	if n, ok := version.atom.(int64); !ok || n < 1 || n > PlanFormat {
		problem := fmt.Sprintf("%s is not one that this program knows; %d is the newest", version, PlanFormat)
		errs.add(exprs[0].line, "format", problem)
	}
}

// checkPlanChecksum checks the last form of a plan file, (sum "checksum").
func checkPlanChecksum(errs *errorList, last expr, text []byte) {
	summed := bytes.LastIndex(text, []byte("(sum "))
	if !last.isForm("sum") || len(last.list) != 2 || summed < 0 {
		errs.add(last.line, "sum", "is missing: the file is cut short")
		return
	}
	sum, _ := last.list[1].atom.(string)
	if sum != fmt.Sprintf("%016x", xxhash.Sum64(text[:summed])) {
		errs.add(last.line, "sum", fmt.Sprintf("%q is not that of the file: it was altered", sum))
	}
}

// readPlan reads the forms between the format and the checksum.
func readPlan(s *section) *Plan {
	p := &Plan{}
	s.entries("version", func(e *entry) { p.Version = e.number("a version", 0, maxPlanVersion) })
	s.subsection("made-for", func(sub *section) {
		p.ListHash, p.SettingsHash = sub.hash("list"), sub.hash("settings")
	})
	s.subsection("goals", func(sub *section) {
		p.Goals = readGoalValues(sub)
		p.Proven = sub.boolean("proven")
	})
	p.Load = readLoads(s)
	p.Flows = readFlows(s)
	s.entries("contingency", func(e *entry) { p.Contingencies = append(p.Contingencies, readContingency(e)) })
	return p
}

// hash reads a hash of 64 bits, which is written in hexadecimal digits. It returns 0 if the key is absent or its text is not a
// hexadecimal number, and the largest uint64 if the number is too large. No list and no settings are expected to have either
// value as their hash.
func (s *section) hash(key string) (hash uint64) {
	s.entries(key, func(e *entry) { hash, _ = strconv.ParseUint(e.text("a hash"), 16, 64) })
	return hash
}

// readGoalValues reads the value that the plan reaches for each goal.
func readGoalValues(s *section) (g placement.Goals) {
	figure := func(e *entry) int64 { return e.number("a figure", 0, maxGoalValue) }
	s.entries("uncarried", func(e *entry) { g.Uncarried = figure(e) })
	s.entries("crossings", func(e *entry) { g.Crossings = figure(e) })
	s.entries("moves", func(e *entry) { g.Moves = figure(e) })
	s.entries("fullest", func(e *entry) { g.Fullest = placement.Ratio{Num: figure(e), Den: figure(e)} })
	return g
}

// readLoads reads the load of each node.
func readLoads(s *section) map[string]int64 {
	load := map[string]int64{}
	s.entries("node", func(e *entry) { load[e.text("a node")] = e.number("its load", 0, placement.MaxLoad) })
	return load
}

func readFlows(s *section) (flows []placement.Flow) {
	s.entries("flow", func(e *entry) {
		flows = append(flows, placement.Flow{
			Class: e.text("a class"), From: e.text("a zone"), To: e.text("a zone"),
			Load: e.number("its load", 0, placement.MaxLoad),
		})
	})
	return flows
}

// readContingency reads the plan for one loss: its name, and the forms in it.
func readContingency(e *entry) PlanContingency {
	c := PlanContingency{Name: e.text("its name")}
	sub := openSection(e.section.errs, "contingency", e.form.line, e.values, "node", "flow")
	e.values = nil
	sub.entries("lost", func(e *entry) { c.Lost = e.texts("a node") })
	sub.entries("short", func(e *entry) { c.Shortfall = e.number("units of load", 0, maxGoalValue) })
	c.Load = readLoads(sub)
	c.Flows = readFlows(sub)
	sub.close()
	return c
}
