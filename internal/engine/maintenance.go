package engine

import "example.org/milletvane/balancer"

// maintenanceSet holds the names of servers in maintenance mode, whether they are listed or not.
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
	s.startBefore, s.assumedStart = s.listed.Started, 0
	e.publishEndpoint(id, s)
	e.retryPendingAttempts(id)
}

// endMaintenance puts a server back. Operators restart servers in maintenance, and the list may be late to show that:
// unless a connection from here has outlived the maintenance, the server is taken to have started just now. That
// keeps a server that warms up from being sent what a warm one can take.
func (e *Engine) endMaintenance(id balancer.ServerID, s *endpoint) {
	if s.listed.Started == s.startBefore && !e.hasEstablished(id) {
		s.assumedStart = e.now
	}
	e.notify(balancer.ServerReinstated{Server: id})
	e.publishEndpoint(id, s)
}

// retryPendingAttempts cancels the attempts that are pending at a server and has the balancer send them elsewhere.
func (e *Engine) retryPendingAttempts(id balancer.ServerID) {
	var waiting []*request
	e.requests.each(func(r *request) {
		if r.phase == pending && r.server == id && r.attempt != nil && !r.isSticky {
			waiting = append(waiting, r)
		}
	})
	for _, r := range waiting {
		if r.attempt.Cancel() {
			e.endAttempt(r, balancer.Cancelled)
		}
	}
}
