package engine

import (
	"maps"
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// Server is an entry of the endpoint list, with the address at which this gateway reaches it.
type Server struct {
	Name string
	Addr string
	balancer.Server
}

// endpoint is what is known of a listed server.
type endpoint struct {
	name    string
	addr    string
	latency latencyEstimator

	listed balancer.Server      // as discovery lists it
	state  balancer.ServerState // as the balancer was last notified

	// isSelfDraining: the server has announced that it drains. That holds until it starts anew, whatever is listed.
	isSelfDraining bool
	inMaintenance  bool
	startBefore    time.Duration // its start as it was known when maintenance began
	// assumedStart is taken for its start until a later one than startBefore is listed. 0: the listed one holds.
	assumedStart time.Duration
}

// effective is a server as the balancer is to see it: what discovery can't know, or lists late, overrides its entry.
func (s *endpoint) effective() balancer.Server {
	n := s.listed
	if (s.isSelfDraining || s.inMaintenance) && n.State == balancer.Ready {
		n.State = balancer.Draining
	}
	n.Started = max(n.Started, s.assumedStart)
	n.Evacuate = s.inMaintenance
	return n
}

// follow takes over a new entry of the list.
func (s *endpoint) follow(listed balancer.Server) {
	if s.listed.Started != listed.Started {
		s.isSelfDraining = false
	}
	if listed.Started != s.startBefore {
		s.assumedStart = 0
	}
	s.listed = listed
}

// endpointTable holds the listed servers.
type endpointTable struct {
	byID     map[balancer.ServerID]*endpoint
	idByName map[string]balancer.ServerID
	received bool  // a list has been received
	version  int64 // of the list
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[balancer.ServerID]*endpoint{}, idByName: map[string]balancer.ServerID{}}
}

func (t *endpointTable) add(listed Server, inMaintenance bool) *endpoint {
	s := &endpoint{name: listed.Name, addr: listed.Addr, inMaintenance: inMaintenance, startBefore: listed.Started}
	t.byID[listed.ID] = s
	t.idByName[listed.Name] = listed.ID
	return s
}

func (t *endpointTable) remove(id balancer.ServerID) {
	delete(t.idByName, t.byID[id].name)
	delete(t.byID, id)
}

func (t *endpointTable) sortedIDs() []balancer.ServerID { return slices.Sorted(maps.Keys(t.byID)) }

// endpointUpdate collects what follows from an endpoint list.
type endpointUpdate struct {
	list     balancer.EndpointList // for the balancer
	draining []balancer.ServerID   // servers that began to drain, or are removed
}

func (e *Engine) onEndpointList(ev EndpointList) {
	if ev.Version > 0 {
		e.endpoints.version = ev.Version
	}
	update := endpointUpdate{list: balancer.EndpointList{Mode: ev.Mode}}
	if ev.Mode == balancer.ListComplete || ev.Mode == balancer.ListCached {
		e.removeUnlisted(ev.Servers, &update)
	}
	for _, listed := range ev.Servers {
		e.updateEndpoint(listed, &update)
	}
	e.notify(update.list)
	e.notifyDraining(update.draining)
	e.updateEndpointGauges()
	if ev.Mode == balancer.ListComplete || len(e.endpoints.byID) > 0 {
		e.endpoints.received = true
		e.ready.Store(true)
	}
}

// removeUnlisted removes the servers that a whole list leaves out.
func (e *Engine) removeUnlisted(servers []Server, update *endpointUpdate) {
	listed := make(map[balancer.ServerID]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
	}
	for id := range e.endpoints.byID {
		if !listed[id] {
			e.removeEndpoint(id, update)
		}
	}
}

func (e *Engine) updateEndpoint(listed Server, update *endpointUpdate) {
	s := e.endpoints.byID[listed.ID]
	switch {
	case s != nil && s.name != listed.Name:
		// Both would be one server to the balancer. The first one stays: which one it is must not change.
		e.options.Logger.Error("server id used by two servers", "server", listed.Name, "used_by", s.name)
		return
	case listed.State == balancer.Removed:
		if s != nil {
			e.removeEndpoint(listed.ID, update)
		}
		update.list.Servers = append(update.list.Servers, listed.Server)
		return
	case s == nil:
		s = e.endpoints.add(listed, e.maintenance.has(listed.Name))
	default:
		s.addr = listed.Addr
	}
	s.follow(listed.Server)
	effective := s.effective()
	if s.state == balancer.Ready && effective.State == balancer.Draining {
		update.draining = append(update.draining, listed.ID)
	}
	s.state = effective.State
	update.list.Servers = append(update.list.Servers, effective)
}

func (e *Engine) removeEndpoint(id balancer.ServerID, update *endpointUpdate) {
	e.poller.Forget(id)
	e.endpoints.remove(id)
	update.draining = append(update.draining, id)
}

// onServerDraining takes a server's own announcement that it drains. For the balancer that is as good as the list. One
// that arrives after its attempt counts until the request's next attempt has begun: r.server is another one then.
func (e *Engine) onServerDraining(ev ServerDraining) {
	r := e.requests.get(ev.RequestID)
	if r == nil || r.attemptNumber() != ev.Number {
		return
	}
	s := e.endpoints.byID[r.server]
	if s == nil || s.isSelfDraining || s.state != balancer.Ready {
		return
	}
	s.isSelfDraining = true
	e.publishEndpoint(r.server, s)
}

// publishEndpoint notifies the balancer of a server that has changed, and its clients if it drains now.
func (e *Engine) publishEndpoint(id balancer.ServerID, s *endpoint) {
	before := s.state
	effective := s.effective()
	s.state = effective.State
	e.notify(balancer.EndpointList{Mode: balancer.ListDelta, Servers: []balancer.Server{effective}})
	if before == balancer.Ready && s.state == balancer.Draining {
		e.notifyDraining([]balancer.ServerID{id})
	}
}

// notifyDraining notifies the clients that are connected to servers that drain.
func (e *Engine) notifyDraining(servers []balancer.ServerID) {
	if len(servers) == 0 {
		return
	}
	e.requests.each(func(r *request) {
		if slices.Contains(servers, r.server) {
			e.notifyClientOfDrain(r)
		}
	})
}

// notifyIfServerDrains notifies the client of a connection that was established after its server began to drain, or was
// removed.
func (e *Engine) notifyIfServerDrains(r *request) {
	if s := e.endpoints.byID[r.server]; s == nil || s.state != balancer.Ready {
		e.notifyClientOfDrain(r)
	}
}

// notifyClientOfDrain notifies a client that its server drains, once. Clients whose frontend can't migrate them are asked
// to leave by the server itself, and those that are not established are notified once they are.
func (e *Engine) notifyClientOfDrain(r *request) {
	observer, ok := r.client.(DrainObserver)
	if !ok || r.phase != established || r.isDrainNotified {
		return
	}
	r.isDrainNotified = true
	e.statistics.drainsNotified++
	observer.ServerDraining()
}

// hasEstablished reports whether a connection to a server is established.
func (e *Engine) hasEstablished(id balancer.ServerID) (found bool) {
	e.requests.each(func(r *request) {
		found = found || r.phase == established && r.server == id
	})
	return found
}
