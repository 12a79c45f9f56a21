package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestUnavailableServerGetsNoNewRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		state ServerState
	}{{"draining", Draining}, {"removed", Removed}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 5)
			_, server := h.establish(idempotentClass, "g")
			h.listDelta(Server{ID: server, State: c.state})
			for range 50 {
				if _, got := h.establish(idempotentClass, "g"); got == server {
					t.Fatal("sent a request to the unavailable server")
				}
			}
		})
	}
}

func TestServerMissingFromCompleteListIsRemoved(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	h.listComplete(testServers(1)...)
	for i := range 20 {
		if _, got := h.establish(idempotentClass, fmt.Sprint("g", i)); got != 100 {
			t.Fatalf("sent to server %d, want 100", got)
		}
	}
}

// Lists that change nothing do not displace the past table from before the last change.
func TestUnchangedListKeepsPastTables(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	h.balancer.refreshTable()
	h.listDelta(Server{ID: 900, Capacity: 1})
	h.balancer.refreshTable()
	after := len(h.balancer.pastTables)
	for range 3 {
		h.listDelta()
		h.balancer.refreshTable()
	}
	if after != 1 || len(h.balancer.pastTables) != 1 {
		t.Errorf("got %d past tables after a change, then %d, want 1 each", after, len(h.balancer.pastTables))
	}
}

// If removal is advisory, a wrong list does not take servers out of use: one that lists all servers as
// removed, leaves all of them out, or is out of date. The correct list that follows leads to the same table
// weights.
func TestWrongListLeavesFleetServed(t *testing.T) {
	removed := testServers(8)
	for i := range removed {
		removed[i].State = Removed
	}
	const staleServer = 700
	// The stale list lacks two servers and has one that no longer exists.
	stale := append(testServers(6), Server{ID: staleServer, Capacity: 1})
	for _, c := range []struct {
		name         string
		wrong        EndpointList
		refillsTable bool // the correct list changes the table, which the wrong list changed too
	}{
		{"all removed", EndpointList{Mode: ListDelta, Servers: removed}, false},
		{"empty", EndpointList{Mode: ListComplete}, false},
		{"stale", EndpointList{Mode: ListComplete, Servers: stale}, true},
		{"each server twice", EndpointList{Mode: ListComplete, Servers: append(removed, removed...)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, advisorySettings(), 8)
			h.balancer.refreshTable()
			weights := h.balancer.tableWeights
			servers := map[string]ServerID{}
			for i := range 30 {
				group := fmt.Sprint("g", i)
				_, servers[group] = h.establish(idempotentClass, group)
			}
			h.handle(c.wrong)
			changed := 0
			for group, before := range servers {
				if h.establishUnlessAt(group, staleServer) != before {
					changed++
				}
			}
			if changed > 8 {
				t.Errorf("%d of 30 groups are sent to another server than before, want at most 8", changed)
			}
			pastTables := len(h.balancer.pastTables)
			h.listComplete(testServers(8)...)
			h.balancer.refreshTable()
			unexported := cmp.AllowUnexported(weightedServer{})
			if diff := cmp.Diff(weights, h.balancer.tableWeights, unexported); diff != "" {
				t.Errorf("table weights after the correct list (-want +got):\n%s", diff)
			}
			if !c.refillsTable && len(h.balancer.pastTables) != pastTables {
				t.Error("the correct list replaced the table, want no change")
			}
		})
	}
}

// establishUnlessAt is like establish, but an attempt at the unreachable server fails to connect. It returns
// the server at which the connection is established.
func (h *harness) establishUnlessAt(group string, unreachable ServerID) ServerID {
	h.t.Helper()
	h.request(idempotentClass, group)
	s := h.onlySend()
	if s.Server == unreachable {
		h.endAttempt(s, 0, ConnectFailed)
		s = h.onlySend()
	}
	h.handle(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
	return s.Server
}

// A server that is listed as removed the first time it is listed gets no requests, whether removal is
// advisory or not.
func TestServerFirstListedAsRemovedGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
	}{{"removal is binding", testSettings()}, {"removal is advisory", advisorySettings()}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.settings, 3)
			h.listDelta(Server{ID: 900, State: Removed})
			for i := range 60 {
				if h.request(idempotentClass, fmt.Sprint("g", i)); h.onlySend().Server == 900 {
					t.Fatal("sent a request to the removed server")
				}
			}
			h.listDelta(Server{ID: 900, State: Ready})
			if h.balancer.servers[900].State != Ready {
				t.Error("the server is not ready after it was listed as ready")
			}
		})
	}
}

// If removal is advisory, a failed attempt confirms the removal of a server without established connections.
func TestFailureConfirmsRemoval(t *testing.T) {
	h := newHarness(t, advisorySettings(), 6)
	entry := h.tableEntry("g")
	h.listDelta(Server{ID: entry, State: Removed})
	first := h.requireSingleTrial("g", entry)
	h.endAttempt(first, 0, TimedOut)
	for range 100 {
		h.advance(sec)
		if h.request(idempotentClass, "g"); h.onlySend().Server == entry {
			t.Fatal("sent a request to a server whose removal was confirmed")
		}
	}
	h.listDelta(Server{ID: entry, State: Ready})
	if h.request(idempotentClass, "g"); h.onlySend().Server != entry {
		t.Error("the request is not sent to the server after it was listed as ready again")
	}
}

func TestOnlyDrainingIsBindingIfRemovalIsAdvisory(t *testing.T) {
	h := newHarness(t, advisorySettings(), 5)
	_, server := h.establish(idempotentClass, "g")
	sendMidFlow := func() ServerID {
		h.lastID++
		h.handle(Request{ID: h.lastID, Class: idempotentClass, Group: "g", MidFlow: true, Timeout: sec})
		return h.onlySend().Server
	}
	h.listDelta(Server{ID: server, State: Removed})
	h.now += 2 * sec
	if _, got := h.establish(idempotentClass, "g"); got != server {
		t.Fatalf("listed as removed, with an established connection: sent to server %d, want %d", got, server)
	}
	h.listDelta(Server{ID: server, State: Draining}) // the drain grace starts now
	h.now += 300 * ms
	if got := sendMidFlow(); got != server {
		t.Errorf("within the drain grace: mid-flow request sent to server %d, want %d", got, server)
	}
	h.now += 300 * ms
	for _, c := range []struct {
		name  string
		state ServerState
	}{{"draining", Draining}, {"removed", Removed}, {"ready by a stale list", Ready}} {
		h.listDelta(Server{ID: server, State: c.state})
		if got := sendMidFlow(); got == server {
			t.Errorf("drained, then listed as %s: a mid-flow request is sent to the server", c.name)
		}
		if _, got := h.establish(idempotentClass, "g"); got == server {
			t.Errorf("drained, then listed as %s: a request is sent to the server", c.name)
		}
	}
	h.listDelta(Server{ID: server, State: Ready, Started: h.now - 30*sec})
	isUsed := false
	for i := range 60 {
		h.request(idempotentClass, fmt.Sprint("h", i))
		isUsed = isUsed || h.onlySend().Server == server
	}
	if !isUsed {
		t.Error("no request is sent to the server after its restart")
	}
}

// Guards against memory that grows without bound in a fleet whose servers repeatedly get new IDs.
func TestRemovedServersAreEvicted(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
	}{{"removal is binding", testSettings()}, {"removal is advisory", advisorySettings()}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.settings, 0)
			kept := 0
			for round := range 300 {
				list := testServers(4)
				for i := range list {
					list[i].ID = ServerID(1000*round + i)
				}
				h.listComplete(list...)
				for i := range 3 {
					h.request(idempotentClass, fmt.Sprint("g", i))
					s := h.onlySend()
					result := ConnectFailed
					if int(s.Server)/1000 == round {
						result = OK
					}
					h.handle(AttemptEnded{ID: s.ID, Server: s.Server, Result: result, Answered: true})
				}
				h.advance(30 * sec)
				kept = max(kept, len(h.balancer.sortedServers), len(h.balancer.servers))
			}
			if kept > 200 {
				t.Errorf("up to %d of 1200 servers in memory, want at most 200", kept)
			}
		})
	}
}

// inconsistentLists draws lists that contain servers twice, unknown IDs, and draining servers that were never
// ready. Some lists are empty, and some are repeated later as stale lists.
type inconsistentLists struct {
	random *rand.Rand
	past   []EndpointList
	listed map[ServerID]bool // servers that any list contained
}

func (l *inconsistentLists) next(now time.Duration) EndpointList {
	list := EndpointList{Mode: ListMode(l.random.IntN(3))}
	for range l.random.IntN(9) {
		s := Server{ID: ServerID(100 + l.random.IntN(9)), State: ServerState(l.random.IntN(3))}
		if l.random.IntN(3) == 0 {
			s.Started = now - time.Duration(l.random.IntN(60))*sec
		}
		list.Servers = append(list.Servers, s)
	}
	if l.random.IntN(8) == 0 {
		list = l.past[l.random.IntN(len(l.past))]
	}
	l.past = append(l.past, list)
	for _, s := range list.Servers {
		l.listed[s.ID] = true
	}
	return list
}

// Gateways that receive the same lists send a new key to the same server, and never to a server that no list
// contained.
func TestGatewaysAgreeOnInconsistentLists(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			lists := inconsistentLists{
				random: rand.New(rand.NewPCG(seed, 5)),
				past:   []EndpointList{{Mode: ListComplete}}, listed: map[ServerID]bool{},
			}
			settings := testSettings()
			settings.RemovalIsAdvisory = seed%2 == 0
			var gateways []*harness
			for i := range uint64(3) {
				settings.Seed = seed*10 + i
				h := newHarnessWithoutList(t, settings)
				h.now = 50 * sec
				gateways = append(gateways, h)
			}
			now := 50 * sec
			for i := range 300 {
				now += time.Duration(lists.random.IntN(3000)) * ms
				list := lists.next(now)
				request := Request{
					ID: RequestID(i + 1), Class: idempotentClass, Key: fmt.Sprint("k", i), Timeout: sec,
				}
				first := gateways[0].sendOnce(now, list, request)
				for _, s := range first {
					if !lists.listed[s.Server] {
						t.Fatalf("sent to server %d, which no list contained", s.Server)
					}
				}
				for _, h := range gateways[1:] {
					if diff := cmp.Diff(first, h.sendOnce(now, list, request)); diff != "" {
						t.Fatalf("list %d: sends of two gateways differ (-first +other):\n%s", i, diff)
					}
				}
			}
		})
	}
}

// sendOnce feeds a list and a request, and ends each attempt of the request at once. It returns the sends.
func (h *harness) sendOnce(now time.Duration, list EndpointList, request Request) []Send {
	h.now = now
	h.handle(list)
	h.handle(request)
	sends := h.sends()
	for _, s := range sends {
		h.handle(AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
	}
	return sends
}

// A server that is evicted and listed again gets a new record. Guards against a table that still refers to
// the evicted record, so that the returned server gets no requests.
func TestReturnedServerIsUsedAfterItsEviction(t *testing.T) {
	const requests = 300
	for _, c := range []struct {
		name     string
		settings Settings
	}{{"removal is binding", testSettings()}, {"removal is advisory", advisorySettings()}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.settings, 3)
			const returned ServerID = 101
			if before := h.countSendsTo(returned, requests); before == 0 {
				t.Fatal("no request is sent to the server before its removal")
			}
			h.listDelta(Server{ID: returned, State: Removed})
			h.advance(40 * time.Minute)
			h.listComplete(testServers(3)...)
			if after := h.countSendsTo(returned, requests); after < requests/6 {
				t.Errorf("returned server got %d of %d requests, want at least a sixth", after, requests)
			}
			if n := h.balancer.UnreachableServers(); n > 0 {
				t.Errorf("got %d ready servers without an entry in the table, want 0", n)
			}
		})
	}
}

// A past table, which places mid-flow requests, finds a server that was evicted and listed again. Guards
// against past tables that refer to the evicted record.
func TestPastTableLeadsToServerThatReturnedAfterItsEviction(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	const returned ServerID = 101
	group := "g"
	for i := 0; h.tableEntry(group) != returned; i++ {
		group = fmt.Sprint("g", i)
	}
	h.listDelta(Server{ID: returned, State: Removed})
	h.advance(40 * time.Minute)
	back := append(testServers(3), Server{ID: 900, Capacity: 1})
	back[1].Started = -time.Hour
	h.listComplete(back...)
	h.request(idempotentClass, "other") // makes the table from before the removal a past table
	h.handle(Request{ID: 500, Class: idempotentClass, Group: group, MidFlow: true, Timeout: sec})
	if got := h.onlySend().Server; got != returned {
		t.Errorf("sent to server %d, want the previous entry %d", got, returned)
	}
}

// countSendsTo feeds requests, each of its own group, and answers them. It returns how many were sent to a
// server.
func (h *harness) countSendsTo(server ServerID, requests int) (count int) {
	h.t.Helper()
	for range requests {
		h.request(idempotentClass, fmt.Sprint("of its own ", h.lastID))
		sent := h.onlySend()
		if sent.Server == server {
			count++
		}
		h.handle(AttemptEnded{ID: sent.ID, Server: sent.Server, Result: OK, Answered: true})
	}
	return count
}
