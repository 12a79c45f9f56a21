package engine

import (
	"fmt"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

func TestConnectionIsServedToItsEnd(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	h.expectCalls("send a1/0")
	h.establish(h.lastAttempt)
	h.advance(time.Minute)
	h.expectCalls()
	h.endAttempt(h.lastAttempt, balancer.OK)
	h.endAttempt(h.lastAttempt, balancer.OK) // the stale handle is ignored
	h.expectRequests(0)
	if n := h.engine.timers.Len(); n > 3 { // timers of the sweep, the statistics and the balancer
		t.Errorf("%d timers are left, want at most 3", n)
	}
}

// Guards against a request with two attempts at once: an attempt that times out is cancelled before the retry is sent.
func TestTimedOutAttemptIsCancelledBeforeTheRetry(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	h.advance(10 * time.Second)
	h.expectCalls("send a1/0", "cancel a1/0", "send a1/1", "cancel a1/1", "reject x")
	h.expectRequests(0)
}

func TestEstablishedEventThatCrossesTheTimeoutCounts(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	h.lastAttempt.isEstablished = true // the attempt times out before the event is handled
	h.advance(10 * time.Second)
	h.establish(h.lastAttempt)
	h.expectCalls("send a1/0")
	h.expectRequests(1)
}

func TestRejectedAttemptIsRetriedElsewhereAndThenRejectedAtOnce(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	first := h.lastAttempt
	h.endAttempt(first, balancer.Rejected)
	if retry := h.lastAttempt; retry == first || retry.sent.Addr == first.sent.Addr || retry.sent.Number != 1 {
		t.Fatalf("got retry number %d at %s, want number 1 at another server than %s",
			retry.sent.Number, retry.sent.Addr, first.sent.Addr)
	}
	h.calls = nil
	h.endAttempt(h.lastAttempt, balancer.Rejected)
	h.expectCalls("reject x")
	h.expectRequests(0)
}

// A connection from before the start of the gateway is resumed at its owner, without a decision of the balancer. It fails
// if its owner is not listed or can't be reached.
func TestConnectionIsResumedAtItsOwner(t *testing.T) {
	h := newHarness(t, 3, nil)
	for i, owner := range []string{"s1", "s2", "s3"} {
		h.connectAndRequest(h.newClient(owner), Request{Key: "k", Owner: owner})
		h.expectCalls(fmt.Sprintf("send a%d/0", i+1))
		h.establish(h.lastAttempt)
		h.endAttempt(h.lastAttempt, balancer.Cancelled)
	}
	h.connectAndRequest(h.newClient("x"), Request{Key: "k", Owner: "s9"})
	h.expectCalls("fail x")
	h.connectAndRequest(h.newClient("y"), Request{Key: "k", Owner: "s1"})
	h.endAttempt(h.lastAttempt, balancer.ConnectFailed)
	h.expectCalls("send a1/0", "fail y")
	h.expectRequests(0)
}

// Guards against events of an ended request that affect the next request in its slot. This happens if a handle does not
// distinguish the two.
func TestStaleEventsDoNotReachTheNextRequestInASlot(t *testing.T) {
	h := newHarness(t, 1, func(o *Options) { o.MaxSockets = 2 })
	first := h.newClient("first")
	h.connectAndRequest(first, Request{Key: "k"})
	stale := h.lastAttempt
	h.handle(ClientDisconnected{first})
	h.connectAndRequest(h.newClient("next"), Request{Key: "k"})
	next := h.lastAttempt
	if stale.sent.RequestID == next.sent.RequestID {
		t.Fatal("both requests got the same handle")
	}
	h.calls = nil
	h.handle(AttemptEstablished{RequestID: stale.sent.RequestID})
	h.endAttempt(stale, balancer.Reset)
	h.handle(ConnectionLoadChanged{RequestID: stale.sent.RequestID, Load: 9})
	h.handle(MessageAnswered{RequestID: stale.sent.RequestID, Delay: time.Minute})
	h.handle(ServerDraining{RequestID: stale.sent.RequestID})
	h.handle(ClientDisconnected{first})
	h.expectCalls()
	h.expectRequests(1)
	h.establish(next)
	if r := h.engine.requests.get(next.sent.RequestID); r == nil || r.phase != established || r.load != 0 {
		t.Error("the next request is missing, not established or has the load of the ended one")
	}
}
