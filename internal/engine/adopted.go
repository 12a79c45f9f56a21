package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// minAdoptedLifetime is the minimum time for which a connection of the predecessor process is counted after the last
// report of that process. The process reports at least every second, so that three reports must be missed.
const minAdoptedLifetime = 3 * time.Second

// State is what an engine passes to the engine of the successor process. It is encoded as JSON, so the encoded names of
// its fields must not change.
type State struct {
	Version  int64             // version of the endpoint list
	Servers  []Server          // servers as discovery lists them
	Balancer balancer.Snapshot `json:"Learned"`
	Flows    []Flow
}

// Flow is an open connection whose packets the successor process will receive.
type Flow struct {
	ID     string // assigned by the client
	Class  string
	Key    string
	Group  string
	Server string
	Load   float64 // in microseconds of work per second; zero means unknown
}

// adoptedConnections holds the connections of the predecessor process that this process counts.
type adoptedConnections struct {
	byClientID map[string]slotmap.Handle // connections that this process has received no packets of
	claimed    map[string]bool           // IDs of connections whose packets this process has received
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

// flowOf returns the Flow of an open connection. The ok result is false if the successor process can't take it over.
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

// onPredecessorState adopts the connections that the predecessor process holds. They count towards the load of their
// servers and towards the socket limit, because both processes share their limits. If packets of an adopted connection
// arrive here, they are sent to the server that holds the connection.
func (e *Engine) onPredecessorState(ev PredecessorState) {
	if ev.First {
		e.balancer.Restore(e.now, ev.State.Balancer)
	}
	e.adopted.reportedAt = e.now
	for _, f := range ev.State.Flows {
		if e.canAdopt(f) && !e.adopt(f) {
			return // the table of requests is full
		}
	}
	e.releaseUnreported(ev.State.Flows)
	e.updateOutstandingGauge()
}

// canAdopt reports whether a connection of the predecessor process is to be adopted: it has an ID, it is not known here
// yet, and its server is listed.
func (e *Engine) canAdopt(f Flow) bool {
	if _, isAdopted := e.adopted.byClientID[f.ID]; isAdopted {
		return false
	}
	_, isListed := e.endpoints.idByName[f.Server]
	return isListed && f.ID != "" && !e.requests.has(f.ID) && !e.adopted.claimed[f.ID]
}

// adopt starts to count a connection of the predecessor process. It returns false if the table of requests is full.
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

// releaseUnreported releases the adopted connections that the predecessor process no longer reports.
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

// releaseAdopted stops counting a connection of the predecessor process. It returns the server that holds it; ok is false
// if the connection is not in the table.
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

// claimAdopted takes over a connection of the predecessor process whose packets arrive here now. It returns the server
// that holds the connection; ok is false if the connection was not adopted.
func (e *Engine) claimAdopted(clientID string) (server balancer.ServerID, ok bool) {
	if _, isAdopted := e.adopted.byClientID[clientID]; !isAdopted {
		return 0, false
	}
	e.adopted.claimed[clientID] = true // a state that was written earlier still reports the connection
	return e.releaseAdopted(clientID)
}

// expireAdopted releases the adopted connections whose packets never arrived, once the predecessor process has not
// reported for as long as servers keep a connection, and at least for minAdoptedLifetime.
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
