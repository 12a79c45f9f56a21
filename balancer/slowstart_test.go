package balancer

import (
	"fmt"
	"testing"
	"time"
)

// warmingServer is the ID of a server that warms up beside the testServers.
const warmingServer ServerID = 900

// newWarmupHarness returns a harness with n warm servers and one that warms up, and whose Balancer has run
// for long.
func newWarmupHarness(t *testing.T, settings Settings, n int) (*harness, *server) {
	t.Helper()
	h := newHarness(t, settings, n)
	h.listDelta(Server{ID: warmingServer, Capacity: 1, Started: h.now})
	h.balancer.refreshTable()
	h.balancer.startedAt = h.now - time.Hour
	return h, h.balancer.servers[warmingServer]
}

// resetArrivals makes the Balancer that of another gateway, with one request in its memory, at a time when a
// server has been warming up for a second.
func (h *harness) resetArrivals(s *server) {
	h.balancer.now += ms
	h.balancer.recentRequests, s.warmupLookups = decayingCounter{}, decayingCounter{}
	s.lastWarmupSendAt, s.Started = 0, h.balancer.now-sec
	h.balancer.recentRequests.add(h.balancer.now, 1)
}

// admitsToWarmup reports whether a request of the given ID is admitted to a server that is warming up.
func (h *harness) admitsToWarmup(id RequestID, s *server) bool {
	return h.balancer.admitToWarmingServer(&request{Request: Request{ID: id}}, s)
}

// A burst in which each gateway has one request, its first for long, stays within the warm-up budget in the
// mean over many bursts.
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
					t.Errorf("%.2f in a burst, the limit is %.2f", mean, limit)
				}
			})
		}
	}
}

// isSentToWarmup looks a request up as in a table of some servers, one of which warms up, until that one
// admits it.
func (h *harness) isSentToWarmup(id RequestID, s *server, servers uint64) bool {
	for lookup := range uint64(shortSearchLookups) {
		if mix(uint64(id), lookup)%servers == 0 && h.admitsToWarmup(id, s) {
			return true
		}
	}
	return false
}

// The members of a large group share their lookups, so that many may try one server at once, however many
// servers there are. In a fleet of 300 gateways 111 members came back together, and servers were overloaded
// from 15 connections on.
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
		t.Errorf("%.2f in a burst", mean)
	}
}

// gatewaysInTurn are gateways that get requests in turn.
type gatewaysInTurn struct {
	gateways []*harness
	requests int
}

// serve has requests come in and establishes their connections, which end at once unless they are kept. It
// returns how many were sent to warmingServer.
func (g *gatewaysInTurn) serve(requests int, isKept bool) (warming int) {
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

// The warm-up budget holds over one gateway as over 235 that get the same requests between them, also when
// the clients of a lost part of the fleet reconnect at once.
func TestWarmupBudgetHoldsAtAnyNumberOfGateways(t *testing.T) {
	for _, gateways := range []int{1, 4, 235} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			const overloadDuration = 2 * sec
			settings := testSettings()
			settings.Gateways, settings.ColdOverloadDuration = gateways, overloadDuration
			g := &gatewaysInTurn{}
			for range gateways {
				g.gateways = append(g.gateways, newHarness(t, settings, 8))
			}
			start := g.gateways[0].now
			total := g.serve(240, true) // thirty for each warm server
			if total > 0 {
				t.Errorf("%d sent to a server that is not listed yet", total)
			}
			capacity := 0.0
			for _, h := range g.gateways {
				h.now = start + 9*sec
				h.listDelta(Server{ID: warmingServer, Capacity: 1, Started: start})
				s := h.balancer.servers[warmingServer]
				capacity += h.balancer.warmConnectionCapacity(s) / float64(gateways)
			}
			// Three times what fills it over the warm-up, which is thirty connections.
			const allowed = 3.0 * 30 / 20 * 2
			for window := range 5 {
				for _, h := range g.gateways {
					h.now += overloadDuration
				}
				sent := g.serve(300, false)
				if float64(sent) > allowed {
					t.Errorf("%d sent in window %d, %.1f are allowed", sent, window, allowed)
				}
				total += sent
			}
			if total == 0 || capacity > 31 {
				t.Errorf("%d sent to a server with a capacity of %.0f connections", total, capacity)
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
		t.Errorf("%d sent at once to four servers that are warming up", sent)
	}
	for range 15 {
		h.advance(sec)
		h.request(idempotentClass, "g")
		sent += len(h.sends())
	}
	if sent == 0 {
		t.Error("nothing sent to a fleet that is warming up in 15 s")
	}
}

// The warm-up budget follows the connections and the utilization that warm servers report, as a fleet with
// little traffic has fewer connections than it can bear.
func TestWarmupBudgetFollowsLoadReports(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	s := h.balancer.sortedServers[0]
	if got := h.balancer.warmConnectionCapacity(s); got != minWarmConnections {
		t.Errorf("capacity of %v connections without reports", got)
	}
	for range 20 {
		h.handle(LoadReport{Server: h.balancer.sortedServers[1].ID, Utilization: 0.25, Connections: 10})
	}
	if got := h.balancer.warmConnectionCapacity(s); got < 0.6*40 || got > 40 {
		t.Errorf("capacity of %v connections where 10 are a quarter of the load", got)
	}
	s.Started = h.now
	for range 20 {
		h.handle(LoadReport{Server: s.ID, Utilization: 0.25, Connections: 1000})
	}
	if got := h.balancer.warmConnectionCapacity(s); got > 40 {
		t.Errorf("capacity of %v connections by the report of a server that is warming up", got)
	}
}

// Where many gateways share a server that warms up each tries it seldom. Together they use its budget, and
// stay within it, however many they are and however often requests come.
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
				t.Errorf("%d sent of %.1f", sent, budget)
			}
		})
	}
}

// sendToWarmup has requests with IDs from a first one come at an interval, first for 10 s, in which the
// Balancer learns the arrival rate, then for a duration in which it returns how many it admits to
// warmingServer, whose warm-up begins anew each time.
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

// Requests that are shed as warm servers are slow may go to a server that warms up, within its budget.
func TestShedRequestsUseWarmupBudget(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.WarmupDuration = 300, sec/100
	h := newHarness(t, settings, 4)
	h.listDelta(Server{ID: warmingServer, Capacity: 4})
	h.balancer.slowRatio = 1
	sent := 0
	for i := range 200 {
		h.now += 500 * ms
		h.balancer.servers[warmingServer].Started = h.now // begins its warm-up anew
		h.handle(Request{ID: RequestID(i + 1), Class: idempotentClass, Timeout: 2 * sec})
		for _, server := range h.sentTo() {
			if server != warmingServer {
				t.Fatalf("sent to warm server %d though all requests are shed", server)
			}
			sent++
		}
		h.balancer.slowRatio = 1
	}
	if sent == 0 {
		t.Error("nothing sent to the server that is warming up, whose budget is unused")
	}
}
