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
					t.Fatal("sent to it")
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
			t.Fatalf("sent to %d", got)
		}
	}
}

// Lists that change nothing do not displace the table from before the last change.
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
		t.Errorf("%d past tables, then %d", after, len(h.balancer.pastTables))
	}
}

// A list that wrongly names all servers as removed, leaves all of them out, or is out of date, leaves the
// fleet served by the same table, and the correct list changes nothing.
func TestWrongListLeavesFleetServed(t *testing.T) {
	removed := testServers(8)
	for i := range removed {
		removed[i].State = Removed
	}
	const staleServer = 700
	// Two servers are missing, and one no longer exists.
	stale := append(testServers(6), Server{ID: staleServer, Capacity: 1})
	for _, c := range []struct {
		name         string
		wrong        EndpointList
		refillsTable bool // as the table had no entries of the missing servers
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
				if h.establishPastServer(group, staleServer) != before {
					changed++
				}
			}
			if changed > 8 {
				t.Errorf("%d of 30 groups are sent elsewhere", changed)
			}
			pastTables := len(h.balancer.pastTables)
			h.listComplete(testServers(8)...)
			h.balancer.refreshTable()
			unexported := cmp.AllowUnexported(weightedServer{})
			if diff := cmp.Diff(weights, h.balancer.tableWeights, unexported); diff != "" {
				t.Errorf("the table after the correct list (-want +got):\n%s", diff)
			}
			if !c.refillsTable && len(h.balancer.pastTables) != pastTables {
				t.Error("the correct list refilled the table")
			}
		})
	}
}

// establishPastServer is like establish, but no connection to one server is ever established.
func (h *harness) establishPastServer(group string, unreachable ServerID) ServerID {
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

// A server whose first mention in a list is as removed was never ready, whether removal is advisory or not.
func TestServerFirstListedAsRemovedGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
	}{{"removal binds", testSettings()}, {"removal is advisory", advisorySettings()}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.settings, 3)
			h.listDelta(Server{ID: 900, State: Removed})
			for i := range 60 {
				if h.request(idempotentClass, fmt.Sprint("g", i)); h.onlySend().Server == 900 {
					t.Fatal("sent to it")
				}
			}
			h.listDelta(Server{ID: 900, State: Ready})
			if h.balancer.servers[900].State != Ready {
				t.Error("not ready once it is listed as ready")
			}
		})
	}
}

// Where removal is advisory, a failed attempt confirms the removal of a server without live connections.
func TestFailureConfirmsRemoval(t *testing.T) {
	h := newHarness(t, advisorySettings(), 6)
	entry := h.tableEntry("g")
	h.listDelta(Server{ID: entry, State: Removed})
	first := h.requireSingleTrial("g", entry)
	h.endAttempt(first, 0, TimedOut)
	for range 100 {
		h.advance(sec)
		if h.request(idempotentClass, "g"); h.onlySend().Server == entry {
			t.Fatal("sent to a server whose removal was confirmed")
		}
	}
	h.listDelta(Server{ID: entry, State: Ready})
	if h.request(idempotentClass, "g"); h.onlySend().Server != entry {
		t.Error("not sent to once it is listed as ready again")
	}
}

func TestOnlyDrainingBindsWhereRemovalIsAdvisory(t *testing.T) {
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
		t.Fatalf("removed, but with a live connection: sent to %d, not %d", got, server)
	}
	h.listDelta(Server{ID: server, State: Draining}) // the grace starts now
	h.now += 300 * ms
	if got := sendMidFlow(); got != server {
		t.Errorf("within the grace a mid-flow request goes to %d, not %d", got, server)
	}
	h.now += 300 * ms
	for _, c := range []struct {
		name  string
		state ServerState
	}{{"draining", Draining}, {"removed", Removed}, {"ready, by a stale list", Ready}} {
		h.listDelta(Server{ID: server, State: c.state})
		if got := sendMidFlow(); got == server {
			t.Errorf("drained, then listed as %s: a mid-flow request is sent to it", c.name)
		}
		if _, got := h.establish(idempotentClass, "g"); got == server {
			t.Errorf("drained, then listed as %s: a request is sent to it", c.name)
		}
	}
	h.listDelta(Server{ID: server, State: Ready, Started: h.now - 30*sec})
	isUsed := false
	for i := range 60 {
		h.request(idempotentClass, fmt.Sprint("h", i))
		isUsed = isUsed || h.onlySend().Server == server
	}
	if !isUsed {
		t.Error("not sent to after a restart")
	}
}

// A fleet whose servers get new IDs over and over does not grow the memory.
func TestRemovedServersAreEvicted(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
	}{{"removal binds", testSettings()}, {"removal is advisory", advisorySettings()}} {
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
				t.Errorf("%d servers kept of 1200", kept)
			}
		})
	}
}

// inconsistentLists draws lists with servers twice, unknown IDs, drains of servers that were never ready, and
// with empty and stale lists among them.
type inconsistentLists struct {
	random *rand.Rand
	past   []EndpointList
	named  map[ServerID]bool // by any list
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
		l.named[s.ID] = true
	}
	return list
}

// Gateways that are given the same lists send a new key to the same server, and never to one that no list
// named.
func TestGatewaysAgreeOnInconsistentLists(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			lists := inconsistentLists{
				random: rand.New(rand.NewPCG(seed, 5)),
				past:   []EndpointList{{Mode: ListComplete}}, named: map[ServerID]bool{},
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
					if !lists.named[s.Server] {
						t.Fatalf("sent to %d, which no list named", s.Server)
					}
				}
				for _, h := range gateways[1:] {
					if diff := cmp.Diff(first, h.sendOnce(now, list, request)); diff != "" {
						t.Fatalf("list %d: sends of two gateways differ:\n%s", i, diff)
					}
				}
			}
		})
	}
}

// sendOnce handles a list and a request, and ends each attempt of it at once. It returns the sends.
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

// Guards against a table that leads to the record of an evicted server even after that server has returned,
// so that it gets nothing.
func TestReturnedServerIsUsedAfterItsEviction(t *testing.T) {
	const requests = 300
	for _, c := range []struct {
		name     string
		settings Settings
	}{{"removal binds", testSettings()}, {"removal is advisory", advisorySettings()}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.settings, 3)
			const returned ServerID = 101
			if before := h.countSentTo(returned, requests); before == 0 {
				t.Fatal("not sent to at first")
			}
			h.listDelta(Server{ID: returned, State: Removed})
			h.advance(40 * time.Minute)
			h.listComplete(testServers(3)...)
			if after := h.countSentTo(returned, requests); after < requests/6 {
				t.Errorf("after its return it gets %d of %d requests, its share is a third", after, requests)
			}
			if n := h.balancer.UnreachableServers(); n > 0 {
				t.Errorf("%d ready servers without an entry in the table", n)
			}
		})
	}
}

// Guards against the same in a past table, by which mid-flow requests are sent.
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
	h.request(idempotentClass, "other") // the table from before the removal becomes a past table
	h.handle(Request{ID: 500, Class: idempotentClass, Group: group, MidFlow: true, Timeout: sec})
	if got := h.onlySend().Server; got != returned {
		t.Errorf("sent to %d, not to its previous entry %d", got, returned)
	}
}

// countSentTo has requests of groups of their own come in, answers them, and counts those sent to a server.
func (h *harness) countSentTo(server ServerID, requests int) (count int) {
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
