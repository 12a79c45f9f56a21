package balancer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// The names of the classes in testSettings.
const (
	idempotentClass    = "idempotent"
	keyedClass         = "with idempotency key"
	nonIdempotentClass = "non-idempotent"
	highPriorityClass  = "high priority"
)

func testSettings() Settings {
	return Settings{
		Gateways: 2, MaxAttempts: 3, FlowRetention: 5 * sec, DrainGrace: 500 * ms,
		WarmupDuration: 20 * sec, ColdOverloadFactor: 3,
		Classes: []Class{
			{
				Name: idempotentClass, Idempotency: Idempotent,
				SetupLatencyObjective: 500 * ms, Timeout: 2 * sec,
				PriorityWeight: 1, MessageLatencyObjective: 90 * ms,
			},
			{
				Name: keyedClass, Idempotency: WithIdempotencyKey,
				DedupScope: DedupScopeCell, DedupWindow: 3 * sec,
				SetupLatencyObjective: 500 * ms, Timeout: 2 * sec, PriorityWeight: 1,
			},
			{
				Name: nonIdempotentClass, Idempotency: NonIdempotent,
				SetupLatencyObjective: 500 * ms, Timeout: 2 * sec, PriorityWeight: 1,
			},
			{
				Name: highPriorityClass, Idempotency: Idempotent,
				SetupLatencyObjective: 500 * ms, Timeout: 2 * sec, PriorityWeight: 9,
			},
		},
	}
}

// advisorySettings returns testSettings under which a server listed as removed may still be sent to.
func advisorySettings() Settings {
	settings := testSettings()
	settings.RemovalIsAdvisory = true
	return settings
}

// pollingSettings returns testSettings for one of 300 gateways, which may poll servers for their load.
func pollingSettings() Settings {
	settings := testSettings()
	settings.Gateways, settings.CanPollLoad = 300, true
	return settings
}

// testServers returns n ready servers with ids from 100 on.
func testServers(n int) []Server {
	var list []Server
	for i := range n {
		s := Server{ID: ServerID(100 + i), Zone: fmt.Sprint("z", i%2), Cell: i % 3, Capacity: 1}
		list = append(list, s)
	}
	return list
}

func newBalancer(t rapid.TB, settings Settings) *Balancer {
	t.Helper()
	b, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// harness feeds events to one Balancer and keeps the actions that answer the latest one.
type harness struct {
	t           *testing.T
	balancer    *Balancer
	now         time.Duration
	lastActions []Action // of the latest event
	lastID      RequestID
}

// newHarnessWithoutList returns a harness whose Balancer has not received an endpoint list.
func newHarnessWithoutList(t *testing.T, settings Settings) *harness {
	t.Helper()
	return &harness{t: t, balancer: newBalancer(t, settings), now: 100 * sec}
}

// newHarness returns a harness whose Balancer has a list of n servers.
func newHarness(t *testing.T, settings Settings, n int) *harness {
	t.Helper()
	h := newHarnessWithoutList(t, settings)
	h.listComplete(testServers(n)...)
	return h
}

func (h *harness) handle(ev Event) []Action {
	h.lastActions = append([]Action(nil), h.balancer.Handle(h.now, ev)...)
	return h.lastActions
}

func (h *harness) listComplete(servers ...Server) {
	h.handle(EndpointList{Mode: ListComplete, Servers: servers})
}

func (h *harness) listDelta(servers ...Server) {
	h.handle(EndpointList{Mode: ListDelta, Servers: servers})
}

// advance lets time pass while the sweep timer fires at its interval, and returns all actions.
func (h *harness) advance(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		h.now += min(sweepInterval, end-h.now)
		all = append(all, h.handle(TimerFired{Ref: sweepTimer})...)
	}
	return all
}

// request feeds a request of the given class and group, with a client key of its own, and returns its id.
func (h *harness) request(class, group string) RequestID {
	h.lastID++
	h.handle(Request{
		ID: h.lastID, Class: class, Key: fmt.Sprint("k", h.lastID), Group: group, Timeout: 2 * sec,
	})
	return h.lastID
}

// establish feeds a request and has the connection of its attempt established. It returns the request and the
// server.
func (h *harness) establish(class, group string) (RequestID, ServerID) {
	h.t.Helper()
	id := h.request(class, group)
	s := h.onlySend()
	h.handle(AttemptEstablished{ID: id, Server: s.Server, Elapsed: 10 * ms})
	return id, s.Server
}

// endAttempt ends the attempt that a Send started.
func (h *harness) endAttempt(s Send, attempt int, result Result) {
	h.handle(AttemptEnded{ID: s.ID, Attempt: attempt, Server: s.Server, Result: result, Elapsed: 10 * ms})
}

// tableEntry returns the server at the table entry of a key.
func (h *harness) tableEntry(key string) ServerID {
	h.balancer.refreshTable()
	return h.balancer.tableServers[h.balancer.table.at(hashKey(key), 0)].ID
}

// requireSingleTrial checks that the next request of a group goes to the given server, and the one after it
// to another server because the first attempt is still pending. It returns the first Send.
func (h *harness) requireSingleTrial(group string, server ServerID) Send {
	h.t.Helper()
	h.request(idempotentClass, group)
	first := h.onlySend()
	if first.Server != server {
		h.t.Fatalf("got a request of group %s sent to server %d, want %d", group, first.Server, server)
	}
	if h.request(idempotentClass, group); h.onlySend().Server == server {
		h.t.Error("a second attempt was sent before the first was established, want another server")
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

// sends returns the Sends of the latest event.
func (h *harness) sends() []Send { return actionsOf[Send](h.lastActions) }

// sentTo returns the servers that the latest event sent to.
func (h *harness) sentTo() (servers []ServerID) {
	for _, s := range h.sends() {
		servers = append(servers, s.Server)
	}
	return servers
}

// rejections returns the Rejects of the latest event.
func (h *harness) rejections() []Reject { return actionsOf[Reject](h.lastActions) }

// onlySend returns the Send of the latest event and fails the test unless there is exactly one.
func (h *harness) onlySend() Send {
	h.t.Helper()
	sends := h.sends()
	if len(sends) != 1 {
		h.t.Fatalf("got %d sends, want 1: %+v", len(sends), h.lastActions)
	}
	return sends[0]
}

// retryBudgetAudit recounts the retry budget from all requests that were admitted and all retries that were
// sent.
type retryBudgetAudit struct{ admitted, retries []time.Duration }

// addRetry records a retry and checks the budget of the window that ends with it.
func (a *retryBudgetAudit) addRetry(t *testing.T, now time.Duration, settings *Settings) {
	t.Helper()
	a.retries = append(a.retries, now)
	if settings.RetryBudgetWindow == 0 {
		return
	}
	admitted, retries := 0, 0
	for _, at := range a.admitted {
		if at > now-settings.RetryBudgetWindow {
			admitted++
		}
	}
	for _, at := range a.retries {
		if at >= now-settings.RetryBudgetWindow {
			retries++
		}
	}
	allowed := settings.RetryBudgetMin + settings.RetryBudgetRatio*float64(admitted)
	if float64(retries) > allowed {
		t.Fatalf("%v: got %d retries, want at most %v for %d requests", now, retries, allowed, admitted)
	}
}

// TestMain fixes the seed of the property tests, and keeps them from writing files when they fail.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlag("rapid.seed", "9")
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.shrinktime", "5s")
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		setFlag("rapid.checks", "30") // takes about 10 s under the race detector
	}
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
