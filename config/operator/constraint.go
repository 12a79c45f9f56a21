package operator

import (
	"math"

	"example.org/milletvane/placement"
)

// maxRatioTerm is the largest numerator and denominator of a ratio, and the largest load of one connection.
const maxRatioTerm = 1_000_000

// readConstraints reads all constraints. Their names must differ.
func readConstraints(s *section) (constraints []placement.Constraint) {
	lines := map[string]int{} // the line of each constraint so far, by name
	s.entries("constraint", func(e *entry) {
		c := placement.Constraint{Name: e.text("its name"), Line: e.form.line}
		if first, twice := lines[c.Name]; twice {
			e.fail(e.form.line, "%q is given twice, first on line %d", c.Name, first)
		}
		lines[c.Name] = e.form.line
		if x, ok := e.next("what it demands"); ok {
			e.readConstraintForm(&c, x)
		}
		constraints = append(constraints, c)
	})
	return constraints
}

// constraintReaders holds a reader for each kind of constraint, by the symbol that the constraint's form begins with.
var constraintReaders = map[string]func(*entry, *placement.Constraint){
	"carry": func(e *entry, c *placement.Constraint) {
		c.Kind = placement.Carry
		if e.hasMore() {
			c.Class = e.text("a class")
		}
	},
	"headroom": func(e *entry, c *placement.Constraint) { c.Kind, c.Part = placement.Headroom, e.ratio() },
	"share":    func(e *entry, c *placement.Constraint) { c.Kind, c.Part = placement.Share, e.ratio() },
	"keep": func(e *entry, c *placement.Constraint) {
		c.Kind, c.Class, c.Zones = placement.Keep, e.text("a class"), e.texts("a zone")
	},
	"keep-out": func(e *entry, c *placement.Constraint) {
		c.Kind, c.Class, c.Zones = placement.KeepOut, e.text("a class"), e.texts("a zone")
	},
	"spread": func(e *entry, c *placement.Constraint) {
		c.Kind, c.Class, c.Count = placement.Spread, e.text("a class"), e.number("a count of zones", 1, placement.MaxZones)
		c.Least = 1
		if e.hasMore() {
			c.Least = e.number("the least load in each", 1, placement.MaxLoad)
		}
	},
	"together": func(e *entry, c *placement.Constraint) { c.Kind, c.Classes = placement.Together, e.texts("a class") },
	"pair": func(e *entry, c *placement.Constraint) {
		c.Kind, c.Model, c.With = placement.Pair, e.text("a kind of node"), e.text("a kind of node")
	},
	"connections": func(e *entry, c *placement.Constraint) {
		c.Kind, c.Model, c.Count = placement.Connections, e.text("a kind of node"),
			e.number("connections", 0, placement.MaxLoad)
		c.Least = e.number("the load of one", 1, maxRatioTerm)
	},
	"moves": func(e *entry, c *placement.Constraint) {
		c.Kind, c.Count = placement.Moves, e.number("units of load", 0, math.MaxInt32)
	},
}

// readConstraintForm reads the form of a constraint, a list that begins with the kind.
func (e *entry) readConstraintForm(c *placement.Constraint, x expr) {
	kind, ok := x.head()
	if !ok {
		e.fail(x.line, "%s is not (kind value …)", x)
		return
	}
	form := &entry{section: e.section, key: e.key + "." + c.Name, form: x, values: x.list[1:]}
	read, ok := constraintReaders[kind]
	if !ok {
		form.fail(x.line, "%q is no kind of constraint", kind)
		return
	}
	read(form, c)
	form.close()
}

// ratio reads the numerator and the denominator of a ratio from 0 to 1.
func (e *entry) ratio() placement.Ratio {
	r := placement.Ratio{
		Num: e.number("a part's numerator", 0, maxRatioTerm),
		Den: e.number("a part's denominator", 1, maxRatioTerm),
	}
	if r.Num > r.Den {
		e.fail(e.form.line, "%d/%d is over 1", r.Num, r.Den)
	}
	return r
}
