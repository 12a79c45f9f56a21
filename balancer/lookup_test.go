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
			t.Errorf("group %s: sent to server %d, want %d", group, got, want)
		}
	}
}

func TestRequestWithoutGroupIsPlacedByKey(t *testing.T) {
	h := newHarness(t, testSettings(), 9)
	h.handle(Request{ID: 1, Class: idempotentClass, Key: "alone", Timeout: sec})
	if want := h.tableEntry("alone"); h.onlySend().Server != want {
		t.Errorf("sent to server %d, want %d", h.onlySend().Server, want)
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
		t.Errorf("large group is on %d of 8 servers, want 2 to 7: %v", len(connections), connections)
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
				t.Fatalf("group %s, attempt %d: sends differ (-first +second):\n%s", group, attempt, diff)
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
		t.Errorf("within the drain grace: sent to server %d, want its owner %d", got, owner)
	}
	h.now += 500 * ms // to the end of the drain grace
	midFlow.ID++
	h.handle(midFlow)
	if got := h.onlySend().Server; got == owner {
		t.Error("sent to a draining server after the drain grace")
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
			t.Fatalf("group %s: sent to %d, want its previous entry %d", group, h.onlySend().Server, want)
		}
	}
	h.now += 6 * sec // past FlowRetention
	h.handle(Request{ID: 2000, Class: idempotentClass, Group: "x", MidFlow: true, Timeout: sec})
	if want := h.tableEntry("x"); h.onlySend().Server != want {
		t.Errorf("past FlowRetention: sent to server %d, want the entry %d", h.onlySend().Server, want)
	}
}

// A mid-flow request is sent to its table entry without a load poll, since a load report does not show which
// server owns its connection.
func TestMidFlowRequestIsSentWithoutPolling(t *testing.T) {
	h := newHarness(t, pollingSettings(), 8)
	h.handle(Request{ID: 1, Class: idempotentClass, Key: "a", Timeout: 2 * sec, MidFlow: true})
	h.balancer.refreshTable()
	want := []ServerID{h.balancer.lookup(h.balancer.requests[1], 0).ID}
	if diff := cmp.Diff(want, h.sentTo()); diff != "" {
		t.Errorf("servers sent to (-want +got):\n%s", diff)
	}
}

// A reconnecting client may have lost its connection because its table entry fails. The client is sent to
// another server unless this gateway has an established connection to the entry itself, which shows that it
// serves.
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
		t.Errorf("%d of 8 reconnecting clients skipped the entry, want at least 4", skipped)
	}
	if got := send(1, false); got != entry {
		t.Fatalf("new client: sent to server %d, want the entry %d", got, entry)
	}
	h.handle(AttemptEstablished{ID: 1, Server: entry, Elapsed: 10 * ms})
	if got := send(1000, true); got != entry {
		t.Errorf("with a connection to the entry: sent to server %d, want the entry %d", got, entry)
	}
}

// If each of many gateways has a few members of a group that is too large for one server, the gateways spread
// the group over many entries. A smaller group is spread over fewer.
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
		t.Errorf("large group: %.1f shards, want at least 10; small: %.1f, want at most half", large, small)
	}
}

// placeGroup places the members of a group on a fleet of 80 servers. Each member comes to its own gateway,
// which knows only the servers' load reports. It returns the number of servers used and of members rejected.
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

// In a busy fleet, the members of a group stay within the lookups of a short search, although other servers
// report less load at one time or another. Guards against a search that goes on until some server has
// capacity: after a restart of the fleet it spread 57 groups over 550 servers. A group adds the load of
// several connections to each of its servers, so this alone filled the fleet.
func TestBusyFleetKeepsGroupsTogether(t *testing.T) {
	busy := func(server, member int) float64 { return 0.62 + 0.2*float64((server*37+member*13)%80)/80 }
	for _, group := range []string{"a", "b", "c"} {
		t.Run(group, func(t *testing.T) {
			if servers, rejected := placeGroup(t, group, 60, busy); servers > 9 || rejected > 0 {
				t.Errorf("60 members use %d servers, %d rejected; want at most 9 and none", servers, rejected)
			}
		})
	}
}

// If all servers of a short search are full, members of a group are rejected. A rejected member can retry
// later, whereas a group that has been spread stays spread. Requests without a group are sent wherever there
// is capacity.
func TestGroupMembersAreRejectedWhenShortSearchFindsNoCapacity(t *testing.T) {
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
			t.Errorf("group %s: uses %d servers, but only 4 have capacity", group, servers)
		}
		rejections = max(rejections, rejected)
	}
	if rejections == 0 {
		t.Error("no member of any group is rejected, want at least one")
	}
	if _, rejected := placeGroup(t, "", 20, mostlyFull); rejected > 0 {
		t.Errorf("got %d rejected requests without a group, want 0 as servers have capacity", rejected)
	}
}
