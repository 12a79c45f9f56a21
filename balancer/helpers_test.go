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

func adviceOnly() Settings {
	set := settings()
	set.RemovalIsAdvisory = true
	return set
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

// ledger recounts the budget of further attempts from all that was ever taken and sent.
type ledger struct{ taken, further []time.Duration }

// check counts a further attempt and holds the span that ends with it to the budget.
func (l *ledger) check(t *testing.T, now time.Duration, set *Settings) {
	t.Helper()
	l.further = append(l.further, now)
	if set.RetryBudgetWindow == 0 {
		return
	}
	taken, further := 0, 0
	for _, at := range l.taken {
		if at > now-set.RetryBudgetWindow {
			taken++
		}
	}
	for _, at := range l.further {
		if at >= now-set.RetryBudgetWindow {
			further++
		}
	}
	if allowed := set.RetryBudgetMin + set.RetryBudgetRatio*float64(taken); float64(further) > allowed {
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
