package balancer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

func testSettings() Settings {
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

func advisorySettings() Settings {
	settings := testSettings()
	settings.RemovalIsAdvisory = true
	return settings
}

func testServers(n int) []Server {
	var list []Server
	for i := range n {
		s := Server{ID: ServerID(100 + i), Zone: fmt.Sprint("z", i%2), Cell: i % 3, Capacity: 1}
		list = append(list, s)
	}
	return list
}

// newBalancer returns a Balancer; t may be nil.
func newBalancer(t testing.TB, settings Settings) *Balancer {
	b, err := New(settings)
	if err != nil {
		if t == nil {
			panic(err)
		}
		t.Helper()
		t.Fatal(err)
	}
	return b
}

// harness feeds one Balancer and keeps what it did.
type harness struct {
	t           testing.TB
	balancer    *Balancer
	now         time.Duration
	lastActions []Action // of the latest event
	lastID      RequestID
}

// newHarnessWithoutList is a world whose gateway has had no list yet.
func newHarnessWithoutList(t *testing.T, settings Settings) *harness {
	return &harness{t: t, balancer: newBalancer(t, settings), now: 100 * sec}
}

func newHarness(t *testing.T, settings Settings, n int) *harness {
	h := newHarnessWithoutList(t, settings)
	h.handle(EndpointList{Mode: ListComplete, Servers: testServers(n)})
	return h
}

func (h *harness) handle(ev Event) []Action {
	h.lastActions = append([]Action(nil), h.balancer.Handle(h.now, ev)...)
	return h.lastActions
}

// wait lets time pass with the housekeeping timer.
func (h *harness) advance(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		h.now += min(sweepInterval, end-h.now)
		all = append(all, h.handle(TimerFired{Ref: sweepTimer})...)
	}
	return all
}

func (h *harness) request(class, group string) RequestID {
	h.lastID++
	h.handle(Request{ID: h.lastID, Class: class, Key: fmt.Sprint("k", h.lastID), Group: group,
		Timeout: 2 * sec})
	return h.lastID
}

// open places a request and lets its connection stand.
func (h *harness) establish(class, group string) (RequestID, ServerID) {
	h.t.Helper()
	id := h.request(class, group)
	s := h.onlySend()
	h.handle(AttemptEstablished{ID: id, Server: s.Server, Elapsed: 10 * ms})
	return id, s.Server
}

// entry is the server where the ordinary path puts a key.
func (h *harness) tableEntry(key string) ServerID {
	h.balancer.refreshTable()
	return h.balancer.tableServers[h.balancer.table.at(hashKey(key), 0)].ID
}

// onTrial sends a group's first request to a server, and its next elsewhere as long as that one is out. It
// returns the first.
func (h *harness) sendOnTrial(group string, s ServerID) Send {
	h.t.Helper()
	h.request("safe", group)
	first := h.onlySend()
	if first.Server != s {
		h.t.Fatalf("group %s goes to %d, not %d", group, first.Server, s)
	}
	if h.request("safe", group); h.onlySend().Server == s {
		h.t.Error("a second attempt before the first stood")
	}
	return first
}

func actionsOf[A Action](actions []Action) (found []A) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// sent returns the one Send of the latest event.
func (h *harness) onlySend() Send {
	h.t.Helper()
	sends := actionsOf[Send](h.lastActions)
	if len(sends) != 1 {
		h.t.Fatalf("%d sends, not one: %+v", len(sends), h.lastActions)
	}
	return sends[0]
}

func (h *harness) endAttempt(s Send, attempt int, result Result) {
	h.handle(AttemptEnded{ID: s.ID, Attempt: attempt, Server: s.Server, Result: result, Elapsed: 10 * ms})
}

// budgetLedger recounts the budget of further attempts from all that was ever taken and sent.
type budgetLedger struct{ taken, further []time.Duration }

// check counts a further attempt and holds the span that ends with it to the budget.
func (l *budgetLedger) check(t *testing.T, now time.Duration, settings *Settings) {
	t.Helper()
	l.further = append(l.further, now)
	if settings.RetryBudgetWindow == 0 {
		return
	}
	taken, further := 0, 0
	for _, at := range l.taken {
		if at > now-settings.RetryBudgetWindow {
			taken++
		}
	}
	for _, at := range l.further {
		if at >= now-settings.RetryBudgetWindow {
			further++
		}
	}
	if allowed := settings.RetryBudgetMin +
		settings.RetryBudgetRatio*float64(taken); float64(further) > allowed {
		t.Fatalf("%v: %d further attempts, %v are allowed for %d requests", now, further, allowed, taken)
	}
}

// The same draws each time, and no file is left behind where one fails.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "9")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.shrinktime", "5s")
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		flag.Set("rapid.checks", "30") // some 10 s under the race detector
	}
	os.Exit(m.Run())
}
