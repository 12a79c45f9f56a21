package engine

import (
	"fmt"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// Guards against clients that send nothing and lock out others: they are closed within 3 s, and if sockets run out before,
// the client that has been idle longest is evicted.
func TestIdleClientsAreEvictedOldestFirst(t *testing.T) {
	h := newHarness(t, 1, func(o *Options) { o.MaxSockets = 4 })
	var idlers []*fakeClient
	for i := range 4 {
		idlers = append(idlers, h.newClient(fmt.Sprint("s", i)))
		h.handle(ClientConnected{Client: idlers[i]})
		h.now += time.Millisecond
	}
	h.engine.options.MaxIdleClients = 4
	h.handle(ClientConnected{Client: h.newClient("s4")})
	h.expectCalls("close s0")
	h.handle(ClientConnected{Client: h.newClient("s5")})
	h.expectCalls("close s1")
	h.handle(ClientActive{idlers[2]}) // makes s3 the longest idle client
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	h.expectCalls("close s3", "close s4", "send a1/0")
	h.establish(h.lastAttempt)
	h.connectAndRequest(h.newClient("y"), Request{Key: "k"})
	h.expectCalls("close s5", "close s2", "send a1/0")
	h.establish(h.lastAttempt)
	h.handle(ClientConnected{Client: h.newClient("z")}) // clients with requests are never evicted
	h.expectCalls("reject z")
	h.expectRequests(2)
	h.endAttempt(h.lastAttempt, balancer.OK)
	h.handle(ClientConnected{Client: h.newClient("quiet")})
	h.advance(2900 * time.Millisecond)
	h.expectCalls("close quiet")
	h.expectRequests(1)
	if idle, named := h.engine.requests.idle, len(h.engine.requests.byClientID); idle != 0 || named != 0 {
		t.Errorf("%d idle clients and %d client IDs are left, want none", idle, named)
	}
}

func TestClientConnectedCallsDoneWhetherAdmittedOrRejected(t *testing.T) {
	h := newHarness(t, 1, func(o *Options) { o.MaxSockets = 1 })
	done := 0
	for _, name := range []string{"x", "y"} {
		c := h.newClient(name)
		h.handle(ClientConnected{Client: c, Done: func() { done++ }})
		h.handle(RequestReceived{c, Request{Key: "k", Class: "c", Timeout: time.Second}})
	}
	if done != 2 {
		t.Errorf("Done was called %d times, want 2", done)
	}
}

// Guards against an attempt for a client that is already closed: a request that arrives just after the idle timeout has
// closed its connection is ignored.
func TestRequestThatCrossesTheIdleCloseIsIgnored(t *testing.T) {
	h := newHarness(t, 1, nil)
	c := h.newClient("x")
	h.handle(ClientConnected{Client: c})
	h.advance(idleTimeout)
	h.expectCalls("close x")
	h.handle(RequestReceived{c, Request{Key: "k", Class: "c", Timeout: time.Second}})
	h.handle(ClientDisconnected{c})
	h.expectCalls()
	h.expectRequests(0)
}

func TestDisconnectCancelsThePendingAttempt(t *testing.T) {
	h := newHarness(t, 1, nil)
	c := h.newClient("x")
	h.connectAndRequest(c, Request{Key: "k"})
	cancelled := h.lastAttempt
	h.handle(ClientDisconnected{c})
	h.handle(ClientDisconnected{c})
	h.expectCalls("send a1/0", "cancel a1/0")
	h.establish(cancelled) // ignored, because the attempt was cancelled
	h.expectRequests(0)
	h.connectAndRequest(h.newClient("y"), Request{Key: "k"}) // reuses the slot with another handle
	h.endAttempt(cancelled, balancer.Reset)
	h.expectRequests(1)
}
