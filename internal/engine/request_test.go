package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// Guards against a unary request that stays in the table after its answer.
func TestUnaryRequestEndsWithItsAnswer(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.requestUnary(h.newClient("x"))
	h.expectCalls("send a1/0")
	h.endAttempt(h.lastAttempt, balancer.OK)
	h.advance(10 * time.Second)
	h.expectCalls()
	h.expectRequests(0)
}

func TestUnaryRequestIsRetriedAndAnsweredOnce(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.requestUnary(h.newClient("x"))
	first := h.lastAttempt
	h.endAttempt(first, balancer.ConnectFailed)
	second := h.lastAttempt
	if second == first || second.sent.Addr == first.sent.Addr {
		t.Fatalf("the retry was sent to %s, want another server than that of the first attempt", second.sent.Addr)
	}
	h.calls = nil
	h.endAttempt(first, balancer.OK) // ignored, because the attempt has ended
	h.expectRequests(1)
	h.endAttempt(second, balancer.OK)
	h.advance(10 * time.Second)
	h.expectCalls()
	h.expectRequests(0)
}

// Guards against a request that fails although its server has answered it: the attempt ended by itself before the
// deadline, and its event is handled just after the deadline.
func TestAnswerThatCrossesTheDeadlineCounts(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.requestUnary(h.newClient("x"))
	h.lastAttempt.isEstablished = true // the attempt can't be cancelled any more
	h.advance(3100 * time.Millisecond)
	h.endAttempt(h.lastAttempt, balancer.OK)
	h.expectCalls("send a1/0")
	h.expectRequests(0)
}

func TestUnaryRequestIsRejectedForLackOfSockets(t *testing.T) {
	h := newHarness(t, 1, func(o *Options) { o.MaxSockets = 2 })
	h.requestUnary(h.newClient("x"))
	h.requestUnary(h.newClient("y"))
	h.expectCalls("send a1/0", "reject y")
	h.expectRequests(1)
}

// Guards against invalid requests that are sent to a server: the server would reject them, and each rejection would
// count as a failure of the server.
func TestInvalidRequestsReachNoServer(t *testing.T) {
	h := newHarness(t, 1, nil)
	x := h.newClient("x")
	h.connectAndRequest(x, Request{ID: "1"})
	h.calls = nil
	h.connectAndRequest(h.newClient("class"), Request{ID: "2", Class: "none"})
	h.connectAndRequest(h.newClient("taken"), Request{ID: "1"})
	h.expectCalls("fail class", "fail taken")
	h.connectAndRequest(h.newClient("mid-flow"), Request{ID: "1", MidFlow: true}) // valid: packets of x may arrive again
	h.handle(ProtocolViolated{x})
	h.expectCalls("send a1/0", "cancel a1/0")
	h.connectAndRequest(h.newClient("taken"), Request{ID: "1"}) // the mid-flow request still has the ID
	h.expectCalls("fail taken")
	h.endAttempt(h.lastAttempt, balancer.Errored)
	h.endAttempt(h.lastAttempt, balancer.Errored)
	h.calls = nil
	h.connectAndRequest(h.newClient("y"), Request{ID: "1"})
	h.expectCalls("send a1/0")
	h.expectRequests(1)
}
