package engine

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// world is an engine with scripted parts on a clock of its own. Everything that the engine does to its
// surroundings is written down in order.
type world struct {
	t    *testing.T
	e    *Engine
	now  time.Duration
	did  []string
	link *fakeLink // the last one
}

type fakeClient struct {
	ClientHandle
	w      *world
	name   string
	within time.Duration
}

func (c *fakeClient) Handle() *ClientHandle  { return &c.ClientHandle }
func (c *fakeClient) Reject(d time.Duration) { c.w.note("refuse %s", c.name) }
func (c *fakeClient) Fail()                  { c.w.note("fail %s", c.name) }
func (c *fakeClient) Close()                 { c.w.note("close %s", c.name) }
func (c *fakeClient) Migrate() time.Duration { c.w.note("move %s", c.name); return c.within }

type fakeLink struct {
	w     *world
	a     Attempt
	up    bool
	asked time.Duration // when the line was sent that is not returned; 0: none is
}

func (l *fakeLink) Cancel() bool {
	if !l.up {
		l.w.note("abandon %s/%d", l.a.Addr, l.a.Number)
	}
	return !l.up
}
func (l *fakeLink) UnansweredFor() time.Duration {
	if l.asked > 0 {
		return l.w.now - l.asked
	}
	return 0
}

func (w *world) Send(a Attempt) ActiveAttempt {
	w.note("send %s/%d", a.Addr, a.Number)
	w.link = &fakeLink{w: w, a: a}
	return w.link
}
func (w *world) PollLoad(_ balancer.ServerID, at string) { w.note("probe %s", at) }
func (w *world) Forget(id balancer.ServerID)             { w.note("forget %d", id) }
func (w *world) note(format string, args ...any)         { w.did = append(w.did, fmt.Sprintf(format, args...)) }
func (w *world) tell(ev Event)                           { w.e.Handle(w.now, ev) }
func (w *world) ended(l *fakeLink, r balancer.Result) {
	w.tell(AttemptEnded{l.a.RequestID, l.a.Number, r})
}
func (w *world) wentUp(l *fakeLink) {
	l.up = true
	w.tell(AttemptEstablished{RequestID: l.a.RequestID, Number: l.a.Number})
}
func (w *world) client(name string) *fakeClient { return &fakeClient{w: w, name: name} }
func (w *world) expect(want ...string) {
	w.t.Helper()
	if !slices.Equal(w.did, want) {
		w.t.Errorf("did %q, want %q", w.did, want)
	}
	w.did = nil
}

// pass lets time go by, in steps as the engine asks for them.
func (w *world) pass(d time.Duration) {
	end := w.now + d
	for {
		at, ok := w.e.Next()
		if !ok || at > end || w.e.stage == ended {
			break
		}
		w.now = max(w.now, at)
		w.e.Expire(w.now)
	}
	w.now = end
}

func newWorld(t *testing.T, servers int, change func(*Options)) *world {
	w := &world{t: t, now: time.Hour}
	decider, err := balancer.New(balancer.Settings{
		Gateways: 1, MaxAttempts: 2, DrainGrace: 500 * time.Millisecond,
		MaxRetryAfter: 2 * time.Second,
		Classes:       []balancer.Class{{Name: "c", SetupLatencyObjective: 800 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond}},
	})
	if err != nil {
		t.Fatal(err)
	}
	opts := Options{MaxSockets: 6, Classes: []string{"c"}, DefaultTimeout: 3 * time.Second, AnswerGrace: 16 * time.Millisecond, ConnectionsOutliveGateway: true,
		ReportsMessageDelay: true, MessageLatencyObjective: 60 * time.Millisecond, DrainTimeout: 3500 * time.Millisecond,
		Logger: slog.New(slog.DiscardHandler)}
	if change != nil {
		change(&opts)
	}
	w.e = New(opts, decider, w, w)
	w.e.Start(w.now)
	list := EndpointList{Mode: balancer.ListCached}
	for i := range servers {
		list.Servers = append(list.Servers, Server{Name: fmt.Sprint("s", i+1), Addr: fmt.Sprint("a", i+1),
			Server: balancer.Server{ID: balancer.ServerID(i + 1)}})
	}
	w.tell(list)
	return w
}

func (w *world) arrive(c *fakeClient, q Request) {
	w.tell(ClientConnected{Client: c})
	if q.Timeout == 0 {
		q.Timeout = 3 * time.Second
	}
	if q.Class == "" {
		q.Class = "c"
	}
	w.tell(RequestReceived{c, q})
}

func (w *world) held(want int) {
	w.t.Helper()
	if got := w.e.requests.Len(); got != want {
		w.t.Errorf("%d slots held, want %d", got, want)
	}
}

func TestServedToItsEnd(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.expect("send a1/0")
	w.wentUp(w.link)
	w.pass(time.Minute)
	w.expect()
	w.ended(w.link, balancer.OK)
	w.ended(w.link, balancer.OK) // a stale number does nothing
	w.held(0)
	if n := w.e.deadlines.Len(); n > 3 { // the regular looks and the rules' own
		t.Errorf("%d deadlines are left", n)
	}
}

// An attempt that got no answer is closed before the next is sent: two at once break a rule.
func TestTimeoutClosesBeforeTheNextSend(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.pass(10 * time.Second)
	w.expect("send a1/0", "abandon a1/0", "send a1/1", "abandon a1/1", "refuse x")
	w.held(0)
}

func TestUpCrossesItsTimeout(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.link.up = true // word of it is on its way while the time runs out
	w.pass(10 * time.Second)
	w.wentUp(w.link)
	w.expect("send a1/0")
	w.held(1)
}

func TestFullIsTriedElsewhereAndThenRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	first := w.link
	w.ended(first, balancer.Rejected)
	if w.link == first || w.link.a.Addr == first.a.Addr || w.link.a.Number != 1 {
		t.Fatalf("then tried %+v", w.link.a)
	}
	w.did = nil
	w.ended(w.link, balancer.Rejected)
	w.expect("refuse x")
	w.held(0)
}

func TestClientLeavesWhileItsAttemptIsOut(t *testing.T) {
	w := newWorld(t, 1, nil)
	c := w.client("x")
	w.arrive(c, Request{Key: "k"})
	l := w.link
	w.tell(ClientDisconnected{c})
	w.tell(ClientDisconnected{c})
	w.expect("send a1/0", "abandon a1/0")
	w.wentUp(l) // too late
	w.held(0)
	w.arrive(w.client("y"), Request{Key: "k"}) // takes the slot over under another number
	w.ended(l, balancer.Reset)
	w.held(1)
}

// A connection from before the run goes to its server undecided, also to one that drains.
func TestCarriedGoesToItsServer(t *testing.T) {
	w := newWorld(t, 3, nil)
	for i, at := range []string{"s1", "s2", "s3"} {
		w.arrive(w.client(at), Request{Key: "k", Owner: at})
		if want := fmt.Sprintf("send a%d/0", i+1); len(w.did) != 1 || w.did[0] != want {
			t.Fatalf("did %q, want %q", w.did, want)
		}
		w.did = nil
		w.wentUp(w.link)
		w.ended(w.link, balancer.Cancelled)
	}
	w.arrive(w.client("x"), Request{Key: "k", Owner: "s9"})
	w.expect("fail x")
	w.arrive(w.client("y"), Request{Key: "k", Owner: "s1"})
	w.ended(w.link, balancer.ConnectFailed)
	w.expect("send a1/0", "fail y")
	w.held(0)
}

// Clients that say nothing are ended within 3 s of connecting, and while there are many of them they do not
// keep out the others: the oldest makes place.
func TestSilentClientsMakePlace(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.MaxSockets = 4 })
	var silent []*fakeClient
	for i := range 4 {
		silent = append(silent, w.client(fmt.Sprint("s", i)))
		w.tell(ClientConnected{Client: silent[i]})
		w.now += time.Millisecond
	}
	w.e.opts.MaxIdleClients = 4
	w.tell(ClientConnected{Client: w.client("s4")})
	w.expect("close s0")
	silent[0] = w.client("s5")
	w.tell(ClientConnected{Client: silent[0]})
	w.expect("close s1")
	w.tell(ClientActive{silent[2]}) // it is in use, so the next is the oldest
	w.arrive(w.client("x"), Request{Key: "k"})
	w.expect("close s3", "close s4", "send a1/0")
	w.wentUp(w.link)
	w.arrive(w.client("y"), Request{Key: "k"})
	w.expect("close s5", "close s2", "send a1/0")
	w.wentUp(w.link)
	w.tell(ClientConnected{Client: w.client("z")}) // what was asked for is never given up
	w.expect("refuse z")
	w.held(2)
	w.ended(w.link, balancer.OK)
	w.tell(ClientConnected{Client: w.client("quiet")})
	w.pass(2900 * time.Millisecond)
	w.expect("close quiet")
	w.held(1)
	if w.e.openings != 0 || len(w.e.named) != 0 {
		t.Errorf("%d openings and %d names are left", w.e.openings, len(w.e.named))
	}
}

// No server is shown a request that it could not use: its answer would count against it.
func TestUnusableRequestsGoToNoServer(t *testing.T) {
	w := newWorld(t, 1, nil)
	x := w.client("x")
	w.arrive(x, Request{ID: "1"})
	w.did = nil
	w.arrive(w.client("class"), Request{ID: "2", Class: "none"})
	w.arrive(w.client("taken"), Request{ID: "1"})
	w.expect("fail class", "fail taken")
	w.arrive(w.client("mid"), Request{ID: "1", MidFlow: true}) // packets of x come here again
	w.tell(ProtocolViolated{x})
	w.expect("send a1/0", "abandon a1/0")
	w.arrive(w.client("taken"), Request{ID: "1"}) // still, by mid
	w.expect("fail taken")
	w.ended(w.link, balancer.Errored)
	w.ended(w.link, balancer.Errored)
	w.did = nil
	w.arrive(w.client("y"), Request{ID: "1"})
	w.expect("send a1/0")
	w.held(1)
}

// A connection whose server returns nothing is open and silent; TCP would not notice for hours. Its client is
// moved within 7 s of the last thing that came, of which 2 s may pass before it sends its next line.
func TestSilentServerLosesItsClient(t *testing.T) {
	w := newWorld(t, 1, nil)
	c := w.client("x")
	w.arrive(c, Request{Key: "k"})
	w.wentUp(w.link)
	w.pass(2 * time.Second)
	w.link.asked = w.now
	w.pass(3 * time.Second)
	w.expect("send a1/0") // a pause, it may be
	w.pass(2 * time.Second)
	w.expect("move x")
	w.held(1)
	w.tell(ClientDisconnected{c}) // it has been told
	w.held(0)
	w.pass(10 * time.Second)
	w.expect()
}

// Where the server stops within a line, behind which its client was to be told, the client is cut off.
func TestMoveThatCannotBeToldEnds(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.wentUp(w.link)
	w.link.asked = w.now
	w.pass(10 * time.Second)
	w.expect("send a1/0", "move x", "close x")
	w.ended(w.link, balancer.Reset)
	w.held(0)
}

// A server that leaves the list is sent nothing more, and a full list implies who has left.
func TestFullListRemoves(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.tell(EndpointList{Mode: balancer.ListComplete, Servers: []Server{{Name: "s2", Addr: "b2", Server: balancer.Server{ID: 2}}}})
	for i := range 8 {
		w.arrive(w.client("x"), Request{Key: fmt.Sprint(i)})
		w.ended(w.link, balancer.Errored)
		w.ended(w.link, balancer.Errored)
	}
	if s := strings.Join(w.did, " "); !strings.HasPrefix(s, "forget 1 ") || strings.Contains(s, "send a") {
		t.Errorf("did %q", w.did)
	}
}

// Slow messages are told once a second, by the larger of timed lines and what load reports come to.
func TestMeter(t *testing.T) {
	aim := 60 * time.Millisecond
	var m meter
	if d := m.delay(time.Hour, aim); d != 0 {
		t.Errorf("with nothing known %v", d)
	}
	m.line, m.lineAt = 30*time.Millisecond, time.Hour
	if d := m.delay(time.Hour+time.Second, aim); d != 30*time.Millisecond {
		t.Errorf("after a line of 30 ms %v", d)
	}
	if d := m.delay(time.Hour+time.Minute, aim); d != 0 {
		t.Errorf("a minute later %v", d)
	}
	// The failure that this guards against: lines came back at once from a server asked for 1.23 of its power.
	m = meter{}
	now := time.Hour
	for range 3 {
		m.report(now, LoadReport{Utilization: 1.23, HasUtilization: true})
		now += time.Second
	}
	if d := m.delay(now, aim); d < 2*aim {
		t.Errorf("after two seconds of overload %v", d)
	}
	for range 20 { // noise that adds up must not keep the server out
		m.report(now, LoadReport{Utilization: 1.2, HasUtilization: true})
		now += time.Second
	}
	m.report(now, LoadReport{Utilization: 0.2, HasUtilization: true})
	if d := m.delay(now, aim); d > aim/3 {
		t.Errorf("with load gone %v", d)
	}
	m.report(now, LoadReport{Utilization: 0.2, HasUtilization: true, Backlog: time.Second, HasBacklog: true})
	if d := m.delay(now, aim); d < time.Second {
		t.Errorf("with a second piled up %v", d)
	}
}

func TestProbesOnlyWhereConnectionsAre(t *testing.T) {
	w := newWorld(t, 2, func(o *Options) { o.CanPollLoad = true })
	w.pass(3 * time.Second)
	w.expect()
	w.arrive(w.client("x"), Request{Key: "k"})
	at := w.link.a.Addr
	w.wentUp(w.link)
	w.did = nil
	w.pass(2 * time.Second)
	w.expect("probe "+at, "probe "+at)
}

// What a server reports of its load decides whether its keys' next connections still go there.
func TestReportsReachTheRules(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	first := w.link.a.Addr
	w.wentUp(w.link)
	server := balancer.ServerID(first[1] - '0')
	w.tell(LoadReported{Server: server, Report: LoadReport{Utilization: 2, HasUtilization: true}})
	w.arrive(w.client("y"), Request{Key: "k"})
	if w.link.a.Addr == first {
		t.Error("sent to a server that had just reported twice what it can do")
	}
	w.ended(w.link, balancer.OK)
	w.tell(LoadReported{Server: server, Report: LoadReport{Utilization: 0.1, HasUtilization: true}})
	w.arrive(w.client("z"), Request{Key: "k"})
	if w.link.a.Addr != first {
		t.Error("not sent to a server that has room again")
	}
}

func TestStopWherePacketsPass(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.wentUp(w.link)
	w.tell(Shutdown{})
	w.arrive(w.client("late"), Request{Key: "k", Timeout: time.Minute})
	w.expect("send a1/0", "send a1/0")
	w.wentUp(w.link)
	w.arrive(w.client("later"), Request{Key: "k", Timeout: time.Minute})
	w.did = nil
	w.pass(time.Minute)
	if w.e.stage != ended || slices.Contains(w.did, "move x") || slices.Contains(w.did, "move late") {
		t.Errorf("ended %t, did %q", w.e.stage == ended, w.did)
	}
}

func TestStopWhereConnectionsEndHere(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = false })
	c := w.client("x")
	w.arrive(c, Request{Key: "k"})
	w.wentUp(w.link)
	w.tell(Shutdown{})
	w.expect("send a1/0", "move x")
	w.tell(ClientDisconnected{c})
	late := w.client("late")
	w.arrive(late, Request{Key: "k"})
	w.wentUp(w.link)
	w.pass(time.Minute)
	w.expect("send a1/0", "move late")
	w.tell(ClientDisconnected{late})
	w.held(0)
}
