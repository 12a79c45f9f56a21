package placement

import (
	"errors"
	"fmt"
	"slices"
)

// maxRatioDenominator limits the denominator of a Constraint's Part, so that products with loads fit into 64 bits.
const maxRatioDenominator = 1_000_000

// Check returns nil if the problem is valid, or an error that joins all violations. In a valid problem names are unique,
// references name zones that exist, figures are within their limits, and Order holds each goal exactly once.
func (p *Problem) Check() error {
	c := &checker{problem: p}
	if len(p.Zones) > MaxZones || len(p.Nodes) > MaxNodes {
		c.addError("the problem has %d zones and %d nodes, at most %d and %d are allowed",
			len(p.Zones), len(p.Nodes), MaxZones, MaxNodes)
	}
	c.checkUnique("zone", p.Zones)
	c.checkNodes()
	c.checkDemands()
	c.checkCrossings()
	c.checkConstraints()
	c.checkGoals()
	return errors.Join(c.errs...)
}

// checker collects the violations that Check finds in a problem.
type checker struct {
	problem *Problem
	errs    []error
}

func (c *checker) addError(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf(format, args...))
}

// checkZone adds an error if a zone does not exist. The text in where says what refers to the zone.
func (c *checker) checkZone(where, zone string) {
	if !slices.Contains(c.problem.Zones, zone) {
		c.addError("%s: zone %q does not exist", where, zone)
	}
}

func (c *checker) checkUnique(what string, names []string) {
	sorted := slices.Sorted(slices.Values(names))
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			c.addError("%s %q is given twice", what, sorted[i])
		}
	}
}

func (c *checker) checkNodes() {
	var ids []string
	for _, n := range c.problem.Nodes {
		ids = append(ids, n.ID)
		c.checkZone("node "+n.ID, n.Zone)
		if !isValidLoad(n.Capacity) || !isValidLoad(n.CurrentLoad) {
			c.addError("node %s: capacity %d and current load %d must be between 0 and %d",
				n.ID, n.Capacity, n.CurrentLoad, MaxLoad)
		}
	}
	c.checkUnique("node", ids)
}

func (c *checker) checkDemands() {
	var names []string
	for _, d := range c.problem.Demands {
		c.checkZone("demand", d.Zone)
		names = append(names, d.Zone+" "+d.Class)
		if !isValidLoad(d.Load) {
			c.addError("demand of class %s in zone %s: load %d is not between 0 and %d", d.Class, d.Zone, d.Load, MaxLoad)
		}
	}
	c.checkUnique("demand", names)
}

func (c *checker) checkCrossings() {
	withDefault := append([]Crossing{{Cost: c.problem.DefaultCost}}, c.problem.Crossings...)
	for _, crossing := range withDefault {
		if crossing.From != "" || crossing.To != "" {
			c.checkZone("crossing", crossing.From)
			c.checkZone("crossing", crossing.To)
		}
		if crossing.Cost < 0 || crossing.Cost > MaxCost {
			c.addError("crossing from %q to %q: cost %d is not between 0 and %d",
				crossing.From, crossing.To, crossing.Cost, MaxCost)
		}
	}
}

func (c *checker) checkConstraints() {
	var names []string
	for _, constraint := range c.problem.Constraints {
		names = append(names, constraint.Name)
		for _, zone := range constraint.Zones {
			c.checkZone("constraint "+constraint.Name, zone)
		}
		if !isValidLoad(constraint.Count) || !isValidLoad(constraint.Least) {
			c.addError("constraint %s: count %d and least %d must be between 0 and %d",
				constraint.Name, constraint.Count, constraint.Least, MaxLoad)
		}
		if usesPart := constraint.Kind == Headroom || constraint.Kind == Share; usesPart && !isValidPart(constraint.Part) {
			c.addError("constraint %s: %d/%d is not a fraction between 0 and 1 with a denominator of at most %d",
				constraint.Name, constraint.Part.Num, constraint.Part.Den, maxRatioDenominator)
		}
	}
	c.checkUnique("constraint", names)
}

func (c *checker) checkGoals() {
	got := slices.Sorted(slices.Values(c.problem.order()))
	if !slices.Equal(got, slices.Sorted(slices.Values(DefaultOrder))) {
		c.addError("goals: the order %v must have each of %v exactly once", c.problem.Order, DefaultOrder)
	}
}

func isValidLoad(n int64) bool { return n >= 0 && n <= MaxLoad }

// isValidPart reports whether a ratio is between 0 and 1 and its denominator is within maxRatioDenominator.
func isValidPart(r Ratio) bool {
	return r.Den > 0 && r.Den <= maxRatioDenominator && r.Num >= 0 && r.Num <= r.Den
}
