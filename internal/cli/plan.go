package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/placement"
)

// exitInfeasible is the exit code where constraints can't be met together: no plan is written.
const exitInfeasible = 3

// plans are the commands that work placements out and look at them.
func plans(getenv func(string) string, out, errs io.Writer) *cli.Command {
	list := &cli.StringFlag{Name: "list", Usage: "discovery's list of nodes, a `FILE` of JSON", Required: true}
	plan := &cli.StringFlag{Name: "plan", Usage: "plan `FILE`", Required: true}
	return &cli.Command{
		Name: "plan", Usage: "work out ahead of time which node is to carry how much",
		Commands: []*cli.Command{
			{
				Name: "solve", Usage: "write the best plan and what to do after each loss; exit code 3 if the constraints conflict",
				Flags: []cli.Flag{list, &cli.StringFlag{Name: "out", Usage: "plan `FILE` to write", Required: true},
					&cli.StringFlag{Name: "from", Usage: "plan `FILE` in force, from which moves are counted"},
					&cli.IntFlag{Name: "steps", Usage: "networks to solve at most for a plan; 0: until it is proven best"}},
				Action: func(_ context.Context, c *cli.Command) error { return solvePlan(c, getenv, out, errs) },
			},
			{
				Name: "check", Usage: "say whether a plan file is sound and fits a list and the settings", Flags: []cli.Flag{list, plan},
				Action: func(_ context.Context, c *cli.Command) error { return checkPlan(c, getenv, out) },
			},
			{
				Name: "explain", Usage: "show a plan by zone and node, and why each node has its load", Flags: []cli.Flag{list, plan},
				Action: func(_ context.Context, c *cli.Command) error { return explainPlan(c, getenv, out) },
			},
			{
				Name: "diff", Usage: "show what differs between two plans",
				Flags:  []cli.Flag{plan, &cli.StringFlag{Name: "from", Usage: "the other plan `FILE`", Required: true}},
				Action: func(_ context.Context, c *cli.Command) error { return diffPlans(c, out) },
			},
		},
	}
}

// problem reads what a plan is to be made for, with the hashes that name it.
func problem(c *cli.Command, getenv func(string) string) (*placement.Problem, *operator.Placement, *operator.Plan, error) {
	file := c.String("operator")
	if file == "" {
		file = getenv(operator.EnvFile)
	}
	if file == "" {
		return nil, nil, nil, errors.New("no operator file is named")
	}
	op, err := operator.Load(file, nil)
	if err != nil {
		return nil, nil, nil, err
	}
	if op.Placement == nil {
		return nil, nil, nil, fmt.Errorf("%s: placement: is missing", file)
	}
	text, err := os.ReadFile(c.String("list"))
	if err != nil {
		return nil, nil, nil, err
	}
	members, err := discovery.Parse(text)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("%s: %w", c.String("list"), err)
	}
	p := &placement.Problem{Demands: op.Placement.Demands, Crossings: op.Placement.Crossings,
		DefaultCost: op.Placement.DefaultCost, Constraints: op.Placement.Constraints, Order: op.Placement.Order}
	zone := func(z string) {
		if !slices.Contains(p.Zones, z) {
			p.Zones = append(p.Zones, z)
		}
	}
	for _, d := range p.Demands {
		zone(d.Zone)
	}
	h := xxhash.New()
	sorted := slices.Clone(members.Endpoints)
	slices.SortFunc(sorted, func(a, b discovery.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, m := range sorted {
		capacity, known := op.Placement.Capacity[m.Kind]
		if !known {
			return nil, nil, nil, fmt.Errorf("node %s: its kind %q has no (capacity …) in %s", m.ID, m.Kind, file)
		}
		if m.State != "in_service" {
			capacity = 0
		}
		zone(m.Zone)
		p.Nodes = append(p.Nodes, placement.Node{ID: m.ID, Zone: m.Zone, Model: m.Kind, Capacity: capacity})
		fmt.Fprintf(h, "%q %q %q %d\n", m.ID, m.Zone, m.Kind, capacity)
	}
	made := &operator.Plan{ListHash: h.Sum64()}
	h.Reset()
	fmt.Fprintf(h, "%v %v %v %v %v %v", op.Placement.Order, op.Placement.Capacity, p.Demands, p.Crossings, p.DefaultCost, op.Placement.Batches)
	for _, k := range p.Constraints {
		k.Line = 0 // a comment more is no other setting
		fmt.Fprintf(h, "%+v", k)
	}
	made.SettingsHash = h.Sum64()
	return p, op.Placement, made, nil
}

func loadPlan(file string) (*operator.Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return operator.ParsePlan(file, text)
}

func solvePlan(c *cli.Command, getenv func(string) string, out, errs io.Writer) error {
	p, settings, made, err := problem(c, getenv)
	if err != nil {
		return err
	}
	if from := c.String("from"); from != "" {
		before, err := loadPlan(from)
		if err != nil {
			return err
		}
		made.Version = before.Version
		for i := range p.Nodes {
			p.Nodes[i].CurrentLoad = before.Load[p.Nodes[i].ID]
		}
	}
	o := placement.Options{MaxSteps: c.Int("steps")}
	began := time.Now()
	best, err := placement.Solve(p, o)
	if err != nil {
		return err
	}
	told := began
	after, err := placement.Contingencies(p, best, settings.Batches, o, func(done, all int) {
		if time.Since(told) > time.Second { // only long work is worth a word
			told = time.Now()
			fmt.Fprintf(errs, "%d of %d losses worked out\n", done, all)
		}
	})
	if err != nil {
		return err
	}
	made.Version++
	made.Proven, made.Goals, made.Load, made.Flows = best.Proven, best.Goals, best.Load, best.Flows
	worst := ""
	for _, k := range after {
		pc := operator.PlanContingency{Name: k.Name, Lost: k.Lost, Short: k.Shortfall, Load: map[string]int64{}}
		if k.Plan != nil {
			pc.Flows = k.Plan.Flows
			for id, n := range k.Plan.Load {
				if n != best.Load[id] {
					pc.Load[id] = n
				}
			}
		}
		if k.Shortfall > 0 {
			worst += fmt.Sprintf("after the loss of %s %d units are not carried\n", k.Name, k.Shortfall)
		}
		made.Contingencies = append(made.Contingencies, pc)
	}
	// Whole or not at all: a plan that is read meanwhile is the old one or the new one.
	temporary := c.String("out") + ".new"
	if err := os.WriteFile(temporary, made.Marshal(), 0o644); err != nil {
		return err
	}
	if err := os.Rename(temporary, c.String("out")); err != nil {
		return err
	}
	word := "proven best"
	if !best.Proven {
		word = fmt.Sprintf("not proven best; at best %d not carried and crossings of %d", best.Bound.Uncarried, best.Bound.Crossings)
	}
	_, err = fmt.Fprintf(out, "version %d, %s: %d not carried, crossings %d, fullest node %d/%d, %d moved; %d losses considered, in %v\n%s",
		made.Version, word, best.Goals.Uncarried, best.Crossings, best.Fullest.Num, best.Fullest.Den, best.Moves, len(after),
		time.Since(began).Round(time.Millisecond), worst)
	return err
}

func checkPlan(c *cli.Command, getenv func(string) string, out io.Writer) error {
	_, _, made, err := problem(c, getenv)
	if err != nil {
		return err
	}
	plan, err := loadPlan(c.String("plan"))
	switch {
	case err != nil:
		return err
	case plan.ListHash != made.ListHash:
		return fmt.Errorf("%s: was made for another list of nodes", c.String("plan"))
	case plan.SettingsHash != made.SettingsHash:
		return fmt.Errorf("%s: was made for other settings", c.String("plan"))
	}
	_, err = fmt.Fprintf(out, "version %d fits: %d nodes, %d losses considered\n", plan.Version, len(plan.Load), len(plan.Contingencies))
	return err
}

func explainPlan(c *cli.Command, getenv func(string) string, out io.Writer) error {
	p, _, _, err := problem(c, getenv)
	if err != nil {
		return err
	}
	plan, err := loadPlan(c.String("plan"))
	if err != nil {
		return err
	}
	zones := newTable(out, "zone", "capacity", "own demand", "carried", "from elsewhere", "to elsewhere", "not carried")
	type sums struct{ capacity, demand, carried, in, away int64 }
	by := map[string]*sums{}
	for _, z := range p.Zones {
		by[z] = &sums{}
	}
	for _, d := range p.Demands {
		by[d.Zone].demand += d.Load
	}
	for _, n := range p.Nodes {
		by[n.Zone].capacity += n.Capacity
		by[n.Zone].carried += plan.Load[n.ID]
	}
	for _, f := range plan.Flows {
		if f.From != f.To && by[f.From] != nil && by[f.To] != nil {
			by[f.From].away += f.Load
			by[f.To].in += f.Load
		}
	}
	for _, z := range slices.Sorted(slices.Values(p.Zones)) {
		s := by[z]
		zones.AppendRow(table.Row{z, s.capacity, s.demand, s.carried, s.in, s.away, s.demand - (s.carried - s.in) - s.away})
	}
	zones.Render()
	nodes := newTable(out, "node", "zone", "kind", "load", "of capacity", "why")
	for _, n := range p.Nodes {
		load := plan.Load[n.ID]
		nodes.AppendRow(table.Row{n.ID, n.Zone, n.Model, load, fmt.Sprintf("%.1f %%", 100*float64(load)/float64(max(n.Capacity, 1))), reason(p, plan, n, by[n.Zone].demand)})
	}
	nodes.Render()
	return nil
}

// reason says why a node has its load.
func reason(p *placement.Problem, plan *operator.Plan, n placement.Node, demand int64) string {
	load := plan.Load[n.ID]
	part := placement.Ratio{Num: load, Den: max(n.Capacity, 1)}
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
	case part.Num*plan.Goals.Fullest.Den == plan.Goals.Fullest.Num*part.Den:
		return "the fullest: no plan has a fullest node that is emptier"
	}
	return "its part of its zone's load, as even as whole units allow"
}

func diffPlans(c *cli.Command, out io.Writer) error {
	to, err := loadPlan(c.String("plan"))
	if err != nil {
		return err
	}
	from, err := loadPlan(c.String("from"))
	if err != nil {
		return err
	}
	ids := map[string]bool{}
	for id := range from.Load {
		ids[id] = true
	}
	for id := range to.Load {
		ids[id] = true
	}
	t := newTable(out, "node", fmt.Sprint("version ", from.Version), fmt.Sprint("version ", to.Version), "change")
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range ids {
			if !yield(id) {
				return
			}
		}
	}) {
		if a, b := from.Load[id], to.Load[id]; a != b {
			t.AppendRow(table.Row{id, a, b, b - a})
		}
	}
	t.Render()
	return nil
}

func newTable(out io.Writer, heads ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(heads)
	return t
}
