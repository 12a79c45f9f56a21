package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// State is what an engine passes to the one of the process that follows.
type State struct {
	Version  int64             // of the list
	Servers  []Server          // as listed
	Balancer balancer.Snapshot `json:"Learned"`
	Flows    []Flow
}

// Flow is an open connection whose packets another process of the gateway will see next.
type Flow struct {
	ID     string // its client's name for it
	Class  string
	Key    string
	Group  string
	Server string
	Load   float64 // in microseconds of work a second; 0: unknown
}

type (
	// StateRequested asks for the state.
	StateRequested struct{ Deliver func(State) }
	// PredecessorState brings the state of the process before. The first also brings what that has learned; later ones bring its
	// open connections as they stand then.
	PredecessorState struct {
		State State
		First bool
	}
)

func (StateRequested) event()   {}
func (PredecessorState) event() {}

func (e *Engine) onTell(ev StateRequested) {
	st := State{Version: e.version, Balancer: e.rules.Snapshot()}
	for _, id := range e.order() {
		s := e.servers[id]
		st.Servers = append(st.Servers, Server{Name: s.name, Addr: s.addr, Server: s.entry})
	}
	e.requests.All(func(_ slotmap.Handle, r *request) bool {
		if s := e.servers[r.server]; s != nil && r.name != "" && (r.phase == open || r.phase == inherited) {
			f := r.flow
			f.ID, f.Server, f.Load = r.name, s.name, r.load
			st.Flows = append(st.Flows, f)
		}
		return true
	})
	ev.Deliver(st)
}

// onInherit takes up the connections that the process before holds: they load their servers and take sockets, as both
// processes share their limits, and when their packets come here they go to the server that holds them.
func (e *Engine) onInherit(ev PredecessorState) {
	if ev.First {
		e.rules.Restore(e.now, ev.State.Balancer)
	}
	e.inheritedAt = e.now
	held := make(map[string]bool, len(ev.State.Flows))
	for _, f := range ev.State.Flows {
		held[f.ID] = true
		if _, known := e.heirs[f.ID]; known {
			continue
		}
		id, listed := e.names[f.Server]
		if _, taken := e.named[f.ID]; taken || !listed || f.ID == "" || e.came[f.ID] {
			continue
		}
		r := &request{phase: inherited, name: f.ID, server: id, flow: f, load: f.Load}
		var ok bool
		if r.id, ok = e.requests.Insert(r); !ok {
			return
		}
		e.heirs[f.ID] = r.id
		e.tell(balancer.AdoptedConnection{Request: balancer.Request{ID: balancer.RequestID(r.id), Class: f.Class, Key: f.Key, Group: f.Group,
			Load: f.Load}, Server: id})
	}
	for name := range e.heirs {
		if !held[name] {
			e.disinherit(name)
		}
	}
	e.countTaken()
}

// disinherit gives up what is held of a connection of the process before, and tells where it was.
func (e *Engine) disinherit(name string) (at balancer.ServerID, ok bool) {
	r, ok := e.requests.Get(e.heirs[name])
	delete(e.heirs, name)
	if !ok {
		return 0, false
	}
	e.free(r)
	e.tell(balancer.AttemptEnded{ID: balancer.RequestID(r.id), Server: r.server, Result: balancer.Cancelled, Answered: true})
	return r.server, true
}

// claim finds the server of a connection whose packets come from the process before.
func (e *Engine) claim(name string) (at balancer.ServerID, ok bool) {
	if _, ok := e.heirs[name]; !ok {
		return 0, false
	}
	e.came[name] = true // a state that was written before says that it is there still
	return e.disinherit(name)
}

// lookInherited gives up what never came, once the process before is silent for as long as servers keep such connections.
func (e *Engine) lookInherited() {
	if len(e.heirs) == 0 && len(e.came) == 0 || e.now-e.inheritedAt < max(e.opts.FlowRetention, inheritedFor) {
		return
	}
	for name := range e.heirs {
		e.disinherit(name)
	}
	clear(e.came)
}

// inheritedFor is how long a connection is kept that the process before has said nothing more of.
const inheritedFor = 3 * time.Second
