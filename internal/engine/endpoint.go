package engine

import (
	"maps"
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// Server is an entry of the endpoint list with the address at which this gateway reaches the server.
type Server struct {
	Name string
	Addr string
	balancer.Server
}

// endpoint holds the state of a listed server.
type endpoint struct {
	name    string
	addr    string
	latency latencyEstimator

	listed balancer.Server      // entry of the endpoint list
	state  balancer.ServerState // state in the last notification of the balancer

	// hasAnnouncedDrain is set if the server has announced that it is draining. It holds until the server restarts,
	// whatever the endpoint list says.
	hasAnnouncedDrain      bool
	inMaintenance          bool
	startBeforeMaintenance time.Duration // listed start time when the endpoint was added or its maintenance began
	// assumedStart is used as the start time until the list has a start time other than startBeforeMaintenance. Zero
	// means that the listed start time is used.
	assumedStart time.Duration
}

// effective returns the entry of a server that the balancer is notified of: the listed entry, overridden by what
// discovery can't know or lists late.
func (s *endpoint) effective() balancer.Server {
	server := s.listed
	if (s.hasAnnouncedDrain || s.inMaintenance) && server.State == balancer.Ready {
		server.State = balancer.Draining
	}
	server.Started = max(server.Started, s.assumedStart)
	server.Evacuate = s.inMaintenance
	return server
}

// applyListed updates the endpoint from its new entry in the endpoint list.
func (s *endpoint) applyListed(listed balancer.Server) {
	if s.listed.Started != listed.Started {
		s.hasAnnouncedDrain = false
	}
	if listed.Started != s.startBeforeMaintenance {
		s.assumedStart = 0
	}
	s.listed = listed
}

// endpointTable holds the listed servers.
type endpointTable struct {
	byID         map[balancer.ServerID]*endpoint
	idByName     map[string]balancer.ServerID
	listReceived bool  // whether an endpoint list has been received
	version      int64 // version of the endpoint list
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[balancer.ServerID]*endpoint{}, idByName: map[string]balancer.ServerID{}}
}

func (t *endpointTable) add(listed Server, inMaintenance bool) *endpoint {
	s := &endpoint{name: listed.Name, addr: listed.Addr, inMaintenance: inMaintenance, startBeforeMaintenance: listed.Started}
	t.byID[listed.ID] = s
	t.idByName[listed.Name] = listed.ID
	return s
}

func (t *endpointTable) remove(id balancer.ServerID) {
	delete(t.idByName, t.byID[id].name)
	delete(t.byID, id)
}

func (t *endpointTable) sortedIDs() []balancer.ServerID { return slices.Sorted(maps.Keys(t.byID)) }

// endpointUpdate collects the results of processing an endpoint list.
type endpointUpdate struct {
	list     balancer.EndpointList // event for the balancer
	draining []balancer.ServerID   // servers that started draining or were removed
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
	e.notifyClientsOfDrain(update.draining)
	e.updateEndpointGauges()
	if ev.Mode == balancer.ListComplete || len(e.endpoints.byID) > 0 {
		e.endpoints.listReceived = true
		e.ready.Store(true)
	}
}

// removeUnlisted removes the servers that are missing from a full list.
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
	known := e.endpoints.byID[listed.ID]
	switch {
	case known != nil && known.name != listed.Name:
		// The balancer can't tell two servers with one ID apart, so an ID keeps the server that was listed first.
		e.options.Logger.Error("server id used by two servers", "server", listed.Name, "used_by", known.name)
		return
	case listed.State == balancer.Removed:
		if known != nil {
			e.removeEndpoint(listed.ID, update)
		}
		update.list.Servers = append(update.list.Servers, listed.Server)
		return
	case known == nil:
		known = e.endpoints.add(listed, e.maintenance.has(listed.Name))
	default:
		known.addr = listed.Addr
	}
	known.applyListed(listed.Server)
	effective := known.effective()
	if known.state == balancer.Ready && effective.State == balancer.Draining {
		update.draining = append(update.draining, listed.ID)
	}
	known.state = effective.State
	update.list.Servers = append(update.list.Servers, effective)
}

func (e *Engine) removeEndpoint(id balancer.ServerID, update *endpointUpdate) {
	e.poller.StopPolling(id)
	e.endpoints.remove(id)
	update.draining = append(update.draining, id)
}

// onServerDraining handles a server's announcement that it is draining. The balancer treats the announcement like an
// entry of the endpoint list. An announcement also counts after its attempt has ended, but not once the request has
// started another attempt, because r.server is then the server of the other attempt.
func (e *Engine) onServerDraining(ev ServerDraining) {
	r := e.requests.get(ev.RequestID)
	if r == nil || r.attemptNumber() != ev.Number {
		return
	}
	s := e.endpoints.byID[r.server]
	if s == nil || s.hasAnnouncedDrain || s.state != balancer.Ready {
		return
	}
	s.hasAnnouncedDrain = true
	e.publishEndpoint(r.server, s)
}

// publishEndpoint notifies the balancer of a changed server. If the server has started draining, it also notifies the
// clients that are connected to it.
func (e *Engine) publishEndpoint(id balancer.ServerID, s *endpoint) {
	before := s.state
	effective := s.effective()
	s.state = effective.State
	e.notify(balancer.EndpointList{Mode: balancer.ListDelta, Servers: []balancer.Server{effective}})
	if before == balancer.Ready && s.state == balancer.Draining {
		e.notifyClientsOfDrain([]balancer.ServerID{id})
	}
}

// notifyClientsOfDrain notifies the clients that are connected to servers that are draining or removed.
func (e *Engine) notifyClientsOfDrain(servers []balancer.ServerID) {
	if len(servers) == 0 {
		return
	}
	e.requests.each(func(r *request) {
		if slices.Contains(servers, r.server) {
			e.notifyClientOfDrain(r)
		}
	})
}

// notifyClientIfDraining notifies the client of a newly established connection if its server started draining or was
// removed before.
func (e *Engine) notifyClientIfDraining(r *request) {
	if s := e.endpoints.byID[r.server]; s == nil || s.state != balancer.Ready {
		e.notifyClientOfDrain(r)
	}
}

// notifyClientOfDrain notifies a client once that its server is draining. It skips a client whose frontend can't migrate
// it, because the server itself asks that client to leave, and a client whose connection is not established, because
// onAttemptEstablished notifies it later.
func (e *Engine) notifyClientOfDrain(r *request) {
	observer, ok := r.client.(DrainObserver)
	if !ok || r.phase != established || r.isDrainNotified {
		return
	}
	r.isDrainNotified = true
	e.statistics.drainsNotified++
	observer.ServerDraining()
}

// hasEstablished reports whether there is an established connection to a server.
func (e *Engine) hasEstablished(id balancer.ServerID) (found bool) {
	e.requests.each(func(r *request) {
		found = found || r.phase == established && r.server == id
	})
	return found
}
