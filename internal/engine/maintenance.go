package engine

import "example.org/milletvane/balancer"

// maintenanceSet is the set of names of the servers in maintenance mode, including servers that are not listed.
type maintenanceSet map[string]struct{}

func (m maintenanceSet) set(name string, inMaintenance bool) {
	if inMaintenance {
		m[name] = struct{}{}
	} else {
		delete(m, name)
	}
}

func (m maintenanceSet) has(name string) bool {
	_, ok := m[name]
	return ok
}

func (e *Engine) onMaintenanceChanged(ev MaintenanceChanged) {
	e.maintenance.set(ev.Name, ev.InMaintenance)
	if id, isListed := e.endpoints.idByName[ev.Name]; isListed {
		e.setMaintenance(id, ev.InMaintenance)
	}
	if ev.Done != nil {
		ev.Done()
	}
}

func (e *Engine) setMaintenance(id balancer.ServerID, inMaintenance bool) {
	s := e.endpoints.byID[id]
	if s.inMaintenance == inMaintenance {
		return
	}
	s.inMaintenance = inMaintenance
	if inMaintenance {
		e.beginMaintenance(id, s)
	} else {
		e.endMaintenance(id, s)
	}
	e.updateEndpointGauges()
}

func (e *Engine) beginMaintenance(id balancer.ServerID, s *endpoint) {
	s.startBeforeMaintenance, s.assumedStart = s.listed.Started, 0
	e.publishEndpoint(id, s)
	e.retryPendingAttempts(id)
}

// endMaintenance returns a server to service. Operators restart servers during maintenance, and the endpoint list may show
// the restart late. Therefore the server is assumed to have started just now, unless a connection from this gateway has
// outlived the maintenance. This keeps a server that is warming up from getting the load of a warm one.
func (e *Engine) endMaintenance(id balancer.ServerID, s *endpoint) {
	if s.listed.Started == s.startBeforeMaintenance && !e.hasEstablished(id) {
		s.assumedStart = e.now
	}
	e.notify(balancer.ServerReinstated{Server: id})
	e.publishEndpoint(id, s)
}

// retryPendingAttempts cancels the attempts that are pending at a server, so that the balancer retries them elsewhere.
func (e *Engine) retryPendingAttempts(id balancer.ServerID) {
	var waiting []*request
	e.requests.each(func(r *request) {
		if r.phase == pending && r.server == id && r.attempt != nil && !r.isPinned {
			waiting = append(waiting, r)
		}
	})
	for _, r := range waiting {
		if r.attempt.Cancel() {
			e.endAttempt(r, balancer.Cancelled)
		}
	}
}
