package balancer

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
)

func TestFailingServerIsEjectedAndReturnsOnProbation(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	_, server := h.establish(idempotentClass, "g")
	h.request(idempotentClass, "g")
	h.endAttempt(h.onlySend(), 0, ConnectFailed)
	if len(actionsOf[Log](h.lastActions)) != 1 {
		t.Errorf("got actions %+v, want one log line", h.lastActions)
	}
	for range 5 {
		if _, got := h.establish(idempotentClass, "g"); got == server {
			t.Fatal("a request was sent to the ejected server, want another server")
		}
	}
	logs := actionsOf[Log](h.advance(baseEjectionDuration + sec))
	if len(logs) != 1 || !strings.Contains(logs[0].Message, "ended") {
		t.Errorf("at the end of the ejection: got log lines %+v, want one that contains \"ended\"", logs)
	}
	first := h.requireSingleTrial("g", server)
	h.handle(AttemptEnded{ID: first.ID, Server: server, Result: TimedOut, Elapsed: 300 * ms})
	if h.balancer.servers[server].ejectedUntil == 0 {
		t.Error("the server is not ejected again after a failure on probation, want it ejected")
	}
}

func TestFleetWideFailuresEjectNoMoreThanMaxRatio(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	for i := range 200 {
		h.request(idempotentClass, fmt.Sprint("g", i))
		if len(h.sends()) == 1 {
			h.endAttempt(h.onlySend(), 0, TimedOut)
		}
	}
	ejected := 0
	for _, s := range h.balancer.sortedServers {
		if s.ejectedUntil > 0 {
			ejected++
		}
	}
	if ejected > 4 {
		t.Errorf("got %d of 8 servers ejected, want at most 4", ejected)
	}
}

func TestServerRestartClearsFailureScore(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	s := h.balancer.sortedServers[0]
	h.balancer.scoreResult(s, ConnectFailed, false, 0)
	if s.ejectedUntil == 0 {
		t.Fatal("the server is not ejected after a failed connect, want it ejected")
	}
	h.listDelta(Server{ID: s.ID, Started: h.now})
	if s.ejectedUntil != 0 || s.failureScore.sum != 0 {
		t.Errorf("after a restart: got ejected until %v and failure score %v, want 0",
			s.ejectedUntil, s.failureScore.sum)
	}
}

// A reinstated server gets exactly one trial request, whatever its warm-up budget allows.
func TestReinstatedServerIsTriedOnce(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	reinstated := h.balancer.sortedServers[2].ID
	h.handle(ServerReinstated{Server: reinstated})
	h.listDelta(Server{ID: reinstated, Capacity: 1, Started: h.now})
	h.advance(reinstatementSpread)
	sent := 0
	for i := range 20 {
		h.handle(Request{
			ID: RequestID(500 + i), Class: idempotentClass, Key: strconv.Itoa(i), Timeout: 2 * sec,
		})
		for _, server := range h.sentTo() {
			if server == reinstated {
				sent++
			}
		}
	}
	if sent != 1 {
		t.Errorf("got %d requests sent to a reinstated server that is warming up, want 1", sent)
	}
}
