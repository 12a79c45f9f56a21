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

// progressInterval is the shortest time between two lines about the progress of a computation.
const progressInterval = time.Second

// solvePlan computes the best plan with a contingency for each loss, writes it, and prints a summary.
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
	losses, err := placement.Contingencies(in.Problem, best, in.Settings.Batches, options, progressPrinter(p.errOut, start))
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
	return printSummary(p.out, plan, best, time.Since(start))
}

// progressPrinter returns a function that prints the progress to w, at most once per progressInterval.
func progressPrinter(w io.Writer, start time.Time) func(done, all int) {
	printedAt := start
	return func(done, all int) {
		if time.Since(printedAt) <= progressInterval {
			return
		}
		printedAt = time.Now()
		_, _ = fmt.Fprintf(w, "%d of %d losses computed\n", done, all) // a failed write must not end the computation
	}
}

// planContingency returns the contingency for a loss as a plan file holds it: with only the loads that differ from those of the
// best plan.
func planContingency(loss *placement.Contingency, best *placement.Plan) operator.PlanContingency {
	contingency := operator.PlanContingency{
		Name: loss.Name, Lost: loss.Lost, Shortfall: loss.Shortfall, Load: map[string]int64{},
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

// writePlan replaces a plan file atomically: a reader, also after a crash, sees either the whole old plan or the whole new one.
func writePlan(file string, plan *operator.Plan) error {
	return renameio.WriteFile(file, plan.Marshal(), 0o644, renameio.WithTempDir(filepath.Dir(file)))
}

// printSummary prints a summary of a plan, and the load that is not carried after each loss.
func printSummary(w io.Writer, plan *operator.Plan, best *placement.Plan, elapsed time.Duration) error {
	proof := "proven best"
	if !best.Proven {
		proof = fmt.Sprintf("not proven best; at best %d not carried and crossings of %d",
			best.Bound.Uncarried, best.Bound.Crossings)
	}
	var shortfalls strings.Builder
	for i := range plan.Contingencies {
		if c := &plan.Contingencies[i]; c.Shortfall > 0 {
			fmt.Fprintf(&shortfalls, "after the loss of %s %d units are not carried\n", c.Name, c.Shortfall)
		}
	}
	_, err := fmt.Fprintf(w, "version %d, %s: %d not carried, crossings %d, fullest node %d/%d, %d moved; "+
		"%d losses considered, in %v\n%s", plan.Version, proof, best.Uncarried, best.Crossings, best.Fullest.Num,
		best.Fullest.Den, best.Moves, len(plan.Contingencies), elapsed.Round(time.Millisecond), shortfalls.String())
	return err
}
