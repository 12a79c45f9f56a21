package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
)

// state asks an engine for what it would pass on.
func (w *world) state() (s State) {
	w.tell(StateRequested{Deliver: func(got State) { s = got }})
	return s
}

// An engine's open connections go to the same servers at the one that follows it, wherever their keys belong there.
func TestConnectionsGoOnAtTheNextProcess(t *testing.T) {
	old := newWorld(t, 3, func(o *Options) { o.MaxSockets = 64 })
	at := map[string]string{}
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		old.arrive(old.client(id), Request{ID: id, Key: "k" + id})
		old.wentUp(old.link)
		at[id] = old.link.a.Addr
	}
	st := old.state()
	if len(st.Flows) != 6 || len(st.Servers) != 3 {
		t.Fatalf("passed on %+v", st)
	}
	f := metrics.New([]string{"c"})
	w := newWorld(t, 3, func(o *Options) { o.MaxSockets, o.Metrics = 64, f })
	for i := range st.Flows { // as if an alternate had taken each
		s := st.Servers[(int(st.Flows[i].Server[1]-'0'))%3]
		st.Flows[i].Server, at[st.Flows[i].ID] = s.Name, s.Addr
	}
	w.tell(PredecessorState{State: st, First: true})
	w.held(6)
	if n := f.Outstanding.Load(); n != 0 {
		t.Errorf("reports %d of another process as its own", n)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		w.arrive(w.client(id), Request{ID: id, Key: "k" + id, MidFlow: true})
		if w.link.a.Addr != at[id] {
			t.Errorf("%s went to %s, it stands at %s", id, w.link.a.Addr, at[id])
		}
		w.wentUp(w.link)
		w.tell(PredecessorState{State: st}) // written before it came
	}
	w.held(6)
	if n := len(w.state().Flows); n != 6 {
		t.Errorf("a third process would learn of %d", n)
	}
	// One that came has ended: a record that was written before must not bring it back.
	w.ended(w.link, balancer.OK)
	w.tell(PredecessorState{State: st})
	w.held(5)
	// One ended at the old process; the last never comes.
	st.Flows = st.Flows[5:]
	w.tell(PredecessorState{State: st})
	w.held(4)
	w.pass(10 * time.Second)
	w.held(3)
}

// What the process before was told of drains was told long ago: no connection may go there any more.
func TestDrainsStayTold(t *testing.T) {
	old := newWorld(t, 2, nil)
	old.arrive(old.client("x"), Request{ID: "1", Key: "k"})
	old.wentUp(old.link)
	st := old.state()
	w := newWorld(t, 2, nil)
	leaves := old.link.a.Server
	w.entry(leaves, balancer.Draining, 0)
	w.tell(PredecessorState{State: st, First: true})
	w.arrive(w.client("x"), Request{ID: "1", Key: "k", MidFlow: true})
	if w.link.a.Server == leaves {
		t.Error("sent to a server that drains")
	}
}

// What was learned of a process holds for that process alone.
func TestLearnedOfARestartedServerIsVoid(t *testing.T) {
	old := newWorld(t, 2, nil)
	old.arrive(old.client("x"), Request{ID: "1", Key: "k"})
	old.wentUp(old.link)
	for id := balancer.ServerID(1); id <= 2; id++ {
		old.tell(LoadReported{Server: id, Report: LoadReport{Utilization: 3, HasUtilization: true}})
	}
	st := old.state()
	limits := func(w *world) (n int) {
		for _, s := range w.state().Balancer.Servers {
			if s.LoadLimit > 0 {
				n++
			}
		}
		return n
	}
	w := newWorld(t, 2, nil)
	w.tell(PredecessorState{State: st, First: true})
	if n := limits(w); n != 2 {
		t.Errorf("%d limits were taken over, not 2", n)
	}
	w = newWorld(t, 2, nil)
	w.entry(1, balancer.Ready, time.Minute)
	w.tell(PredecessorState{State: st, First: true})
	if n := limits(w); n != 1 {
		t.Errorf("%d limits were taken over, not 1", n)
	}
}
