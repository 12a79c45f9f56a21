package engine

import (
	"fmt"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// Clients that send nothing are closed within 3 s of connecting, and while there are many of them they do not shut out
// others: the one that has been idle longest is evicted.
func TestIdleClientsAreEvictedOldestFirst(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.MaxSockets = 4 })
	var idlers []*fakeClient
	for i := range 4 {
		idlers = append(idlers, w.client(fmt.Sprint("s", i)))
		w.handle(ClientConnected{Client: idlers[i]})
		w.now += time.Millisecond
	}
	w.engine.options.MaxIdleClients = 4
	w.handle(ClientConnected{Client: w.client("s4")})
	w.expect("close s0")
	w.handle(ClientConnected{Client: w.client("s5")})
	w.expect("close s1")
	w.handle(ClientActive{idlers[2]}) // so that the next one is the oldest
	w.arrive(w.client("x"), Request{Key: "k"})
	w.expect("close s3", "close s4", "send a1/0")
	w.establish(w.attempt)
	w.arrive(w.client("y"), Request{Key: "k"})
	w.expect("close s5", "close s2", "send a1/0")
	w.establish(w.attempt)
	w.handle(ClientConnected{Client: w.client("z")}) // clients with requests are never evicted
	w.expect("reject z")
	w.expectRequests(2)
	w.end(w.attempt, balancer.OK)
	w.handle(ClientConnected{Client: w.client("quiet")})
	w.pass(2900 * time.Millisecond)
	w.expect("close quiet")
	w.expectRequests(1)
	if idle, named := w.engine.requests.idle, len(w.engine.requests.byClientID); idle != 0 || named != 0 {
		t.Errorf("%d idle clients and %d names are left", idle, named)
	}
}

func TestConnectedEventIsDoneWhetherAdmittedOrRejected(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.MaxSockets = 1 })
	done := 0
	for _, name := range []string{"x", "y"} {
		c := w.client(name)
		w.handle(ClientConnected{Client: c, Done: func() { done++ }})
		w.handle(RequestReceived{c, Request{Key: "k", Class: "c", Timeout: time.Second}})
	}
	if done != 2 {
		t.Errorf("done was called %d times, want 2", done)
	}
}

// A request that crosses the close of its idle connection is answered by the close: no attempt is sent.
func TestRequestThatCrossesTheIdleCloseIsIgnored(t *testing.T) {
	w := newWorld(t, 1, nil)
	c := w.client("x")
	w.handle(ClientConnected{Client: c})
	w.pass(idleTimeout)
	w.expect("close x")
	w.handle(RequestReceived{c, Request{Key: "k", Class: "c", Timeout: time.Second}})
	w.handle(ClientDisconnected{c})
	w.expect()
	w.expectRequests(0)
}

func TestDisconnectCancelsThePendingAttempt(t *testing.T) {
	w := newWorld(t, 1, nil)
	c := w.client("x")
	w.arrive(c, Request{Key: "k"})
	cancelled := w.attempt
	w.handle(ClientDisconnected{c})
	w.handle(ClientDisconnected{c})
	w.expect("send a1/0", "cancel a1/0")
	w.establish(cancelled) // too late
	w.expectRequests(0)
	w.arrive(w.client("y"), Request{Key: "k"}) // takes the slot over under another handle
	w.end(cancelled, balancer.Reset)
	w.expectRequests(1)
}
