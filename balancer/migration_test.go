package balancer

import (
	"fmt"
	"testing"
	"time"
)

// newSlowServerHarness returns a harness of one gateway of many. Its only connection belongs to the given
// group and is at a server that sweepSlowServer overloads. The request and that server are returned too.
func newSlowServerHarness(t *testing.T, group, key string) (*harness, RequestID, ServerID) {
	t.Helper()
	h := newHarness(t, pollingSettings(), 8)
	h.handle(Request{ID: 1, Class: idempotentClass, Group: group, Key: key, Timeout: 2 * sec})
	polls := actionsOf[PollLoad](h.lastActions)
	slow := polls[0].Server
	for _, p := range polls {
		h.handle(LoadReport{Server: p.Server, Utilization: 0.3, Connections: 20})
	}
	h.handle(AttemptEstablished{ID: 1, Server: slow, Elapsed: 10 * ms})
	h.advance(2 * loadReportTTL) // until the reports have expired
	return h, 1, slow
}

// sweepSlowServer has the slow server report an overload and delay the messages of a connection, and runs one
// sweep. Every server that the sweep polls reports free capacity. It returns the actions of the sweep.
func (h *harness) sweepSlowServer(id RequestID, slow ServerID) []Action {
	h.handle(LoadReport{Server: slow, Utilization: 1.4, Connections: 40})
	h.handle(MessageDelay{ID: id, Server: slow, Delay: sec / 2})
	actions := h.advance(sweepInterval)
	for _, p := range actionsOf[PollLoad](actions) {
		h.handle(LoadReport{Server: p.Server, Utilization: 0.2, Connections: 10})
	}
	return actions
}

// A gateway whose only report is that of the slow server polls others for capacity, and migrates connections
// once another server has some.
func TestPollsForCapacityBeforeMigratingOffSlowServer(t *testing.T) {
	const groups, sweeps = 20, 12
	migrated, polled := 0, 0
	for i := range groups {
		h, id, slow := newSlowServerHarness(t, fmt.Sprint("g", i), "k")
		for range sweeps {
			actions := h.sweepSlowServer(id, slow)
			for _, p := range actionsOf[PollLoad](actions) {
				if p.Server == slow {
					t.Fatal("the slow server was polled for capacity, want another server")
				}
				polled++
			}
			migrated += len(actionsOf[Migrate](actions))
		}
	}
	if polled == 0 || polled > groups*sweeps || migrated < 5 || migrated > 15 {
		t.Errorf("got %d polls, want 1 to 240; got %d of 20 migrated, want 5 to 15", polled, migrated)
	}
}

// Over all gateways a group either leaves a slow server completely or stays, because the server bears the
// cost of the group until its last connection has left.
func TestGroupsMigrateTogetherOffSlowServers(t *testing.T) {
	const groups, members = 30, 10
	split := 0
	for g := range groups {
		migrated := 0
		for m := range members {
			h, id, slow := newSlowServerHarness(t, fmt.Sprint("g", g), fmt.Sprint("k", m))
			for range 12 {
				migrated += len(actionsOf[Migrate](h.sweepSlowServer(id, slow)))
			}
		}
		if migrated > 0 && migrated < members {
			split++
		}
	}
	if split > groups/3 {
		t.Errorf("got %d of %d groups split, want a third at most", split, groups)
	}
}

func TestSlowServerGetsNoNewRequestsAndItsConnectionsMigrate(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	for i := range 40 { // most of the gateway's connections are at healthy servers
		h.establish(idempotentClass, fmt.Sprint("g", i))
	}
	id, slow := h.establish(idempotentClass, "g")
	for range 4 {
		h.establish(idempotentClass, "g")
	}
	if got := len(h.balancer.servers[slow].inFlight); got < 3 {
		t.Fatalf("got %d connections at the server, want 3 or more", got)
	}
	migrated := 0
	for i := range 4 {
		h.handle(MessageDelay{ID: id, Server: slow, Delay: time.Duration(200+900*i) * ms})
		if _, got := h.establish(idempotentClass, "g"); got == slow {
			t.Fatal("a request was sent to the slow server, want another server")
		}
		migrated += len(actionsOf[Migrate](h.advance(sec)))
	}
	if migrated == 0 {
		t.Error("no connection migrated off the slow server, want at least one")
	}
	h.handle(MessageDelay{ID: id, Server: slow, Delay: 10 * ms})
	if h.balancer.now < h.balancer.servers[slow].pausedUntil {
		t.Error("the server is still paused after its messages became fast again")
	}
}

func TestMessageDelayBelowObjectiveMigratesNothing(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	id, server := h.establish(idempotentClass, "g")
	// Above a third of the class's latency objective, below the objective.
	h.handle(MessageDelay{ID: id, Server: server, Delay: 40 * ms})
	if got := actionsOf[Migrate](h.advance(2 * sec)); len(got) > 0 {
		t.Errorf("got migrations %+v, want none", got)
	}
}

func TestSmallGroupsMigrateFirst(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	for range 10 {
		h.establish(idempotentClass, "large")
	}
	small, _ := h.establish(idempotentClass, "small")
	s := h.balancer.sortedServers[0]
	s.loadLimit, s.limitLoweredAt, s.pausedUntil = 1, h.now, h.now+sec
	s.messageDelay, s.migrationCredit = sec, 1
	h.balancer.migrateFrom(s)
	got := actionsOf[Migrate](h.balancer.actions)
	if len(got) == 0 || got[0].ID != small {
		t.Errorf("got migrations %+v, want first %d, the only connection of its group", got, small)
	}
}
