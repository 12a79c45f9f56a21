package balancer

import (
	"testing"
)

// asking is a world whose gateway may ask servers for their load, with a client that has come.
func pollingHarness(t *testing.T, n int) (*harness, []PollLoad) {
	settings := testSettings()
	settings.Gateways, settings.CanPollLoad = 300, true
	h := newHarness(t, settings, n)
	h.handle(Request{ID: 1, Class: "safe", Key: "a", Timeout: 2 * sec})
	asks := actionsOf[PollLoad](h.lastActions)
	if len(asks) != maxPolledServers || len(actionsOf[Send](h.lastActions)) != 0 {
		t.Fatalf("%d asked, %d sent to before any told of its load", len(asks),
			len(actionsOf[Send](h.lastActions)))
	}
	return h, asks
}

// A gateway that holds next to nothing knows nothing of a server's load: it asks the ordinary path's entry
// and goes there if that has room, else to the one that is better off.
func TestPollsServersBeforeSending(t *testing.T) {
	for _, f := range []struct {
		loads [2]float64
		want  int
	}{{[2]float64{0.4, 0.1}, 0}, {[2]float64{0.8, 0.1}, 1}, {[2]float64{1.5, 0.5}, 1}} {
		h, asks := pollingHarness(t, 8)
		h.handle(LoadReport{Server: asks[0].Server, Utilization: f.loads[0], Connections: 30})
		h.handle(LoadReport{Server: asks[1].Server, Utilization: f.loads[1], Connections: 30})
		if s := actionsOf[Send](h.lastActions); len(s) != 1 || s[0].Server != asks[f.want].Server {
			t.Errorf("loads %v: sent %v, want one to %v", f.loads, s, asks[f.want])
		}
	}
}

// Where those asked are full others are asked, and a request is refused only when all have said no.
func TestPollsFurtherServersWhenPolledOnesAreFull(t *testing.T) {
	h, asks := pollingHarness(t, maxPollRounds*maxPolledServers)
	seen := map[ServerID]bool{}
	for round := 1; len(asks) > 0; round++ {
		for _, a := range asks {
			if seen[a.Server] {
				t.Fatalf("%v asked twice within its report's time", a)
			}
			seen[a.Server] = true
			h.handle(LoadReport{Server: a.Server, Utilization: 1.5, Connections: 30})
		}
		asks = actionsOf[PollLoad](h.lastActions)
		if round > maxPollRounds {
			t.Fatal("asks without end")
		}
	}
	if n := len(actionsOf[Reject](h.lastActions)); n != 1 || len(seen) != maxPollRounds*maxPolledServers {
		t.Errorf("%d refusals after %d servers were asked", n, len(seen))
	}
}

// A server that says nothing in time is passed over for one that does, and no client waits for it longer.
func TestServerWithoutReportIsSkippedAfterPollTimeout(t *testing.T) {
	h, asks := pollingHarness(t, 8)
	h.handle(LoadReport{Server: asks[1].Server, Utilization: 0.3, Connections: 30})
	if len(actionsOf[Send](h.lastActions)) != 0 {
		t.Fatal("the entry's word was not waited for")
	}
	h.now += loadPollTimeout
	h.handle(TimerFired{Ref: oneShotTimer})
	if s := actionsOf[Send](h.lastActions); len(s) != 1 || s[0].Server != asks[1].Server {
		t.Errorf("sent %v, want one to %v", s, asks[1])
	}
}

// A client that leaves while servers are asked is sent nowhere.
func TestClientDisconnectedWhilePollingIsNotSent(t *testing.T) {
	h, asks := pollingHarness(t, 8)
	h.handle(ClientDisconnected{ID: 1})
	h.handle(LoadReport{Server: asks[0].Server, Utilization: 0.3, Connections: 30})
	h.advance(sec)
	if n := len(actionsOf[Send](h.lastActions)); n != 0 || len(h.balancer.waiting) != 0 {
		t.Errorf("%d sent, %d still waiting", n, len(h.balancer.waiting))
	}
}
