package balancer

import (
	"fmt"
	"testing"
	"time"
)

// When all gateways are asked at once, each for the first time in long, no cold server gets more in TipTime
// than the limit, in the mean over many such bursts: each gateway knows of its one request alone.
func TestBurstAcrossGatewaysStaysWithinWarmupBudget(t *testing.T) {
	const members, bursts = 13, 60
	for _, gateways := range []int{3, 80, 300} {
		for _, tip := range []time.Duration{sec, 2 * sec} {
			settings := testSettings()
			settings.Gateways, settings.ColdOverloadDuration = gateways, tip
			sent, id := 0, RequestID(0)
			h := newHarness(t, settings, members-1)
			h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1, Started: h.now}}})
			h.balancer.refreshTable()
			s := h.balancer.servers[900]
			h.balancer.startedAt = h.now - time.Hour
			for range bursts * gateways { // one world stands for all: nothing of the last request is left
				h.balancer.now += ms
				h.balancer.recentRequests, s.warmupLookups = decayingCounter{}, decayingCounter{}
				s.warmupSentAt, s.Started = 0, h.balancer.now-sec
				h.balancer.recentRequests.add(h.balancer.now, 1)
				id++
				for j := range maxNearLookups {
					if mix(uint64(id), uint64(j))%members == 0 &&
						h.balancer.admitToWarmingServer(&request{Request: Request{ID: id}}, s) {
						sent++
						break
					}
				}
			}
			limit := settings.ColdOverloadFactor * minWarmConnections /
				settings.WarmupDuration.Seconds() * tip.Seconds()
			if mean := float64(sent) / bursts; mean > 1.2*limit || mean < 0.2*limit {
				t.Errorf("%d gateways, %v: %.2f in a burst, the limit is %.2f", gateways, tip, mean, limit)
			}
		}
	}
}

// The members of a large group share their lookups, so that many may try one cold server at once, however
// many servers there are. On a day with 300 gateways 111 came back together; servers fell at 15 connections
// and more.
func TestGroupBurstDoesNotOverloadWarmingServer(t *testing.T) {
	const members, bursts, bears, falls = 111, 200, 20, 15
	settings := testSettings()
	settings.Gateways, settings.ColdOverloadFactor, settings.WarmupDuration = 300, 4, 21*sec
	h := newHarness(t, settings, 80)
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1, Started: h.now}}})
	h.balancer.refreshTable()
	h.balancer.startedAt = h.now - time.Hour
	h.balancer.connectionCapacity.add(bears)
	s := h.balancer.servers[900]
	sent := 0
	for id := range bursts * members {
		h.balancer.now += ms
		h.balancer.recentRequests, s.warmupLookups = decayingCounter{}, decayingCounter{}
		s.warmupSentAt, s.Started = 0, h.balancer.now-sec
		h.balancer.recentRequests.add(h.balancer.now, 1)
		if h.balancer.admitToWarmingServer(&request{Request: Request{ID: RequestID(id + 1)}}, s) {
			sent++
		}
	}
	if mean := float64(sent) / bursts; mean >= falls || mean < 1 {
		t.Errorf("%.2f in a burst", mean)
	}
}

// The budget holds in sum, whether one gateway serves or 235, also when the clients of a lost part of the
// fleet return at once: each gateway is fed its part of the same requests.
func TestWarmupBudgetHoldsAtAnyNumberOfGateways(t *testing.T) {
	for _, gateways := range []int{1, 4, 235} {
		settings := testSettings()
		settings.Gateways, settings.ColdOverloadDuration = gateways, 2*sec
		var worlds []*harness
		for range gateways {
			worlds = append(worlds, newHarness(t, settings, 8))
		}
		start := worlds[0].now
		sent, full := map[time.Duration]int{}, 0.0
		id := 0
		serve := func(window time.Duration, n int) {
			for range n {
				h := worlds[id%gateways]
				id++
				key := fmt.Sprint("k", id)
				h.handle(Request{ID: RequestID(id), Class: "safe", Key: key, Timeout: 2 * sec})
				for _, s := range actionsOf[Send](h.lastActions) {
					h.handle(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
					if window > 0 { // gone again, so that what a server bears stays the same
						h.handle(AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
					}
					if s.Server == 900 {
						sent[window]++
					}
				}
			}
		}
		serve(0, 240) // thirty on each warm server
		for _, h := range worlds {
			h.now = start + 9*sec
			h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1, Started: start}}})
			full += h.balancer.warmConnections(h.balancer.servers[900]) / float64(gateways)
		}
		for i := range 5 {
			for _, h := range worlds {
				h.now += 2 * sec
			}
			serve(time.Duration(i+1), 300)
		}
		total := 0
		for window, n := range sent {
			// Three times what fills it over the cold time, which is thirty connections.
			if allowed := 3.0 * 30 / 20 * 2; float64(n) > allowed {
				t.Errorf("%d gateways sent %d in window %d, %.1f are allowed", gateways, n, window, allowed)
			}
			total += n
		}
		if total == 0 || full > 31 {
			t.Errorf("%d gateways sent %d, held to bear %.0f", gateways, total, full)
		}
	}
}

func TestWarmingFleetIsServedWithinBudget(t *testing.T) {
	h := newHarness(t, testSettings(), 0)
	list := testServers(4)
	for i := range list {
		list[i].Started = h.now - 2*sec
	}
	h.handle(EndpointList{Mode: ListComplete, Servers: list})
	sends := 0
	for i := range 40 {
		h.request("safe", fmt.Sprint("g", i))
		sends += len(actionsOf[Send](h.lastActions))
	}
	if sends > 4 {
		t.Errorf("%d at once to four cold servers", sends)
	}
	for range 15 {
		h.advance(sec)
		h.request("safe", "g")
		sends += len(actionsOf[Send](h.lastActions))
	}
	if sends == 0 {
		t.Error("a cold fleet got nothing in 15 s")
	}
}

// Where warm servers tell what they hold and how loaded that makes them, a cold one's budget goes by that,
// not by the little that a quiet fleet holds.
func TestWarmupBudgetFollowsLoadReports(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	s := h.balancer.sortedServers[0]
	before := h.balancer.warmConnections(s)
	for range 20 {
		h.handle(LoadReport{Server: h.balancer.sortedServers[1].ID, Utilization: 0.25, Connections: 10})
	}
	if got := h.balancer.warmConnections(s); before != minWarmConnections || got < 0.6*40 || got > 40 {
		t.Errorf("held to bear %v, then %v with reports of 10 at a quarter", before, got)
	}
	s.Started = h.now
	for range 20 {
		h.handle(LoadReport{Server: s.ID, Utilization: 0.25, Connections: 1000})
	}
	if got := h.balancer.warmConnections(s); got > 40 {
		t.Errorf("a cold server's own report made it %v", got)
	}
}

// Where many gateways share a cold server each tries it seldom: together they are to use its budget, and
// neither to lose it in between nor to pass it, however many they are and however often clients come.
func TestManyGatewaysUseWarmupBudget(t *testing.T) {
	for _, f := range []struct {
		gateways int
		every    time.Duration // between requests at one gateway
	}{{48, 500 * ms}, {300, 500 * ms}, {300, 3 * sec}} {
		settings := testSettings()
		settings.Gateways, settings.WarmupDuration = f.gateways, 2*sec
		const span, members = 10 * sec, 50
		sent := 0
		for g := range f.gateways {
			h := newHarness(t, settings, members-1)
			h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1}}})
			h.balancer.refreshTable()
			s := h.balancer.servers[900]
			for i := 0; time.Duration(i)*f.every < 10*sec+span; i++ { // ten seconds ahead, to learn the rate
				h.now += f.every
				h.balancer.now, s.Started = h.now, h.now // stays as cold
				h.balancer.recentRequests.add(h.now, 1)
				id := RequestID(g*1000 + i + 1)
				for j := range maxNearLookups {
					if mix(uint64(id), uint64(j))%members == 0 && time.Duration(i)*f.every >= 10*sec &&
						h.balancer.admitToWarmingServer(&request{Request: Request{ID: id}}, s) {
						sent++
					}
				}
			}
		}
		budget := warmupBudgetRatio * 3 * minWarmConnections / 2 * span.Seconds()
		if n := float64(sent); n > 1.3*budget || n < 0.15*budget {
			t.Errorf("%d gateways, a request every %v: %d sent of %.1f", f.gateways, f.every, sent, budget)
		}
	}
}

// What is shed since warm servers are slow may still go to a cold one within its budget, and to no warm one.
func TestShedRequestsUseWarmupBudget(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.WarmupDuration = 300, sec/100
	h := newHarness(t, settings, 4)
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 4}}})
	h.balancer.slowRatio = 1
	sent := 0
	for i := range 200 {
		h.now += 500 * ms
		cold := h.balancer.servers[900]
		cold.Started = h.now // stays as cold
		h.handle(Request{ID: RequestID(i + 1), Class: "safe", Timeout: 2 * sec})
		for _, s := range actionsOf[Send](h.lastActions) {
			if s.Server != 900 {
				t.Fatalf("sent to warm server %d though all is shed", s.Server)
			}
			sent++
		}
		h.balancer.slowRatio = 1
	}
	if sent == 0 {
		t.Error("nothing went to the cold server, whose budget was whole")
	}
}
