package balancer

import (
	"fmt"
	"strings"
	"testing"
)

func TestFailingServerLeavesTheTableAndReturns(t *testing.T) {
	w := newWorld(t, settings(), 6)
	_, s := w.open("safe", "g")
	w.request("safe", "g")
	w.end(w.sent(), 0, ConnectFailed)
	if len(find[Log](w.last)) != 1 {
		t.Errorf("no log line: %+v", w.last)
	}
	for range 5 {
		if _, got := w.open("safe", "g"); got == s {
			t.Fatal("sent to an ejected server")
		}
	}
	logs := find[Log](w.wait(baseEjectionDuration + sec))
	if len(logs) != 1 || !strings.Contains(logs[0].Message, "ended") {
		t.Errorf("log lines at its return: %+v", logs)
	}
	first := w.onTrial("g", s)
	w.feed(AttemptEnded{ID: first.ID, Server: s, Result: TimedOut, Elapsed: 300 * ms})
	if w.b.servers[s].ejectedUntil == 0 {
		t.Error("it failed on probation and stays")
	}
}

func TestSharedTroubleEjectsNoMoreThanTheCap(t *testing.T) {
	w := newWorld(t, settings(), 8)
	for i := range 200 {
		w.request("safe", fmt.Sprint("g", i))
		if len(find[Send](w.last)) == 1 {
			w.end(w.sent(), 0, TimedOut)
		}
	}
	out := 0
	for _, s := range w.b.sortedServers {
		if s.ejectedUntil > 0 {
			out++
		}
	}
	if out > 4 {
		t.Errorf("%d of 8 servers ejected", out)
	}
}

func TestRestartClearsTheRecord(t *testing.T) {
	w := newWorld(t, settings(), 3)
	s := w.b.sortedServers[0]
	w.b.scoreResult(s, ConnectFailed, false, 0)
	if s.ejectedUntil == 0 {
		t.Fatal("not ejected")
	}
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s.ID, Started: w.now}}})
	if s.ejectedUntil != 0 || s.failureScore.sum != 0 {
		t.Error("the new process bears the old one's record")
	}
}

// A server that is put back is tried once, and not before its moment, whatever its cold budget allows.
func TestReturnedServerIsTriedOnce(t *testing.T) {
	w := newWorld(t, settings(), 4)
	back := w.b.sortedServers[2].ID
	w.feed(ServerReinstated{Server: back})
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: back, Capacity: 1, Started: w.now}}})
	w.wait(reinstatementSpread)
	to := 0
	for i := range 20 {
		w.feed(Request{ID: RequestID(500 + i), Class: "safe", Key: fmt.Sprint(i), Timeout: 2 * sec})
		for _, s := range find[Send](w.last) {
			if s.Server == back {
				to++
			}
		}
	}
	if to != 1 {
		t.Errorf("%d sent at once to a cold server that is back", to)
	}
}
