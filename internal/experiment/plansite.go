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
	testbedClients     = 32                    // number of clients that open connections concurrently
	testbedMaxAttempts = 20                    // attempts that a client makes to open one connection
	testbedRetryPause  = 50 * time.Millisecond // after each failed attempt, in addition to a retry delay from the gateway
)

// planTestbed holds a placement problem with three zones, its solved plan, a fake server for each node, and a fake discovery
// service that lists these servers. The demand of the first zone exceeds the capacity of its nodes, so that a plan must
// send part of it to other zones.
type planTestbed struct {
	problem *placement.Problem
	plan    *operator.Plan
	catalog *fakeserver.Catalog

	mu      sync.Mutex
	servers map[string]*fakeserver.LineServer // by node ID; replaced while clients connect
}

// newPlanTestbed solves the problem, and starts the servers and the discovery service.
func newPlanTestbed() (testbed *planTestbed, err error) {
	t := &planTestbed{servers: map[string]*fakeserver.LineServer{}, problem: testbedProblem()}
	defer func() {
		if err != nil {
			t.close()
		}
	}()
	var endpoints []fakeserver.Endpoint
	for _, node := range t.problem.Nodes {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			return nil, err
		}
		t.servers[node.ID] = server
		endpoints = append(endpoints, testbedEndpoint(node, server.Addr()))
	}
	if t.plan, err = solveTestbed(t.problem); err != nil {
		return nil, err
	}
	if t.catalog, err = fakeserver.NewCatalog(endpoints...); err != nil {
		return nil, err
	}
	return t, nil
}

// testbedProblem returns a problem with three nodes in each zone, whose nodes may be filled to nine tenths of their capacity.
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

// solveTestbed returns the best plan that the solver finds, with a contingency plan for the loss of each zone and each node.
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

func (t *planTestbed) close() {
	if t.catalog != nil {
		t.catalog.Close()
	}
	for _, server := range t.currentServers() {
		server.Close()
	}
}

// currentServers returns a copy of the servers by node ID.
func (t *planTestbed) currentServers() map[string]*fakeserver.LineServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.servers)
}

// nodesOf returns the nodes in a zone.
func (t *planTestbed) nodesOf(zone string) []placement.Node {
	return slices.DeleteFunc(slices.Clone(t.problem.Nodes), func(n placement.Node) bool { return n.Zone != zone })
}

// loseZone closes the servers of a zone. After planFaultDelay, it sets the state of their endpoints to terminated.
func (t *planTestbed) loseZone(zone string) {
	servers := t.currentServers()
	for _, node := range t.nodesOf(zone) {
		servers[node.ID].Close()
	}
	time.Sleep(planFaultDelay)
	for _, node := range t.nodesOf(zone) {
		t.catalog.SetEndpoint(fakeserver.Endpoint{
			ID: node.ID, Addr: servers[node.ID].Addr(), Zone: node.Zone, State: fakeserver.StateTerminated,
		})
	}
}

// restoreZone starts a new server for each node of a zone. The start time in its endpoint makes it warm up.
func (t *planTestbed) restoreZone(zone string) error {
	for _, node := range t.nodesOf(zone) {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			return err
		}
		t.mu.Lock()
		t.servers[node.ID] = server
		t.mu.Unlock()
		endpoint := testbedEndpoint(node, server.Addr())
		endpoint.StartedMS = time.Now().UnixMilli()
		t.catalog.SetEndpoint(endpoint)
	}
	return nil
}

// openConnections opens connections and closes each one as soon as it is established. It does so for one zone after the
// other: connectionsPerUnit connections for each unit of the zone's demand, each with its own key. It returns the number of
// connections by zone and node, and the number of connections that could not be established.
func (t *planTestbed) openConnections(connectionsPerUnit int, gatewayAddr func(zone string) string,
	phase string,
) (counts connectionCounts, failed int) {
	counts = connectionCounts{}
	for _, demand := range t.problem.Demands {
		servers, before := t.currentServers(), map[string]int64{}
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

// openFromZone opens the connections of one zone from concurrent clients. It returns how many could not be established.
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

// openWithRetries opens a connection with a key. After a rejection or a disconnect it retries, up to testbedMaxAttempts
// attempts in all, as clients do. It returns the error of the last attempt if all fail.
func openWithRetries(addr, key string) (err error) {
	for attempt := range testbedMaxAttempts {
		if err = openOnce(addr, key, attempt); err == nil {
			return nil
		}
		time.Sleep(testbedRetryPause)
	}
	return err
}

// openOnce makes one attempt to open a connection, and closes the connection. If the gateway rejects the request, openOnce
// first waits for the retry delay that the gateway asks for.
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
