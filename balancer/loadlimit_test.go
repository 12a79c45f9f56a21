package balancer

import (
	"fmt"
	"testing"
)

// A limit follows what a server reports: down before messages are slow, up as soon as there is room again.
func TestLoadLimitFollowsReports(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for i := range 20 {
		h.now += 50 * ms
		for _, a := range h.handle(Request{ID: RequestID(i + 1), Class: "safe", Timeout: 2 * sec}) {
			if s, ok := a.(Send); ok {
				h.handle(AttemptEstablished{ID: s.ID, Server: s.Server})
			}
		}
	}
	s := h.balancer.servers[100]
	load := h.balancer.serverLoad(s)
	for _, f := range []struct{ report, least, most float64 }{
		{0.7, 0, 0},                     // nothing to say
		{1.4, 0.49 * load, 0.51 * load}, // asked for twice what it should be
		{0.7, 0.49 * load, 0.51 * load}, // neither way
		{0.35, 2 * load, 2.5 * load},
		{0, 7 * load, 9 * load}, // bounded
	} {
		h.handle(LoadReport{Server: 100, Utilization: f.report})
		if s.loadLimit < f.least || s.loadLimit > f.most {
			t.Errorf("at a load of %.1f a report of %.2f makes the limit %.2f, want %.2f to %.2f",
				load, f.report, s.loadLimit, f.least, f.most)
		}
	}
	h.handle(LoadReport{Server: 999, Utilization: 2}) // one that is not listed
}

// Where nothing tells of slow messages, set-ups that time out are the word of overload.
func TestSetupTimeoutsLowerLoadLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	_, s := h.establish("safe", "g")
	for range 3 {
		h.establish("safe", "g")
	}
	load := h.balancer.serverLoad(h.balancer.servers[s])
	h.request("safe", "g")
	if h.onlySend().Server != s {
		t.Fatalf("sent to %d", h.onlySend().Server)
	}
	h.endAttempt(h.onlySend(), 0, TimedOut)
	if limit := h.balancer.servers[s].loadLimit; limit == 0 || limit >= load {
		t.Errorf("limit %v at a load of %v", limit, load)
	}
}

// A server near its limit takes members of groups that it holds before those of groups new to it: each
// group costs it once, and spreading the last room over many groups wastes it.
func TestServerNearLoadLimitTakesOnlyItsOwnGroups(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	for range 20 {
		h.establish("dear", "held")
	}
	s := h.balancer.sortedServers[0]
	s.loadLimit, s.limitLoweredAt = 22, h.now
	if h.request("dear", "new"); len(actionsOf[Send](h.lastActions)) > 0 {
		t.Error("a new group took the last room")
	}
	if h.request("dear", "held"); len(actionsOf[Send](h.lastActions)) != 1 {
		t.Error("a group that is there found no room")
	}
}

// At any number of gateways a server that is told to be slow sheds a part, and the same clients at each.
func TestLoadLimitBelowOneConnectionAdmitsPartOfClients(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 200
	kept := map[string]bool{}
	for settings.Seed = range uint64(2) { // nothing of a gateway's own enters
		n := 0
		for i := range 400 {
			b := newBalancer(t, settings)
			b.Handle(0, EndpointList{Mode: ListComplete, Servers: testServers(1)})
			s := b.sortedServers[0]
			s.loadLimit, s.limitLoweredAt = 0.5, 0
			key := fmt.Sprint("k", i)
			req := Request{ID: 1, Class: "safe", Key: key, Timeout: sec}
			sent := len(actionsOf[Send](b.Handle(0, req))) == 1
			if was, again := kept[key]; again && was != sent {
				t.Fatalf("gateways differ on %s", key)
			}
			kept[key] = sent
			if sent {
				n++
			}
		}
		if n < 40 || n > 240 {
			t.Errorf("%d of 400 gateways sent one, at a limit of 0.5 connections", n)
		}
	}
}

// Of a server that holds nothing no more is heard: a limit in which no new group fits must not keep it out.
func TestIdleServerIsSentOneRequestDespiteLoadLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	id, s := h.establish("safe", "g")
	h.handle(LoadChanged{ID: id, Load: 1000})
	h.handle(LoadReport{Server: s, Utilization: 2})
	h.handle(AttemptEnded{ID: id, Server: s, Result: OK, Answered: true})
	h.handle(Request{ID: 900, Class: "safe", Key: "a", Group: "b", Timeout: 2 * sec, Load: 1000})
	if n := len(actionsOf[Send](h.lastActions)); n > 0 {
		t.Error("sent to a server that has just reported twice its load")
	}
	h.advance(2 * sec)
	for i, want := range []int{1, 0} {
		id := RequestID(901 + i)
		h.handle(Request{ID: id, Class: "safe", Key: "a", Group: "b", Timeout: 2 * sec, Load: 1000})
		if n := len(actionsOf[Send](h.lastActions)); n != want {
			t.Errorf("request %d: %d sent, want %d", i, n, want)
		}
	}
}
