package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/config/operator"
)

// planCommand returns the command with the subcommands that compute, check and show placement plans.
func (p *program) planCommand() *cli.Command {
	list := &cli.StringFlag{Name: "list", Usage: "discovery's list of nodes, a `FILE` of JSON", Required: true}
	plan := &cli.StringFlag{Name: "plan", Usage: "plan `FILE`", Required: true}
	return &cli.Command{
		Name: "plan", Usage: "compute, check and show placement plans, which state the load of each node",
		Commands: []*cli.Command{
			{
				Name:  "solve",
				Usage: "write the best plan and a plan for each loss; exit code 3 if the constraints conflict",
				Flags: []cli.Flag{
					list,
					&cli.StringFlag{Name: "out", Usage: "plan `FILE` to write", Required: true},
					&cli.StringFlag{Name: "from", Usage: "plan `FILE` in force, from which moves are counted"},
					&cli.IntFlag{Name: "steps", Usage: "maximum number of networks to solve for a better plan, 16 times as many for a first one; 0: until the plan is proven best"},
				},
				Action: p.solvePlan,
			},
			{
				Name: "check", Usage: "check that a plan file is valid and was made for a list and the settings",
				Flags:  []cli.Flag{list, plan},
				Action: p.checkPlan,
			},
			{
				Name: "explain", Usage: "show a plan by zone and node, and why each node has its load",
				Flags:  []cli.Flag{list, plan},
				Action: p.explainPlan,
			},
			{
				Name: "diff", Usage: "show the nodes whose load differs between two plans",
				Flags:  []cli.Flag{plan, &cli.StringFlag{Name: "from", Usage: "the other plan `FILE`", Required: true}},
				Action: p.diffPlans,
			},
		},
	}
}

// checkPlan returns an error for a plan file that is invalid, or was made for another list or other settings.
func (p *program) checkPlan(_ context.Context, c *cli.Command) error {
	in, err := p.loadPlanInput(c)
	if err != nil {
		return err
	}
	plan, err := loadPlan(c.String("plan"))
	switch {
	case err != nil:
		return err
	case plan.ListHash != in.ListHash:
		return fmt.Errorf("%s: was made for another list of nodes", c.String("plan"))
	case plan.SettingsHash != in.SettingsHash:
		return fmt.Errorf("%s: was made for other settings", c.String("plan"))
	}
	_, err = fmt.Fprintf(p.out, "version %d fits: %d nodes, %d losses considered\n", plan.Version, len(plan.Load), len(plan.Contingencies))
	return err
}

func loadPlan(file string) (*operator.Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return operator.ParsePlan(file, text)
}

// newTable returns a table with the given column headers, which Render prints to out.
func newTable(out io.Writer, headers ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(headers)
	return t
}
