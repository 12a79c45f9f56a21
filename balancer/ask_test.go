package balancer

import "testing"

// asking is a world whose gateway may ask servers for their load, with a client that has come.
func asking(t *testing.T, n int) (*world, []PollLoad) {
	set := settings()
	set.Gateways, set.CanPollLoad = 300, true
	w := newWorld(t, set, n)
	w.feed(Request{ID: 1, Class: "safe", Key: "a", Timeout: 2 * sec})
	asks := find[PollLoad](w.last)
	if len(asks) != maxPolledServers || len(find[Send](w.last)) != 0 {
		t.Fatalf("%d asked, %d sent to before any told of its load", len(asks), len(find[Send](w.last)))
	}
	return w, asks
}

// A gateway that holds next to nothing knows nothing of a server's load: it asks the ordinary path's entry
// and goes there if that has room, else to the one that is better off.
func TestServersAreAskedBeforeTheyAreSentTo(t *testing.T) {
	for _, f := range []struct {
		loads [2]float64
		want  int
	}{{[2]float64{0.4, 0.1}, 0}, {[2]float64{0.8, 0.1}, 1}, {[2]float64{1.5, 0.5}, 1}} {
		w, asks := asking(t, 8)
		w.feed(LoadReport{Server: asks[0].Server, Utilization: f.loads[0], Connections: 30})
		w.feed(LoadReport{Server: asks[1].Server, Utilization: f.loads[1], Connections: 30})
		if s := find[Send](w.last); len(s) != 1 || s[0].Server != asks[f.want].Server {
			t.Errorf("loads %v: sent %v, want one to %v", f.loads, s, asks[f.want])
		}
	}
}

// Where those asked are full others are asked, and a request is refused only when all have said no.
func TestFullServersLeadToOthers(t *testing.T) {
	w, asks := asking(t, maxPollRounds*maxPolledServers)
	seen := map[ServerID]bool{}
	for round := 1; len(asks) > 0; round++ {
		for _, a := range asks {
			if seen[a.Server] {
				t.Fatalf("%v asked twice within its report's time", a)
			}
			seen[a.Server] = true
			w.feed(LoadReport{Server: a.Server, Utilization: 1.5, Connections: 30})
		}
		asks = find[PollLoad](w.last)
		if round > maxPollRounds {
			t.Fatal("asks without end")
		}
	}
	if n := len(find[Reject](w.last)); n != 1 || len(seen) != maxPollRounds*maxPolledServers {
		t.Errorf("%d refusals after %d servers were asked", n, len(seen))
	}
}

// A server that says nothing in time is passed over for one that does, and no client waits for it longer.
func TestSilentServerIsPassedOver(t *testing.T) {
	w, asks := asking(t, 8)
	w.feed(LoadReport{Server: asks[1].Server, Utilization: 0.3, Connections: 30})
	if len(find[Send](w.last)) != 0 {
		t.Fatal("the entry's word was not waited for")
	}
	w.now += loadPollTimeout
	w.feed(TimerFired{Ref: oneShotTimer})
	if s := find[Send](w.last); len(s) != 1 || s[0].Server != asks[1].Server {
		t.Errorf("sent %v, want one to %v", s, asks[1])
	}
}

// A client that leaves while servers are asked is sent nowhere.
func TestLeftWhileAsking(t *testing.T) {
	w, asks := asking(t, 8)
	w.feed(ClientDisconnected{ID: 1})
	w.feed(LoadReport{Server: asks[0].Server, Utilization: 0.3, Connections: 30})
	w.wait(sec)
	if n := len(find[Send](w.last)); n != 0 || len(w.b.waiting) != 0 {
		t.Errorf("%d sent, %d still waiting", n, len(w.b.waiting))
	}
}
