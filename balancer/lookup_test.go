package balancer

import (
	"fmt"
	"testing"
)

func TestRequestGoesToItsTableEntry(t *testing.T) {
	h := newHarness(t, testSettings(), 9)
	for i := range 30 {
		group := fmt.Sprint("g", i)
		_, first := h.establish("safe", group)
		if want := h.tableEntry(group); first != want {
			t.Errorf("group %s at %d, its entry is %d", group, first, want)
		}
	}
}

func TestRequestWithoutGroupIsPlacedByKey(t *testing.T) {
	h := newHarness(t, testSettings(), 9)
	h.handle(Request{ID: 1, Class: "safe", Key: "alone", Timeout: sec})
	if want := h.tableEntry("alone"); h.onlySend().Server != want {
		t.Errorf("sent to %d, not %d", h.onlySend().Server, want)
	}
	h.handle(Request{ID: 2, Class: "safe", Timeout: sec}) // no key at all
	h.onlySend()
}

func TestLargeGroupOverflowsToOtherServers(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	held := map[ServerID]int{}
	for range 80 {
		_, s := h.establish("safe", "hot")
		held[s]++
	}
	if len(held) < 2 || len(held) == 8 {
		t.Errorf("a hot group is on %d of 8 servers: %v", len(held), held)
	}
}

func TestGatewaysAgreeOnServerOfRetry(t *testing.T) {
	settings := testSettings()
	a, b := newHarness(t, settings, 9), newHarness(t, settings, 9)
	for i := range 4 {
		group := fmt.Sprint("g", i)
		a.request("safe", group)
		b.request("safe", group)
		if a.onlySend() != b.onlySend() {
			t.Fatalf("first: %+v and %+v", a.onlySend(), b.onlySend())
		}
		a.endAttempt(a.onlySend(), 0, ConnectFailed)
		b.endAttempt(b.onlySend(), 0, ConnectFailed)
		if a.onlySend() != b.onlySend() {
			t.Fatalf("second: %+v and %+v", a.onlySend(), b.onlySend())
		}
	}
}

func TestMidFlowRequestGoesToDrainingServerWithinGrace(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	_, held := h.establish("safe", "g")
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: held, State: Draining}}})
	stray := Request{ID: 500, Class: "safe", Group: "g", MidFlow: true, Timeout: sec}
	h.handle(stray)
	if got := h.onlySend().Server; got != held {
		t.Errorf("just after the change: sent to %d, held by %d", got, held)
	}
	h.now += 500 * ms // past the drain grace
	stray.ID++
	h.handle(stray)
	if got := h.onlySend().Server; got == held {
		t.Errorf("sent to a draining server past the grace")
	}
}

func TestMidFlowRequestGoesToPreviousTableEntry(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	h.balancer.refreshTable()
	before := h.balancer.table
	members := h.balancer.tableServers
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1}}})
	for i := range 40 {
		group := fmt.Sprint("g", i)
		h.handle(Request{ID: RequestID(1000 + i), Class: "safe", Group: group, MidFlow: true, Timeout: sec})
		if want := members[before.at(hashKey(group), 0)].ID; h.onlySend().Server != want {
			t.Fatalf("group %s sent to %d, held by %d", group, h.onlySend().Server, want)
		}
	}
	h.now += 6 * sec // past the park time
	h.handle(Request{ID: 2000, Class: "safe", Group: "x", MidFlow: true, Timeout: sec})
	if want := h.tableEntry("x"); h.onlySend().Server != want {
		t.Errorf("past the park time: sent to %d, entry is %d", h.onlySend().Server, want)
	}
}

// A connection that passes through is sent to its key's entry at once: no report tells who holds it.
func TestMidFlowRequestIsSentWithoutPolling(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.CanPollLoad = 300, true
	h := newHarness(t, settings, 8)
	h.handle(Request{ID: 1, Class: "safe", Key: "a", Timeout: 2 * sec, MidFlow: true})
	h.balancer.refreshTable()
	if s := actionsOf[Send](h.lastActions); len(s) != 1 ||
		s[0].Server != h.balancer.lookup(h.balancer.requests[1], 0).ID {
		t.Errorf("sent %v", s)
	}
}

// A client that returns knows of its old server what this gateway does not.
func TestReconnectingClientSkipsEntryWithoutLiveConnection(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	ask := func(id RequestID) ServerID {
		h.handle(Request{ID: id, Class: "safe", Group: "g", Key: "k", Reconnecting: id > 900, Timeout: sec})
		return h.onlySend().Server
	}
	entry := h.tableEntry("g")
	passed := 0
	for id := range RequestID(8) {
		if ask(901+id) != entry {
			passed++
		}
	}
	if passed < 4 {
		t.Errorf("%d of 8 passed over the entry", passed)
	}
	if got := ask(1); got != entry {
		t.Fatalf("a new client went to %d, the entry is %d", got, entry)
	}
	h.handle(AttemptEstablished{ID: 1, Server: entry, Elapsed: 10 * ms})
	if got := ask(1000); got != entry {
		t.Errorf("a client returned to %d, though this gateway holds a good connection at %d", got, entry)
	}
}

// Many gateways hold a few members each of a group that is too large for one server: between them they
// spread it, and leave a small one whole.
func TestGroupLargeAcrossGatewaysIsSharded(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 200
	b := newBalancer(t, settings)
	b.Handle(0, EndpointList{Mode: ListComplete, Servers: testServers(80)})
	b.refreshTable()
	for i := range 10 {
		group := fmt.Sprint("g", i%2*i)
		key := fmt.Sprint("k", i)
		b.Handle(0, Request{ID: RequestID(i), Class: "safe", Group: group, Key: key, Timeout: sec})
	}
	hot := b.groupShards(&request{Request: Request{Group: "g0"}})
	small := b.groupShards(&request{Request: Request{Group: "g1"}})
	if hot < 10 || small > hot/2 {
		t.Errorf("half of all connections over %.1f entries, a tenth over %.1f", hot, small)
	}
}

// placeGroup is over how many servers a group lies that is placed in a busy fleet of 80 servers, by gateways
// that each know what the servers tell and nothing of one another, and how many of its members are refused.
func placeGroup(
	t *testing.T, group string, members int, load func(server, member int) float64,
) (servers, refused int) {
	settings := testSettings()
	settings.Gateways, settings.CanPollLoad = 300, true
	over := map[ServerID]bool{}
	for n := range members {
		h := newHarness(t, settings, 80)
		for i, s := range h.balancer.sortedServers {
			h.handle(LoadReport{Server: s.ID, Utilization: load(i, n), Connections: 20})
		}
		h.handle(Request{ID: RequestID(n + 1), Class: "safe", Key: fmt.Sprint("k", n), Group: group,
			Timeout: 2 * sec})
		for _, s := range actionsOf[Send](h.lastActions) {
			over[s.Server] = true
		}
		refused += len(actionsOf[Reject](h.lastActions))
	}
	return len(over), refused
}

// A group stays together where the fleet is busy: its members go to what is near of its lookups, though
// servers far off report less, one at one time and another at the next. On a day of restarts each search went
// on until some server had room, so that 57 groups lay in 550 pieces; one costs its server as much as some
// connections, so that the scattering itself filled the fleet.
func TestBusyFleetKeepsGroupsTogether(t *testing.T) {
	busy := func(i, n int) float64 { return 0.62 + 0.2*float64((i*37+n*13)%80)/80 }
	for _, group := range []string{"a", "b", "c"} {
		if n, refused := placeGroup(t, group, 60, busy); n > 9 || refused > 0 {
			t.Errorf("group %s: %d servers for 60 members, %d refused", group, n, refused)
		}
	}
}

// Nor does it go far off where what is near has no room: who is refused may come again, a piece stays. Who
// has no group costs any server alike, and is taken wherever there is room.
func TestGroupMembersAreRejectedWhenNearLookupsAreFull(t *testing.T) {
	full := func(i, _ int) float64 {
		if i%20 == 7 {
			return 0.2
		}
		return 1.2
	}
	most := 0
	for _, group := range []string{"a", "b", "c", "d"} {
		n, refused := placeGroup(t, group, 20, full)
		if n > 4 {
			t.Errorf("group %s: at %d servers, %d have room", group, n, 4)
		}
		most = max(most, refused)
	}
	if most == 0 {
		t.Error("nobody was refused, whose lookups were full")
	}
	if _, refused := placeGroup(t, "", 20, full); refused > 0 {
		t.Errorf("%d without a group refused, though servers have room", refused)
	}
}
