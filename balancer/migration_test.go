package balancer

import (
	"fmt"
	"testing"
	"time"
)

// slowServerHarness is a gateway of many whose one connection, of a group, is at a server that reports too
// much load.
func slowServerHarness(t *testing.T, group, key string) (*harness, RequestID, ServerID) {
	settings := testSettings()
	settings.Gateways, settings.CanPollLoad = 300, true
	h := newHarness(t, settings, 8)
	h.handle(Request{ID: 1, Class: "safe", Group: group, Key: key, Timeout: 2 * sec})
	at := actionsOf[PollLoad](h.lastActions)[0].Server
	for _, a := range actionsOf[PollLoad](h.lastActions) {
		h.handle(LoadReport{Server: a.Server, Utilization: 0.3, Connections: 20})
	}
	h.handle(AttemptEstablished{ID: 1, Server: at, Elapsed: 10 * ms})
	h.advance(2 * loadReportTTL) // what the others said is old by now
	return h, 1, at
}

// A gateway that hears of nobody but the slow server that holds its clients asks others for room, and moves
// them once there is some.
func TestPollsForCapacityBeforeMigratingOffSlowServer(t *testing.T) {
	moved, asked := 0, 0
	for i := range 20 {
		h, id, at := slowServerHarness(t, fmt.Sprint("g", i), "k")
		for range 12 {
			h.handle(LoadReport{Server: at, Utilization: 1.4, Connections: 40})
			h.handle(MessageDelay{ID: id, Server: at, Delay: sec / 2})
			did := h.advance(sweepInterval)
			for _, a := range actionsOf[PollLoad](did) {
				if a.Server == at {
					t.Fatal("the slow server was asked for room")
				}
				asked++
				h.handle(LoadReport{Server: a.Server, Utilization: 0.2, Connections: 10})
			}
			moved += len(actionsOf[Migrate](did))
		}
	}
	if asked == 0 || asked > 20*12 || moved < 5 || moved > 15 {
		t.Errorf("%d asked and %d of 20 moved off servers at twice the load they bear well", asked, moved)
	}
}

// Over all gateways a group leaves a slow server whole, or stays: what it costs the server is paid until the
// last of its connections has gone.
func TestGroupsMigrateTogetherOffSlowServers(t *testing.T) {
	const groups, members = 30, 10
	part := 0
	for g := range groups {
		left := 0
		for m := range members {
			h, id, at := slowServerHarness(t, fmt.Sprint("g", g), fmt.Sprint("k", m))
			for range 12 {
				h.handle(LoadReport{Server: at, Utilization: 1.4, Connections: 40})
				h.handle(MessageDelay{ID: id, Server: at, Delay: sec / 2})
				did := h.advance(sweepInterval)
				for _, a := range actionsOf[PollLoad](did) {
					h.handle(LoadReport{Server: a.Server, Utilization: 0.2, Connections: 10})
				}
				left += len(actionsOf[Migrate](did))
			}
		}
		if left > 0 && left < members {
			part++
		}
	}
	if part > groups/3 {
		t.Errorf("%d of %d groups left in part", part, groups)
	}
}

func TestSlowServerGetsNoNewRequestsAndItsConnectionsMigrate(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	for i := range 40 { // most of what the gateway holds is well
		h.establish("safe", fmt.Sprint("g", i))
	}
	id, s := h.establish("safe", "g")
	for range 4 {
		h.establish("safe", "g")
	}
	if got := len(h.balancer.servers[s].inFlight); got < 3 {
		t.Fatalf("%d connections there", got)
	}
	moved := 0
	for i := range 4 {
		h.handle(MessageDelay{ID: id, Server: s, Delay: time.Duration(200+900*i) * ms})
		if _, got := h.establish("safe", "g"); got == s {
			t.Fatal("a slow server got a new connection")
		}
		moved += len(actionsOf[Migrate](h.advance(sec)))
	}
	if moved == 0 {
		t.Error("nothing moved off it")
	}
	h.handle(MessageDelay{ID: id, Server: s, Delay: 10 * ms})
	if h.balancer.now < h.balancer.servers[s].pausedUntil {
		t.Error("still busy after the word that it is over")
	}
}

func TestBriefMessageDelayMigratesNothing(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	id, s := h.establish("safe", "g")
	h.handle(MessageDelay{ID: id, Server: s, Delay: 40 * ms}) // above a third of the aim, below the aim
	if moves := actionsOf[Migrate](h.advance(2 * sec)); len(moves) > 0 {
		t.Errorf("moved %+v", moves)
	}
}

func TestSmallGroupsMigrateFirst(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	for range 10 {
		h.establish("safe", "large")
	}
	small, _ := h.establish("safe", "small")
	s := h.balancer.sortedServers[0]
	s.loadLimit, s.limitLoweredAt, s.pausedUntil = 1, h.now, h.now+sec
	s.messageDelay, s.migrationCredit = sec, 1
	h.balancer.migrateFrom(s)
	got := actionsOf[Migrate](h.balancer.actions)
	if len(got) == 0 || got[0].ID != small {
		t.Errorf("moved %+v, the lone member is %d", got, small)
	}
}
