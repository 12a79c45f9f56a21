package balancer

import (
	"fmt"
	"strings"
	"testing"
)

func TestFailingServerIsEjectedAndReturnsOnProbation(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	_, s := h.establish("safe", "g")
	h.request("safe", "g")
	h.endAttempt(h.onlySend(), 0, ConnectFailed)
	if len(actionsOf[Log](h.lastActions)) != 1 {
		t.Errorf("no log line: %+v", h.lastActions)
	}
	for range 5 {
		if _, got := h.establish("safe", "g"); got == s {
			t.Fatal("sent to an ejected server")
		}
	}
	logs := actionsOf[Log](h.advance(baseEjectionDuration + sec))
	if len(logs) != 1 || !strings.Contains(logs[0].Message, "ended") {
		t.Errorf("log lines at its return: %+v", logs)
	}
	first := h.sendOnTrial("g", s)
	h.handle(AttemptEnded{ID: first.ID, Server: s, Result: TimedOut, Elapsed: 300 * ms})
	if h.balancer.servers[s].ejectedUntil == 0 {
		t.Error("it failed on probation and stays")
	}
}

func TestFleetWideFailuresEjectNoMoreThanMaxRatio(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	for i := range 200 {
		h.request("safe", fmt.Sprint("g", i))
		if len(actionsOf[Send](h.lastActions)) == 1 {
			h.endAttempt(h.onlySend(), 0, TimedOut)
		}
	}
	out := 0
	for _, s := range h.balancer.sortedServers {
		if s.ejectedUntil > 0 {
			out++
		}
	}
	if out > 4 {
		t.Errorf("%d of 8 servers ejected", out)
	}
}

func TestServerRestartClearsFailureScore(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	s := h.balancer.sortedServers[0]
	h.balancer.scoreResult(s, ConnectFailed, false, 0)
	if s.ejectedUntil == 0 {
		t.Fatal("not ejected")
	}
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s.ID, Started: h.now}}})
	if s.ejectedUntil != 0 || s.failureScore.sum != 0 {
		t.Error("the new process bears the old one's record")
	}
}

// A server that is put back is tried once, and not before its moment, whatever its cold budget allows.
func TestReinstatedServerIsTriedOnce(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	back := h.balancer.sortedServers[2].ID
	h.handle(ServerReinstated{Server: back})
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: back, Capacity: 1, Started: h.now}}})
	h.advance(reinstatementSpread)
	to := 0
	for i := range 20 {
		h.handle(Request{ID: RequestID(500 + i), Class: "safe", Key: fmt.Sprint(i), Timeout: 2 * sec})
		for _, s := range actionsOf[Send](h.lastActions) {
			if s.Server == back {
				to++
			}
		}
	}
	if to != 1 {
		t.Errorf("%d sent at once to a cold server that is back", to)
	}
}
