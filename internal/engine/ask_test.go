package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// mover is a client that its front can take elsewhere.
type mover struct{ fakeClient }

func (m *mover) ServerDraining() { m.w.note("leaves %s", m.name) }

func (w *world) ask(c Client) {
	w.tell(UnaryRequestReceived{Client: c, Request: Request{Class: "c", Key: "k", Timeout: 3 * time.Second}})
}

// A request without a connection is over with its answer, and holds nothing after it.
func TestAskedIsOverWithItsAnswer(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.ask(w.client("x"))
	w.expect("send a1/0")
	w.ended(w.link, balancer.OK)
	w.pass(10 * time.Second)
	w.expect()
	w.held(0)
}

func TestAskedIsTriedAgainAndAnsweredOnce(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.ask(w.client("x"))
	first := w.link
	w.ended(first, balancer.ConnectFailed)
	second := w.link
	if second == first || second.a.Addr == first.a.Addr {
		t.Fatalf("then tried %+v", second.a)
	}
	w.did = nil
	w.ended(first, balancer.OK) // late: its attempt is over
	w.held(1)
	w.ended(second, balancer.OK)
	w.pass(10 * time.Second)
	w.expect()
	w.held(0)
}

// Its answer and its deadline fall together: the attempt is over by itself, so the word that is on its way counts.
func TestAnswerCrossesTheDeadline(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.ask(w.client("x"))
	w.link.up = true // it can't be abandoned any more
	w.pass(3100 * time.Millisecond)
	w.ended(w.link, balancer.OK)
	w.expect("send a1/0")
	w.held(0)
}

func TestAskedIsRefusedForWantOfRoom(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.MaxSockets = 2 })
	w.ask(w.client("x"))
	w.ask(w.client("y"))
	w.expect("send a1/0", "refuse y")
	w.held(1)
}

// A server's own word of its drain counts before the list's, until it starts anew; who can be moved is told once.
func TestServersOwnWordOfItsDrain(t *testing.T) {
	w := newWorld(t, 2, nil)
	m := &mover{fakeClient{w: w, name: "m"}}
	w.tell(ClientConnected{Client: m})
	w.tell(RequestReceived{m, Request{Class: "c", Key: "k", Timeout: 3 * time.Second}})
	l := w.link
	w.wentUp(l)
	w.did = nil
	w.tell(ServerDraining{RequestID: l.a.RequestID})
	w.tell(ServerDraining{RequestID: l.a.RequestID})
	w.expect("leaves m")
	entry := func(started time.Duration) EndpointList {
		return EndpointList{Mode: balancer.ListDelta, Servers: []Server{{Name: "s" + l.a.Addr[1:], Addr: l.a.Addr,
			Server: balancer.Server{ID: l.a.Server, Started: started}}}}
	}
	w.tell(entry(0)) // the list is late: it still calls it ready
	for i := range 4 {
		w.ask(w.client(string(rune('a' + i))))
		if w.link.a.Server == l.a.Server {
			t.Error("sent to a server that leaves")
		}
		w.ended(w.link, balancer.OK)
	}
	w.tell(entry(w.now)) // a new start
	if s := w.e.servers[l.a.Server]; s.leaving || s.state != balancer.Ready {
		t.Error("a server that started anew is still taken to leave")
	}
}

func TestMoversAreToldOfTheListsWord(t *testing.T) {
	for _, state := range []balancer.ServerState{balancer.Draining, balancer.Removed} {
		w := newWorld(t, 2, nil)
		m := &mover{fakeClient{w: w, name: "m"}}
		w.tell(ClientConnected{Client: m})
		w.tell(RequestReceived{m, Request{Class: "c", Key: "k", Timeout: 3 * time.Second}})
		l := w.link
		w.wentUp(l)
		w.did = nil
		w.tell(EndpointList{Mode: balancer.ListDelta, Servers: []Server{{Name: "s" + l.a.Addr[1:], Addr: l.a.Addr,
			Server: balancer.Server{ID: l.a.Server, State: state}}}})
		if n := len(w.did); n == 0 || w.did[n-1] != "leaves m" {
			t.Errorf("state %d: did %q", state, w.did)
		}
	}
}

// A client that its front moves has the time that the front says; then it is closed.
func TestMoveHasTheFrontsTime(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = false; o.DrainTimeout = time.Minute })
	c := w.client("x")
	c.within = 5 * time.Second
	w.arrive(c, Request{Key: "k"})
	w.wentUp(w.link)
	w.did = nil
	w.tell(Shutdown{})
	w.pass(4900 * time.Millisecond)
	w.expect("move x")
	w.pass(200 * time.Millisecond)
	w.expect("close x")
	w.held(0)
}
