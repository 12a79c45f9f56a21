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
	testbedClients     = 32 // clients that open connections concurrently
	testbedMaxAttempts = 20 // attempts of a client to open one connection
	testbedRetryPause  = 50 * time.Millisecond
)

// planTestbed is a set of three zones with fake servers. The demand of the first zone exceeds the capacity of its nodes.
type planTestbed struct {
	problem *placement.Problem
	plan    *operator.Plan
	catalog *fakeserver.Catalog

	mu      sync.Mutex
	servers map[string]*fakeserver.LineServer // by node ID; replaced while clients connect
}

func newPlanTestbed() (testbed *planTestbed, err error) {
	s := &planTestbed{servers: map[string]*fakeserver.LineServer{}, problem: testbedProblem()}
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
		endpoints = append(endpoints, testbedEndpoint(node, server.Addr()))
	}
	if s.plan, err = solveTestbed(s.problem); err != nil {
		return nil, err
	}
	if s.catalog, err = fakeserver.NewCatalog(endpoints...); err != nil {
		return nil, err
	}
	return s, nil
}

func testbedProblem() *placement.Problem {
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

// solveTestbed returns the best plan, with a contingency plan for each loss of a zone or node.
func solveTestbed(problem *placement.Problem) (*operator.Plan, error) {
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

func testbedEndpoint(node placement.Node, addr string) fakeserver.Endpoint {
	return fakeserver.Endpoint{
		ID: node.ID, Addr: addr, Zone: node.Zone, Kind: node.Model, State: fakeserver.StateInService, Weight: 1,
	}
}

func (s *planTestbed) close() {
	if s.catalog != nil {
		s.catalog.Close()
	}
	for _, server := range s.currentServers() {
		server.Close()
	}
}

func (s *planTestbed) currentServers() map[string]*fakeserver.LineServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.servers)
}

func (s *planTestbed) nodesOf(zone string) []placement.Node {
	return slices.DeleteFunc(slices.Clone(s.problem.Nodes), func(n placement.Node) bool { return n.Zone != zone })
}

// loseZone closes the servers of a zone. The endpoint list changes later, after planFaultDelay.
func (s *planTestbed) loseZone(zone string) {
	servers := s.currentServers()
	for _, node := range s.nodesOf(zone) {
		servers[node.ID].Close()
	}
	time.Sleep(planFaultDelay)
	for _, node := range s.nodesOf(zone) {
		s.catalog.SetEndpoint(fakeserver.Endpoint{
			ID: node.ID, Addr: servers[node.ID].Addr(), Zone: node.Zone, State: fakeserver.StateTerminated,
		})
	}
}

// restoreZone starts new servers for a zone, which are cold.
func (s *planTestbed) restoreZone(zone string) error {
	for _, node := range s.nodesOf(zone) {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.servers[node.ID] = server
		s.mu.Unlock()
		endpoint := testbedEndpoint(node, server.Addr())
		endpoint.StartedMS = time.Now().UnixMilli()
		s.catalog.SetEndpoint(endpoint)
	}
	return nil
}

// openConnections opens connections and closes them immediately, for one zone after the other in proportion to its demand,
// each with its own key. It returns the connections by node, and how many were not served.
func (s *planTestbed) openConnections(
	connectionsPerUnit int, gatewayAddr func(zone string) string, phase string,
) (counts connectionCounts, failed int) {
	counts = connectionCounts{}
	for _, demand := range s.problem.Demands {
		servers, before := s.currentServers(), map[string]int64{}
		for id, server := range servers {
			before[id] = server.Opened()
		}
		failed += openFromZone(demand, connectionsPerUnit, gatewayAddr, phase)
		counts[demand.Zone] = map[string]int64{}
		for id, server := range servers {
			counts[demand.Zone][id] = server.Opened() - before[id]
		}
	}
	return counts, failed
}

func openFromZone(demand placement.Demand, connectionsPerUnit int, gatewayAddr func(zone string) string, phase string) (failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for client := range testbedClients {
		wg.Go(func() {
			for number := client; number < int(demand.Load)*connectionsPerUnit; number += testbedClients {
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

// openWithRetries opens a connection with a key. Like clients, it retries a limited number of times after a rejection or a
// disconnect.
func openWithRetries(addr, key string) (err error) {
	for attempt := range testbedMaxAttempts {
		if err = openOnce(addr, key, attempt); err == nil {
			return nil
		}
		time.Sleep(testbedRetryPause)
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
		err = fmt.Errorf("got answer %q, want UP", line)
	}
	return err
}
