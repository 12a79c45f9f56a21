package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// A request without a connection is over with its answer, and holds nothing after it.
func TestUnaryRequestEndsWithItsAnswer(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.ask(w.client("x"))
	w.expect("send a1/0")
	w.end(w.attempt, balancer.OK)
	w.pass(10 * time.Second)
	w.expect()
	w.expectRequests(0)
}

func TestUnaryRequestIsRetriedAndAnsweredOnce(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.ask(w.client("x"))
	first := w.attempt
	w.end(first, balancer.ConnectFailed)
	second := w.attempt
	if second == first || second.sent.Addr == first.sent.Addr {
		t.Fatalf("the retry went to %s, as the first attempt", second.sent.Addr)
	}
	w.calls = nil
	w.end(first, balancer.OK) // late: its attempt is over
	w.expectRequests(1)
	w.end(second, balancer.OK)
	w.pass(10 * time.Second)
	w.expect()
	w.expectRequests(0)
}

// The answer and the deadline fall together: the attempt has ended by itself, so the event that is on its way counts.
func TestAnswerThatCrossesTheDeadlineCounts(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.ask(w.client("x"))
	w.attempt.isEstablished = true // it can't be cancelled any more
	w.pass(3100 * time.Millisecond)
	w.end(w.attempt, balancer.OK)
	w.expect("send a1/0")
	w.expectRequests(0)
}

func TestUnaryRequestIsRejectedForWantOfSockets(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.MaxSockets = 2 })
	w.ask(w.client("x"))
	w.ask(w.client("y"))
	w.expect("send a1/0", "reject y")
	w.expectRequests(1)
}

// No server gets a request that it could not use: its answer would count against it.
func TestInvalidRequestsReachNoServer(t *testing.T) {
	w := newWorld(t, 1, nil)
	x := w.client("x")
	w.arrive(x, Request{ID: "1"})
	w.calls = nil
	w.arrive(w.client("class"), Request{ID: "2", Class: "none"})
	w.arrive(w.client("taken"), Request{ID: "1"})
	w.expect("fail class", "fail taken")
	w.arrive(w.client("mid-flow"), Request{ID: "1", MidFlow: true}) // packets of x come here again
	w.handle(ProtocolViolated{x})
	w.expect("send a1/0", "cancel a1/0")
	w.arrive(w.client("taken"), Request{ID: "1"}) // still, by mid-flow
	w.expect("fail taken")
	w.end(w.attempt, balancer.Errored)
	w.end(w.attempt, balancer.Errored)
	w.calls = nil
	w.arrive(w.client("y"), Request{ID: "1"})
	w.expect("send a1/0")
	w.expectRequests(1)
}
