package balancer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestUnavailableServerGetsNoNewRequests(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		h := newHarness(t, testSettings(), 5)
		_, s := h.establish("safe", "g")
		h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s, State: state}}})
		for range 50 {
			if _, got := h.establish("safe", "g"); got == s {
				t.Fatalf("state %v: sent to it", state)
			}
		}
	}
}

func TestServerMissingFromCompleteListIsRemoved(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	h.handle(EndpointList{Mode: ListComplete, Servers: testServers(1)})
	for i := range 20 {
		if _, got := h.establish("safe", fmt.Sprint("g", i)); got != 100 {
			t.Fatalf("sent to %d", got)
		}
	}
}

// Lists that change nothing must not push the table of the last real change out of memory.
func TestUnchangedListKeepsPastTables(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	h.balancer.refreshTable()
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1}}})
	h.balancer.refreshTable()
	past := len(h.balancer.pastTables)
	for range 3 {
		h.handle(EndpointList{Mode: ListDelta})
		h.balancer.refreshTable()
	}
	if past != 1 || len(h.balancer.pastTables) != 1 {
		t.Errorf("%d past tables, then %d", past, len(h.balancer.pastTables))
	}
}

// A list that wrongly calls every server gone, leaves all of them out, or is an old one, leaves the fleet
// served by the same table, and the true list's return changes nothing.
func TestWrongListLeavesFleetServed(t *testing.T) {
	gone := testServers(8)
	for i := range gone {
		gone[i].State = Removed
	}
	old := append(testServers(6), Server{ID: 700, Capacity: 1}) // two newer ones missing, one that is no more
	for name, wrong := range map[string]EndpointList{
		"all gone": {Mode: ListDelta, Servers: gone}, "empty": {Mode: ListComplete},
		"old":   {Mode: ListComplete, Servers: old},
		"twice": {Mode: ListComplete, Servers: append(gone, gone...)},
	} {
		h := newHarness(t, advisorySettings(), 8)
		at := map[string]ServerID{}
		h.balancer.refreshTable()
		shares := h.balancer.tableWeights
		for i := range 30 {
			group := fmt.Sprint("g", i)
			_, at[group] = h.establish("safe", group)
		}
		h.handle(wrong)
		moved := 0
		for group, before := range at {
			h.request("safe", group)
			s := h.onlySend()
			if s.Server == 700 { // never answers
				h.endAttempt(s, 0, ConnectFailed)
				s = h.onlySend()
			}
			h.handle(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
			if s.Server != before {
				moved++
			}
		}
		if moved > 8 {
			t.Errorf("%s: %d of 30 groups moved", name, moved)
		}
		past := len(h.balancer.pastTables)
		h.handle(EndpointList{Mode: ListComplete, Servers: testServers(8)})
		if h.balancer.refreshTable(); !slices.Equal(h.balancer.tableWeights, shares) {
			t.Errorf("%s: the true list left another table", name)
		}
		if name != "old" && len(h.balancer.pastTables) != past {
			t.Errorf("%s: the true list filled the table again", name)
		}
	}
}

// A server of which a list speaks first as gone was never there: no doubt makes it usable.
func TestServerFirstListedAsRemovedGetsNoRequests(t *testing.T) {
	for _, settings := range []Settings{testSettings(), advisorySettings()} {
		h := newHarness(t, settings, 3)
		h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, State: Removed}}})
		for i := range 60 {
			if h.request("safe", fmt.Sprint("g", i)); h.onlySend().Server == 900 {
				t.Fatalf("gone is advice: %v: sent to it", settings.RemovalIsAdvisory)
			}
		}
		h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, State: Ready}}})
		if h.balancer.servers[900].State != Ready {
			t.Error("listed as ready it is not used")
		}
	}
}

// A server in doubt that fails is gone, as listed; one that held a good connection takes more than that.
func TestFailureConfirmsRemoval(t *testing.T) {
	h := newHarness(t, advisorySettings(), 6)
	entry := h.tableEntry("g")
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: entry, State: Removed}}})
	first := h.sendOnTrial("g", entry)
	h.endAttempt(first, 0, TimedOut)
	for range 100 {
		h.advance(sec)
		if h.request("safe", "g"); h.onlySend().Server == entry {
			t.Fatal("sent to a server whose failure confirmed the list")
		}
	}
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: entry, State: Ready}}})
	if h.request("safe", "g"); h.onlySend().Server != entry {
		t.Error("listed as ready again, it gets nothing")
	}
}

func TestOnlyDrainingBindsWhereRemovalIsAdvisory(t *testing.T) {
	h := newHarness(t, advisorySettings(), 5)
	_, s := h.establish("safe", "g")
	state := func(state ServerState, started time.Duration) {
		h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s, State: state, Started: started}}})
	}
	stray := func() ServerID {
		h.lastID++
		h.handle(Request{ID: h.lastID, Class: "safe", Group: "g", MidFlow: true, Timeout: sec})
		return h.onlySend().Server
	}
	state(Removed, 0)
	h.now += 2 * sec
	if _, got := h.establish("safe", "g"); got != s {
		t.Fatalf("called gone with a good connection: sent to %d, not %d", got, s)
	}
	state(Draining, 0) // the grace starts now
	h.now += 300 * ms
	if got := stray(); got != s {
		t.Errorf("within the grace a stray goes to %d, not %d", got, s)
	}
	h.now += 300 * ms
	for _, next := range []ServerState{Draining, Removed, Ready} { // an old list may call it ready again
		state(next, 0)
		if got := stray(); got == s {
			t.Errorf("drained, then listed as %v: sent to it", next)
		}
		if _, got := h.establish("safe", "g"); got == s {
			t.Errorf("drained, then listed as %v: sent to it", next)
		}
	}
	state(Ready, h.now-30*sec)
	back := false
	for i := range 60 {
		h.request("safe", fmt.Sprint("h", i))
		back = back || h.onlySend().Server == s
	}
	if !back {
		t.Error("a new start does not clear the drain")
	}
}

// A fleet whose machines get new ids for months does not grow the memory, whether gone binds or not.
func TestRemovedServersAreEvicted(t *testing.T) {
	for _, advice := range []bool{false, true} {
		settings := testSettings()
		settings.RemovalIsAdvisory = advice
		h := newHarness(t, settings, 0)
		most := 0
		for round := range 300 {
			list := testServers(4)
			for i := range list {
				list[i].ID = ServerID(1000*round + i)
			}
			h.handle(EndpointList{Mode: ListComplete, Servers: list})
			for i := range 3 {
				h.request("safe", fmt.Sprint("g", i))
				if s := h.onlySend(); int(s.Server)/1000 == round {
					h.handle(AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
				} else {
					h.handle(AttemptEnded{ID: s.ID, Server: s.Server, Result: ConnectFailed, Answered: true})
				}
			}
			h.advance(30 * sec)
			most = max(most, len(h.balancer.sortedServers), len(h.balancer.servers))
		}
		if most > 200 {
			t.Errorf("gone is advice: %v: %d servers remembered of 1200", advice, most)
		}
	}
}

// Gateways that are fed the same lists, however odd, place a fresh key alike and never at a server that no
// list named: duplicates, unknown ids, drains of servers never ready, empty and old lists among them.
func TestGatewaysAgreeOnInconsistentLists(t *testing.T) {
	for seed := range uint64(12) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		settings := testSettings()
		settings.RemovalIsAdvisory = seed%2 == 0
		var gateways []*Balancer
		for i := range uint64(3) {
			settings.Seed = seed*10 + i
			gateways = append(gateways, newBalancer(t, settings))
		}
		named := map[ServerID]bool{}
		past := []EndpointList{{Mode: ListComplete}}
		now := 50 * sec
		for i := range 300 {
			now += time.Duration(rnd.IntN(3000)) * ms
			list := EndpointList{Mode: ListMode(rnd.IntN(3))}
			for range rnd.IntN(9) {
				s := Server{ID: ServerID(100 + rnd.IntN(9)), State: ServerState(rnd.IntN(3))}
				if rnd.IntN(3) == 0 {
					s.Started = now - time.Duration(rnd.IntN(60))*sec
				}
				list.Servers = append(list.Servers, s)
			}
			if rnd.IntN(8) == 0 {
				list = past[rnd.IntN(len(past))]
			}
			past = append(past, list)
			for _, s := range list.Servers {
				named[s.ID] = true
			}
			req := Request{ID: RequestID(i + 1), Class: "safe", Key: fmt.Sprint("k", i), Timeout: sec}
			var first []Action
			for g, b := range gateways {
				b.Handle(now, list)
				sends := []Action{}
				for _, a := range b.Handle(now, req) {
					if s, ok := a.(Send); ok {
						sends = append(sends, s)
						if !named[s.Server] {
							t.Fatalf("sent to %d, which no list named", s.Server)
						}
						b.Handle(now, AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
					}
				}
				if g == 0 {
					first = sends
				} else if !reflect.DeepEqual(first, sends) {
					t.Fatalf("list %d: gateway %d sends %+v, the first %+v", i, g, sends, first)
				}
			}
		}
	}
}
