package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/placement"
)

// progressInterval is the time between lines about the progress of long work.
const progressInterval = time.Second

// solvePlan writes the best plan, with a contingency for each loss, and prints a summary.
func (p *program) solvePlan(_ context.Context, c *cli.Command) error {
	in, err := p.loadPlanInput(c)
	if err != nil {
		return err
	}
	plan := &operator.Plan{ListHash: in.ListHash, SettingsHash: in.SettingsHash}
	if from := c.String("from"); from != "" {
		current, err := loadPlan(from)
		if err != nil {
			return err
		}
		plan.Version = current.Version
		for i := range in.Problem.Nodes {
			node := &in.Problem.Nodes[i]
			node.CurrentLoad = current.Load[node.ID]
		}
	}
	options := placement.Options{MaxSteps: c.Int("steps")}
	start := time.Now()
	best, err := placement.Solve(in.Problem, options)
	if err != nil {
		return err
	}
	losses, err := placement.Contingencies(in.Problem, best, in.Settings.Batches, options, progressTo(p.errs, start))
	if err != nil {
		return err
	}
	plan.Version++
	plan.Proven, plan.Goals, plan.Load, plan.Flows = best.Proven, best.Goals, best.Load, best.Flows
	for i := range losses {
		plan.Contingencies = append(plan.Contingencies, planContingency(&losses[i], best))
	}
	if err := writePlan(c.String("out"), plan); err != nil {
		return err
	}
	return printSolved(p.out, plan, best, time.Since(start))
}

// progressTo prints the progress of work that takes long.
func progressTo(w io.Writer, start time.Time) func(done, all int) {
	printedAt := start
	return func(done, all int) {
		if time.Since(printedAt) <= progressInterval {
			return
		}
		printedAt = time.Now()
		_, _ = fmt.Fprintf(w, "%d of %d losses worked out\n", done, all) // the plan matters more than its progress
	}
}

// planContingency has only the loads that differ from the best plan's.
func planContingency(loss *placement.Contingency, best *placement.Plan) operator.PlanContingency {
	contingency := operator.PlanContingency{
		Name: loss.Name, Lost: loss.Lost, Short: loss.Shortfall, Load: map[string]int64{},
	}
	if loss.Plan == nil {
		return contingency
	}
	contingency.Flows = loss.Plan.Flows
	for id, load := range loss.Plan.Load {
		if load != best.Load[id] {
			contingency.Load[id] = load
		}
	}
	return contingency
}

// writePlan replaces a file: whoever reads it meanwhile, or after a crash, has the old plan or the new one, and no part of
// either.
func writePlan(file string, plan *operator.Plan) error {
	return renameio.WriteFile(file, plan.Marshal(), 0o644, renameio.WithTempDir(filepath.Dir(file)))
}

func printSolved(w io.Writer, plan *operator.Plan, best *placement.Plan, elapsed time.Duration) error {
	proof := "proven best"
	if !best.Proven {
		proof = fmt.Sprintf("not proven best; at best %d not carried and crossings of %d",
			best.Bound.Uncarried, best.Bound.Crossings)
	}
	var shortfalls strings.Builder
	for i := range plan.Contingencies {
		if c := &plan.Contingencies[i]; c.Short > 0 {
			fmt.Fprintf(&shortfalls, "after the loss of %s %d units are not carried\n", c.Name, c.Short)
		}
	}
	_, err := fmt.Fprintf(w, "version %d, %s: %d not carried, crossings %d, fullest node %d/%d, %d moved; "+
		"%d losses considered, in %v\n%s", plan.Version, proof, best.Uncarried, best.Crossings, best.Fullest.Num,
		best.Fullest.Den, best.Moves, len(plan.Contingencies), elapsed.Round(time.Millisecond), shortfalls.String())
	return err
}
