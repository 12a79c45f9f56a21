package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
	"example.org/milletvane/placement"
)

// planResult compares where connections went with where the plan wanted them.
type planResult struct {
	Opened       int     `json:"opened"`
	Failed       int     `json:"failed"`
	Without      int64   `json:"crossings_without_plan"`
	With         int64   `json:"crossings_with_plan"`
	Planned      int64   `json:"crossings_planned"` // the plan's own figure, for as many connections
	Worst        float64 `json:"worst_deviation"`   // of a node's part from the plan's
	AfterLoss    float64 `json:"worst_deviation_after_loss"`
	LostZoneSent int64   `json:"sent_to_lost_zone"`
	Restarted    int     `json:"gateways_restarted"`
	ColdMost     int     `json:"cold_most_in_a_second"` // openings at a node of the zone that comes back
	ColdLimit    int     `json:"cold_limit"`            // tip multiple times the cold share of what that node had when warm
}

// site is three uneven zones: the first brings more than its own nodes carry.
type site struct {
	problem *placement.Problem
	mu      sync.Mutex // guards servers: some come back while clients come
	servers map[string]*fakeserver.LineServer
	catalog *fakeserver.Catalog
	plan    *operator.Plan
}

func newSite() (*site, error) {
	s := &site{servers: map[string]*fakeserver.LineServer{}}
	s.problem = &placement.Problem{Zones: []string{"west", "north", "east"},
		Demands:     []placement.Demand{{Zone: "west", Class: "lines", Load: 400}, {Zone: "north", Class: "lines", Load: 120}, {Zone: "east", Class: "lines", Load: 80}},
		Crossings:   []placement.Crossing{{From: "west", To: "east", Cost: 2}, {From: "east", To: "west", Cost: 2}},
		DefaultCost: 3,
		Constraints: []placement.Constraint{{Name: "all", Kind: placement.Carry}, {Name: "room", Kind: placement.Headroom, Part: placement.Ratio{Num: 9, Den: 10}}},
	}
	var entries []fakeserver.Endpoint
	for i, zone := range []string{"west", "west", "west", "north", "north", "north", "east", "east", "east"} {
		l, err := fakeserver.NewLineServer()
		if err != nil {
			return nil, err
		}
		n := placement.Node{ID: fmt.Sprintf("s-%08x", i+1), Zone: zone, Model: "small", Capacity: 100}
		if i%3 == 0 {
			n.Model, n.Capacity = "large", 150
		}
		s.problem.Nodes = append(s.problem.Nodes, n)
		s.servers[n.ID] = l
		entries = append(entries, fakeserver.Endpoint{ID: n.ID, Addr: l.Addr(), Zone: zone, Kind: n.Model, State: fakeserver.StateInService, Weight: 1})
	}
	best, err := placement.Solve(s.problem, placement.Options{})
	if err != nil {
		return nil, err
	}
	s.plan = &operator.Plan{Version: 1, Load: best.Load, Flows: best.Flows, Goals: best.Goals}
	losses, err := placement.Contingencies(s.problem, best, nil, placement.Options{}, nil)
	if err != nil {
		return nil, err
	}
	for _, c := range losses {
		pc := operator.PlanContingency{Name: c.Name, Lost: c.Lost, Short: c.Shortfall}
		if c.Plan != nil {
			pc.Load, pc.Flows = c.Plan.Load, c.Plan.Flows
		}
		s.plan.Contingencies = append(s.plan.Contingencies, pc)
	}
	s.catalog, err = fakeserver.NewCatalog(entries...)
	return s, err
}

func (s *site) close() {
	s.catalog.Close()
	for _, l := range s.running() {
		l.Close()
	}
}

// running are the servers as they are now.
func (s *site) running() map[string]*fakeserver.LineServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.servers)
}

// zoneGate is a gateway of a zone.
type zoneGate struct {
	addr string
	stop context.CancelFunc
	done chan error
}

func (s *site) gate(ctx context.Context, zone string, plan *operator.Plan, logger *slog.Logger) (*zoneGate, error) {
	listen, release, err := fakeserver.ReserveAddress()
	if err != nil {
		return nil, err
	}
	defer release()
	conf, err := lineConfig(listen, s.catalog.Addr(), 1)
	if err != nil {
		return nil, err
	}
	conf.Balancer.Gateways = len(s.problem.Zones)
	var op *operator.Settings
	if plan != nil {
		op = &operator.Settings{Plan: &operator.PlanSettings{Zone: zone, Plan: plan}}
	}
	g, err := gateway.New(*conf, gateway.WithLogger(logger), gateway.WithOperator(op))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	z := &zoneGate{addr: listen, stop: cancel, done: make(chan error, 1)}
	go func() { z.done <- g.Run(ctx) }()
	return z, awaitReady(ctx, listen)
}

func (z *zoneGate) close() {
	z.stop()
	<-z.done
}

// load opens connections, as many from each zone as its demand, one key each, and ends them at once. It returns how many came
// to each node from each zone, and how many were not served.
func (s *site) load(each int, gates func(zone string) string, phase string) (map[string]map[string]int64, int) {
	came := map[string]map[string]int64{}
	failed := 0
	var mu sync.Mutex
	for _, d := range s.problem.Demands {
		servers, before := s.running(), map[string]int64{}
		for id, l := range servers {
			before[id] = l.Opened()
		}
		var wg sync.WaitGroup
		const clients = 32
		for c := range clients {
			wg.Go(func() {
				for k := c; k < int(d.Load)*each; k += clients {
					if err := openOnce(gates(d.Zone), fmt.Sprintf("%s-%s-%d", phase, d.Zone, k)); err != nil {
						mu.Lock()
						failed++
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		came[d.Zone] = map[string]int64{}
		for id, l := range servers {
			came[d.Zone][id] = l.Opened() - before[id]
		}
	}
	return came, failed
}

// openOnce opens a connection under a key, as clients do: one that was refused or cut off comes again a few times.
func openOnce(addr, key string) error {
	var last error
	for try := range 20 {
		if last = func() error {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return err
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprintf(c, "OPEN %s.%d %s c=lines,d=3000\r\n", key, try, key)
			line, err := bufio.NewReader(c).ReadString('\n')
			var wait int
			if n, _ := fmt.Sscanf(line, "BUSY %d", &wait); n == 1 { // come again when told
				time.Sleep(time.Duration(wait) * time.Millisecond)
			}
			if err == nil && !strings.HasPrefix(line, "UP") {
				err = fmt.Errorf("answered %q", line)
			}
			return err
		}(); last == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

func (s *site) crossings(came map[string]map[string]int64) (sum int64) {
	cost := func(from, to string) int64 {
		if from == to {
			return 0
		}
		for _, c := range s.problem.Crossings {
			if c.From == from && c.To == to {
				return c.Cost
			}
		}
		return s.problem.DefaultCost
	}
	for from, by := range came {
		for _, n := range s.problem.Nodes {
			sum += by[n.ID] * cost(from, n.Zone)
		}
	}
	return sum
}

// deviation is by how much the node that is furthest from its planned load is off, as a part of that.
func deviation(came map[string]map[string]int64, load map[string]int64, each int) (worst float64) {
	for id, want := range load {
		var got int64
		for _, by := range came {
			got += by[id]
		}
		if want > 0 {
			worst = max(worst, math.Abs(float64(got)/float64(want*int64(each))-1))
		}
	}
	return worst
}

func planRun() *cli.Command {
	return &cli.Command{
		Name: "plan-run", Usage: "compare gateways that go by a plan with ones that do not, lose a zone and restart a gateway",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "the result as one JSON object"},
			&cli.IntFlag{Name: "each", Value: 60, Usage: "connections for each unit of load; few make chance show"},
			&cli.FloatFlag{Name: "most-off", Value: 0.05, Usage: "part by which a node's load may be off its plan"},
			&cli.BoolFlag{Name: "log", Usage: "show the gateways' logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := runPlan(ctx, c.Int("each"), slogTo(c.Root().ErrWriter, c.Bool("log")))
			if err != nil {
				return err
			}
			out := c.Root().Writer
			if c.Bool("json") {
				err = json.NewEncoder(out).Encode(r)
			} else {
				err = r.show(out)
			}
			return errors.Join(err, r.faults(c.Float("most-off")))
		},
	}
}

func (r *planResult) show(out io.Writer) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		_, err = fmt.Fprintln(out, string(text))
	}
	return err
}

// amidAfter is how long after clients begin to come something happens.
const amidAfter = 500 * time.Millisecond

func (r *planResult) faults(mostOff float64) error {
	var errs []error
	if r.Worst > mostOff || r.AfterLoss > mostOff {
		errs = append(errs, fmt.Errorf("a node is off its plan by %.3f, after the loss by %.3f; %.2f is allowed", r.Worst, r.AfterLoss, mostOff))
	}
	if r.Failed > 0 || r.LostZoneSent > 0 {
		errs = append(errs, fmt.Errorf("%d not served, %d sent to the lost zone", r.Failed, r.LostZoneSent))
	}
	if r.ColdMost > r.ColdLimit {
		errs = append(errs, fmt.Errorf("a cold node had %d openings in a second and bears %d", r.ColdMost, r.ColdLimit))
	}
	if r.With >= r.Without {
		errs = append(errs, fmt.Errorf("crossings are %d with the plan and %d without", r.With, r.Without))
	}
	return errors.Join(errs...)
}

// runPhase has clients come to gateways that go by a plan, while something may happen to these.
type runPhase func(plan *operator.Plan, phase string, amid func(set func(zone string, g *zoneGate), old map[string]*zoneGate)) (map[string]map[string]int64, error)

// comeBack has a lost zone come back cold while clients come, and looks how much its nodes get at once. A node that starts can
// do a fifth of what it did, and bears four times that over a second.
func (s *site) comeBack(r *planResult, lost string, run runPhase) error {
	warm := map[string]int{}
	for _, n := range s.problem.Nodes {
		if n.Zone == lost {
			warm[n.ID] = s.servers[n.ID].MaxOpenedWithin(time.Second)
		}
	}
	_, err := run(s.plan, "back", func(func(string, *zoneGate), map[string]*zoneGate) {
		for _, n := range s.problem.Nodes {
			if n.Zone != lost {
				continue
			}
			l, err := fakeserver.NewLineServer()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.servers[n.ID] = l
			s.mu.Unlock()
			s.catalog.SetEndpoint(fakeserver.Endpoint{ID: n.ID, Addr: l.Addr(), Zone: n.Zone, Kind: n.Model, State: fakeserver.StateInService, Weight: 1,
				StartedMS: time.Now().UnixMilli()})
		}
	})
	worst := 0.0
	now := s.running()
	for id, was := range warm {
		got, limit := now[id].MaxOpenedWithin(time.Second), was*4/5
		if part := float64(got) / float64(max(limit, 1)); part >= worst {
			worst, r.ColdMost, r.ColdLimit = part, got, limit
		}
	}
	return err
}

func runPlan(ctx context.Context, each int, logger *slog.Logger) (r *planResult, err error) {
	s, err := newSite()
	if err != nil {
		return nil, err
	}
	defer s.close()
	r = &planResult{Planned: s.plan.Goals.Crossings * int64(each)}
	var run runPhase = func(plan *operator.Plan, phase string, amid func(set func(zone string, g *zoneGate), old map[string]*zoneGate)) (map[string]map[string]int64, error) {
		var mu sync.Mutex
		gates := map[string]*zoneGate{}
		for _, z := range s.problem.Zones {
			g, err := s.gate(ctx, z, plan, logger)
			if err != nil {
				return nil, err
			}
			gates[z] = g
		}
		var wg sync.WaitGroup
		defer func() {
			wg.Wait()
			for _, g := range gates {
				g.close()
			}
		}()
		if amid != nil {
			old := maps.Clone(gates)
			wg.Go(func() {
				time.Sleep(amidAfter)
				amid(func(zone string, g *zoneGate) {
					mu.Lock()
					defer mu.Unlock()
					gates[zone] = g
				}, old)
			})
		}
		came, failed := s.load(each, func(z string) string {
			mu.Lock()
			defer mu.Unlock()
			return gates[z].addr
		}, phase)
		r.Failed += failed
		for _, by := range came {
			for _, n := range by {
				r.Opened += int(n)
			}
		}
		return came, nil
	}
	came, err := run(nil, "without", nil)
	if err != nil {
		return nil, err
	}
	r.Without = s.crossings(came)
	// A gateway is stopped while clients come, and another takes its place.
	if came, err = run(s.plan, "with", func(set func(string, *zoneGate), old map[string]*zoneGate) {
		if g, err := s.gate(ctx, "west", s.plan, logger); err == nil {
			old["west"].close()
			set("west", g)
			r.Restarted++
		}
	}); err != nil {
		return nil, err
	}
	r.With, r.Worst = s.crossings(came), deviation(came, s.plan.Load, each)

	const lost = "east"
	var after operator.PlanContingency
	for _, c := range s.plan.Contingencies {
		if c.Name == "zone "+lost {
			after = c
		}
	}
	if len(after.Flows) == 0 {
		return nil, fmt.Errorf("the plan has no word for the loss of %s: %d units short", lost, after.Short)
	}
	// A zone is lost while clients come; then its part is looked at alone.
	if _, err = run(s.plan, "losing", func(func(string, *zoneGate), map[string]*zoneGate) {
		for _, n := range s.problem.Nodes {
			if n.Zone == lost {
				s.servers[n.ID].Close()
			}
		}
		time.Sleep(amidAfter) // discovery is late
		for _, n := range s.problem.Nodes {
			if n.Zone == lost {
				s.catalog.SetEndpoint(fakeserver.Endpoint{ID: n.ID, Addr: s.servers[n.ID].Addr(), Zone: n.Zone, State: fakeserver.StateTerminated})
			}
		}
	}); err != nil {
		return nil, err
	}
	if came, err = run(s.plan, "after", nil); err != nil {
		return nil, err
	}
	r.AfterLoss = deviation(came, after.Load, each)
	defer func() { err = errors.Join(err, s.comeBack(r, lost, run)) }()
	for _, by := range came {
		for _, n := range s.problem.Nodes {
			if n.Zone == lost {
				r.LostZoneSent += by[n.ID]
			}
		}
	}
	return r, nil
}
