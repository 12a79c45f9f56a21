package balancer

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// newPollingHarness returns a harness whose Balancer may poll servers for their load and has handled one
// request, and returns the polls for that request.
func newPollingHarness(t *testing.T, n int) (*harness, []PollLoad) {
	t.Helper()
	h := newHarness(t, pollingSettings(), n)
	h.handle(Request{ID: 1, Class: idempotentClass, Key: "a", Timeout: 2 * sec})
	polls := actionsOf[PollLoad](h.lastActions)
	if len(polls) != maxPolledServers || len(h.sends()) != 0 {
		t.Fatalf("before any report: got %d polls and %d sends, want maxPolledServers polls and no send",
			len(polls), len(h.sends()))
	}
	return h, polls
}

// A gateway with few connections of its own does not know the load of a server. It polls the server at the
// table entry and another one. It sends to the former if that has capacity, and to the one with the lower
// utilization otherwise.
func TestPollsServersBeforeSending(t *testing.T) {
	for _, c := range []struct {
		utilizations [maxPolledServers]float64
		want         int // index of the poll whose server gets the request
	}{
		{[maxPolledServers]float64{0.4, 0.1}, 0},
		{[maxPolledServers]float64{0.8, 0.1}, 1},
		{[maxPolledServers]float64{1.5, 0.5}, 1},
	} {
		t.Run(fmt.Sprint("utilizations ", c.utilizations), func(t *testing.T) {
			h, polls := newPollingHarness(t, 8)
			for i, utilization := range c.utilizations {
				h.handle(LoadReport{Server: polls[i].Server, Utilization: utilization, Connections: 30})
			}
			if diff := cmp.Diff([]ServerID{polls[c.want].Server}, h.sentTo()); diff != "" {
				t.Errorf("servers sent to (-want +got):\n%s", diff)
			}
		})
	}
}

// If the polled servers are full, others are polled. The request is rejected only after maxPollRounds.
func TestPollsFurtherServersWhenPolledOnesAreFull(t *testing.T) {
	h, polls := newPollingHarness(t, maxPollRounds*maxPolledServers)
	polled := map[ServerID]bool{}
	for round := 1; len(polls) > 0; round++ {
		for _, p := range polls {
			if polled[p.Server] {
				t.Fatalf("server %d was polled again while its report was fresh, want one poll", p.Server)
			}
			polled[p.Server] = true
			h.handle(LoadReport{Server: p.Server, Utilization: 1.5, Connections: 30})
		}
		polls = actionsOf[PollLoad](h.lastActions)
		if round > maxPollRounds {
			t.Fatalf("got more rounds of polls, want at most %d", maxPollRounds)
		}
	}
	if n := len(h.rejections()); n != 1 || len(polled) != maxPollRounds*maxPolledServers {
		t.Errorf("got %d rejections after polls of %d servers, want one after all rounds", n, len(polled))
	}
}

// A server that does not report within the poll timeout is skipped in favor of one that does.
func TestServerWithoutReportIsSkippedAfterPollTimeout(t *testing.T) {
	h, polls := newPollingHarness(t, 8)
	h.handle(LoadReport{Server: polls[1].Server, Utilization: 0.3, Connections: 30})
	if len(h.sends()) != 0 {
		t.Fatal("the request was sent before the table entry reported, want it to wait")
	}
	h.now += loadPollTimeout
	h.handle(TimerFired{Ref: waitTimer})
	if diff := cmp.Diff([]ServerID{polls[1].Server}, h.sentTo()); diff != "" {
		t.Errorf("servers sent to (-want +got):\n%s", diff)
	}
}

func TestClientDisconnectedWhilePollingIsNotSent(t *testing.T) {
	h, polls := newPollingHarness(t, 8)
	h.handle(ClientDisconnected{ID: 1})
	h.handle(LoadReport{Server: polls[0].Server, Utilization: 0.3, Connections: 30})
	h.advance(sec)
	if n := len(h.sends()); n != 0 || len(h.balancer.waiting) != 0 {
		t.Errorf("got %d sends and %d waiting requests, want none", n, len(h.balancer.waiting))
	}
}
