package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// minAdoptedLifetime is the least time that a connection of the predecessor process is counted after that process last
// reported it. It reports every second or sooner, so that three reports have to be missed.
const minAdoptedLifetime = 3 * time.Second

// State is what an engine passes to the one of the process that follows. It is written as JSON: the encoded names of
// its fields must not change.
type State struct {
	Version  int64             // of the endpoint list
	Servers  []Server          // as listed
	Balancer balancer.Snapshot `json:"Learned"`
	Flows    []Flow
}

// Flow is an open connection whose packets the next process of the gateway will get.
type Flow struct {
	ID     string // the client's name for it
	Class  string
	Key    string
	Group  string
	Server string
	Load   float64 // in microseconds of work a second; 0: unknown
}

// adoptedConnections are the connections that the predecessor process still holds, and that this one counts.
type adoptedConnections struct {
	byClientID map[string]slotmap.Handle // those whose packets have not come here yet
	claimed    map[string]bool           // those whose packets have
	reportedAt time.Duration             // when the predecessor process last reported its connections
}

func newAdoptedConnections() adoptedConnections {
	return adoptedConnections{byClientID: map[string]slotmap.Handle{}, claimed: map[string]bool{}}
}

func (a *adoptedConnections) isEmpty() bool { return len(a.byClientID) == 0 && len(a.claimed) == 0 }

func (e *Engine) onStateRequested(ev StateRequested) {
	state := State{Version: e.endpoints.version, Balancer: e.balancer.Snapshot()}
	for _, id := range e.endpoints.sortedIDs() {
		s := e.endpoints.byID[id]
		state.Servers = append(state.Servers, Server{Name: s.name, Addr: s.addr, Server: s.listed})
	}
	e.requests.each(func(r *request) {
		if f, ok := e.flowOf(r); ok {
			state.Flows = append(state.Flows, f)
		}
	})
	ev.Deliver(state)
}

// flowOf returns what the next process has to know of an open connection; ok is false for what it can't take over.
func (e *Engine) flowOf(r *request) (f Flow, ok bool) {
	s := e.endpoints.byID[r.server]
	isOpen := r.phase == established || r.phase == adoptable
	if s == nil || r.clientID == "" || !isOpen {
		return Flow{}, false
	}
	f = r.flow
	f.ID, f.Server, f.Load = r.clientID, s.name, r.load
	return f, true
}

// onPredecessorState counts the connections that the predecessor process holds. They load their servers and take
// sockets, as both processes share their limits. Packets of one that come here go to the server that holds it.
func (e *Engine) onPredecessorState(ev PredecessorState) {
	if ev.First {
		e.balancer.Restore(e.now, ev.State.Balancer)
	}
	e.adopted.reportedAt = e.now
	for _, f := range ev.State.Flows {
		if e.canAdopt(f) && !e.adopt(f) {
			return // the table is full
		}
	}
	e.releaseUnreported(ev.State.Flows)
	e.updateOutstanding()
}

// canAdopt reports whether a connection of the predecessor process is to be counted from now on.
func (e *Engine) canAdopt(f Flow) bool {
	if _, isAdopted := e.adopted.byClientID[f.ID]; isAdopted {
		return false
	}
	_, isListed := e.endpoints.idByName[f.Server]
	return isListed && f.ID != "" && !e.requests.has(f.ID) && !e.adopted.claimed[f.ID]
}

// adopt counts a connection of the predecessor process; it returns false where the table of requests is full.
func (e *Engine) adopt(f Flow) bool {
	server := e.endpoints.idByName[f.Server]
	r := &request{phase: adoptable, clientID: f.ID, server: server, flow: f, load: f.Load}
	if !e.requests.insert(r) {
		return false
	}
	e.adopted.byClientID[f.ID] = r.handle
	e.notify(balancer.AdoptedConnection{
		Request: balancer.Request{ID: r.id(), Class: f.Class, Key: f.Key, Group: f.Group, Load: f.Load},
		Server:  server,
	})
	return true
}

// releaseUnreported gives up the connections that the predecessor process no longer reports.
func (e *Engine) releaseUnreported(flows []Flow) {
	isReported := make(map[string]bool, len(flows))
	for _, f := range flows {
		isReported[f.ID] = true
	}
	for clientID := range e.adopted.byClientID {
		if !isReported[clientID] {
			e.releaseAdopted(clientID)
		}
	}
}

// releaseAdopted gives up a connection of the predecessor process. It returns the server that held it.
func (e *Engine) releaseAdopted(clientID string) (server balancer.ServerID, ok bool) {
	r := e.requests.get(e.adopted.byClientID[clientID])
	delete(e.adopted.byClientID, clientID)
	if r == nil {
		return 0, false
	}
	e.release(r)
	e.notify(balancer.AttemptEnded{ID: r.id(), Server: r.server, Result: balancer.Cancelled, Answered: true})
	return r.server, true
}

// claimAdopted takes over a connection of the predecessor process, as its packets come here now. It returns its server.
func (e *Engine) claimAdopted(clientID string) (server balancer.ServerID, ok bool) {
	if _, isAdopted := e.adopted.byClientID[clientID]; !isAdopted {
		return 0, false
	}
	e.adopted.claimed[clientID] = true // a state that was written before this still reports it
	return e.releaseAdopted(clientID)
}

// expireAdopted gives up the connections whose packets never came, once the predecessor process has been silent for as
// long as servers keep them.
func (e *Engine) expireAdopted() {
	lifetime := max(e.options.FlowRetention, minAdoptedLifetime)
	if e.adopted.isEmpty() || e.now-e.adopted.reportedAt < lifetime {
		return
	}
	for clientID := range e.adopted.byClientID {
		e.releaseAdopted(clientID)
	}
	clear(e.adopted.claimed)
}
