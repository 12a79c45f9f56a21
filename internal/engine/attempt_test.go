package engine

import (
	"fmt"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

func TestConnectionIsServedToItsEnd(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.expect("send a1/0")
	w.establish(w.attempt)
	w.pass(time.Minute)
	w.expect()
	w.end(w.attempt, balancer.OK)
	w.end(w.attempt, balancer.OK) // a stale handle does nothing
	w.expectRequests(0)
	if n := w.engine.timers.Len(); n > 3 { // the sweep, the statistics and the balancer's own
		t.Errorf("%d timers are left", n)
	}
}

// An attempt without an answer is cancelled before the next one is sent: a request never has two at once.
func TestTimedOutAttemptIsCancelledBeforeTheRetry(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.pass(10 * time.Second)
	w.expect("send a1/0", "cancel a1/0", "send a1/1", "cancel a1/1", "reject x")
	w.expectRequests(0)
}

func TestEstablishedThatCrossesTheTimeoutCounts(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.attempt.isEstablished = true // the event is on its way while the time runs out
	w.pass(10 * time.Second)
	w.establish(w.attempt)
	w.expect("send a1/0")
	w.expectRequests(1)
}

func TestRejectedAttemptIsRetriedElsewhereAndThenRejectedAtOnce(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	first := w.attempt
	w.end(first, balancer.Rejected)
	if retry := w.attempt; retry == first || retry.sent.Addr == first.sent.Addr || retry.sent.Number != 1 {
		t.Fatalf("the retry is number %d at %s, the first was at %s",
			retry.sent.Number, retry.sent.Addr, first.sent.Addr)
	}
	w.calls = nil
	w.end(w.attempt, balancer.Rejected)
	w.expect("reject x")
	w.expectRequests(0)
}

// A connection from before the start goes to its owner undecided, also to one that drains.
func TestConnectionIsResumedAtItsOwner(t *testing.T) {
	w := newWorld(t, 3, nil)
	for i, owner := range []string{"s1", "s2", "s3"} {
		w.arrive(w.client(owner), Request{Key: "k", Owner: owner})
		w.expect(fmt.Sprintf("send a%d/0", i+1))
		w.establish(w.attempt)
		w.end(w.attempt, balancer.Cancelled)
	}
	w.arrive(w.client("x"), Request{Key: "k", Owner: "s9"})
	w.expect("fail x")
	w.arrive(w.client("y"), Request{Key: "k", Owner: "s1"})
	w.end(w.attempt, balancer.ConnectFailed)
	w.expect("send a1/0", "fail y")
	w.expectRequests(0)
}

// What is on its way to a request that has ended does not reach the next one in its slot.
func TestStaleEventsDoNotReachTheNextRequestInASlot(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.MaxSockets = 2 })
	first := w.client("first")
	w.arrive(first, Request{Key: "k"})
	stale := w.attempt
	w.handle(ClientDisconnected{first})
	w.arrive(w.client("next"), Request{Key: "k"})
	next := w.attempt
	if stale.sent.RequestID == next.sent.RequestID {
		t.Fatal("the handle was given twice")
	}
	w.calls = nil
	w.handle(AttemptEstablished{RequestID: stale.sent.RequestID})
	w.end(stale, balancer.Reset)
	w.handle(ConnectionLoad{RequestID: stale.sent.RequestID, Load: 9})
	w.handle(MessageAnswered{RequestID: stale.sent.RequestID, Delay: time.Minute})
	w.handle(ServerDraining{RequestID: stale.sent.RequestID})
	w.handle(ClientDisconnected{first})
	w.expect()
	w.expectRequests(1)
	w.establish(next)
	if r := w.engine.requests.get(next.sent.RequestID); r == nil || r.phase != established || r.load != 0 {
		t.Error("the next request is not established as it should be")
	}
}
