package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

func settings() Settings {
	return Settings{
		Gateways: 2, MaxAttempts: 3, FlowRetention: 5 * sec, DrainGrace: 500 * ms,
		WarmupDuration: 20 * sec, ColdOverloadFactor: 3,
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent,
				SetupLatencyObjective: 500 * ms, Timeout: 2 * sec,
				PriorityWeight: 1, MessageLatencyObjective: 90 * ms},
			{Name: "keyed", Idempotency: WithIdempotencyKey, DedupScope: DedupScopeCell, DedupWindow: 3 * sec,
				SetupLatencyObjective: 500 * ms, Timeout: 2 * sec, PriorityWeight: 1},
			{Name: "unsafe", Idempotency: NonIdempotent,
				SetupLatencyObjective: 500 * ms, Timeout: 2 * sec, PriorityWeight: 1},
			{Name: "dear", Idempotency: Idempotent,
				SetupLatencyObjective: 500 * ms, Timeout: 2 * sec, PriorityWeight: 9},
		},
	}
}

func servers(n int) []Server {
	var list []Server
	for i := range n {
		s := Server{ID: ServerID(100 + i), Zone: fmt.Sprint("z", i%2), Cell: i % 3, Capacity: 1}
		list = append(list, s)
	}
	return list
}

// mustNew returns a Balancer; t may be nil.
func mustNew(t testing.TB, set Settings) *Balancer {
	b, err := New(set)
	if err != nil {
		if t == nil {
			panic(err)
		}
		t.Helper()
		t.Fatal(err)
	}
	return b
}

// world feeds one Balancer and keeps what it did.
type world struct {
	*testing.T
	b    *Balancer
	now  time.Duration
	last []Action // of the latest event
	id   RequestID
}

// unlisted is a world whose gateway has had no list yet.
func unlisted(t *testing.T, set Settings) *world {
	return &world{T: t, b: mustNew(t, set), now: 100 * sec}
}

func newWorld(t *testing.T, set Settings, n int) *world {
	w := unlisted(t, set)
	w.feed(EndpointList{Mode: ListComplete, Servers: servers(n)})
	return w
}

// A limit follows what a server reports: down before messages are slow, up as soon as there is room again.
func TestLimitFollowsReports(t *testing.T) {
	w := newWorld(t, settings(), 2)
	for i := range 20 {
		w.now += 50 * ms
		for _, a := range w.feed(Request{ID: RequestID(i + 1), Class: "safe", Timeout: 2 * sec}) {
			if s, ok := a.(Send); ok {
				w.feed(AttemptEstablished{ID: s.ID, Server: s.Server})
			}
		}
	}
	s := w.b.servers[100]
	load := w.b.serverLoad(s)
	for _, f := range []struct{ report, least, most float64 }{
		{0.7, 0, 0},                     // nothing to say
		{1.4, 0.49 * load, 0.51 * load}, // asked for twice what it should be
		{0.7, 0.49 * load, 0.51 * load}, // neither way
		{0.35, 2 * load, 2.5 * load},
		{0, 7 * load, 9 * load}, // bounded
	} {
		w.feed(LoadReport{Server: 100, Utilization: f.report})
		if s.loadLimit < f.least || s.loadLimit > f.most {
			t.Errorf("at a load of %.1f a report of %.2f makes the limit %.2f, want %.2f to %.2f",
				load, f.report, s.loadLimit, f.least, f.most)
		}
	}
	w.feed(LoadReport{Server: 999, Utilization: 2}) // one that is not listed
}

func (w *world) feed(ev Event) []Action {
	w.last = append([]Action(nil), w.b.Handle(w.now, ev)...)
	return w.last
}

// wait lets time pass with the housekeeping timer.
func (w *world) wait(d time.Duration) (all []Action) {
	for end := w.now + d; w.now < end; {
		w.now += min(sweepInterval, end-w.now)
		all = append(all, w.feed(TimerFired{Ref: sweepTimer})...)
	}
	return all
}

func (w *world) request(class, group string) RequestID {
	w.id++
	w.feed(Request{ID: w.id, Class: class, Key: fmt.Sprint("k", w.id), Group: group, Timeout: 2 * sec})
	return w.id
}

// open places a request and lets its connection stand.
func (w *world) open(class, group string) (RequestID, ServerID) {
	w.Helper()
	id := w.request(class, group)
	s := w.sent()
	w.feed(AttemptEstablished{ID: id, Server: s.Server, Elapsed: 10 * ms})
	return id, s.Server
}

// entry is the server where the ordinary path puts a key.
func (w *world) entry(key string) ServerID {
	w.b.refreshTable()
	return w.b.tableServers[w.b.table.at(hashKey(key), 0)].ID
}

// onTrial sends a group's first request to a server, and its next elsewhere as long as that one is out. It
// returns the first.
func (w *world) onTrial(group string, s ServerID) Send {
	w.Helper()
	w.request("safe", group)
	first := w.sent()
	if first.Server != s {
		w.Fatalf("group %s goes to %d, not %d", group, first.Server, s)
	}
	if w.request("safe", group); w.sent().Server == s {
		w.Error("a second attempt before the first stood")
	}
	return first
}

func find[A Action](actions []Action) (found []A) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// sent returns the one Send of the latest event.
func (w *world) sent() Send {
	w.Helper()
	sends := find[Send](w.last)
	if len(sends) != 1 {
		w.Fatalf("%d sends, not one: %+v", len(sends), w.last)
	}
	return sends[0]
}

func (w *world) end(s Send, attempt int, result Result) {
	w.feed(AttemptEnded{ID: s.ID, Attempt: attempt, Server: s.Server, Result: result, Elapsed: 10 * ms})
}

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

// Before the first list a request waits a little for it; no longer, and not past its deadline.
func TestNoListYetHoldsForAWhile(t *testing.T) {
	w := unlisted(t, settings())
	id := w.request("unsafe", "g")
	if len(find[Send](w.last))+len(find[Reject](w.last)) > 0 || len(find[SetTimer](w.last)) != 2 {
		t.Fatalf("not held: %+v", w.last)
	}
	if got := w.wait(firstListTimeout - 10*ms); len(find[Reject](got)) > 0 {
		t.Fatalf("answered early: %+v", got)
	}
	w.now += 10 * ms
	got := find[Reject](w.feed(TimerFired{Ref: oneShotTimer}))
	if len(got) != 1 || got[0].ID != id {
		t.Fatalf("when its time is up: %+v", w.last)
	}
	if got := w.wait(sec); len(find[Reject](got))+len(find[Fail](got)) > 0 {
		t.Errorf("answered twice: %+v", got)
	}
}

// A list that names no server is word enough: nothing is held for it.
func TestEmptyListRefusesAtOnce(t *testing.T) {
	w := newWorld(t, settings(), 2)
	w.feed(EndpointList{Mode: ListComplete})
	if w.request("unsafe", "g"); len(find[Reject](w.last)) != 1 {
		t.Errorf("actions %+v", w.last)
	}
}

// Clients that are turned away are told to come back spread over time, so that they do not come together.
func TestAdviceToReturnIsSpread(t *testing.T) {
	set := settings()
	set.MaxRetryAfter = 2 * sec
	w := newWorld(t, set, 2)
	w.feed(EndpointList{Mode: ListComplete})
	least, most := set.MaxRetryAfter, time.Duration(0)
	for range 100 {
		w.request("safe", "g")
		after := find[Reject](w.last)[0].RetryAfter
		least, most = min(least, after), max(most, after)
	}
	if least < 0 || most > set.MaxRetryAfter || most-least < set.MaxRetryAfter/3 {
		t.Errorf("told to return after %v to %v", least, most)
	}
}

func TestHeldRequestGoesOutWithTheList(t *testing.T) {
	w := unlisted(t, settings())
	id := w.request("safe", "g")
	w.feed(EndpointList{Mode: ListDelta, Servers: servers(3)})
	if w.sent().ID != id {
		t.Errorf("sent %+v", w.sent())
	}
}

// A held request sets one timer: on a day of overload, one for each look flooded the host.
func TestHeldRequestSetsOneTimer(t *testing.T) {
	w := unlisted(t, settings())
	w.request("safe", "g")
	wakes := 0
	for _, a := range find[SetTimer](w.wait(sec)) {
		if a.Ref == oneShotTimer {
			wakes++
		}
	}
	if wakes > 0 {
		t.Errorf("%d further timers while it was held", wakes)
	}
}

func TestRetryGoesToAnAlternate(t *testing.T) {
	w := newWorld(t, settings(), 6)
	w.request("safe", "g")
	tried := map[ServerID]bool{}
	for attempt := range 3 {
		s := w.sent()
		if tried[s.Server] {
			t.Errorf("attempt %d again at %d", attempt, s.Server)
		}
		tried[s.Server] = true
		w.end(s, attempt, TimedOut)
	}
	if len(find[Reject](w.last)) != 1 {
		t.Errorf("after the last attempt: %+v", w.last)
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

func TestUnsafeIsNotRepeated(t *testing.T) {
	for result, again := range map[Result]bool{
		TimedOut: false, Reset: false, Errored: false, Cancelled: false, Rejected: true, ConnectFailed: true,
	} {
		w := newWorld(t, settings(), 6)
		w.request("unsafe", "g")
		w.end(w.sent(), 0, result)
		if got := len(find[Send](w.last)) == 1; got != again {
			t.Errorf("%v: sent again: %v, want %v", result, got, again)
		}
		if got := len(find[Fail](w.last)) == 1; got == again || len(find[Reject](w.last)) > 0 {
			t.Errorf("%v: actions %+v", result, w.last)
		}
	}
}

func TestKeyedStaysInItsCellAndWindow(t *testing.T) {
	w := newWorld(t, settings(), 9)
	w.request("keyed", "g")
	first := w.sent()
	w.end(first, 0, TimedOut)
	second := w.sent()
	if a, b := w.b.servers[first.Server], w.b.servers[second.Server]; a.Cell != b.Cell || a == b {
		t.Errorf("cells %d and %d", a.Cell, b.Cell)
	}
	w.now += 3 * sec // past the window
	w.b.requests[second.ID].deadline = w.now + sec
	w.end(second, 1, TimedOut)
	if len(find[Send](w.last)) > 0 {
		t.Errorf("sent after the window: %+v", w.last)
	}
	if len(find[Fail](w.last)) != 1 || len(find[Reject](w.last)) > 0 {
		t.Errorf("answers: %+v", w.last)
	}
}

func TestDrainingServerGetsNothingNew(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		w := newWorld(t, settings(), 5)
		_, s := w.open("safe", "g")
		w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s, State: state}}})
		for range 50 {
			if _, got := w.open("safe", "g"); got == s {
				t.Fatalf("state %v: sent to it", state)
			}
		}
	}
}

func TestServerMissingFromAWholeListIsGone(t *testing.T) {
	w := newWorld(t, settings(), 3)
	w.feed(EndpointList{Mode: ListComplete, Servers: servers(1)})
	for i := range 20 {
		if _, got := w.open("safe", fmt.Sprint("g", i)); got != 100 {
			t.Fatalf("sent to %d", got)
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

// Lists that change nothing must not push the table of the last real change out of memory.
func TestUnchangedListKeepsThePast(t *testing.T) {
	w := newWorld(t, settings(), 5)
	w.b.refreshTable()
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1}}})
	w.b.refreshTable()
	past := len(w.b.pastTables)
	for range 3 {
		w.feed(EndpointList{Mode: ListDelta})
		w.b.refreshTable()
	}
	if past != 1 || len(w.b.pastTables) != 1 {
		t.Errorf("%d past tables, then %d", past, len(w.b.pastTables))
	}
}

func TestFailingServerLeavesTheTableAndReturns(t *testing.T) {
	w := newWorld(t, settings(), 6)
	_, s := w.open("safe", "g")
	w.request("safe", "g")
	w.end(w.sent(), 0, ConnectFailed)
	if len(find[Log](w.last)) != 1 {
		t.Errorf("no log line: %+v", w.last)
	}
	for range 5 {
		if _, got := w.open("safe", "g"); got == s {
			t.Fatal("sent to an ejected server")
		}
	}
	logs := find[Log](w.wait(baseEjectionDuration + sec))
	if len(logs) != 1 || !strings.Contains(logs[0].Message, "ended") {
		t.Errorf("log lines at its return: %+v", logs)
	}
	first := w.onTrial("g", s)
	w.feed(AttemptEnded{ID: first.ID, Server: s, Result: TimedOut, Elapsed: 300 * ms})
	if w.b.servers[s].ejectedUntil == 0 {
		t.Error("it failed on probation and stays")
	}
}

func TestSharedTroubleEjectsNoMoreThanTheCap(t *testing.T) {
	w := newWorld(t, settings(), 8)
	for i := range 200 {
		w.request("safe", fmt.Sprint("g", i))
		if len(find[Send](w.last)) == 1 {
			w.end(w.sent(), 0, TimedOut)
		}
	}
	out := 0
	for _, s := range w.b.sortedServers {
		if s.ejectedUntil > 0 {
			out++
		}
	}
	if out > 4 {
		t.Errorf("%d of 8 servers ejected", out)
	}
}

func TestSlowServerGetsNothingNewAndItsConnectionsMove(t *testing.T) {
	w := newWorld(t, settings(), 6)
	for i := range 40 { // most of what the gateway holds is well
		w.open("safe", fmt.Sprint("g", i))
	}
	id, s := w.open("safe", "g")
	for range 4 {
		w.open("safe", "g")
	}
	if got := len(w.b.servers[s].inFlight); got < 3 {
		t.Fatalf("%d connections there", got)
	}
	moved := 0
	for i := range 4 {
		w.feed(MessageDelay{ID: id, Server: s, Delay: time.Duration(200+900*i) * ms})
		if _, got := w.open("safe", "g"); got == s {
			t.Fatal("a slow server got a new connection")
		}
		moved += len(find[Migrate](w.wait(sec)))
	}
	if moved == 0 {
		t.Error("nothing moved off it")
	}
	w.feed(MessageDelay{ID: id, Server: s, Delay: 10 * ms})
	if w.b.now < w.b.servers[s].pausedUntil {
		t.Error("still busy after the word that it is over")
	}
}

// Where nothing tells of slow messages, set-ups that time out are the word of overload.
func TestTimedOutSetUpsLowerTheLimit(t *testing.T) {
	w := newWorld(t, settings(), 6)
	_, s := w.open("safe", "g")
	for range 3 {
		w.open("safe", "g")
	}
	load := w.b.serverLoad(w.b.servers[s])
	w.request("safe", "g")
	if w.sent().Server != s {
		t.Fatalf("sent to %d", w.sent().Server)
	}
	w.end(w.sent(), 0, TimedOut)
	if limit := w.b.servers[s].loadLimit; limit == 0 || limit >= load {
		t.Errorf("limit %v at a load of %v", limit, load)
	}
}

func TestPassingWordOfSlownessMovesNothing(t *testing.T) {
	w := newWorld(t, settings(), 6)
	id, s := w.open("safe", "g")
	w.feed(MessageDelay{ID: id, Server: s, Delay: 40 * ms}) // above a third of the aim, below the aim
	if moves := find[Migrate](w.wait(2 * sec)); len(moves) > 0 {
		t.Errorf("moved %+v", moves)
	}
}

func TestOverloadKeepsRoomForTheWorthier(t *testing.T) {
	w := newWorld(t, settings(), 1)
	for range 12 {
		w.open("safe", "g")
		w.open("dear", "g")
	}
	s := w.b.sortedServers[0]
	w.b.lowerLoadLimit(s, 1, 0)
	s.loadLimit = 40
	if w.request("safe", "g"); len(find[Send](w.last)) > 0 {
		t.Error("the less worthy filled what is kept")
	}
	if w.request("dear", "g"); len(find[Send](w.last)) != 1 {
		t.Error("the worthier found no room")
	}
}

// A server near its limit takes members of groups that it holds before those of groups new to it: each
// group costs it once, and spreading the last room over many groups wastes it.
func TestNearItsLimitAServerKeepsToItsGroups(t *testing.T) {
	w := newWorld(t, settings(), 1)
	for range 20 {
		w.open("dear", "held")
	}
	s := w.b.sortedServers[0]
	s.loadLimit, s.limitLoweredAt = 22, w.now
	if w.request("dear", "new"); len(find[Send](w.last)) > 0 {
		t.Error("a new group took the last room")
	}
	if w.request("dear", "held"); len(find[Send](w.last)) != 1 {
		t.Error("a group that is there found no room")
	}
}

func TestSmallGroupsMoveFirst(t *testing.T) {
	w := newWorld(t, settings(), 1)
	for range 10 {
		w.open("safe", "large")
	}
	small, _ := w.open("safe", "small")
	s := w.b.sortedServers[0]
	s.loadLimit, s.limitLoweredAt, s.pausedUntil = 1, w.now, w.now+sec
	s.messageDelay, s.migrationCredit = sec, 1
	w.b.migrateFrom(s)
	got := find[Migrate](w.b.actions)
	if len(got) == 0 || got[0].ID != small {
		t.Errorf("moved %+v, the lone member is %d", got, small)
	}
}

func TestTrafficOverQuotaYields(t *testing.T) {
	set := settings()
	set.OverQuotaWeightFactor = 0.1
	set.Tenants = []Tenant{{Name: "in", ConnectionQuota: 1000}, {Name: "over", ConnectionQuota: 4}}
	w := newWorld(t, set, 3)
	for i := range RequestID(5) {
		w.feed(Request{ID: 100 + i, Class: "safe", Tenant: "over", Group: "g", Timeout: sec})
	}
	in, over := Request{Class: "safe", Tenant: "in"}, Request{Class: "safe", Tenant: "over"}
	a, b := w.b.priorityPerLoad(&request{Request: in}), w.b.priorityPerLoad(&request{Request: over})
	if b >= a {
		t.Errorf("worth %v within and %v over the quota", a, b)
	}
}

// The budget holds in sum, whether one gateway serves or 235, also when the clients of a lost part of the
// fleet return at once: each gateway is fed its part of the same requests.
func TestColdServerHasABudgetAtAnyNumberOfGateways(t *testing.T) {
	for _, gateways := range []int{1, 4, 235} {
		set := settings()
		set.Gateways, set.ColdOverloadDuration = gateways, 2*sec
		var worlds []*world
		for range gateways {
			worlds = append(worlds, newWorld(t, set, 8))
		}
		start := worlds[0].now
		sent, full := map[time.Duration]int{}, 0.0
		id := 0
		serve := func(window time.Duration, n int) {
			for range n {
				w := worlds[id%gateways]
				id++
				key := fmt.Sprint("k", id)
				w.feed(Request{ID: RequestID(id), Class: "safe", Key: key, Timeout: 2 * sec})
				for _, s := range find[Send](w.last) {
					w.feed(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
					if window > 0 { // gone again, so that what a server bears stays the same
						w.feed(AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
					}
					if s.Server == 900 {
						sent[window]++
					}
				}
			}
		}
		serve(0, 240) // thirty on each warm server
		for _, w := range worlds {
			w.now = start + 9*sec
			w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1, Started: start}}})
			full += w.b.warmConnections(w.b.servers[900]) / float64(gateways)
		}
		for i := range 5 {
			for _, w := range worlds {
				w.now += 2 * sec
			}
			serve(time.Duration(i+1), 300)
		}
		total := 0
		for window, n := range sent {
			// Three times what fills it over the cold time, which is thirty connections.
			if allowed := 3.0 * 30 / 20 * 2; float64(n) > allowed {
				t.Errorf("%d gateways sent %d in window %d, %.1f are allowed", gateways, n, window, allowed)
			}
			total += n
		}
		if total == 0 || full > 31 {
			t.Errorf("%d gateways sent %d, held to bear %.0f", gateways, total, full)
		}
	}
}

func TestWholeFleetColdIsServedWithinBudget(t *testing.T) {
	w := newWorld(t, settings(), 0)
	list := servers(4)
	for i := range list {
		list[i].Started = w.now - 2*sec
	}
	w.feed(EndpointList{Mode: ListComplete, Servers: list})
	sends := 0
	for i := range 40 {
		w.request("safe", fmt.Sprint("g", i))
		sends += len(find[Send](w.last))
	}
	if sends > 4 {
		t.Errorf("%d at once to four cold servers", sends)
	}
	for range 15 {
		w.wait(sec)
		w.request("safe", "g")
		sends += len(find[Send](w.last))
	}
	if sends == 0 {
		t.Error("a cold fleet got nothing in 15 s")
	}
}

func TestLateAndUnknownEventsAreHarmless(t *testing.T) {
	w := newWorld(t, settings(), 3)
	id := w.request("safe", "g")
	s := w.sent()
	for _, ev := range []Event{
		Request{ID: id, Class: "safe", Group: "g", Timeout: sec}, // twice
		AttemptEstablished{ID: 77, Server: 100}, AttemptEstablished{ID: id, Server: s.Server, Attempt: 5},
		AttemptEnded{ID: 77, Server: 100, Result: OK},
		AttemptEnded{ID: id, Server: s.Server, Attempt: 4, Result: Reset},
		ClientDisconnected{ID: 77}, TimerFired{Ref: 12345}, LoadChanged{ID: 77, Load: 1},
		MessageDelay{ID: 77, Server: 4242, Delay: sec},
		AdoptedConnection{Request: Request{ID: 78}, Server: 4242},
		EndpointList{Mode: ListDelta},
	} {
		for _, a := range w.feed(ev) {
			switch a.(type) {
			case Log, SetTimer:
			default:
				t.Errorf("%+v answered with %+v", ev, a)
			}
		}
	}
	w.feed(ClientDisconnected{ID: id})
	w.end(s, 0, TimedOut)
	if len(w.last) > 0 {
		t.Errorf("after the client left: %+v", w.last)
	}
	if len(w.b.requests) > 0 {
		t.Errorf("%d requests remembered", len(w.b.requests))
	}
}

func TestCarriedConnectionsCount(t *testing.T) {
	w := newWorld(t, settings(), 3)
	w.feed(AdoptedConnection{Request: Request{ID: 5, Class: "safe", Group: "g"}, Server: 101})
	if got := len(w.b.servers[101].inFlight); got != 1 {
		t.Fatalf("%d connections at its server", got)
	}
	w.feed(AttemptEnded{ID: 5, Server: 101, Result: OK, Answered: true})
	if got := len(w.b.servers[101].inFlight); got != 0 {
		t.Errorf("%d connections after its end", got)
	}
}

func TestRestartClearsTheRecord(t *testing.T) {
	w := newWorld(t, settings(), 3)
	s := w.b.sortedServers[0]
	w.b.scoreResult(s, ConnectFailed, false, 0)
	if s.ejectedUntil == 0 {
		t.Fatal("not ejected")
	}
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s.ID, Started: w.now}}})
	if s.ejectedUntil != 0 || s.failureScore.sum != 0 {
		t.Error("the new process bears the old one's record")
	}
}

func TestBadSettingsAreAnError(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"negative time":  func(s *Settings) { s.DrainGrace = -1 },
		"class twice":    func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"negative worth": func(s *Settings) { s.Classes[0].PriorityWeight = -1 },
		"BudgetFree":     func(s *Settings) { s.RetryBudgetMin = -1 },
		"BudgetShare":    func(s *Settings) { s.RetryBudgetRatio = math.NaN() },
		"BudgetSpan":     func(s *Settings) { s.RetryBudgetWindow = -sec },
		"TipMultiple":    func(s *Settings) { s.ColdOverloadFactor = math.Inf(1) },
	} {
		set := settings()
		spoil(&set)
		if b, err := New(set); err == nil || b != nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := New(Settings{}); err != nil {
		t.Errorf("no settings at all: %v", err)
	}
}

func TestUnknownClassIsTreatedAsUnsafe(t *testing.T) {
	w := newWorld(t, settings(), 4)
	w.request("never heard of", "g")
	w.end(w.sent(), 0, TimedOut)
	if len(find[Fail](w.last)) != 1 {
		t.Errorf("actions %+v", w.last)
	}
}

// A gateway whose own connections are mostly on slow servers takes the fleet to be jammed: it refuses
// some of what comes, first what earns least, at once, and takes it again once the jam is over.
func TestJamRefusesWhatEarnsLeast(t *testing.T) {
	w := newWorld(t, settings(), 40)
	var ids []RequestID
	for i := range 40 {
		id, _ := w.open("safe", fmt.Sprint("g", i))
		ids = append(ids, id)
	}
	for _, id := range ids[:28] {
		w.feed(MessageDelay{ID: id, Server: w.b.requests[id].server.ID, Delay: 60 * ms})
	}
	w.wait(sweepInterval)
	sent := map[string]int{}
	for i := range 200 {
		class := []string{"safe", "dear"}[i%2]
		w.request(class, fmt.Sprint("new", i))
		sent[class] += len(find[Send](w.last))
	}
	if sent["safe"] > 70 || sent["dear"] <= sent["safe"] {
		t.Errorf("sent of 100 each: %v", sent)
	}
	for _, id := range ids[:28] {
		if r := w.b.requests[id]; r.server != nil {
			w.feed(MessageDelay{ID: id, Server: r.server.ID, Delay: 10 * ms})
		}
	}
	w.wait(sweepInterval)
	if w.request("safe", "after"); len(find[Send](w.last)) != 1 {
		t.Errorf("after the jam: %+v", w.last)
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

// At any number of gateways a server that is told to be slow sheds a part, and the same clients at each.
func TestLimitUnderOneConnectionIsKeptByChance(t *testing.T) {
	set := settings()
	set.Gateways = 200
	kept := map[string]bool{}
	for set.Seed = range uint64(2) { // nothing of a gateway's own enters
		n := 0
		for i := range 400 {
			b := mustNew(t, set)
			b.Handle(0, EndpointList{Mode: ListComplete, Servers: servers(1)})
			s := b.sortedServers[0]
			s.loadLimit, s.limitLoweredAt = 0.5, 0
			key := fmt.Sprint("k", i)
			req := Request{ID: 1, Class: "safe", Key: key, Timeout: sec}
			sent := len(find[Send](b.Handle(0, req))) == 1
			if was, again := kept[key]; again && was != sent {
				t.Fatalf("gateways differ on %s", key)
			}
			kept[key] = sent
			if sent {
				n++
			}
		}
		if n < 40 || n > 240 {
			t.Errorf("%d of 400 gateways sent one, at a limit of 0.5 connections", n)
		}
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

// Fleets and gateways of any number, also replaced by new ids at once, with hints that differ by a factor of
// a thousand: each request is sent or held, and nothing panics.
func TestAnySizeOfFleetIsServed(t *testing.T) {
	for _, gateways := range []int{0, 1, 1000} {
		for _, n := range []int{0, 1, 2, 100, 1000} {
			set := settings()
			set.Gateways, set.DrainGrace = gateways, 0
			w := newWorld(t, set, n)
			for round := range 3 {
				list := servers(n)
				for i := range list {
					list[i].ID += ServerID(round * 5000)
					list[i].Capacity = []float64{0.001, 1, 0}[(i+round)%3]
				}
				w.feed(EndpointList{Mode: ListComplete, Servers: list})
				for i := range 30 {
					w.request("safe", fmt.Sprint("g", i%4))
					sends := find[Send](w.last)
					if len(sends) != min(n, 1) {
						t.Fatalf("%d gateways, %d servers: %d sends", gateways, n, len(sends))
					}
					for _, s := range sends {
						if int(s.Server)/5000 != round {
							t.Fatalf("sent to %d, which round %d does not list", s.Server, round)
						}
					}
				}
			}
		}
	}
}

// Every further attempt of a long run with bursts and silences keeps to the budget, by a recount of the span
// that ends with it, and what the budget allows is used: a bucket that merely averages to it would either
// break it where the requests that earned an attempt age out first, or never give back what is free.
func TestFurtherAttemptsKeepToTheBudget(t *testing.T) {
	for _, budget := range []struct{ free, share float64 }{{5, 0}, {0, 0.1}, {5, 0.1}, {2.5, 0.02}, {0, 0}} {
		set := settings()
		set.MaxAttempts = 6
		set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetRatio = 5*sec, budget.free, budget.share
		w, l := newWorld(t, set, 40), ledger{}
		rnd := rand.New(rand.NewPCG(3, 9))
		for range 4000 {
			switch rnd.IntN(40) {
			case 0:
				w.wait(time.Duration(rnd.IntN(12000)) * ms) // longer than the span, at times
			case 1, 2, 3, 4:
				w.now += time.Duration(rnd.IntN(900)) * ms
			}
			w.request("safe", fmt.Sprint("g", w.id))
			l.taken = append(l.taken, w.now)
			for attempt := 0; len(find[Send](w.last)) == 1; attempt++ {
				if attempt > 0 {
					l.check(t, w.now, &set)
				}
				result := OK
				if rnd.IntN(2) == 0 {
					result = Rejected
				}
				s := w.sent()
				w.feed(AttemptEnded{ID: s.ID, Attempt: attempt, Server: s.Server, Result: result,
					Answered: result == OK})
			}
		}
		spans := float64(w.now-100*sec) / float64(set.RetryBudgetWindow)
		least := (spans*budget.free + 4000*budget.share) / 4
		if got := float64(len(l.further)); got < least {
			t.Errorf("%+v: %v further attempts, %.0f at least were wanted", budget, got, least)
		}
		if kept := len(w.b.admitted.buckets) + len(w.b.retries.buckets); kept > 2*maxWindowBuckets {
			t.Errorf("%d moments kept", kept)
		}
	}
}

// Memory of the budget is bounded at any rate, also where nothing asks for the count, and an attempt that was
// never made does not count.
func TestBudgetMemoryIsBounded(t *testing.T) {
	for _, late := range []bool{false, true} {
		w := slidingWindow{length: sec, inclusive: late}
		now := time.Duration(0)
		for range 300_000 {
			w.add(now)
			now += 10 * time.Microsecond
		}
		least, most := 99_000, 100_000
		if late { // what leaves late is counted for longer, by a part of the span at most
			least, most = most, most+100_000/maxWindowBuckets+2
		}
		if len(w.buckets) > maxWindowBuckets+1 || w.total < least || w.total > most {
			t.Errorf("late %v: %d moments kept for %d", late, len(w.buckets), w.total)
		}
	}
	w := slidingWindow{length: sec, inclusive: true}
	w.add(sec)
	w.add(2 * sec)
	w.remove(sec)
	if n := w.count(2 * sec); n != 1 {
		t.Errorf("%d counted, one was made", n)
	}
	if n := w.count(3*sec + 1); n != 0 {
		t.Errorf("%d counted after the span", n)
	}
}

func adviceOnly() Settings {
	set := settings()
	set.RemovalIsAdvisory = true
	return set
}

// A list that wrongly calls every server gone, leaves all of them out, or is an old one, leaves the fleet
// served by the same table, and the true list's return changes nothing.
func TestListThatIsWrongLeavesTheFleetServed(t *testing.T) {
	gone := servers(8)
	for i := range gone {
		gone[i].State = Removed
	}
	old := append(servers(6), Server{ID: 700, Capacity: 1}) // two newer ones missing, one that is no more
	for name, wrong := range map[string]EndpointList{
		"all gone": {Mode: ListDelta, Servers: gone}, "empty": {Mode: ListComplete},
		"old":   {Mode: ListComplete, Servers: old},
		"twice": {Mode: ListComplete, Servers: append(gone, gone...)},
	} {
		w := newWorld(t, adviceOnly(), 8)
		at := map[string]ServerID{}
		w.b.refreshTable()
		shares := w.b.tableWeights
		for i := range 30 {
			group := fmt.Sprint("g", i)
			_, at[group] = w.open("safe", group)
		}
		w.feed(wrong)
		moved := 0
		for group, before := range at {
			w.request("safe", group)
			s := w.sent()
			if s.Server == 700 { // never answers
				w.end(s, 0, ConnectFailed)
				s = w.sent()
			}
			w.feed(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
			if s.Server != before {
				moved++
			}
		}
		if moved > 8 {
			t.Errorf("%s: %d of 30 groups moved", name, moved)
		}
		past := len(w.b.pastTables)
		w.feed(EndpointList{Mode: ListComplete, Servers: servers(8)})
		if w.b.refreshTable(); !slices.Equal(w.b.tableWeights, shares) {
			t.Errorf("%s: the true list left another table", name)
		}
		if name != "old" && len(w.b.pastTables) != past {
			t.Errorf("%s: the true list filled the table again", name)
		}
	}
}

// A server of which a list speaks first as gone was never there: no doubt makes it usable.
func TestServerFirstListedAsGoneGetsNothing(t *testing.T) {
	for _, set := range []Settings{settings(), adviceOnly()} {
		w := newWorld(t, set, 3)
		w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, State: Removed}}})
		for i := range 60 {
			if w.request("safe", fmt.Sprint("g", i)); w.sent().Server == 900 {
				t.Fatalf("gone is advice: %v: sent to it", set.RemovalIsAdvisory)
			}
		}
		w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, State: Ready}}})
		if w.b.servers[900].State != Ready {
			t.Error("listed as ready it is not used")
		}
	}
}

// A server in doubt that fails is gone, as listed; one that held a good connection takes more than that.
func TestFailureConfirmsThatAServerIsGone(t *testing.T) {
	w := newWorld(t, adviceOnly(), 6)
	entry := w.entry("g")
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: entry, State: Removed}}})
	first := w.onTrial("g", entry)
	w.end(first, 0, TimedOut)
	for range 100 {
		w.wait(sec)
		if w.request("safe", "g"); w.sent().Server == entry {
			t.Fatal("sent to a server whose failure confirmed the list")
		}
	}
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: entry, State: Ready}}})
	if w.request("safe", "g"); w.sent().Server != entry {
		t.Error("listed as ready again, it gets nothing")
	}
}

func TestOnlyDrainingBindsWhereGoneIsAdvice(t *testing.T) {
	w := newWorld(t, adviceOnly(), 5)
	_, s := w.open("safe", "g")
	state := func(state ServerState, started time.Duration) {
		w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s, State: state, Started: started}}})
	}
	stray := func() ServerID {
		w.id++
		w.feed(Request{ID: w.id, Class: "safe", Group: "g", MidFlow: true, Timeout: sec})
		return w.sent().Server
	}
	state(Removed, 0)
	w.now += 2 * sec
	if _, got := w.open("safe", "g"); got != s {
		t.Fatalf("called gone with a good connection: sent to %d, not %d", got, s)
	}
	state(Draining, 0) // the grace starts now
	w.now += 300 * ms
	if got := stray(); got != s {
		t.Errorf("within the grace a stray goes to %d, not %d", got, s)
	}
	w.now += 300 * ms
	for _, next := range []ServerState{Draining, Removed, Ready} { // an old list may call it ready again
		state(next, 0)
		if got := stray(); got == s {
			t.Errorf("drained, then listed as %v: sent to it", next)
		}
		if _, got := w.open("safe", "g"); got == s {
			t.Errorf("drained, then listed as %v: sent to it", next)
		}
	}
	state(Ready, w.now-30*sec)
	back := false
	for i := range 60 {
		w.request("safe", fmt.Sprint("h", i))
		back = back || w.sent().Server == s
	}
	if !back {
		t.Error("a new start does not clear the drain")
	}
}

// A fleet whose machines get new ids for months does not grow the memory, whether gone binds or not.
func TestGoneServersAreForgotten(t *testing.T) {
	for _, advice := range []bool{false, true} {
		set := settings()
		set.RemovalIsAdvisory = advice
		w := newWorld(t, set, 0)
		most := 0
		for round := range 300 {
			list := servers(4)
			for i := range list {
				list[i].ID = ServerID(1000*round + i)
			}
			w.feed(EndpointList{Mode: ListComplete, Servers: list})
			for i := range 3 {
				w.request("safe", fmt.Sprint("g", i))
				if s := w.sent(); int(s.Server)/1000 == round {
					w.feed(AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
				} else {
					w.feed(AttemptEnded{ID: s.ID, Server: s.Server, Result: ConnectFailed, Answered: true})
				}
			}
			w.wait(30 * sec)
			most = max(most, len(w.b.sortedServers), len(w.b.servers))
		}
		if most > 200 {
			t.Errorf("gone is advice: %v: %d servers remembered of 1200", advice, most)
		}
	}
}

// Where set-ups time out at whatever server they are tried, a part of what comes is shed, no server is blamed
// for load, and all is taken again once set-ups stand.
func TestSetUpsThatFailEverywhereAreThrottled(t *testing.T) {
	w := newWorld(t, settings(), 40)
	sent, cut := 0, 0
	for i := range 400 {
		w.now += 20 * ms
		w.request("safe", fmt.Sprint("g", i))
		for attempt := 0; len(find[Send](w.last)) == 1; attempt++ {
			if sent++; attempt == 0 && i > 40 && w.b.servers[w.sent().Server].loadLimit > 0 {
				cut++
			}
			w.end(w.sent(), attempt, TimedOut)
		}
	}
	if sent > 200 || cut > 40 {
		t.Errorf("%d attempts for 400 requests, %d at servers whose limit was cut", sent, cut)
	}
	if sent < 20 {
		t.Errorf("%d attempts for 400 requests: none would learn that it is over", sent)
	}
	w.wait(30 * sec)
	sent = 0
	for i := range 40 {
		w.now += 20 * ms
		w.request("safe", fmt.Sprint("g", i))
		for _, s := range find[Send](w.last) {
			sent++
			w.feed(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
		}
	}
	if sent < 38 {
		t.Errorf("%d of 40 sent after the jam", sent)
	}
}
