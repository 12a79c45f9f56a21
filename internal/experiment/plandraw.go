package experiment

import (
	"context"
	"errors"
	"fmt"
	"image/color"
	"math"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/placement"
)

// planDraw stands here and not beside the other plan commands: the plotting library loads its fonts at every start, which a
// balancer with 64 MB has no use for.
func planDraw() *cli.Command {
	return &cli.Command{
		Name: "plan-draw", Usage: "draw the flows between zones of a plan",
		Flags: []cli.Flag{&cli.StringFlag{Name: "plan", Usage: "plan `FILE`", Required: true},
			&cli.StringSliceFlag{Name: "out", Usage: "picture `FILE`s, .svg or .png", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := os.ReadFile(c.String("plan"))
			if err != nil {
				return err
			}
			plan, err := operator.ParsePlan(c.String("plan"), text)
			if err != nil {
				return err
			}
			p, err := drawFlows(plan)
			if err != nil {
				return err
			}
			for _, file := range c.StringSlice("out") {
				if err := p.Save(18*vg.Centimeter, 18*vg.Centimeter, file); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// drawFlows puts zones on a circle, as large as what they carry of their own, and flows as lines between them.
func drawFlows(plan *operator.Plan) (*plot.Plot, error) {
	between, own := map[[2]string]int64{}, map[string]int64{}
	var zones []string
	most := int64(1)
	for _, f := range plan.Flows {
		for _, z := range []string{f.From, f.To} {
			if !slices.Contains(zones, z) {
				zones = append(zones, z)
			}
		}
		if f.From == f.To {
			own[f.From] += f.Load
			most = max(most, own[f.From])
		} else {
			between[[2]string{f.From, f.To}] += f.Load
			most = max(most, between[[2]string{f.From, f.To}])
		}
	}
	if len(zones) == 0 {
		return nil, errors.New("the plan has no flows")
	}
	slices.Sort(zones)
	p := plot.New()
	p.Title.Text = fmt.Sprintf("plan %d: load within and between zones, %d not carried", plan.Version, plan.Goals.Uncarried)
	p.HideAxes()
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = -1.5, 1.5, -1.5, 1.5
	at := map[string]plotter.XY{}
	for i, z := range zones {
		turn := 2*math.Pi*float64(i)/float64(len(zones)) + math.Pi/2
		at[z] = plotter.XY{X: math.Cos(turn), Y: math.Sin(turn)}
	}
	label := func(x plotter.XY, text string) error {
		l, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{x}, Labels: []string{text}})
		if err == nil {
			p.Add(l)
		}
		return err
	}
	for _, from := range zones {
		for _, to := range zones {
			n := between[[2]string{from, to}]
			if n == 0 {
				continue
			}
			a, b := at[from], at[to]
			// Bent to the right, so that both ways can be told apart; the word stands nearer to where it goes.
			mid := plotter.XY{X: (a.X+b.X)/2 + (b.Y-a.Y)*0.12, Y: (a.Y+b.Y)/2 - (b.X-a.X)*0.12}
			var curve plotter.XYs
			for t := 0.0; t <= 1.0001; t += 0.05 {
				curve = append(curve, plotter.XY{X: (1-t)*(1-t)*a.X + 2*t*(1-t)*mid.X + t*t*b.X, Y: (1-t)*(1-t)*a.Y + 2*t*(1-t)*mid.Y + t*t*b.Y})
			}
			line, err := plotter.NewLine(curve)
			if err != nil {
				return nil, err
			}
			line.Width = vg.Points(1 + 9*float64(n)/float64(most))
			line.Color = color.RGBA{R: 200, G: 90, B: 40, A: 255}
			p.Add(line)
			if err := label(plotter.XY{X: (mid.X + b.X) / 2, Y: (mid.Y + b.Y) / 2}, fmt.Sprintf("%d to %s", n, to)); err != nil {
				return nil, err
			}
		}
	}
	dots, err := plotter.NewScatter(plotter.XYs{})
	if err != nil {
		return nil, err
	}
	for _, z := range zones {
		dots.XYs = append(dots.XYs, at[z])
		if err := label(plotter.XY{X: at[z].X - 0.2, Y: at[z].Y + math.Copysign(0.25, at[z].Y)}, fmt.Sprintf("%s: %d of its own", z, own[z])); err != nil {
			return nil, err
		}
	}
	style := dots.GlyphStyle
	style.Color, style.Shape = color.RGBA{B: 140, G: 90, A: 255}, draw.CircleGlyph{}
	dots.GlyphStyleFunc = func(i int) (g draw.GlyphStyle) {
		g = style
		g.Radius = vg.Points(6 + 24*math.Sqrt(float64(own[zones[i]])/float64(most)))
		return g
	}
	p.Add(dots)
	return p, nil
}

// planCurve measures the solver over sizes and draws its times.
func planCurve() *cli.Command {
	return &cli.Command{
		Name: "plan-curve", Usage: "measure the time to a proven best plan over sizes",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "picture `FILE`, .svg or .png"}},
		Action: func(_ context.Context, c *cli.Command) error {
			var points plotter.XYs
			table := newTable(c.Root().Writer, "nodes", "zones", "seconds", "proven", "networks solved")
			for _, size := range []struct{ nodes, zones int }{{50, 3}, {200, 8}, {500, 12}, {1000, 20}, {2000, 30}, {5000, 50}, {10000, 70}} {
				began := time.Now()
				plan, err := placement.Solve(placement.RandomProblem(size.nodes, size.zones, 1), placement.Options{})
				if err != nil {
					return err
				}
				took := time.Since(began).Seconds()
				points = append(points, plotter.XY{X: float64(size.nodes), Y: took})
				table.AppendRow([]any{size.nodes, size.zones, fmt.Sprintf("%.3f", took), plan.Proven, plan.Steps})
			}
			table.Render()
			if c.String("out") == "" {
				return nil
			}
			p := plot.New()
			p.Title.Text = "time to a proven best plan"
			p.X.Label.Text, p.Y.Label.Text = "nodes, in 3 to 70 zones", "seconds"
			p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
			p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
			line, dots, err := plotter.NewLinePoints(points)
			if err != nil {
				return err
			}
			p.Add(plotter.NewGrid(), line, dots)
			return p.Save(16*vg.Centimeter, 10*vg.Centimeter, c.String("out"))
		},
	}
}
