package operator

import (
	"math"
	"slices"

	"olympos.io/encoding/edn"

	"example.org/milletvane/placement"
)

// Placement is what plans are worked out from, but for the list of nodes.
type Placement struct {
	Capacity    map[string]int64 // by the list's kind, in units of load
	Demands     []placement.Demand
	Crossings   []placement.Crossing
	DefaultCost int64
	Constraints []placement.Constraint
	Batches     []placement.Batch
	Order       []placement.Goal
}

// entry reads the values of one form that stands behind a key, in order.
type entry struct {
	s    *section
	key  string
	form form
	vals []form
	bad  bool
}

func (e *entry) fault(line int, format string, args ...any) {
	if !e.bad {
		e.s.fault(line, e.key, format, args...)
	}
	e.bad = true
}

func (e *entry) next(what string) (form, bool) {
	if len(e.vals) == 0 {
		e.fault(e.form.line, "%s is missing", what)
		return form{}, false
	}
	f := e.vals[0]
	e.vals = e.vals[1:]
	return f, true
}

func (e *entry) text(what string) string {
	f, ok := e.next(what)
	if !ok {
		return ""
	}
	t, ok := f.atom.(string)
	if !ok || t == "" {
		e.fault(f.line, "%s is not %s, a string", f, what)
	}
	return t
}

func (e *entry) number(what string, least, most int64) int64 {
	f, ok := e.next(what)
	if !ok {
		return least
	}
	n, ok := f.atom.(int64)
	if !ok || n < least || n > most {
		e.fault(f.line, "%s is not %s, a whole number within %d and %d", f, what, least, most)
		return least
	}
	return n
}

func (e *entry) texts(what string) (list []string) {
	for len(e.vals) > 0 {
		list = append(list, e.text(what))
	}
	return list
}

func (e *entry) part() placement.Ratio {
	r := placement.Ratio{Num: e.number("a part's numerator", 0, 1_000_000), Den: e.number("a part's denominator", 1, 1_000_000)}
	if r.Num > r.Den {
		e.fault(e.form.line, "%d/%d is over 1", r.Num, r.Den)
	}
	return r
}

// end reports values that nobody asked for.
func (e *entry) end() {
	if len(e.vals) > 0 {
		e.fault(e.vals[0].line, "%s is one value too many", e.vals[0])
	}
}

// each calls read for every form behind a key.
func (s *section) each(key string, read func(*entry)) {
	s.used[key] = true
	for _, f := range s.keys[key] {
		e := &entry{s: s, key: key, form: f, vals: f.list[1:]}
		read(e)
		e.end()
	}
}

func readPlacement(s *section) *Placement {
	p := &Placement{Capacity: map[string]int64{}}
	s.each("capacity", func(e *entry) {
		kind := e.text("a kind of node")
		if _, twice := p.Capacity[kind]; twice {
			e.fault(e.form.line, "%q is given twice", kind)
		}
		p.Capacity[kind] = e.number("its capacity", 0, placement.MostLoad)
	})
	s.each("demand", func(e *entry) {
		p.Demands = append(p.Demands, placement.Demand{Zone: e.text("a zone"), Class: e.text("a class"),
			Load: e.number("its load", 0, placement.MostLoad)})
	})
	s.each("crossing", func(e *entry) {
		p.Crossings = append(p.Crossings, placement.Crossing{From: e.text("a zone"), To: e.text("a zone"),
			Cost: e.number("its cost", 0, placement.MostCost)})
	})
	s.each("batch", func(e *entry) {
		p.Batches = append(p.Batches, placement.Batch{Model: e.text("a kind of node"), Size: int(e.number("its size", 1, placement.MostNodes))})
	})
	s.each("goals", func(e *entry) {
		for len(e.vals) > 0 {
			f, _ := e.next("a goal")
			g, ok := f.atom.(edn.Symbol)
			if !ok || !slices.Contains(placement.DefaultOrder, placement.Goal(g)) || slices.Contains(p.Order, placement.Goal(g)) {
				e.fault(f.line, "%s is not one of %v, each once", f, placement.DefaultOrder)
			}
			p.Order = append(p.Order, placement.Goal(g))
		}
		if len(p.Order) != len(placement.DefaultOrder) {
			e.fault(e.form.line, "%d goals are named and %d wanted", len(p.Order), len(placement.DefaultOrder))
		}
	})
	p.DefaultCost = int64(s.integer("crossing-default", 1, 0, placement.MostCost))
	names := map[string]int{}
	s.each("constraint", func(e *entry) {
		c := placement.Constraint{Name: e.text("its name"), Line: e.form.line}
		if first, twice := names[c.Name]; twice {
			e.fault(e.form.line, "%q is given twice, first on line %d", c.Name, first)
		}
		names[c.Name] = e.form.line
		if f, ok := e.next("what it demands"); ok {
			e.demand(&c, f)
		}
		p.Constraints = append(p.Constraints, c)
	})
	return p
}

// demand reads what a constraint demands: a list that begins with its kind.
func (e *entry) demand(c *placement.Constraint, f form) {
	kind, ok := edn.Symbol(""), false
	if f.isList() && len(f.list) > 0 {
		kind, ok = f.list[0].atom.(edn.Symbol)
	}
	if !ok {
		e.fault(f.line, "%s is not (kind value …)", f)
		return
	}
	in := &entry{s: e.s, key: e.key + "." + c.Name, form: f, vals: f.list[1:]}
	switch kind {
	case "carry":
		c.Kind = placement.Carry
		if len(in.vals) > 0 {
			c.Class = in.text("a class")
		}
	case "headroom":
		c.Kind, c.Part = placement.Headroom, in.part()
	case "share":
		c.Kind, c.Part = placement.Share, in.part()
	case "keep":
		c.Kind, c.Class, c.Zones = placement.Keep, in.text("a class"), in.texts("a zone")
	case "keep-out":
		c.Kind, c.Class, c.Zones = placement.KeepOut, in.text("a class"), in.texts("a zone")
	case "spread":
		c.Kind, c.Class, c.Count, c.Least = placement.Spread, in.text("a class"), in.number("a count of zones", 1, placement.MostZones), 1
		if len(in.vals) > 0 {
			c.Least = in.number("the least load in each", 1, placement.MostLoad)
		}
	case "together":
		c.Kind, c.Classes = placement.Together, in.texts("a class")
	case "pair":
		c.Kind, c.Model, c.With = placement.Pair, in.text("a kind of node"), in.text("a kind of node")
	case "connections":
		c.Kind, c.Model, c.Count = placement.Connections, in.text("a kind of node"), in.number("connections", 0, placement.MostLoad)
		c.Least = in.number("the load of one", 1, 1_000_000)
	case "moves":
		c.Kind, c.Count = placement.Moves, in.number("units of load", 0, math.MaxInt32)
	default:
		in.fault(f.line, "%q is no kind of constraint", string(kind))
		return
	}
	in.end()
}
