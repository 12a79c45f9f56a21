package balancer

import (
	"fmt"
	"testing"
)

func TestPlacementFollowsTheTable(t *testing.T) {
	w := newWorld(t, settings(), 9)
	for i := range 30 {
		group := fmt.Sprint("g", i)
		_, first := w.open("safe", group)
		if want := w.entry(group); first != want {
			t.Errorf("group %s at %d, its entry is %d", group, first, want)
		}
	}
}

func TestClientKeyServesWithoutGroups(t *testing.T) {
	w := newWorld(t, settings(), 9)
	w.feed(Request{ID: 1, Class: "safe", Key: "alone", Timeout: sec})
	if want := w.entry("alone"); w.sent().Server != want {
		t.Errorf("sent to %d, not %d", w.sent().Server, want)
	}
	w.feed(Request{ID: 2, Class: "safe", Timeout: sec}) // no key at all
	w.sent()
}

func TestHotGroupOverflows(t *testing.T) {
	w := newWorld(t, settings(), 8)
	held := map[ServerID]int{}
	for range 80 {
		_, s := w.open("safe", "hot")
		held[s]++
	}
	if len(held) < 2 || len(held) == 8 {
		t.Errorf("a hot group is on %d of 8 servers: %v", len(held), held)
	}
}

func TestAlternatesAgreeBetweenGateways(t *testing.T) {
	set := settings()
	a, b := newWorld(t, set, 9), newWorld(t, set, 9)
	for i := range 4 {
		group := fmt.Sprint("g", i)
		a.request("safe", group)
		b.request("safe", group)
		if a.sent() != b.sent() {
			t.Fatalf("first: %+v and %+v", a.sent(), b.sent())
		}
		a.end(a.sent(), 0, ConnectFailed)
		b.end(b.sent(), 0, ConnectFailed)
		if a.sent() != b.sent() {
			t.Fatalf("second: %+v and %+v", a.sent(), b.sent())
		}
	}
}

func TestStrayGoesWhereItWas(t *testing.T) {
	w := newWorld(t, settings(), 5)
	_, held := w.open("safe", "g")
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: held, State: Draining}}})
	stray := Request{ID: 500, Class: "safe", Group: "g", MidFlow: true, Timeout: sec}
	w.feed(stray)
	if got := w.sent().Server; got != held {
		t.Errorf("just after the change: sent to %d, held by %d", got, held)
	}
	w.now += 500 * ms // past the drain grace
	stray.ID++
	w.feed(stray)
	if got := w.sent().Server; got == held {
		t.Errorf("sent to a draining server past the grace")
	}
}

func TestStrayAfterANewServerGoesToTheOldEntry(t *testing.T) {
	w := newWorld(t, settings(), 5)
	w.b.refreshTable()
	before := w.b.table
	members := w.b.tableServers
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1}}})
	for i := range 40 {
		group := fmt.Sprint("g", i)
		w.feed(Request{ID: RequestID(1000 + i), Class: "safe", Group: group, MidFlow: true, Timeout: sec})
		if want := members[before.at(hashKey(group), 0)].ID; w.sent().Server != want {
			t.Fatalf("group %s sent to %d, held by %d", group, w.sent().Server, want)
		}
	}
	w.now += 6 * sec // past the park time
	w.feed(Request{ID: 2000, Class: "safe", Group: "x", MidFlow: true, Timeout: sec})
	if want := w.entry("x"); w.sent().Server != want {
		t.Errorf("past the park time: sent to %d, entry is %d", w.sent().Server, want)
	}
}

// A connection that passes through is sent to its key's entry at once: no report tells who holds it.
func TestStrayIsNotHeldForReports(t *testing.T) {
	set := settings()
	set.Gateways, set.CanPollLoad = 300, true
	w := newWorld(t, set, 8)
	w.feed(Request{ID: 1, Class: "safe", Key: "a", Timeout: 2 * sec, MidFlow: true})
	w.b.refreshTable()
	if s := find[Send](w.last); len(s) != 1 || s[0].Server != w.b.lookup(w.b.requests[1], 0).ID {
		t.Errorf("sent %v", s)
	}
}

// A client that returns knows of its old server what this gateway does not.
func TestReturningClientPassesOverAnEntryThatNobodyVouchesFor(t *testing.T) {
	w := newWorld(t, settings(), 6)
	ask := func(id RequestID) ServerID {
		w.feed(Request{ID: id, Class: "safe", Group: "g", Key: "k", Reconnecting: id > 900, Timeout: sec})
		return w.sent().Server
	}
	entry := w.entry("g")
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
	w.feed(AttemptEstablished{ID: 1, Server: entry, Elapsed: 10 * ms})
	if got := ask(1000); got != entry {
		t.Errorf("a client returned to %d, though this gateway holds a good connection at %d", got, entry)
	}
}

// Many gateways hold a few members each of a group that is too large for one server: between them they
// spread it, and leave a small one whole.
func TestGroupThatNoGatewaySeesWholeIsSpread(t *testing.T) {
	set := settings()
	set.Gateways = 200
	b := mustNew(t, set)
	b.Handle(0, EndpointList{Mode: ListComplete, Servers: servers(80)})
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

// scattered is over how many servers a group lies that is placed in a busy fleet of 80 servers, by gateways
// that each know what the servers tell and nothing of one another, and how many of its members are refused.
func scattered(
	t *testing.T, group string, members int, load func(server, member int) float64,
) (servers, refused int) {
	set := settings()
	set.Gateways, set.CanPollLoad = 300, true
	over := map[ServerID]bool{}
	for n := range members {
		w := newWorld(t, set, 80)
		for i, s := range w.b.sortedServers {
			w.feed(LoadReport{Server: s.ID, Utilization: load(i, n), Connections: 20})
		}
		w.feed(Request{ID: RequestID(n + 1), Class: "safe", Key: fmt.Sprint("k", n), Group: group,
			Timeout: 2 * sec})
		for _, s := range find[Send](w.last) {
			over[s.Server] = true
		}
		refused += len(find[Reject](w.last))
	}
	return len(over), refused
}

// A group stays together where the fleet is busy: its members go to what is near of its lookups, though
// servers far off report less, one at one time and another at the next. On a day of restarts each search went
// on until some server had room, so that 57 groups lay in 550 pieces; one costs its server as much as some
// connections, so that the scattering itself filled the fleet.
func TestBusyFleetDoesNotScatterGroups(t *testing.T) {
	busy := func(i, n int) float64 { return 0.62 + 0.2*float64((i*37+n*13)%80)/80 }
	for _, group := range []string{"a", "b", "c"} {
		if n, refused := scattered(t, group, 60, busy); n > 9 || refused > 0 {
			t.Errorf("group %s: %d servers for 60 members, %d refused", group, n, refused)
		}
	}
}

// Nor does it go far off where what is near has no room: who is refused may come again, a piece stays. Who
// has no group costs any server alike, and is taken wherever there is room.
func TestFullLookupsRefuseAGroupsMembers(t *testing.T) {
	full := func(i, _ int) float64 {
		if i%20 == 7 {
			return 0.2
		}
		return 1.2
	}
	most := 0
	for _, group := range []string{"a", "b", "c", "d"} {
		n, refused := scattered(t, group, 20, full)
		if n > 4 {
			t.Errorf("group %s: at %d servers, %d have room", group, n, 4)
		}
		most = max(most, refused)
	}
	if most == 0 {
		t.Error("nobody was refused, whose lookups were full")
	}
	if _, refused := scattered(t, "", 20, full); refused > 0 {
		t.Errorf("%d without a group refused, though servers have room", refused)
	}
}
