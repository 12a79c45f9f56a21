package engine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
)

// world is an engine with scripted surroundings on a clock of its own. It writes down all calls of the engine, in
// order. Servers have the names s1, s2, ... and the addresses a1, a2, ...
type world struct {
	t       *testing.T
	engine  *Engine
	now     time.Duration
	calls   []string
	attempt *fakeAttempt // the last one that was sent
}

type fakeClient struct {
	handle           ClientHandle
	world            *world
	name             string
	migrationTimeout time.Duration
}

func (c *fakeClient) Handle() *ClientHandle  { return &c.handle }
func (c *fakeClient) Reject(_ time.Duration) { c.world.record("reject %s", c.name) }
func (c *fakeClient) Fail()                  { c.world.record("fail %s", c.name) }
func (c *fakeClient) Close()                 { c.world.record("close %s", c.name) }

func (c *fakeClient) Migrate() time.Duration {
	c.world.record("migrate %s", c.name)
	return c.migrationTimeout
}

// drainObserver is a client that its frontend can take to another server.
type drainObserver struct{ fakeClient }

func (o *drainObserver) ServerDraining() { o.world.record("server draining %s", o.name) }

type fakeAttempt struct {
	world         *world
	sent          Attempt
	isEstablished bool          // it can't be cancelled any more
	askedAt       time.Duration // when the message was sent that is not answered; 0: none is
}

func (a *fakeAttempt) Cancel() bool {
	if a.isEstablished {
		return false
	}
	a.world.record("cancel %s/%d", a.sent.Addr, a.sent.Number)
	return true
}

func (a *fakeAttempt) UnansweredFor() time.Duration {
	if a.askedAt == 0 {
		return 0
	}
	return a.world.now - a.askedAt
}

// Send implements Backend.
func (w *world) Send(sent Attempt) ActiveAttempt {
	w.record("send %s/%d", sent.Addr, sent.Number)
	w.attempt = &fakeAttempt{world: w, sent: sent}
	return w.attempt
}

// PollLoad implements LoadPoller.
func (w *world) PollLoad(_ balancer.ServerID, addr string) { w.record("poll %s", addr) }

// Forget implements LoadPoller.
func (w *world) Forget(server balancer.ServerID) { w.record("forget %d", server) }

// newWorld starts an engine with so many servers. Change, which may be nil, changes its options.
func newWorld(t *testing.T, servers int, change func(*Options)) *world {
	t.Helper()
	w := &world{t: t, now: time.Hour}
	decider, err := balancer.New(balancer.Settings{
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
	if change != nil {
		change(&options)
	}
	w.engine = New(options, decider, w, w)
	w.engine.Start(w.now)
	list := EndpointList{Mode: balancer.ListCached}
	for i := range servers {
		list.Servers = append(list.Servers, listedServer(balancer.ServerID(i+1), balancer.Ready, 0))
	}
	w.handle(list)
	return w
}

func listedServer(id balancer.ServerID, state balancer.ServerState, started time.Duration) Server {
	return Server{
		Name:   fmt.Sprint("s", id),
		Addr:   fmt.Sprint("a", id),
		Server: balancer.Server{ID: id, State: state, Started: started},
	}
}

func (w *world) record(format string, args ...any) {
	w.calls = append(w.calls, fmt.Sprintf(format, args...))
}

func (w *world) handle(ev Event) { w.engine.Handle(w.now, ev) }

// list brings a change of one server.
func (w *world) list(id balancer.ServerID, state balancer.ServerState, started time.Duration) {
	w.handle(EndpointList{Mode: balancer.ListDelta, Servers: []Server{listedServer(id, state, started)}})
}

func (w *world) client(name string) *fakeClient { return &fakeClient{world: w, name: name} }

// arrive has a client connect and send its request.
func (w *world) arrive(c Client, q Request) {
	w.handle(ClientConnected{Client: c})
	if q.Timeout == 0 {
		q.Timeout = 3 * time.Second
	}
	if q.Class == "" {
		q.Class = "c"
	}
	w.handle(RequestReceived{c, q})
}

// ask brings a request without a connection.
func (w *world) ask(c Client) {
	w.handle(UnaryRequestReceived{Client: c, Request: Request{Class: "c", Key: "k", Timeout: 3 * time.Second}})
}

func (w *world) establish(a *fakeAttempt) {
	a.isEstablished = true
	w.handle(AttemptEstablished{RequestID: a.sent.RequestID, Number: a.sent.Number})
}

func (w *world) end(a *fakeAttempt, result balancer.Result) {
	w.handle(AttemptEnded{a.sent.RequestID, a.sent.Number, result})
}

// state returns what the engine would pass on.
func (w *world) state() (state State) {
	w.handle(StateRequested{Deliver: func(s State) { state = s }})
	return state
}

// pass lets time go by, in steps as the engine asks for them.
func (w *world) pass(d time.Duration) {
	end := w.now + d
	for {
		at, ok := w.engine.Next()
		if !ok || at > end || w.engine.Ended() {
			break
		}
		w.now = max(w.now, at)
		w.engine.Expire(w.now)
	}
	w.now = end
}

// expect compares the calls since the last time.
func (w *world) expect(want ...string) {
	w.t.Helper()
	if diff := cmp.Diff(want, w.calls); diff != "" {
		w.t.Errorf("calls (-want +got):\n%s", diff)
	}
	w.calls = nil
}

// expectRequests compares the number of requests, with their slots.
func (w *world) expectRequests(want int) {
	w.t.Helper()
	if got := w.engine.requests.len(); got != want {
		w.t.Errorf("%d requests are held, want %d", got, want)
	}
}

// countCalls counts the calls that are equal to one.
func (w *world) countCalls(call string) (count int) {
	for _, c := range w.calls {
		if c == call {
			count++
		}
	}
	return count
}
