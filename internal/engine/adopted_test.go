package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
)

// Guards against connections that change their server during a hot restart: the successor process must send their
// packets to the server that holds them, even if it would place their keys at another one.
func TestConnectionsKeepTheirServersAtTheSuccessorProcess(t *testing.T) {
	predecessor := newHarness(t, 3, func(o *Options) { o.MaxSockets = 64 })
	addrOf := map[string]string{}
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		predecessor.connectAndRequest(predecessor.newClient(id), Request{ID: id, Key: "k" + id})
		predecessor.establish(predecessor.lastAttempt)
	}
	state := predecessor.requestState()
	if len(state.Flows) != 6 || len(state.Servers) != 3 {
		t.Fatalf("the state has %d flows and %d servers, want 6 and 3", len(state.Flows), len(state.Servers))
	}
	registry := metrics.New([]string{"c"})
	h := newHarness(t, 3, func(o *Options) { o.MaxSockets, o.Metrics = 64, registry })
	for i := range state.Flows { // move each connection away from the server at which its key is placed
		s := state.Servers[(int(state.Flows[i].Server[1]-'0'))%3]
		state.Flows[i].Server, addrOf[state.Flows[i].ID] = s.Name, s.Addr
	}
	h.handle(PredecessorState{State: state, First: true})
	h.expectRequests(6)
	if n := registry.Outstanding.Load(); n != 0 {
		t.Errorf("outstanding gauge counts %d connections of the predecessor process, want 0", n)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		h.connectAndRequest(h.newClient(id), Request{ID: id, Key: "k" + id, MidFlow: true})
		if h.lastAttempt.sent.Addr != addrOf[id] {
			t.Errorf("packets of %s were sent to %s, want %s, which holds the connection", id, h.lastAttempt.sent.Addr, addrOf[id])
		}
		h.establish(h.lastAttempt)
		h.handle(PredecessorState{State: state}) // a state that was written before the packets arrived
	}
	h.expectRequests(6)
	if n := len(h.requestState().Flows); n != 6 {
		t.Errorf("state for the next successor has %d flows, want 6", n)
	}
	// A claimed connection ends: a state that was written before must not add it again.
	h.endAttempt(h.lastAttempt, balancer.OK)
	h.handle(PredecessorState{State: state})
	h.expectRequests(5)
	// One connection ends at the predecessor process; packets of the last one never arrive.
	state.Flows = state.Flows[5:]
	h.handle(PredecessorState{State: state})
	h.expectRequests(4)
	h.advance(10 * time.Second)
	h.expectRequests(3)
}

// Guards against packets that are sent to a draining server: the endpoint list here may show a drain that the predecessor
// process has not seen.
func TestAdoptedConnectionsDoNotGoToDrainingServers(t *testing.T) {
	predecessor := newHarness(t, 2, nil)
	predecessor.connectAndRequest(predecessor.newClient("x"), Request{ID: "1", Key: "k"})
	predecessor.establish(predecessor.lastAttempt)
	state := predecessor.requestState()
	h := newHarness(t, 2, nil)
	draining := predecessor.lastAttempt.sent.Server
	h.listServer(draining, balancer.Draining, 0)
	h.handle(PredecessorState{State: state, First: true})
	h.connectAndRequest(h.newClient("x"), Request{ID: "1", Key: "k", MidFlow: true})
	if h.lastAttempt.sent.Server == draining {
		t.Error("attempt was sent to the draining server")
	}
}

// Guards against a load limit that outlives a restart: the balancer learned it about an earlier start of the server.
func TestSnapshotOfARestartedServerIsDiscarded(t *testing.T) {
	predecessor := newHarness(t, 2, nil)
	predecessor.connectAndRequest(predecessor.newClient("x"), Request{ID: "1", Key: "k"})
	predecessor.establish(predecessor.lastAttempt)
	for id := balancer.ServerID(1); id <= 2; id++ {
		predecessor.handle(LoadReported{Server: id, Report: LoadReport{Utilization: 3, HasUtilization: true}})
	}
	state := predecessor.requestState()
	for name, c := range map[string]struct {
		isRestarted bool
		wantLimits  int
	}{
		"no restart":         {false, 2},
		"one server started": {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, nil)
			if c.isRestarted {
				h.listServer(1, balancer.Ready, time.Minute)
			}
			h.handle(PredecessorState{State: state, First: true})
			limits := 0
			for _, s := range h.requestState().Balancer.Servers {
				if s.LoadLimit > 0 {
					limits++
				}
			}
			if limits != c.wantLimits {
				t.Errorf("got %d load limits from the snapshot, want %d", limits, c.wantLimits)
			}
		})
	}
}
