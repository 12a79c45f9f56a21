package engine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
)

// harness runs an engine with fake clients, attempts and polls on a simulated clock. It records all calls of the engine in
// order. Servers have the names s1, s2, ... and the addresses a1, a2, ...
type harness struct {
	t           *testing.T
	engine      *Engine
	now         time.Duration
	calls       []string
	lastAttempt *fakeAttempt // the last attempt that was sent
}

type fakeClient struct {
	handle           ClientHandle
	harness          *harness
	name             string
	migrationTimeout time.Duration
}

func (c *fakeClient) Handle() *ClientHandle  { return &c.handle }
func (c *fakeClient) Reject(_ time.Duration) { c.harness.record("reject %s", c.name) }
func (c *fakeClient) Fail()                  { c.harness.record("fail %s", c.name) }
func (c *fakeClient) Close()                 { c.harness.record("close %s", c.name) }

func (c *fakeClient) Migrate() time.Duration {
	c.harness.record("migrate %s", c.name)
	return c.migrationTimeout
}

// drainObserver is a client that its frontend can move to another server.
type drainObserver struct{ fakeClient }

func (o *drainObserver) ServerDraining() { o.harness.record("server draining %s", o.name) }

type fakeAttempt struct {
	harness         *harness
	sent            Attempt
	isEstablished   bool          // whether Cancel fails
	unansweredSince time.Duration // when the unanswered message was sent; zero if there is none
}

func (a *fakeAttempt) Cancel() bool {
	if a.isEstablished {
		return false
	}
	a.harness.record("cancel %s/%d", a.sent.Addr, a.sent.Number)
	return true
}

func (a *fakeAttempt) UnansweredFor() time.Duration {
	if a.unansweredSince == 0 {
		return 0
	}
	return a.harness.now - a.unansweredSince
}

// Send implements Backend.
func (h *harness) Send(sent Attempt) ActiveAttempt {
	h.record("send %s/%d", sent.Addr, sent.Number)
	h.lastAttempt = &fakeAttempt{harness: h, sent: sent}
	return h.lastAttempt
}

// PollLoad implements LoadPoller.
func (h *harness) PollLoad(_ balancer.ServerID, addr string) { h.record("poll %s", addr) }

// StopPolling implements LoadPoller.
func (h *harness) StopPolling(server balancer.ServerID) { h.record("forget %d", server) }

// newHarness starts an engine with a number of listed servers. The configure function, which may be nil, changes its options.
func newHarness(t *testing.T, servers int, configure func(*Options)) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Hour}
	lb, err := balancer.New(balancer.Settings{
		Gateways:      1,
		MaxAttempts:   2,
		DrainGrace:    500 * time.Millisecond,
		MaxRetryAfter: 2 * time.Second,
		Classes: []balancer.Class{
			{Name: "c", SetupLatencyObjective: 800 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	options := Options{
		MaxSockets:                6,
		Classes:                   []string{"c"},
		DefaultTimeout:            3 * time.Second,
		AnswerGrace:               16 * time.Millisecond,
		ConnectionsOutliveGateway: true,
		ReportsMessageDelay:       true,
		MessageLatencyObjective:   60 * time.Millisecond,
		DrainTimeout:              3500 * time.Millisecond,
		Logger:                    slog.New(slog.DiscardHandler),
	}
	if configure != nil {
		configure(&options)
	}
	h.engine = New(options, lb, h, h)
	h.engine.Start(h.now)
	list := EndpointList{Mode: balancer.ListCached}
	for i := range servers {
		list.Servers = append(list.Servers, listedServer(balancer.ServerID(i+1), balancer.Ready, 0))
	}
	h.handle(list)
	return h
}

func listedServer(id balancer.ServerID, state balancer.ServerState, started time.Duration) Server {
	return Server{
		Name:   fmt.Sprint("s", id),
		Addr:   fmt.Sprint("a", id),
		Server: balancer.Server{ID: id, State: state, Started: started},
	}
}

func (h *harness) record(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *harness) handle(ev Event) { h.engine.Handle(h.now, ev) }

// listServer sends an endpoint list that changes one server.
func (h *harness) listServer(id balancer.ServerID, state balancer.ServerState, started time.Duration) {
	h.handle(EndpointList{Mode: balancer.ListDelta, Servers: []Server{listedServer(id, state, started)}})
}

func (h *harness) newClient(name string) *fakeClient { return &fakeClient{harness: h, name: name} }

// connectAndRequest connects a client and sends its request. The class defaults to "c" and the timeout to 3 s.
func (h *harness) connectAndRequest(c Client, q Request) {
	h.handle(ClientConnected{Client: c})
	if q.Timeout == 0 {
		q.Timeout = 3 * time.Second
	}
	if q.Class == "" {
		q.Class = "c"
	}
	h.handle(RequestReceived{c, q})
}

// requestUnary sends a unary request.
func (h *harness) requestUnary(c Client) {
	h.handle(UnaryRequestReceived{Client: c, Request: Request{Class: "c", Key: "k", Timeout: 3 * time.Second}})
}

func (h *harness) establish(a *fakeAttempt) {
	a.isEstablished = true
	h.handle(AttemptEstablished{RequestID: a.sent.RequestID, Number: a.sent.Number})
}

func (h *harness) endAttempt(a *fakeAttempt, result balancer.Result) {
	h.handle(AttemptEnded{a.sent.RequestID, a.sent.Number, result})
}

// requestState returns the state that the engine passes to a successor process.
func (h *harness) requestState() (state State) {
	h.handle(StateRequested{Deliver: func(s State) { state = s }})
	return state
}

// advance advances the clock by d and fires each timer of the engine at its time.
func (h *harness) advance(d time.Duration) {
	end := h.now + d
	for {
		at, ok := h.engine.Next()
		if !ok || at > end || h.engine.Ended() {
			break
		}
		h.now = max(h.now, at)
		h.engine.Expire(h.now)
	}
	h.now = end
}

// expectCalls compares the recorded calls with the wanted ones and clears the record.
func (h *harness) expectCalls(want ...string) {
	h.t.Helper()
	if diff := cmp.Diff(want, h.calls); diff != "" {
		h.t.Errorf("calls (-want +got):\n%s", diff)
	}
	h.calls = nil
}

// expectRequests compares the number of requests that the engine holds with the wanted one.
func (h *harness) expectRequests(want int) {
	h.t.Helper()
	if got := h.engine.requests.len(); got != want {
		h.t.Errorf("%d requests are held, want %d", got, want)
	}
}

// countCalls returns the number of recorded calls that equal one call.
func (h *harness) countCalls(call string) (count int) {
	for _, c := range h.calls {
		if c == call {
			count++
		}
	}
	return count
}
