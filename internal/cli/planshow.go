package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/placement"
)

// explainPlan prints a plan by zone and by node.
func (p *program) explainPlan(_ context.Context, c *cli.Command) error {
	in, err := p.loadPlanInput(c)
	if err != nil {
		return err
	}
	plan, err := loadPlan(c.String("plan"))
	if err != nil {
		return err
	}
	renderZones(p.out, in.Problem, plan)
	renderNodes(p.out, in.Problem, plan)
	return nil
}

// zoneSums holds sums over a zone, in units of load.
type zoneSums struct{ capacity, demand, carried, incoming, outgoing int64 }

// sumByZone returns the sums of each zone. Flows from or to a zone that the problem does not have are left out.
func sumByZone(p *placement.Problem, plan *operator.Plan) map[string]*zoneSums {
	sums := map[string]*zoneSums{}
	for _, zone := range p.Zones {
		sums[zone] = &zoneSums{}
	}
	for _, d := range p.Demands {
		sums[d.Zone].demand += d.Load
	}
	for _, n := range p.Nodes {
		sums[n.Zone].capacity += n.Capacity
		sums[n.Zone].carried += plan.Load[n.ID]
	}
	for _, f := range plan.Flows {
		if f.From != f.To && sums[f.From] != nil && sums[f.To] != nil {
			sums[f.From].outgoing += f.Load
			sums[f.To].incoming += f.Load
		}
	}
	return sums
}

// renderZones prints a table of the zones.
func renderZones(w io.Writer, p *placement.Problem, plan *operator.Plan) {
	t := newTable(w, "zone", "capacity", "own demand", "carried", "from elsewhere", "to elsewhere", "not carried")
	sums := sumByZone(p, plan)
	for _, zone := range slices.Sorted(slices.Values(p.Zones)) {
		s := sums[zone]
		uncarried := s.demand - (s.carried - s.incoming) - s.outgoing
		t.AppendRow(table.Row{zone, s.capacity, s.demand, s.carried, s.incoming, s.outgoing, uncarried})
	}
	t.Render()
}

// renderNodes prints a table of the nodes.
func renderNodes(w io.Writer, p *placement.Problem, plan *operator.Plan) {
	t := newTable(w, "node", "zone", "kind", "load", "of capacity", "why")
	for _, n := range p.Nodes {
		load := plan.Load[n.ID]
		utilization := fmt.Sprintf("%.1f %%", 100*float64(load)/float64(max(n.Capacity, 1)))
		t.AppendRow(table.Row{n.ID, n.Zone, n.Model, load, utilization, explainLoad(p, plan, n)})
	}
	t.Render()
}

// explainLoad returns the text that explains why a node has its load.
func explainLoad(p *placement.Problem, plan *operator.Plan, n placement.Node) string {
	load := plan.Load[n.ID]
	utilization := placement.Ratio{Num: load, Den: max(n.Capacity, 1)}
	for _, c := range p.Constraints {
		switch {
		case c.Kind == placement.Headroom && load > 0 && load == n.Capacity*c.Part.Num/c.Part.Den:
			return "as full as " + c.Name + " allows"
		case c.Kind == placement.Pair && c.Model == n.Model && n.Capacity > 0 && load == 0:
			return "no partner left in its zone, by " + c.Name
		}
	}
	switch {
	case n.Capacity == 0:
		return "not in service, or of no capacity"
	case load == 0:
		return "its zone has no load for it"
	case utilization.Num*plan.Goals.Fullest.Den == plan.Goals.Fullest.Num*utilization.Den:
		return "the fullest: no plan has a fullest node that is emptier"
	}
	return "its part of its zone's load, as even as whole units allow"
}

// diffPlans prints the nodes whose load differs between two plans.
func (p *program) diffPlans(_ context.Context, c *cli.Command) error {
	to, err := loadPlan(c.String("plan"))
	if err != nil {
		return err
	}
	from, err := loadPlan(c.String("from"))
	if err != nil {
		return err
	}
	loads := maps.Clone(from.Load)
	if loads == nil {
		loads = map[string]int64{}
	}
	maps.Copy(loads, to.Load)
	t := newTable(p.out, "node", fmt.Sprint("version ", from.Version), fmt.Sprint("version ", to.Version), "change")
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		if before, after := from.Load[id], to.Load[id]; before != after {
			t.AppendRow(table.Row{id, before, after, after - before})
		}
	}
	t.Render()
	return nil
}
