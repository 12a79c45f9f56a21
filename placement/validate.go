package placement

import (
	"errors"
	"fmt"
	"slices"
)

// maxRatioDenominator bounds the Part of a Constraint, so that products with loads stay within 64 bits.
const maxRatioDenominator = 1_000_000

// Check returns an error that joins all violations of the rules for a Problem, or nil: names are unique and refer to zones
// that exist, figures are within their bounds, and Order has each goal once.
func (p *Problem) Check() error {
	c := &checker{problem: p}
	if len(p.Zones) > MaxZones || len(p.Nodes) > MaxNodes {
		c.report("%d zones and %d nodes are more than %d and %d", len(p.Zones), len(p.Nodes), MaxZones, MaxNodes)
	}
	c.unique("zone", p.Zones)
	c.nodes()
	c.demands()
	c.crossings()
	c.constraints()
	c.goals()
	return errors.Join(c.errs...)
}

// checker collects what is wrong with a problem.
type checker struct {
	problem *Problem
	errs    []error
}

func (c *checker) report(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf(format, args...))
}

// zone checks that a zone exists.
func (c *checker) zone(where, zone string) {
	if !slices.Contains(c.problem.Zones, zone) {
		c.report("%s: %q is no zone", where, zone)
	}
}

func (c *checker) unique(what string, names []string) {
	sorted := slices.Sorted(slices.Values(names))
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			c.report("%s %q is given twice", what, sorted[i])
		}
	}
}

func (c *checker) nodes() {
	var ids []string
	for _, n := range c.problem.Nodes {
		ids = append(ids, n.ID)
		c.zone("node "+n.ID, n.Zone)
		if !isLoad(n.Capacity) || !isLoad(n.CurrentLoad) {
			c.report("node %s: capacity %d or load %d is not within 0 and %d", n.ID, n.Capacity, n.CurrentLoad, MaxLoad)
		}
	}
	c.unique("node", ids)
}

func (c *checker) demands() {
	var names []string
	for _, d := range c.problem.Demands {
		c.zone("demand", d.Zone)
		names = append(names, d.Zone+" "+d.Class)
		if !isLoad(d.Load) {
			c.report("demand of %s in %s: %d is not within 0 and %d", d.Class, d.Zone, d.Load, MaxLoad)
		}
	}
	c.unique("demand", names)
}

func (c *checker) crossings() {
	withDefault := append([]Crossing{{Cost: c.problem.DefaultCost}}, c.problem.Crossings...)
	for _, crossing := range withDefault {
		if crossing.From != "" || crossing.To != "" {
			c.zone("crossing", crossing.From)
			c.zone("crossing", crossing.To)
		}
		if crossing.Cost < 0 || crossing.Cost > MaxCost {
			c.report("crossing %s to %s: cost %d is not within 0 and %d", crossing.From, crossing.To, crossing.Cost, MaxCost)
		}
	}
}

func (c *checker) constraints() {
	var names []string
	for _, constraint := range c.problem.Constraints {
		names = append(names, constraint.Name)
		for _, zone := range constraint.Zones {
			c.zone(constraint.Name, zone)
		}
		if !isLoad(constraint.Count) || !isLoad(constraint.Least) {
			c.report("%s: a count is out of range", constraint.Name)
		}
		if usesPart := constraint.Kind == Headroom || constraint.Kind == Share; usesPart && !isPart(constraint.Part) {
			c.report("%s: %d/%d is no part", constraint.Name, constraint.Part.Num, constraint.Part.Den)
		}
	}
	c.unique("constraint", names)
}

func (c *checker) goals() {
	got := slices.Sorted(slices.Values(c.problem.order()))
	if !slices.Equal(got, slices.Sorted(slices.Values(DefaultOrder))) {
		c.report("goals: %v is not each of %v once", c.problem.Order, DefaultOrder)
	}
}

func isLoad(n int64) bool { return n >= 0 && n <= MaxLoad }

// isPart reports whether a ratio is within 0 and 1.
func isPart(r Ratio) bool {
	return r.Den > 0 && r.Den <= maxRatioDenominator && r.Num >= 0 && r.Num <= r.Den
}
