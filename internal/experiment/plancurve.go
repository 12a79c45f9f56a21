package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"example.org/milletvane/placement"
)

// curveSizes lists the sizes of the placement problems that plan-curve solves.
var curveSizes = []struct{ nodes, zones int }{
	{50, 3},
	{200, 8},
	{500, 12},
	{1000, 20},
	{2000, 30},
	{5000, 50},
	{10000, 70},
}

// planCurveCommand returns the command that measures how the solver's time grows with the problem size. It can draw the times.
func planCurveCommand() *cli.Command {
	return &cli.Command{
		Name: "plan-curve", Usage: "measure the time that the solver takes to prove a plan optimal, by problem size",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "picture `FILE`, .svg or .png; none is drawn without it"}},
		Action: func(_ context.Context, c *cli.Command) error {
			points, err := measureSolver(c)
			if err != nil || c.String("out") == "" {
				return err
			}
			return drawSolverTimes(points, c.String("out"))
		},
	}
}

// measureSolver solves a random problem of each size and prints a table. It returns the seconds by number of nodes.
func measureSolver(c *cli.Command) (points plotter.XYs, err error) {
	results := newTable(c.Root().Writer, "nodes", "zones", "seconds", "proven", "minimum-cost flows")
	for _, size := range curveSizes {
		startedAt := time.Now()
		plan, err := placement.Solve(placement.RandomProblem(size.nodes, size.zones, 1), placement.Options{})
		if err != nil {
			return nil, err
		}
		seconds := time.Since(startedAt).Seconds()
		points = append(points, plotter.XY{X: float64(size.nodes), Y: seconds})
		results.AppendRow([]any{size.nodes, size.zones, fmt.Sprintf("%.3f", seconds), plan.Proven, plan.Steps})
	}
	results.Render()
	return points, nil
}

// drawSolverTimes saves a plot of the times, with logarithmic axes.
func drawSolverTimes(points plotter.XYs, file string) error {
	p := plot.New()
	p.Title.Text = "time to prove a plan optimal"
	p.X.Label.Text, p.Y.Label.Text = "nodes, in 3 to 70 zones", "seconds"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), line, dots)
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
