package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
)

// An engine's open connections go to the same servers at the one that follows it, wherever their keys are placed there.
func TestConnectionsKeepTheirServersAtTheNextProcess(t *testing.T) {
	predecessor := newWorld(t, 3, func(o *Options) { o.MaxSockets = 64 })
	addrOf := map[string]string{}
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		predecessor.arrive(predecessor.client(id), Request{ID: id, Key: "k" + id})
		predecessor.establish(predecessor.attempt)
	}
	state := predecessor.state()
	if len(state.Flows) != 6 || len(state.Servers) != 3 {
		t.Fatalf("the state has %d flows and %d servers, want 6 and 3", len(state.Flows), len(state.Servers))
	}
	registry := metrics.New([]string{"c"})
	w := newWorld(t, 3, func(o *Options) { o.MaxSockets, o.Metrics = 64, registry })
	for i := range state.Flows { // each at another server than its key is placed at
		s := state.Servers[(int(state.Flows[i].Server[1]-'0'))%3]
		state.Flows[i].Server, addrOf[state.Flows[i].ID] = s.Name, s.Addr
	}
	w.handle(PredecessorState{State: state, First: true})
	w.expectRequests(6)
	if n := registry.Outstanding.Load(); n != 0 {
		t.Errorf("%d connections of the predecessor process are reported as its own", n)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		w.arrive(w.client(id), Request{ID: id, Key: "k" + id, MidFlow: true})
		if w.attempt.sent.Addr != addrOf[id] {
			t.Errorf("%s went to %s, its connection is at %s", id, w.attempt.sent.Addr, addrOf[id])
		}
		w.establish(w.attempt)
		w.handle(PredecessorState{State: state}) // written before it came
	}
	w.expectRequests(6)
	if n := len(w.state().Flows); n != 6 {
		t.Errorf("a third process would get %d flows", n)
	}
	// One that came has ended: a state that was written before must not bring it back.
	w.end(w.attempt, balancer.OK)
	w.handle(PredecessorState{State: state})
	w.expectRequests(5)
	// One ended at the predecessor; the last one never comes.
	state.Flows = state.Flows[5:]
	w.handle(PredecessorState{State: state})
	w.expectRequests(4)
	w.pass(10 * time.Second)
	w.expectRequests(3)
}

// The predecessor process may not know of a drain that is listed here: no connection may go there any more.
func TestAdoptedConnectionsDoNotGoToDrainingServers(t *testing.T) {
	predecessor := newWorld(t, 2, nil)
	predecessor.arrive(predecessor.client("x"), Request{ID: "1", Key: "k"})
	predecessor.establish(predecessor.attempt)
	state := predecessor.state()
	w := newWorld(t, 2, nil)
	draining := predecessor.attempt.sent.Server
	w.list(draining, balancer.Draining, 0)
	w.handle(PredecessorState{State: state, First: true})
	w.arrive(w.client("x"), Request{ID: "1", Key: "k", MidFlow: true})
	if w.attempt.sent.Server == draining {
		t.Error("sent to a server that drains")
	}
}

// What was learned of a server holds for that start of it alone.
func TestSnapshotOfARestartedServerIsDiscarded(t *testing.T) {
	predecessor := newWorld(t, 2, nil)
	predecessor.arrive(predecessor.client("x"), Request{ID: "1", Key: "k"})
	predecessor.establish(predecessor.attempt)
	for id := balancer.ServerID(1); id <= 2; id++ {
		predecessor.handle(LoadReported{Server: id, Report: LoadReport{Utilization: 3, HasUtilization: true}})
	}
	state := predecessor.state()
	for name, c := range map[string]struct {
		isRestarted bool
		wantLimits  int
	}{
		"no restart":         {false, 2},
		"one server started": {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, nil)
			if c.isRestarted {
				w.list(1, balancer.Ready, time.Minute)
			}
			w.handle(PredecessorState{State: state, First: true})
			limits := 0
			for _, s := range w.state().Balancer.Servers {
				if s.LoadLimit > 0 {
					limits++
				}
			}
			if limits != c.wantLimits {
				t.Errorf("%d load limits were taken over, want %d", limits, c.wantLimits)
			}
		})
	}
}
