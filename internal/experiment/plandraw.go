package experiment

import (
	"context"
	"errors"
	"fmt"
	"image/color"
	"math"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"example.org/milletvane/config/operator"
)

var (
	flowColor = color.RGBA{R: 200, G: 90, B: 40, A: 255}
	zoneColor = color.RGBA{B: 140, G: 90, A: 255}
)

// planDrawCommand returns the command that draws a plan. The balancer's program has other commands for plans. This command
// is not among them, because the plotting library loads its fonts at every start, and a balancer may have only 64 MB of
// memory.
func planDrawCommand() *cli.Command {
	return &cli.Command{
		Name: "plan-draw", Usage: "draw the flows between zones of a plan",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Usage: "plan `FILE`", Required: true},
			&cli.StringSliceFlag{Name: "out", Usage: "picture `FILE`s, .svg or .png", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return drawPlanFile(c.String("plan"), c.StringSlice("out"))
		},
	}
}

// drawPlanFile draws the plan in a file and saves the picture under each given name, whose suffix selects the format.
func drawPlanFile(planFile string, pictures []string) error {
	text, err := os.ReadFile(planFile)
	if err != nil {
		return err
	}
	plan, err := operator.ParsePlan(planFile, text)
	if err != nil {
		return err
	}
	p, err := drawFlows(plan)
	if err != nil {
		return err
	}
	for _, file := range pictures {
		if err := p.Save(18*vg.Centimeter, 18*vg.Centimeter, file); err != nil {
			return err
		}
	}
	return nil
}

// zonePair is an ordered pair of different zones.
type zonePair struct{ from, to string }

// zoneFlows holds the load of a plan's flows, summed over all classes, by zone and by pair of zones.
type zoneFlows struct {
	zones   []string           // sorted
	between map[zonePair]int64 // load from one zone to another
	own     map[string]int64   // by zone: load that the zone carries itself
	maxLoad int64              // the largest of these sums, at least 1
}

func sumFlows(plan *operator.Plan) zoneFlows {
	f := zoneFlows{between: map[zonePair]int64{}, own: map[string]int64{}, maxLoad: 1}
	for _, flow := range plan.Flows {
		f.zones = append(f.zones, flow.From, flow.To)
		if flow.From == flow.To {
			f.own[flow.From] += flow.Load
			f.maxLoad = max(f.maxLoad, f.own[flow.From])
			continue
		}
		pair := zonePair{flow.From, flow.To}
		f.between[pair] += flow.Load
		f.maxLoad = max(f.maxLoad, f.between[pair])
	}
	slices.Sort(f.zones)
	f.zones = slices.Compact(f.zones)
	return f
}

// relative returns a load as a fraction of the largest load, from 0 to 1.
func (f zoneFlows) relative(load int64) float64 { return float64(load) / float64(f.maxLoad) }

// drawFlows draws the zones as dots on a circle and the flows as curves between them. The area of a dot grows with the load
// that its zone carries itself, and the width of a curve with the load of the flow. It returns an error if the plan has no
// flows.
func drawFlows(plan *operator.Plan) (*plot.Plot, error) {
	flows := sumFlows(plan)
	if len(flows.zones) == 0 {
		return nil, errors.New("the plan has no flows")
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("plan %d: load within and between zones, %d units not carried", plan.Version, plan.Goals.Uncarried)
	p.HideAxes()
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = -1.5, 1.5, -1.5, 1.5
	positions := circlePositions(flows.zones)
	for _, from := range flows.zones {
		for _, to := range flows.zones {
			load := flows.between[zonePair{from, to}]
			if load == 0 {
				continue
			}
			width := vg.Points(1 + 9*flows.relative(load))
			label := fmt.Sprintf("%d to %s", load, to)
			if err := addFlow(p, positions[from], positions[to], width, label); err != nil {
				return nil, err
			}
		}
	}
	return p, addZones(p, flows, positions)
}

// circlePositions places the zones on the unit circle at equal distances, counterclockwise from the top.
func circlePositions(zones []string) map[string]plotter.XY {
	positions := map[string]plotter.XY{}
	for i, zone := range zones {
		angle := 2*math.Pi*float64(i)/float64(len(zones)) + math.Pi/2
		positions[zone] = plotter.XY{X: math.Cos(angle), Y: math.Sin(angle)}
	}
	return positions
}

// addFlow draws a flow as a quadratic Bézier curve that bends to the right, so that the curves of the two directions between
// a pair of zones don't overlap. It puts the label nearer to the end of the curve than to its start.
func addFlow(p *plot.Plot, from, to plotter.XY, width vg.Length, label string) error {
	control := plotter.XY{X: (from.X+to.X)/2 + (to.Y-from.Y)*0.12, Y: (from.Y+to.Y)/2 - (to.X-from.X)*0.12}
	var curve plotter.XYs
	for t := 0.0; t <= 1.0001; t += 0.05 {
		curve = append(curve, plotter.XY{
			X: (1-t)*(1-t)*from.X + 2*t*(1-t)*control.X + t*t*to.X,
			Y: (1-t)*(1-t)*from.Y + 2*t*(1-t)*control.Y + t*t*to.Y,
		})
	}
	line, err := plotter.NewLine(curve)
	if err != nil {
		return err
	}
	line.Width = width
	line.Color = flowColor
	p.Add(line)
	return addLabel(p, plotter.XY{X: (control.X + to.X) / 2, Y: (control.Y + to.Y) / 2}, label)
}

func addLabel(p *plot.Plot, at plotter.XY, text string) error {
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{at}, Labels: []string{text}})
	if err != nil {
		return err
	}
	p.Add(labels)
	return nil
}

// addZones draws the dots and labels of the zones. Each label is above or below its dot, on the side away from the center.
func addZones(p *plot.Plot, flows zoneFlows, positions map[string]plotter.XY) error {
	dots, err := plotter.NewScatter(plotter.XYs{})
	if err != nil {
		return err
	}
	for _, zone := range flows.zones {
		at := positions[zone]
		dots.XYs = append(dots.XYs, at)
		labelAt := plotter.XY{X: at.X - 0.2, Y: at.Y + math.Copysign(0.25, at.Y)}
		if err := addLabel(p, labelAt, fmt.Sprintf("%s: %d of its own load", zone, flows.own[zone])); err != nil {
			return err
		}
	}
	style := dots.GlyphStyle
	style.Color, style.Shape = zoneColor, draw.CircleGlyph{}
	dots.GlyphStyleFunc = func(i int) draw.GlyphStyle {
		glyph := style
		glyph.Radius = vg.Points(6 + 24*math.Sqrt(flows.relative(flows.own[flows.zones[i]])))
		return glyph
	}
	p.Add(dots)
	return nil
}
