package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against requests without an answer when the platform ends the process after a shutdown. It covers requests with
// late deadlines that wait for a hung server or for an endpoint list, and requests that arrive during the shutdown.
func TestPendingRequestsAreAnsweredAtAShutdown(t *testing.T) {
	for _, outlive := range []bool{false, true} {
		for _, servers := range []int{0, 1} {
			t.Run(fmt.Sprintf("connections outlive %t, %d servers", outlive, servers), func(t *testing.T) {
				h := newHarness(t, servers, func(o *Options) {
					o.ConnectionsOutliveGateway, o.AnswerTimeout = outlive, 3300*time.Millisecond
					if outlive {
						o.DrainTimeout = 15 * time.Second
					}
				})
				h.connectAndRequest(h.newClient("x"), Request{Key: "k", Timeout: time.Minute})
				h.advance(850 * time.Millisecond) // so that the last attempt has all the time that is left
				h.handle(Shutdown{})
				h.connectAndRequest(h.newClient("y"), Request{Key: "k", Timeout: time.Minute})
				h.advance(3300*time.Millisecond - 10*time.Millisecond)
				h.connectAndRequest(h.newClient("z"), Request{Key: "k", Timeout: time.Minute})
				h.advance(160 * time.Millisecond)
				answers := map[string]int{}
				for _, call := range h.calls {
					answers[call]++
				}
				for _, c := range []string{"x", "y", "z"} {
					if n := answers["reject "+c] + answers["fail "+c]; n != 1 {
						t.Errorf("client %s got %d answers, want 1; calls are %q", c, n, h.calls)
					}
				}
				h.expectRequests(0)
			})
		}
	}
}

// Guards against clients that are still connected when a gateway ends, if connections end with the gateway. After
// AnswerTimeout, idle clients are closed, new ones are rejected and newly established ones are migrated. A client that
// can't leave, because half a message has to be forwarded first, is closed after DrainTimeout.
func TestClosingEndsAllClients(t *testing.T) {
	h := newHarness(t, 1, func(o *Options) {
		o.ConnectionsOutliveGateway, o.AnswerTimeout, o.MaxSockets = false, 3300*time.Millisecond, 20
	})
	h.handle(Shutdown{})
	h.advance(900 * time.Millisecond)
	h.handle(ClientConnected{Client: h.newClient("early")}) // without a client the shutdown would complete early
	h.advance(2350 * time.Millisecond)
	idler, late := h.newClient("idle"), h.newClient("late")
	h.handle(ClientConnected{Client: idler})
	h.connectAndRequest(late, Request{Key: "k"})
	h.expectCalls("send a1/0")
	h.advance(60 * time.Millisecond)
	h.expectCalls("close early", "close idle")
	h.handle(ClientConnected{Client: h.newClient("later")})
	h.expectCalls("reject later")
	h.establish(h.lastAttempt)
	h.expectCalls("migrate late")
	h.advance(150 * time.Millisecond)
	h.expectCalls()
	h.advance(time.Second)
	h.expectCalls("close late") // the client has not left, as if half a message had to be forwarded first
	if !h.engine.Ended() {
		t.Error("the engine has not ended after DrainTimeout")
	}
}

// Guards against a client that gets a failure although its connection was established just before the shutdown completed.
func TestEstablishedInTheMomentOfTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		outlive bool
		want    []string
	}{
		"connections end":     {false, []string{"migrate x"}},
		"connections outlive": {true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = c.outlive })
			h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
			h.lastAttempt.isEstablished = true // the event is not handled before the shutdown completes
			h.handle(Shutdown{})
			h.calls = nil
			h.engine.completeShutdown()
			h.expectCalls(c.want...)
		})
	}
}

func TestShutdownLeavesConnectionsThatOutliveTheGateway(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	h.establish(h.lastAttempt)
	h.handle(Shutdown{})
	h.connectAndRequest(h.newClient("late"), Request{Key: "k", Timeout: time.Minute})
	h.expectCalls("send a1/0", "send a1/0")
	h.establish(h.lastAttempt)
	h.connectAndRequest(h.newClient("later"), Request{Key: "k", Timeout: time.Minute})
	h.calls = nil
	h.advance(time.Minute)
	if !h.engine.Ended() || slices.Contains(h.calls, "migrate x") || slices.Contains(h.calls, "migrate late") {
		t.Errorf("ended %t, calls are %q, want an end without a migration", h.engine.Ended(), h.calls)
	}
}

func TestShutdownMigratesConnectionsThatEndWithTheGateway(t *testing.T) {
	h := newHarness(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = false })
	c := h.newClient("x")
	h.connectAndRequest(c, Request{Key: "k"})
	h.establish(h.lastAttempt)
	h.handle(Shutdown{})
	h.expectCalls("send a1/0", "migrate x")
	h.handle(ClientDisconnected{c})
	late := h.newClient("late")
	h.connectAndRequest(late, Request{Key: "k"})
	h.establish(h.lastAttempt)
	h.advance(time.Minute)
	h.expectCalls("send a1/0", "migrate late")
	h.handle(ClientDisconnected{late})
	h.expectRequests(0)
}
