package balancer

import (
	"fmt"
	"testing"
)

// A server's load limit follows the utilization that it reports: it falls before messages become slow and
// rises as soon as the server has capacity again.
func TestLoadLimitFollowsReports(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for i := range 20 {
		h.now += 50 * ms
		h.handle(Request{ID: RequestID(i + 1), Class: idempotentClass, Timeout: 2 * sec})
		for _, s := range h.sends() {
			h.handle(AttemptEstablished{ID: s.ID, Server: s.Server})
		}
	}
	s := h.balancer.servers[100]
	load := h.balancer.serverLoad(s)
	// The cases run in order: each starts from the limit that the previous one left.
	for _, c := range []struct {
		name                   string
		utilization, low, high float64
	}{
		{"at the target, without a limit", 0.7, 0, 0},
		{"twice the target", 1.4, 0.49 * load, 0.51 * load},
		{"at the target again", 0.7, 0.49 * load, 0.51 * load},
		{"half the target", 0.35, 2 * load, 2.5 * load},
		{"idle, which counts as minUtilization", 0, 7 * load, 9 * load},
	} {
		h.handle(LoadReport{Server: 100, Utilization: c.utilization})
		if s.loadLimit < c.low || s.loadLimit > c.high {
			t.Errorf("%s: at a load of %.1f and a report of %.2f: got a limit of %.2f, want %.2f to %.2f",
				c.name, load, c.utilization, s.loadLimit, c.low, c.high)
		}
	}
	h.handle(LoadReport{Server: 999, Utilization: 2}) // an unlisted server is ignored
}

// If no message delays are measured, set-ups that time out lower the limit.
func TestSetupTimeoutsLowerLoadLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	_, server := h.establish(idempotentClass, "g")
	for range 3 {
		h.establish(idempotentClass, "g")
	}
	load := h.balancer.serverLoad(h.balancer.servers[server])
	h.request(idempotentClass, "g")
	if h.onlySend().Server != server {
		t.Fatalf("request sent to server %d, want the server of the other connections", h.onlySend().Server)
	}
	h.endAttempt(h.onlySend(), 0, TimedOut)
	if limit := h.balancer.servers[server].loadLimit; limit == 0 || limit >= load {
		t.Errorf("got a limit of %v at a load of %v, want a limit below the load", limit, load)
	}
}

// A server near its limit takes members of groups that it already has, but no members of new groups, because
// each new group adds a cost once.
func TestServerNearLoadLimitTakesOnlyItsOwnGroups(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	for range 20 {
		h.establish(highPriorityClass, "present")
	}
	s := h.balancer.sortedServers[0]
	s.loadLimit, s.limitLoweredAt = 22, h.now
	if h.request(highPriorityClass, "new"); len(h.sends()) > 0 {
		t.Error("a member of a new group was sent, want it held back")
	}
	if h.request(highPriorityClass, "present"); len(h.sends()) != 1 {
		t.Error("a member of a group that the server has was not sent, want it sent")
	}
}

// At a limit below one connection for each gateway, a fraction of the clients is admitted. Every gateway
// admits the same clients.
func TestLoadLimitBelowOneConnectionAdmitsPartOfClients(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 200
	admitted := map[string]bool{}
	for settings.Seed = range uint64(2) {
		count := 0
		for i := range 400 {
			b := newBalancer(t, settings)
			b.Handle(0, EndpointList{Mode: ListComplete, Servers: testServers(1)})
			s := b.sortedServers[0]
			s.loadLimit, s.limitLoweredAt = 0.5, 0
			key := fmt.Sprint("k", i)
			actions := b.Handle(0, Request{ID: 1, Class: idempotentClass, Key: key, Timeout: sec})
			isSent := len(actionsOf[Send](actions)) == 1
			if before, isKnown := admitted[key]; isKnown && before != isSent {
				t.Fatalf("gateways differ on client %s, want the same decision", key)
			}
			admitted[key] = isSent
			if isSent {
				count++
			}
		}
		if count < 40 || count > 240 {
			t.Errorf("seed %d: got %d of 400 admitted at a limit of half a connection, want 40 to 240",
				settings.Seed, count)
		}
	}
}

// A server without connections from a gateway gives it no further signals, so a limit below the cost of any
// new group must not keep the server out of use forever.
func TestIdleServerIsSentOneRequestDespiteLoadLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	id, server := h.establish(idempotentClass, "g")
	h.handle(LoadChanged{ID: id, Load: 1000})
	h.handle(LoadReport{Server: server, Utilization: 2})
	h.handle(AttemptEnded{ID: id, Server: server, Result: OK, Answered: true})
	request := Request{
		ID: 900, Class: idempotentClass, Key: "a", Group: "b", Timeout: 2 * sec, Load: 1000,
	}
	if h.handle(request); len(h.sends()) > 0 {
		t.Error("a request was sent to a server that just reported twice its capacity, want none")
	}
	h.advance(2 * sec)
	for i, want := range []int{1, 0} {
		request.ID++
		if h.handle(request); len(h.sends()) != want {
			t.Errorf("request %d: got %d sends, want %d", i, len(h.sends()), want)
		}
	}
}
