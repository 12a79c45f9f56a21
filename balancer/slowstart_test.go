package balancer

import (
	"fmt"
	"testing"
	"time"
)

// warmingServer is the ID of a server that is warming up, in addition to the testServers.
const warmingServer ServerID = 900

// newWarmupHarness returns a harness with n warm servers and one that is warming up. Its Balancer has been
// running for an hour.
func newWarmupHarness(t *testing.T, settings Settings, n int) (*harness, *server) {
	t.Helper()
	h := newHarness(t, settings, n)
	h.listDelta(Server{ID: warmingServer, Capacity: 1, Started: h.now})
	h.balancer.refreshTable()
	h.balancer.startedAt = h.now - time.Hour
	return h, h.balancer.servers[warmingServer]
}

// resetArrivals makes the Balancer act as that of another gateway, which has counted one request, and at
// which the server has been warming up for one second.
func (h *harness) resetArrivals(s *server) {
	h.balancer.now += ms
	h.balancer.recentRequests, s.warmupLookups = decayingCounter{}, decayingCounter{}
	s.lastWarmupSendAt, s.Started = 0, h.balancer.now-sec
	h.balancer.recentRequests.add(h.balancer.now, 1)
}

// admitsToWarmup reports whether a request with the given ID is admitted to a server that is warming up.
func (h *harness) admitsToWarmup(id RequestID, s *server) bool {
	return h.balancer.admitToWarmingServer(&request{Request: Request{ID: id}}, s)
}

// A burst in which each gateway gets one request, the first for a long time, stays within the warm-up budget
// on average over many bursts.
func TestBurstAcrossGatewaysStaysWithinWarmupBudget(t *testing.T) {
	const members, bursts = 13, 60
	for _, gateways := range []int{3, 80, 300} {
		for _, overloadDuration := range []time.Duration{sec, 2 * sec} {
			t.Run(fmt.Sprintf("%d gateways, %v", gateways, overloadDuration), func(t *testing.T) {
				settings := testSettings()
				settings.Gateways, settings.ColdOverloadDuration = gateways, overloadDuration
				h, s := newWarmupHarness(t, settings, members-1)
				sent := 0
				for id := range RequestID(bursts * gateways) {
					h.resetArrivals(s)
					if h.isSentToWarmup(id+1, s, members) {
						sent++
					}
				}
				limit := settings.ColdOverloadFactor * minWarmConnections /
					settings.WarmupDuration.Seconds() * overloadDuration.Seconds()
				if mean := float64(sent) / bursts; mean > 1.2*limit || mean < 0.2*limit {
					t.Errorf("%.2f sends per burst, want 0.2 to 1.2 times %.2f", mean, limit)
				}
			})
		}
	}
}

// isSentToWarmup reports whether the server that is warming up admits a request. Each lookup leads to that
// server with the probability that it has in a table of the given number of servers.
func (h *harness) isSentToWarmup(id RequestID, s *server, servers uint64) bool {
	for lookup := range uint64(shortSearchLookups) {
		if mix(uint64(id), lookup)%servers == 0 && h.admitsToWarmup(id, s) {
			return true
		}
	}
	return false
}

// A burst of reconnecting members of one group does not overload a server that is warming up. The members of
// a group have the same lookups, so many may reach one server at once, whatever the number of servers. In a
// fleet of 300 gateways, 111 members reconnected together, and a server was overloaded from 15 connections
// on.
func TestGroupBurstDoesNotOverloadWarmingServer(t *testing.T) {
	const members, bursts, capacity, overload = 111, 200, 20, 15
	settings := testSettings()
	settings.Gateways, settings.ColdOverloadFactor, settings.WarmupDuration = 300, 4, 21*sec
	h, s := newWarmupHarness(t, settings, 80)
	h.balancer.connectionCapacity.add(capacity)
	sent := 0
	for id := range RequestID(bursts * members) {
		h.resetArrivals(s)
		if h.admitsToWarmup(id+1, s) {
			sent++
		}
	}
	if mean := float64(sent) / bursts; mean >= overload || mean < 1 {
		t.Errorf("%.2f sends per burst, want at least 1 and less than 15", mean)
	}
}

// roundRobinGateways holds gateways that get requests in turn.
type roundRobinGateways struct {
	gateways []*harness
	requests int
}

// serve feeds requests and establishes their connections, which end at once unless isKept is set. It returns
// how many attempts were sent to warmingServer.
func (g *roundRobinGateways) serve(requests int, isKept bool) (warming int) {
	for range requests {
		h := g.gateways[g.requests%len(g.gateways)]
		g.requests++
		h.handle(Request{
			ID: RequestID(g.requests), Class: idempotentClass, Key: fmt.Sprint("k", g.requests),
			Timeout: 2 * sec,
		})
		for _, s := range h.sends() {
			h.handle(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
			if !isKept {
				h.handle(AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
			}
			if s.Server == warmingServer {
				warming++
			}
		}
	}
	return warming
}

// The warm-up budget holds for any number of gateways that share the same requests, even when the clients of
// a lost part of the fleet reconnect at once.
func TestWarmupBudgetHoldsAtAnyNumberOfGateways(t *testing.T) {
	for _, gateways := range []int{1, 4, 235} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			const overloadDuration = 2 * sec
			settings := testSettings()
			settings.Gateways, settings.ColdOverloadDuration = gateways, overloadDuration
			g := &roundRobinGateways{}
			for range gateways {
				g.gateways = append(g.gateways, newHarness(t, settings, 8))
			}
			start := g.gateways[0].now
			total := g.serve(240, true) // 30 for each warm server
			if total > 0 {
				t.Errorf("got %d sends to a server that is not listed yet, want 0", total)
			}
			capacity := 0.0
			for _, h := range g.gateways {
				h.now = start + 9*sec
				h.listDelta(Server{ID: warmingServer, Capacity: 1, Started: start})
				s := h.balancer.servers[warmingServer]
				capacity += h.balancer.warmConnectionCapacity(s) / float64(gateways)
			}
			// The budget is ColdOverloadFactor (3) times the rate that fills the server with 30 connections
			// over the warm-up of 20 s, for a window of 2 s.
			const allowed = 3.0 * 30 / 20 * 2
			for window := range 5 {
				for _, h := range g.gateways {
					h.now += overloadDuration
				}
				sent := g.serve(300, false)
				if float64(sent) > allowed {
					t.Errorf("got %d sends in window %d, want at most %.1f", sent, window, allowed)
				}
				total += sent
			}
			if total == 0 || capacity > 31 {
				t.Errorf("got %d sends and a capacity of %.0f, want some and at most 31", total, capacity)
			}
		})
	}
}

func TestWarmingFleetIsServedWithinBudget(t *testing.T) {
	h := newHarness(t, testSettings(), 0)
	list := testServers(4)
	for i := range list {
		list[i].Started = h.now - 2*sec
	}
	h.listComplete(list...)
	sent := 0
	for i := range 40 {
		h.request(idempotentClass, fmt.Sprint("g", i))
		sent += len(h.sends())
	}
	if sent > 4 {
		t.Errorf("got %d sends at once to 4 servers that are warming up, want at most 4", sent)
	}
	for range 15 {
		h.advance(sec)
		h.request(idempotentClass, "g")
		sent += len(h.sends())
	}
	if sent == 0 {
		t.Error("got no send in 15 s to a fleet that is warming up")
	}
}

// The estimated capacity follows the connections and the utilization that warm servers report. Guards against
// an estimate that is too low in a fleet with little traffic, which has fewer connections than it can hold.
func TestWarmupBudgetFollowsLoadReports(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	s := h.balancer.sortedServers[0]
	if got := h.balancer.warmConnectionCapacity(s); got != minWarmConnections {
		t.Errorf("without reports: got a capacity of %v connections, want minWarmConnections", got)
	}
	for range 20 {
		h.handle(LoadReport{Server: h.balancer.sortedServers[1].ID, Utilization: 0.25, Connections: 10})
	}
	if got := h.balancer.warmConnectionCapacity(s); got < 0.6*40 || got > 40 {
		t.Errorf("10 connections at utilization 0.25: got a capacity of %v, want 24 to 40", got)
	}
	s.Started = h.now
	for range 20 {
		h.handle(LoadReport{Server: s.ID, Utilization: 0.25, Connections: 1000})
	}
	if got := h.balancer.warmConnectionCapacity(s); got > 40 {
		t.Errorf("after reports of a server that is warming up: got a capacity of %v, want at most 40", got)
	}
}

// Many gateways together use the warm-up budget of a server and stay within it, although each one's lookups
// rarely lead to the server, for any number of gateways and any rate of requests.
func TestManyGatewaysUseWarmupBudget(t *testing.T) {
	const duration, members = 10 * sec, 50
	for _, c := range []struct {
		gateways int
		interval time.Duration // between requests at one gateway
	}{{48, 500 * ms}, {300, 500 * ms}, {300, 3 * sec}} {
		t.Run(fmt.Sprintf("%d gateways, a request every %v", c.gateways, c.interval), func(t *testing.T) {
			settings := testSettings()
			settings.Gateways, settings.WarmupDuration = c.gateways, 2*sec
			sent := 0
			for g := range c.gateways {
				h := newHarness(t, settings, members-1)
				h.listDelta(Server{ID: warmingServer, Capacity: 1})
				h.balancer.refreshTable()
				sent += h.sendToWarmup(RequestID(g*1000+1), c.interval, duration, members)
			}
			budget := warmupBudgetRatio * 3 * minWarmConnections / 2 * duration.Seconds()
			if n := float64(sent); n > 1.3*budget || n < 0.15*budget {
				t.Errorf("got %d sends, want 0.15 to 1.3 times the budget of %.1f", sent, budget)
			}
		})
	}
}

// sendToWarmup counts requests at an interval, first for 10 s, in which the Balancer learns the arrival rate,
// and then for a duration. It returns how many requests are admitted to warmingServer in that duration. The
// server's warm-up restarts with each request. IDs count up from first.
func (h *harness) sendToWarmup(first RequestID, interval, duration time.Duration, servers uint64) (sent int) {
	const learning = 10 * sec
	s := h.balancer.servers[warmingServer]
	id := first
	for elapsed := time.Duration(0); elapsed < learning+duration; elapsed += interval {
		h.now += interval
		h.balancer.now, s.Started = h.now, h.now
		h.balancer.recentRequests.add(h.now, 1)
		for lookup := range uint64(shortSearchLookups) {
			if mix(uint64(id), lookup)%servers == 0 && elapsed >= learning && h.admitsToWarmup(id, s) {
				sent++
			}
		}
		id++
	}
	return sent
}

// Requests that are shed because warm servers are slow may be sent to a server that is warming up, within its
// budget.
func TestShedRequestsUseWarmupBudget(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.WarmupDuration = 300, sec/100
	h := newHarness(t, settings, 4)
	h.listDelta(Server{ID: warmingServer, Capacity: 4})
	h.balancer.slowRatio = 1
	sent := 0
	for i := range 200 {
		h.now += 500 * ms
		h.balancer.servers[warmingServer].Started = h.now // restarts its warm-up
		h.handle(Request{ID: RequestID(i + 1), Class: idempotentClass, Timeout: 2 * sec})
		for _, server := range h.sentTo() {
			if server != warmingServer {
				t.Fatalf("sent to warm server %d although all requests are shed", server)
			}
			sent++
		}
		h.balancer.slowRatio = 1
	}
	if sent == 0 {
		t.Error("got no send to the server that is warming up, whose budget is unused")
	}
}
