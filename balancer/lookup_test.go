package balancer

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRequestGoesToItsTableEntry(t *testing.T) {
	h := newHarness(t, testSettings(), 9)
	for i := range 30 {
		group := fmt.Sprint("g", i)
		_, got := h.establish(idempotentClass, group)
		if want := h.tableEntry(group); got != want {
			t.Errorf("group %s is sent to %d, its entry is %d", group, got, want)
		}
	}
}

func TestRequestWithoutGroupIsPlacedByKey(t *testing.T) {
	h := newHarness(t, testSettings(), 9)
	h.handle(Request{ID: 1, Class: idempotentClass, Key: "alone", Timeout: sec})
	if want := h.tableEntry("alone"); h.onlySend().Server != want {
		t.Errorf("sent to %d, not %d", h.onlySend().Server, want)
	}
	h.handle(Request{ID: 2, Class: idempotentClass, Timeout: sec}) // without a key
	h.onlySend()
}

func TestLargeGroupOverflowsToOtherServers(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	connections := map[ServerID]int{}
	for range 80 {
		_, server := h.establish(idempotentClass, "hot")
		connections[server]++
	}
	if len(connections) < 2 || len(connections) == 8 {
		t.Errorf("a large group is on %d of 8 servers: %v", len(connections), connections)
	}
}

func TestGatewaysAgreeOnServerOfRetry(t *testing.T) {
	first, second := newHarness(t, testSettings(), 9), newHarness(t, testSettings(), 9)
	for i := range 4 {
		group := fmt.Sprint("g", i)
		first.request(idempotentClass, group)
		second.request(idempotentClass, group)
		for attempt := range 2 {
			if diff := cmp.Diff(first.onlySend(), second.onlySend()); diff != "" {
				t.Fatalf("group %s, attempt %d: sends of two gateways differ:\n%s", group, attempt, diff)
			}
			if attempt == 0 {
				first.endAttempt(first.onlySend(), 0, ConnectFailed)
				second.endAttempt(second.onlySend(), 0, ConnectFailed)
			}
		}
	}
}

func TestMidFlowRequestGoesToDrainingServerWithinGrace(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	_, owner := h.establish(idempotentClass, "g")
	h.listDelta(Server{ID: owner, State: Draining})
	midFlow := Request{ID: 500, Class: idempotentClass, Group: "g", MidFlow: true, Timeout: sec}
	h.handle(midFlow)
	if got := h.onlySend().Server; got != owner {
		t.Errorf("within the grace: sent to %d, not to its owner %d", got, owner)
	}
	h.now += 500 * ms // past the drain grace
	midFlow.ID++
	h.handle(midFlow)
	if got := h.onlySend().Server; got == owner {
		t.Error("sent to a draining server past the grace")
	}
}

func TestMidFlowRequestGoesToPreviousTableEntry(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	h.balancer.refreshTable()
	table, servers := h.balancer.table, h.balancer.tableServers
	h.listDelta(Server{ID: 900, Capacity: 1})
	for i := range 40 {
		group := fmt.Sprint("g", i)
		h.handle(Request{
			ID: RequestID(1000 + i), Class: idempotentClass, Group: group, MidFlow: true, Timeout: sec,
		})
		if want := servers[table.at(hashKey(group), 0)].ID; h.onlySend().Server != want {
			t.Fatalf("group %s is sent to %d, its previous entry is %d", group, h.onlySend().Server, want)
		}
	}
	h.now += 6 * sec // past the flow retention
	h.handle(Request{ID: 2000, Class: idempotentClass, Group: "x", MidFlow: true, Timeout: sec})
	if want := h.tableEntry("x"); h.onlySend().Server != want {
		t.Errorf("past the flow retention: sent to %d, the entry is %d", h.onlySend().Server, want)
	}
}

// A mid-flow request is sent to its key's entry at once: no load report tells who its owner is.
func TestMidFlowRequestIsSentWithoutPolling(t *testing.T) {
	h := newHarness(t, pollingSettings(), 8)
	h.handle(Request{ID: 1, Class: idempotentClass, Key: "a", Timeout: 2 * sec, MidFlow: true})
	h.balancer.refreshTable()
	want := []ServerID{h.balancer.lookup(h.balancer.requests[1], 0).ID}
	if diff := cmp.Diff(want, h.sentTo()); diff != "" {
		t.Errorf("servers sent to (-want +got):\n%s", diff)
	}
}

// A reconnecting client may have lost its connection to the entry, which this gateway cannot know, unless it
// has a live connection there itself.
func TestReconnectingClientSkipsEntryWithoutLiveConnection(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	send := func(id RequestID, isReconnecting bool) ServerID {
		h.handle(Request{
			ID: id, Class: idempotentClass, Group: "g", Key: "k", Reconnecting: isReconnecting, Timeout: sec,
		})
		return h.onlySend().Server
	}
	entry := h.tableEntry("g")
	skipped := 0
	for id := range RequestID(8) {
		if send(901+id, true) != entry {
			skipped++
		}
	}
	if skipped < 4 {
		t.Errorf("%d of 8 skipped the entry", skipped)
	}
	if got := send(1, false); got != entry {
		t.Fatalf("a new client is sent to %d, the entry is %d", got, entry)
	}
	h.handle(AttemptEstablished{ID: 1, Server: entry, Elapsed: 10 * ms})
	if got := send(1000, true); got != entry {
		t.Errorf("sent to %d, though there is a live connection at the entry %d", got, entry)
	}
}

// Where many gateways have a few members each of a group too large for one server, they spread it between
// them, and leave a small group in one place.
func TestGroupLargeAcrossGatewaysIsSharded(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 200
	b := newBalancer(t, settings)
	b.Handle(0, EndpointList{Mode: ListComplete, Servers: testServers(80)})
	b.refreshTable()
	for i := range 10 {
		group := fmt.Sprint("g", i%2*i)
		key := fmt.Sprint("k", i)
		b.Handle(0, Request{ID: RequestID(i), Class: idempotentClass, Group: group, Key: key, Timeout: sec})
	}
	large := b.groupShardCount(&request{Request: Request{Group: "g0"}})
	small := b.groupShardCount(&request{Request: Request{Group: "g1"}})
	if large < 10 || small > large/2 {
		t.Errorf("half of all connections over %.1f entries, a tenth over %.1f", large, small)
	}
}

// placeGroup places the members of a group on a fleet of 80 servers, each by a gateway of its own that has
// the servers' load reports alone. It returns over how many servers they are and how many are rejected.
func placeGroup(
	t *testing.T, group string, members int, utilization func(server, member int) float64,
) (servers, rejected int) {
	t.Helper()
	used := map[ServerID]bool{}
	for member := range members {
		h := newHarness(t, pollingSettings(), 80)
		for i, s := range h.balancer.sortedServers {
			h.handle(LoadReport{Server: s.ID, Utilization: utilization(i, member), Connections: 20})
		}
		h.handle(Request{
			ID: RequestID(member + 1), Class: idempotentClass, Key: fmt.Sprint("k", member), Group: group,
			Timeout: 2 * sec,
		})
		for _, server := range h.sentTo() {
			used[server] = true
		}
		rejected += len(h.rejections())
	}
	return len(used), rejected
}

// Where the fleet is busy, the members of a group go to near lookups, though servers of later lookups report
// less, one at one time and another at the next. With searches that went on until some server had capacity,
// 57 groups were over 550 servers after a restart of the fleet; as a group costs each of its servers as much
// as several connections, this alone filled the fleet.
func TestBusyFleetKeepsGroupsTogether(t *testing.T) {
	busy := func(server, member int) float64 { return 0.62 + 0.2*float64((server*37+member*13)%80)/80 }
	for _, group := range []string{"a", "b", "c"} {
		t.Run(group, func(t *testing.T) {
			if servers, rejected := placeGroup(t, group, 60, busy); servers > 9 || rejected > 0 {
				t.Errorf("%d servers for 60 members, %d rejected", servers, rejected)
			}
		})
	}
}

// Where the servers of near lookups are full, members of a group are rejected, as they may come again while a
// group that is spread stays so. Requests without a group are sent wherever there is capacity.
func TestGroupMembersAreRejectedWhenNearLookupsAreFull(t *testing.T) {
	mostlyFull := func(server, _ int) float64 {
		if server%20 == 7 {
			return 0.2
		}
		return 1.2
	}
	rejections := 0
	for _, group := range []string{"a", "b", "c", "d"} {
		servers, rejected := placeGroup(t, group, 20, mostlyFull)
		if servers > 4 {
			t.Errorf("group %s: at %d servers, 4 have capacity", group, servers)
		}
		rejections = max(rejections, rejected)
	}
	if rejections == 0 {
		t.Error("no member of any group is rejected")
	}
	if _, rejected := placeGroup(t, "", 20, mostlyFull); rejected > 0 {
		t.Errorf("%d requests without a group rejected, though servers have capacity", rejected)
	}
}
