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
	planFaultDelay = 500 * time.Millisecond // from the start of a phase's load
	restartedZone  = "west"                 // the zone whose gateway is restarted
	lostZone       = "east"
)

func planRunCommand() *cli.Command {
	return &cli.Command{
		Name: "plan-run", Usage: "compare gateways with and without a plan, lose a zone and restart a gateway",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the result as one line of JSON"},
			&cli.IntFlag{Name: "each", Value: 60, Usage: "connections for each unit of load; few increase the random deviation"},
			&cli.FloatFlag{Name: "most-off", Value: 0.05, Usage: "allowed deviation of a node's load, as a fraction of its planned load"},
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

// planRun holds the state of a run of plan-run.
type planRun struct {
	testbed            *planTestbed
	connectionsPerUnit int
	logger             *slog.Logger
	result             *planResult
}

func runPlan(ctx context.Context, connectionsPerUnit int, logger *slog.Logger) (*planResult, error) {
	testbed, err := newPlanTestbed()
	if err != nil {
		return nil, err
	}
	defer testbed.close()
	r := &planRun{testbed: testbed, connectionsPerUnit: connectionsPerUnit, logger: logger, result: &planResult{}}
	r.result.CrossingsPlanned = testbed.plan.Goals.Crossings * int64(connectionsPerUnit)
	for _, step := range []func(context.Context) error{r.compare, r.loseZone, r.restoreZone} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return r.result, nil
}

// compare puts the same load on gateways without a plan and then on gateways with the plan, one of which is restarted.
func (r *planRun) compare(ctx context.Context) error {
	counts, err := r.runPhase(ctx, planPhase{name: "without"})
	if err != nil {
		return err
	}
	r.result.CrossingsWithout = counts.crossingCost(r.testbed.problem)
	counts, err = r.runPhase(ctx, planPhase{name: "with", plan: r.testbed.plan, injectFault: r.restartGateway})
	if err != nil {
		return err
	}
	r.result.CrossingsWith = counts.crossingCost(r.testbed.problem)
	r.result.MaxDeviation = counts.maxDeviation(r.testbed.plan.Load, r.connectionsPerUnit)
	return nil
}

// restartGateway replaces the gateway of restartedZone while clients connect.
func (r *planRun) restartGateway(ctx context.Context, gateways *zoneGateways) error {
	replacement, err := r.startZoneGateway(ctx, restartedZone, r.testbed.plan)
	if err != nil {
		return err
	}
	gateways.replace(restartedZone, replacement)
	r.result.Restarted++
	return nil
}

// loseZone makes a zone fail while clients connect, and then measures how the other zones carry the load.
func (r *planRun) loseZone(ctx context.Context) error {
	contingency, err := r.contingency()
	if err != nil {
		return err
	}
	_, err = r.runPhase(ctx, planPhase{
		name: "losing", plan: r.testbed.plan,
		injectFault: func(context.Context, *zoneGateways) error {
			r.testbed.loseZone(lostZone)
			return nil
		},
	})
	if err != nil {
		return err
	}
	counts, err := r.runPhase(ctx, planPhase{name: "after", plan: r.testbed.plan})
	if err != nil {
		return err
	}
	r.result.DeviationAfterLoss = counts.maxDeviation(contingency.Load, r.connectionsPerUnit)
	for _, node := range r.testbed.nodesOf(lostZone) {
		r.result.SentToLostZone += counts.atNode(node.ID)
	}
	return nil
}

func (r *planRun) contingency() (operator.PlanContingency, error) {
	var found operator.PlanContingency
	for _, c := range r.testbed.plan.Contingencies {
		if c.Name == "zone "+lostZone {
			found = c
		}
	}
	if len(found.Flows) == 0 {
		return found, fmt.Errorf("the plan has no flows for the loss of zone %s: %d units short", lostZone, found.Shortfall)
	}
	return found, nil
}

// restoreZone restarts the lost zone while clients connect, and measures how many connections its cold nodes accept in a
// second. The capacity of a node that starts is a fifth of its warm capacity, and it can take four times that for a second.
func (r *planRun) restoreZone(ctx context.Context) error {
	warm := r.maxOpenings()
	_, err := r.runPhase(ctx, planPhase{
		name: "back", plan: r.testbed.plan,
		injectFault: func(context.Context, *zoneGateways) error { return r.testbed.restoreZone(lostZone) },
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

// maxOpenings returns, by node ID, the largest number of connections that each node of the lost zone accepted in a second.
func (r *planRun) maxOpenings() map[string]int {
	openings, servers := map[string]int{}, r.testbed.currentServers()
	for _, node := range r.testbed.nodesOf(lostZone) {
		openings[node.ID] = servers[node.ID].MaxOpenedWithin(time.Second)
	}
	return openings
}

// planPhase is a period of load on one gateway for each zone.
type planPhase struct {
	name        string
	plan        *operator.Plan                             // nil means gateways without a plan
	injectFault func(context.Context, *zoneGateways) error // called while clients connect; may be nil
}

func (r *planRun) runPhase(ctx context.Context, phase planPhase) (counts connectionCounts, err error) {
	gateways := &zoneGateways{byZone: map[string]*localGateway{}}
	defer gateways.close()
	for _, zone := range r.testbed.problem.Zones {
		g, err := r.startZoneGateway(ctx, zone, phase.plan)
		if err != nil {
			return nil, err
		}
		gateways.byZone[zone] = g
	}
	var wg sync.WaitGroup
	var faultErr error
	if phase.injectFault != nil {
		wg.Go(func() {
			time.Sleep(planFaultDelay)
			faultErr = phase.injectFault(ctx, gateways)
		})
	}
	counts, failed := r.testbed.openConnections(r.connectionsPerUnit, gateways.addr, phase.name)
	wg.Wait()
	r.result.Failed += failed
	r.result.Opened += int(counts.total())
	return counts, faultErr
}

func (r *planRun) startZoneGateway(ctx context.Context, zone string, plan *operator.Plan) (*localGateway, error) {
	listen, release, err := fakeserver.ReserveAddress()
	if err != nil {
		return nil, err
	}
	defer release()
	conf, err := lineConfig(listen, r.testbed.catalog.Addr(), 1)
	if err != nil {
		return nil, err
	}
	conf.Balancer.Gateways = len(r.testbed.problem.Zones)
	var settings *operator.Settings
	if plan != nil {
		settings = &operator.Settings{Plan: &operator.PlanSettings{Zone: zone, Plan: plan}}
	}
	return startGateway(ctx, conf, listen, gateway.WithLogger(r.logger), gateway.WithOperator(settings))
}

// zoneGateways holds the gateway that the clients of each zone use. Its methods may be called from several goroutines.
type zoneGateways struct {
	mu     sync.Mutex
	byZone map[string]*localGateway
}

func (z *zoneGateways) addr(zone string) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.byZone[zone].addr
}

// replace closes the gateway of a zone and then makes clients use its replacement.
func (z *zoneGateways) replace(zone string, replacement *localGateway) {
	z.mu.Lock()
	old := z.byZone[zone]
	z.mu.Unlock()
	_ = old.close() // a failure shows as connections that were not served
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
