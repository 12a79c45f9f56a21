package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// What waits at a stop is answered before the platform may end the program, whatever its deadline and wherever it waits: at
// a hung server, with attempts left; for a list; or come late.
func TestWhatWaitsAtAStopIsAnswered(t *testing.T) {
	for _, pass := range []bool{false, true} {
		for _, servers := range []int{0, 1} {
			w := newWorld(t, servers, func(o *Options) {
				o.ConnectionsOutliveGateway, o.AnswerTimeout = pass, 3300*time.Millisecond
				if pass {
					o.DrainTimeout = 15 * time.Second
				}
			})
			w.arrive(w.client("x"), Request{Key: "k", Timeout: time.Minute, Class: "c"})
			w.pass(850 * time.Millisecond) // its last attempt has all the time that is left
			w.tell(Shutdown{})
			w.arrive(w.client("y"), Request{Key: "k", Timeout: time.Minute})
			w.pass(3300*time.Millisecond - 10*time.Millisecond)
			w.arrive(w.client("z"), Request{Key: "k", Timeout: time.Minute})
			w.pass(160 * time.Millisecond)
			answers := map[string]int{}
			for _, d := range w.did {
				answers[d]++
			}
			for _, c := range []string{"x", "y", "z"} {
				if n := answers["refuse "+c] + answers["fail "+c]; n != 1 {
					t.Errorf("pass %v, %d servers: %s has %d answers: %q", pass, servers, c, n, w.did)
				}
			}
			if w.e.requests.Len() != 0 {
				t.Errorf("pass %v, %d servers: %d are held", pass, servers, w.e.requests.Len())
			}
		}
	}
}

// Where connections end here, who rests is closed at the end of the time for answers, who comes then is turned away, and
// what comes up then is moved; half a line keeps its client for the rest of the time alone.
func TestClosing(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) {
		o.ConnectionsOutliveGateway, o.AnswerTimeout, o.MaxSockets = false, 3300*time.Millisecond, 20
	})
	w.tell(Shutdown{})
	w.pass(900 * time.Millisecond)
	w.tell(ClientConnected{Client: w.client("early")}) // or the end would come for want of clients
	w.pass(2350 * time.Millisecond)
	rests, late := w.client("rests"), w.client("late")
	w.tell(ClientConnected{Client: rests})
	w.arrive(late, Request{Key: "k"})
	w.expect("send a1/0")
	w.pass(60 * time.Millisecond)
	w.expect("close early", "close rests")
	w.tell(ClientConnected{Client: w.client("later")})
	w.expect("refuse later")
	w.wentUp(w.link)
	w.expect("move late")
	w.pass(150 * time.Millisecond)
	w.expect()
	w.pass(time.Second)
	w.expect("close late") // it never left: its MOVE waits behind half a line
	if !w.e.Ended() {
		t.Error("not ended")
	}
}

// A connection that comes up in the very moment of the end is no failure to its client, which has its UP.
func TestUpInTheMomentOfTheEnd(t *testing.T) {
	for _, pass := range []bool{false, true} {
		w := newWorld(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = pass })
		w.arrive(w.client("x"), Request{Key: "k"})
		w.link.up = true // word of it is on its way
		w.tell(Shutdown{})
		w.did = nil
		w.e.end()
		if pass {
			w.expect()
		} else {
			w.expect("move x")
		}
	}
}

// Accepted connections are told of as dealt with, whether taken or not.
func TestAcceptedIsDone(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.MaxSockets = 1 })
	done := 0
	for _, name := range []string{"x", "y"} {
		c := w.client(name)
		w.tell(ClientConnected{Client: c, Done: func() { done++ }})
		w.tell(RequestReceived{c, Request{Key: "k", Class: "c", Timeout: time.Second}})
	}
	if done != 2 {
		t.Errorf("%d of 2", done)
	}
}

// A request that was taken as its idle connection was closed is answered by the close: nothing is sent on.
func TestALineThatCrossesTheIdleClose(t *testing.T) {
	w := newWorld(t, 1, nil)
	c := w.client("x")
	w.tell(ClientConnected{Client: c})
	w.pass(openingFor)
	w.expect("close x")
	w.tell(RequestReceived{c, Request{Key: "k", Class: "c", Timeout: time.Second}})
	w.tell(ClientDisconnected{c})
	w.expect()
	w.held(0)
}

// A slot's next tenant hears nothing of what was on its way to the one before.
func TestASlotsNextTenantIsLeftAlone(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.MaxSockets = 2 })
	first := w.client("first")
	w.arrive(first, Request{Key: "k"})
	old := w.link
	w.tell(ClientDisconnected{first})
	w.arrive(w.client("next"), Request{Key: "k"})
	next := w.link
	if old.a.RequestID == next.a.RequestID {
		t.Fatal("the number was given twice")
	}
	w.did = nil
	w.tell(AttemptEstablished{RequestID: old.a.RequestID})
	w.ended(old, balancer.Reset)
	w.tell(ConnectionLoad{RequestID: old.a.RequestID, Load: 9})
	w.tell(MessageAnswered{RequestID: old.a.RequestID, Delay: time.Minute})
	w.tell(ServerDraining{RequestID: old.a.RequestID})
	w.tell(ClientDisconnected{first})
	w.expect()
	w.held(1)
	w.wentUp(next)
	if r, ok := w.e.requests.Get(next.a.RequestID); !ok || r.phase != open || r.load != 0 {
		t.Error("the next tenant does not stand as it should")
	}
}

// Without a list a gateway is ready all the same in time, and with one at once; refusals say when to come again.
func TestReadyWithoutAList(t *testing.T) {
	w := newWorld(t, 0, func(o *Options) { o.ReadyTimeout = 8 * time.Second })
	w.pass(8*time.Second - time.Millisecond)
	if w.e.Ready() {
		t.Error("ready too soon")
	}
	w.pass(time.Millisecond)
	if !w.e.Ready() {
		t.Error("not ready in time")
	}
	w.arrive(w.client("x"), Request{Key: "k"})
	w.pass(time.Second)
	w.expect("refuse x")
	if w := newWorld(t, 1, func(o *Options) { o.ReadyTimeout = 8 * time.Second }); !w.e.Ready() {
		t.Error("not ready with the list as last held")
	}
}
