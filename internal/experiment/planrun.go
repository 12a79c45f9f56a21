package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
)

const (
	disturbanceDelay = 500 * time.Millisecond // from the start of a phase's load
	restartedZone    = "west"                 // whose gateway is replaced
	lostZone         = "east"
)

func planRunCommand() *cli.Command {
	return &cli.Command{
		Name: "plan-run", Usage: "compare gateways that go by a plan with ones that do not, lose a zone and restart a gateway",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "the result as one JSON object"},
			&cli.IntFlag{Name: "each", Value: 60, Usage: "connections for each unit of load; few make chance show"},
			&cli.FloatFlag{Name: "most-off", Value: 0.05, Usage: "part by which a node's load may be off its plan"},
			&cli.BoolFlag{Name: "log", Usage: "show the gateways' logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			result, err := runPlan(ctx, c.Int("each"), newLogger(c.Root().ErrWriter, c.Bool("log")))
			if err != nil {
				return err
			}
			return errors.Join(writeResult(c, result), result.faults(c.Float("most-off")))
		},
	}
}

// planRun is a run of plan-run.
type planRun struct {
	site               *planSite
	connectionsPerUnit int
	logger             *slog.Logger
	result             *planResult
}

func runPlan(ctx context.Context, connectionsPerUnit int, logger *slog.Logger) (*planResult, error) {
	site, err := newPlanSite()
	if err != nil {
		return nil, err
	}
	defer site.close()
	r := &planRun{site: site, connectionsPerUnit: connectionsPerUnit, logger: logger, result: &planResult{}}
	r.result.CrossingsPlanned = site.plan.Goals.Crossings * int64(connectionsPerUnit)
	for _, step := range []func(context.Context) error{r.compare, r.loseZone, r.restoreZone} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return r.result, nil
}

// compare puts load on gateways without a plan and on ones with it, one of which is restarted meanwhile.
func (r *planRun) compare(ctx context.Context) error {
	came, err := r.runPhase(ctx, planPhase{name: "without"})
	if err != nil {
		return err
	}
	r.result.CrossingsWithout = came.crossingCost(r.site.problem)
	came, err = r.runPhase(ctx, planPhase{name: "with", plan: r.site.plan, disturb: r.restartGateway})
	if err != nil {
		return err
	}
	r.result.CrossingsWith = came.crossingCost(r.site.problem)
	r.result.MaxDeviation = came.maxDeviation(r.site.plan.Load, r.connectionsPerUnit)
	return nil
}

// restartGateway starts a gateway of a zone anew while clients come.
func (r *planRun) restartGateway(ctx context.Context, gateways *zoneGateways) error {
	replacement, err := r.startZoneGateway(ctx, restartedZone, r.site.plan)
	if err != nil {
		return err
	}
	gateways.replace(restartedZone, replacement)
	r.result.Restarted++
	return nil
}

// loseZone loses a zone while clients come, and then measures how the rest carries the load.
func (r *planRun) loseZone(ctx context.Context) error {
	contingency, err := r.contingency()
	if err != nil {
		return err
	}
	_, err = r.runPhase(ctx, planPhase{
		name: "losing", plan: r.site.plan,
		disturb: func(context.Context, *zoneGateways) error {
			r.site.loseZone(lostZone)
			return nil
		},
	})
	if err != nil {
		return err
	}
	came, err := r.runPhase(ctx, planPhase{name: "after", plan: r.site.plan})
	if err != nil {
		return err
	}
	r.result.DeviationAfterLoss = came.maxDeviation(contingency.Load, r.connectionsPerUnit)
	for _, node := range r.site.nodesOf(lostZone) {
		r.result.SentToLostZone += came.atNode(node.ID)
	}
	return nil
}

func (r *planRun) contingency() (operator.PlanContingency, error) {
	var found operator.PlanContingency
	for _, c := range r.site.plan.Contingencies {
		if c.Name == "zone "+lostZone {
			found = c
		}
	}
	if len(found.Flows) == 0 {
		return found, fmt.Errorf("the plan has no flows for the loss of %s: %d units short", lostZone, found.Shortfall)
	}
	return found, nil
}

// restoreZone has the lost zone come back cold while clients come, and measures how much its nodes get at once. A node
// that starts can do a fifth of what it did when warm, and bears four times that over a second.
func (r *planRun) restoreZone(ctx context.Context) error {
	warm := r.maxOpenings()
	_, err := r.runPhase(ctx, planPhase{
		name: "back", plan: r.site.plan,
		disturb: func(context.Context, *zoneGateways) error { return r.site.restoreZone(lostZone) },
	})
	if err != nil {
		return err
	}
	maxLoad := 0.0
	for id, openings := range r.maxOpenings() {
		limit := warm[id] * 4 / 5
		if load := float64(openings) / float64(max(limit, 1)); load >= maxLoad {
			maxLoad = load
			r.result.ColdOpenings, r.result.ColdLimit = openings, limit
		}
	}
	return nil
}

// maxOpenings returns the most connections that came to each node of the lost zone in a second.
func (r *planRun) maxOpenings() map[string]int {
	openings, servers := map[string]int{}, r.site.currentServers()
	for _, node := range r.site.nodesOf(lostZone) {
		openings[node.ID] = servers[node.ID].MaxOpenedWithin(time.Second)
	}
	return openings
}

// planPhase is load on one gateway a zone.
type planPhase struct {
	name    string
	plan    *operator.Plan                             // nil: gateways without a plan
	disturb func(context.Context, *zoneGateways) error // called while clients come; may be nil
}

func (r *planRun) runPhase(ctx context.Context, phase planPhase) (came arrivals, err error) {
	gateways := &zoneGateways{byZone: map[string]*localGateway{}}
	defer gateways.close()
	for _, zone := range r.site.problem.Zones {
		g, err := r.startZoneGateway(ctx, zone, phase.plan)
		if err != nil {
			return nil, err
		}
		gateways.byZone[zone] = g
	}
	var wg sync.WaitGroup
	var disturbErr error
	if phase.disturb != nil {
		wg.Go(func() {
			time.Sleep(disturbanceDelay)
			disturbErr = phase.disturb(ctx, gateways)
		})
	}
	came, failed := r.site.load(r.connectionsPerUnit, gateways.addr, phase.name)
	wg.Wait()
	r.result.Failed += failed
	r.result.Opened += int(came.total())
	return came, disturbErr
}

func (r *planRun) startZoneGateway(ctx context.Context, zone string, plan *operator.Plan) (*localGateway, error) {
	listen, release, err := fakeserver.ReserveAddress()
	if err != nil {
		return nil, err
	}
	defer release()
	conf, err := lineConfig(listen, r.site.catalog.Addr(), 1)
	if err != nil {
		return nil, err
	}
	conf.Balancer.Gateways = len(r.site.problem.Zones)
	var settings *operator.Settings
	if plan != nil {
		settings = &operator.Settings{Plan: &operator.PlanSettings{Zone: zone, Plan: plan}}
	}
	return startGateway(ctx, conf, listen, gateway.WithLogger(r.logger), gateway.WithOperator(settings))
}

// zoneGateways are the gateways that clients use. Methods may be called from several goroutines.
type zoneGateways struct {
	mu     sync.Mutex
	byZone map[string]*localGateway
}

func (z *zoneGateways) addr(zone string) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.byZone[zone].addr
}

// replace closes a zone's gateway and lets clients use another.
func (z *zoneGateways) replace(zone string, replacement *localGateway) {
	z.mu.Lock()
	old := z.byZone[zone]
	z.mu.Unlock()
	_ = old.close() // its failures show as connections that were not served
	z.mu.Lock()
	defer z.mu.Unlock()
	z.byZone[zone] = replacement
}

func (z *zoneGateways) close() {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, g := range z.byZone {
		_ = g.close()
	}
}
