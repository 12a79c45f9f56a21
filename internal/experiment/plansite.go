package experiment

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/fakeserver"
	"example.org/milletvane/placement"
)

const (
	siteClients     = 32 // that open connections at once
	siteMaxAttempts = 20 // of a client for one connection
	siteRetryPause  = 50 * time.Millisecond
)

// planSite is three uneven zones with their servers: the first brings more load than its own nodes can carry.
type planSite struct {
	problem *placement.Problem
	plan    *operator.Plan
	catalog *fakeserver.Catalog

	mu      sync.Mutex
	servers map[string]*fakeserver.LineServer // by ID; replaced while clients come
}

func newPlanSite() (site *planSite, err error) {
	s := &planSite{servers: map[string]*fakeserver.LineServer{}, problem: siteProblem()}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	var endpoints []fakeserver.Endpoint
	for _, node := range s.problem.Nodes {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			return nil, err
		}
		s.servers[node.ID] = server
		endpoints = append(endpoints, siteEndpoint(node, server.Addr()))
	}
	if s.plan, err = solveSite(s.problem); err != nil {
		return nil, err
	}
	if s.catalog, err = fakeserver.NewCatalog(endpoints...); err != nil {
		return nil, err
	}
	return s, nil
}

func siteProblem() *placement.Problem {
	problem := &placement.Problem{
		Zones: []string{"west", "north", "east"},
		Demands: []placement.Demand{
			{Zone: "west", Class: "lines", Load: 400},
			{Zone: "north", Class: "lines", Load: 120},
			{Zone: "east", Class: "lines", Load: 80},
		},
		Crossings: []placement.Crossing{
			{From: "west", To: "east", Cost: 2},
			{From: "east", To: "west", Cost: 2},
		},
		DefaultCost: 3,
		Constraints: []placement.Constraint{
			{Name: "all", Kind: placement.Carry},
			{Name: "room", Kind: placement.Headroom, Part: placement.Ratio{Num: 9, Den: 10}},
		},
	}
	for _, zone := range problem.Zones {
		for i := range 3 {
			node := placement.Node{ID: endpointID(len(problem.Nodes)), Zone: zone, Model: "small", Capacity: 100}
			if i == 0 {
				node.Model, node.Capacity = "large", 150
			}
			problem.Nodes = append(problem.Nodes, node)
		}
	}
	return problem
}

// solveSite returns the best plan, with one for each loss of a zone or node.
func solveSite(problem *placement.Problem) (*operator.Plan, error) {
	best, err := placement.Solve(problem, placement.Options{})
	if err != nil {
		return nil, err
	}
	plan := &operator.Plan{Version: 1, Load: best.Load, Flows: best.Flows, Goals: best.Goals}
	losses, err := placement.Contingencies(problem, best, nil, placement.Options{}, nil)
	if err != nil {
		return nil, err
	}
	for _, loss := range losses {
		contingency := operator.PlanContingency{Name: loss.Name, Lost: loss.Lost, Shortfall: loss.Shortfall}
		if loss.Plan != nil {
			contingency.Load, contingency.Flows = loss.Plan.Load, loss.Plan.Flows
		}
		plan.Contingencies = append(plan.Contingencies, contingency)
	}
	return plan, nil
}

func siteEndpoint(node placement.Node, addr string) fakeserver.Endpoint {
	return fakeserver.Endpoint{
		ID: node.ID, Addr: addr, Zone: node.Zone, Kind: node.Model, State: fakeserver.StateInService, Weight: 1,
	}
}

func (s *planSite) close() {
	if s.catalog != nil {
		s.catalog.Close()
	}
	for _, server := range s.currentServers() {
		server.Close()
	}
}

func (s *planSite) currentServers() map[string]*fakeserver.LineServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.servers)
}

func (s *planSite) nodesOf(zone string) []placement.Node {
	return slices.DeleteFunc(slices.Clone(s.problem.Nodes), func(n placement.Node) bool { return n.Zone != zone })
}

// loseZone ends a zone's servers, which discovery learns later.
func (s *planSite) loseZone(zone string) {
	servers := s.currentServers()
	for _, node := range s.nodesOf(zone) {
		servers[node.ID].Close()
	}
	time.Sleep(disturbanceDelay)
	for _, node := range s.nodesOf(zone) {
		s.catalog.SetEndpoint(fakeserver.Endpoint{
			ID: node.ID, Addr: servers[node.ID].Addr(), Zone: node.Zone, State: fakeserver.StateTerminated,
		})
	}
}

// restoreZone starts a zone's servers anew, cold.
func (s *planSite) restoreZone(zone string) error {
	for _, node := range s.nodesOf(zone) {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.servers[node.ID] = server
		s.mu.Unlock()
		endpoint := siteEndpoint(node, server.Addr())
		endpoint.StartedMS = time.Now().UnixMilli()
		s.catalog.SetEndpoint(endpoint)
	}
	return nil
}

// load opens connections and ends them at once: from each zone in turn in proportion to its demand, each with its own
// key. It returns where they came to, and how many were not served.
func (s *planSite) load(connectionsPerUnit int, gatewayAddr func(zone string) string, phase string) (came arrivals, failed int) {
	came = arrivals{}
	for _, demand := range s.problem.Demands {
		servers, before := s.currentServers(), map[string]int64{}
		for id, server := range servers {
			before[id] = server.Opened()
		}
		failed += openFromZone(demand, connectionsPerUnit, gatewayAddr, phase)
		came[demand.Zone] = map[string]int64{}
		for id, server := range servers {
			came[demand.Zone][id] = server.Opened() - before[id]
		}
	}
	return came, failed
}

func openFromZone(demand placement.Demand, connectionsPerUnit int, gatewayAddr func(zone string) string, phase string) (failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for client := range siteClients {
		wg.Go(func() {
			for number := client; number < int(demand.Load)*connectionsPerUnit; number += siteClients {
				key := fmt.Sprintf("%s-%s-%d", phase, demand.Zone, number)
				if openWithRetries(gatewayAddr(demand.Zone), key) == nil {
					continue
				}
				mu.Lock()
				failed++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// openWithRetries opens a connection under a key, as clients do: they retry a few times when rejected or cut off.
func openWithRetries(addr, key string) (err error) {
	for attempt := range siteMaxAttempts {
		if err = openOnce(addr, key, attempt); err == nil {
			return nil
		}
		time.Sleep(siteRetryPause)
	}
	return err
}

func openOnce(addr, key string, attempt int) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer closeQuietly(conn)
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "OPEN %s.%d %s c=lines,d=3000\r\n", key, attempt, key); err != nil {
		return err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	var retryAfterMS int
	if n, _ := fmt.Sscanf(line, "BUSY %d", &retryAfterMS); n == 1 {
		time.Sleep(time.Duration(retryAfterMS) * time.Millisecond)
	}
	if err == nil && !strings.HasPrefix(line, "UP") {
		err = fmt.Errorf("answered %q", line)
	}
	return err
}
