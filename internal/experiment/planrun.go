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
	planFaultDelay = 500 * time.Millisecond // from the start of load to a fault, and from a zone's loss to its listing
	restartedZone  = "west"                 // the zone whose gateway is restarted
	lostZone       = "east"                 // the zone whose servers are closed and later restarted
)

// planRunCommand returns the command that compares the distribution of connections with a plan.
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

// runPlan runs all phases and returns their measurements.
func runPlan(ctx context.Context, connectionsPerUnit int, logger *slog.Logger) (*planResult, error) {
	testbed, err := newPlanTestbed()
	if err != nil {
		return nil, err
	}
	defer testbed.close()
	r := &planRun{testbed: testbed, connectionsPerUnit: connectionsPerUnit, logger: logger, result: &planResult{}}
	r.result.CrossingCostPlanned = testbed.plan.Goals.Crossings * int64(connectionsPerUnit)
	for _, step := range []func(context.Context) error{r.compare, r.loseZone, r.restoreZone} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return r.result, nil
}

// compare opens the same connections through gateways without a plan and then through gateways with the plan. One of the
// latter gateways is restarted meanwhile.
func (r *planRun) compare(ctx context.Context) error {
	counts, err := r.runPhase(ctx, planPhase{name: "without"})
	if err != nil {
		return err
	}
	r.result.CrossingCostWithout = counts.crossingCost(r.testbed.problem)
	counts, err = r.runPhase(ctx, planPhase{name: "with", plan: r.testbed.plan, injectFault: r.restartGateway})
	if err != nil {
		return err
	}
	r.result.CrossingCostWith = counts.crossingCost(r.testbed.problem)
	r.result.MaxDeviation = counts.maxDeviation(r.testbed.plan.Load, r.connectionsPerUnit)
	return nil
}

// restartGateway starts a replacement for the gateway of restartedZone and closes the old one while clients connect.
func (r *planRun) restartGateway(ctx context.Context, gateways *zoneGateways) error {
	replacement, err := r.startZoneGateway(ctx, restartedZone, r.testbed.plan)
	if err != nil {
		return err
	}
	gateways.replace(restartedZone, replacement)
	r.result.GatewaysRestarted++
	return nil
}

// loseZone makes lostZone fail while clients connect. It then opens the same connections again, and compares the load of the
// remaining nodes with the contingency plan.
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

// contingency returns the plan for the loss of lostZone. It returns an error if that plan has no flows.
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

// restoreZone restarts the servers of lostZone while clients connect. It records the peak connection rate of the cold node
// that came closest to its limit. A node starts with a fifth of its warm capacity, and is overloaded if it receives more than
// four times that for a second. Its limit is therefore four fifths of the peak rate that the node had before it was lost.
func (r *planRun) restoreZone(ctx context.Context) error {
	warmRates := r.peakConnectionRates()
	_, err := r.runPhase(ctx, planPhase{
		name: "back", plan: r.testbed.plan,
		injectFault: func(context.Context, *zoneGateways) error { return r.testbed.restoreZone(lostZone) },
	})
	if err != nil {
		return err
	}
	maxLoad := 0.0
	for id, rate := range r.peakConnectionRates() {
		limit := warmRates[id] * 4 / 5
		if load := float64(rate) / float64(max(limit, 1)); load >= maxLoad {
			maxLoad = load
			r.result.ColdConnectionRate, r.result.ColdRateLimit = rate, limit
		}
	}
	return nil
}

// peakConnectionRates returns, by node ID, the largest number of connections that each node of lostZone accepted in any
// second.
func (r *planRun) peakConnectionRates() map[string]int {
	rates, servers := map[string]int{}, r.testbed.currentServers()
	for _, node := range r.testbed.nodesOf(lostZone) {
		rates[node.ID] = servers[node.ID].MaxOpenedWithin(time.Second)
	}
	return rates
}

// planPhase describes a period in which clients open connections through one gateway in each zone.
type planPhase struct {
	name        string                                     // part of the keys of its connections
	plan        *operator.Plan                             // nil means gateways without a plan
	injectFault func(context.Context, *zoneGateways) error // called while clients connect; may be nil
}

// runPhase starts the gateways, opens the connections of a phase through them and stops the gateways. It adds to the counts
// of opened and failed connections in the result.
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

// zoneGateways holds the gateway of each zone, to which the clients of that zone connect. Its methods may be called from
// several goroutines.
type zoneGateways struct {
	mu     sync.Mutex
	byZone map[string]*localGateway
}

func (z *zoneGateways) addr(zone string) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.byZone[zone].addr
}

// replace closes the gateway of a zone and then directs clients to its replacement. Until then, clients still use the address
// of the closed gateway.
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
