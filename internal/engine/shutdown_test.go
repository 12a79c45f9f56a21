package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// What is pending at a shutdown is answered before the platform may end the program, whatever its deadline and
// wherever it waits: at a hung server, with attempts left; for an endpoint list; or when it comes late.
func TestPendingRequestsAreAnsweredAtAShutdown(t *testing.T) {
	for _, outlive := range []bool{false, true} {
		for _, servers := range []int{0, 1} {
			t.Run(fmt.Sprintf("connections outlive %t, %d servers", outlive, servers), func(t *testing.T) {
				w := newWorld(t, servers, func(o *Options) {
					o.ConnectionsOutliveGateway, o.AnswerTimeout = outlive, 3300*time.Millisecond
					if outlive {
						o.DrainTimeout = 15 * time.Second
					}
				})
				w.arrive(w.client("x"), Request{Key: "k", Timeout: time.Minute})
				w.pass(850 * time.Millisecond) // its last attempt has all the time that is left
				w.handle(Shutdown{})
				w.arrive(w.client("y"), Request{Key: "k", Timeout: time.Minute})
				w.pass(3300*time.Millisecond - 10*time.Millisecond)
				w.arrive(w.client("z"), Request{Key: "k", Timeout: time.Minute})
				w.pass(160 * time.Millisecond)
				answers := map[string]int{}
				for _, call := range w.calls {
					answers[call]++
				}
				for _, c := range []string{"x", "y", "z"} {
					if n := answers["reject "+c] + answers["fail "+c]; n != 1 {
						t.Errorf("%s has %d answers: %q", c, n, w.calls)
					}
				}
				w.expectRequests(0)
			})
		}
	}
}

// Where connections end with the gateway, idle clients are closed at the end of the time for answers, new ones are
// rejected then, and what is established then is migrated; half a message keeps its client for the rest of the time
// alone.
func TestClosingEndsAllClients(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) {
		o.ConnectionsOutliveGateway, o.AnswerTimeout, o.MaxSockets = false, 3300*time.Millisecond, 20
	})
	w.handle(Shutdown{})
	w.pass(900 * time.Millisecond)
	w.handle(ClientConnected{Client: w.client("early")}) // without it the shutdown would end for want of clients
	w.pass(2350 * time.Millisecond)
	idler, late := w.client("idle"), w.client("late")
	w.handle(ClientConnected{Client: idler})
	w.arrive(late, Request{Key: "k"})
	w.expect("send a1/0")
	w.pass(60 * time.Millisecond)
	w.expect("close early", "close idle")
	w.handle(ClientConnected{Client: w.client("later")})
	w.expect("reject later")
	w.establish(w.attempt)
	w.expect("migrate late")
	w.pass(150 * time.Millisecond)
	w.expect()
	w.pass(time.Second)
	w.expect("close late") // it never left: half a message has to be passed on first
	if !w.engine.Ended() {
		t.Error("not ended")
	}
}

// A connection that is established in the very moment of the end is no failure to its client.
func TestEstablishedInTheMomentOfTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		outlive bool
		want    []string
	}{
		"connections end":     {false, []string{"migrate x"}},
		"connections outlive": {true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = c.outlive })
			w.arrive(w.client("x"), Request{Key: "k"})
			w.attempt.isEstablished = true // the event is on its way
			w.handle(Shutdown{})
			w.calls = nil
			w.engine.completeShutdown()
			w.expect(c.want...)
		})
	}
}

func TestShutdownLeavesConnectionsThatOutliveTheGateway(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.establish(w.attempt)
	w.handle(Shutdown{})
	w.arrive(w.client("late"), Request{Key: "k", Timeout: time.Minute})
	w.expect("send a1/0", "send a1/0")
	w.establish(w.attempt)
	w.arrive(w.client("later"), Request{Key: "k", Timeout: time.Minute})
	w.calls = nil
	w.pass(time.Minute)
	if !w.engine.Ended() || slices.Contains(w.calls, "migrate x") || slices.Contains(w.calls, "migrate late") {
		t.Errorf("ended %t, calls are %q", w.engine.Ended(), w.calls)
	}
}

func TestShutdownMigratesConnectionsThatEndWithTheGateway(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = false })
	c := w.client("x")
	w.arrive(c, Request{Key: "k"})
	w.establish(w.attempt)
	w.handle(Shutdown{})
	w.expect("send a1/0", "migrate x")
	w.handle(ClientDisconnected{c})
	late := w.client("late")
	w.arrive(late, Request{Key: "k"})
	w.establish(w.attempt)
	w.pass(time.Minute)
	w.expect("send a1/0", "migrate late")
	w.handle(ClientDisconnected{late})
	w.expectRequests(0)
}
