package engine

import (
	"slices"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

type server struct {
	name string
	addr string

	meter meter

	state   balancer.ServerState // as the rules were last told
	entry   balancer.Server      // as listed
	leaving bool                 // it has said that it drains, whatever the list says, until it starts anew

	banned      bool          // out by hand
	bannedStart time.Duration // its start as it was known when it was taken out
	coldSince   time.Duration // taken for its start until the list tells of a later one than bannedStart; 0: it tells
}

// shown is a server's entry as the rules are to see it: what the list cannot know, or is late to tell, goes over it.
func (s *server) shown() balancer.Server {
	n := s.entry
	if (s.leaving || s.banned) && n.State == balancer.Ready {
		n.State = balancer.Draining
	}
	n.Started, n.Evacuate = max(n.Started, s.coldSince), s.banned
	return n
}

func (e *Engine) onList(ev EndpointList) {
	list := balancer.EndpointList{Mode: ev.Mode}
	if ev.Version > 0 {
		e.version = ev.Version
	}
	var drained []balancer.ServerID
	if ev.Mode == balancer.ListComplete || ev.Mode == balancer.ListCached {
		listed := make(map[balancer.ServerID]bool, len(ev.Servers))
		for _, s := range ev.Servers {
			listed[s.ID] = true
		}
		for id, s := range e.servers {
			if !listed[id] {
				e.forget(id, s)
				drained = append(drained, id)
			}
		}
	}
	for _, n := range ev.Servers {
		s := e.servers[n.ID]
		switch {
		case s != nil && s.name != n.Name:
			// Both would be one server to the rules. The first stays: which one it is must not change.
			e.opts.Logger.Error("two servers share a number", "server", n.Name, "taken_by", s.name)
			continue
		case n.State == balancer.Removed:
			if s != nil {
				e.forget(n.ID, s)
				drained = append(drained, n.ID)
			}
			list.Servers = append(list.Servers, n.Server)
			continue
		case s == nil:
			s = &server{name: n.Name, addr: n.Addr, banned: e.banned[n.Name], bannedStart: n.Started}
			e.servers[n.ID] = s
			e.names[n.Name] = n.ID
		default:
			s.addr = n.Addr
		}
		if s.leaving && s.entry.Started != n.Started {
			s.leaving = false
		}
		if n.Started != s.bannedStart {
			s.coldSince = 0 // the list has caught up
		}
		s.entry = n.Server
		shown := s.shown()
		if s.state == balancer.Ready && shown.State == balancer.Draining {
			drained = append(drained, n.ID)
		}
		s.state = shown.State
		list.Servers = append(list.Servers, shown)
	}
	e.tell(list)
	e.tellMovers(drained)
	e.countServers()
	if ev.Mode == balancer.ListComplete || len(e.servers) > 0 {
		e.listed = true
		e.ready.Store(true)
	}
}

// onLeaving takes a server's own word that it drains. The rules hear of it as from the list.
func (e *Engine) onLeaving(id balancer.ServerID) {
	s := e.servers[id]
	if s == nil || s.leaving || s.state != balancer.Ready {
		return
	}
	s.leaving = true
	e.show(id, s)
}

// show tells the rules of a server anew, and the clients that can be moved if it leaves.
func (e *Engine) show(id balancer.ServerID, s *server) {
	was := s.state
	shown := s.shown()
	s.state = shown.State
	e.tell(balancer.EndpointList{Mode: balancer.ListDelta, Servers: []balancer.Server{shown}})
	if was == balancer.Ready && s.state == balancer.Draining {
		e.tellMovers([]balancer.ServerID{id})
	}
}

// tellMovers tells the clients whose servers leave. Those that can't be moved by their front are sent away by the
// server itself.
func (e *Engine) tellMovers(servers []balancer.ServerID) {
	if len(servers) == 0 {
		return
	}
	e.requests.All(func(_ slotmap.Handle, r *request) bool {
		if r.phase == open && slices.Contains(servers, r.server) {
			if m, ok := r.client.(DrainObserver); ok {
				m.ServerDraining()
			}
		}
		return true
	})
}

// onBanned takes a server out by hand or puts it back. Staff restart a server meanwhile, and the list may be late to say
// so: unless a connection of ours has lived through, one that is put back is taken to have started just now. It guards
// against a cold server that is sent what a warm one bears.
func (e *Engine) onBanned(ev MaintenanceChanged) {
	if ev.InMaintenance {
		e.banned[ev.Name] = true
	} else {
		delete(e.banned, ev.Name)
	}
	if id, ok := e.names[ev.Name]; ok {
		if s := e.servers[id]; s.banned != ev.InMaintenance {
			s.banned = ev.InMaintenance
			if ev.InMaintenance {
				s.bannedStart, s.coldSince = s.entry.Started, 0
			} else {
				if s.entry.Started == s.bannedStart && !e.holds(id) {
					s.coldSince = e.now
				}
				e.tell(balancer.ServerReinstated{Server: id})
			}
			e.show(id, s)
			if ev.InMaintenance {
				e.replace(id)
			}
			e.countServers()
		}
	}
	if ev.Done != nil {
		ev.Done()
	}
}

// replace takes the attempts back that wait at a server and has the rules send them elsewhere.
func (e *Engine) replace(id balancer.ServerID) {
	var at []*request
	e.requests.All(func(_ slotmap.Handle, r *request) bool {
		if r.phase == waiting && r.server == id && r.link != nil && !r.carried {
			at = append(at, r)
		}
		return true
	})
	for _, r := range at {
		if r.link.Cancel() {
			e.outcome(r, balancer.Cancelled)
		}
	}
}

// holds reports whether a connection is open at a server.
func (e *Engine) holds(id balancer.ServerID) (held bool) {
	e.requests.All(func(_ slotmap.Handle, r *request) bool {
		held = r.phase == open && r.server == id
		return !held
	})
	return held
}

// countServers reports how many servers are listed, and how many of these are avoided.
func (e *Engine) countServers() {
	avoided := 0
	for id, s := range e.servers {
		if s.banned || e.rules.IsEjected(id) {
			avoided++
		}
	}
	e.opts.Metrics.Discovered.Store(int64(len(e.servers)))
	e.opts.Metrics.Ejected.Store(int64(avoided))
}

func (e *Engine) forget(id balancer.ServerID, s *server) {
	e.prober.Forget(id)
	delete(e.servers, id)
	delete(e.names, s.name)
}

// look finds what open connections wait for: it tells the rules of slow messages and ends the connections
// whose server has gone silent.
func (e *Engine) look() {
	for _, s := range e.servers {
		s.meter.waiting, s.meter.waiterOf = 0, 0
	}
	var silent []*request
	holders := map[balancer.ServerID]slotmap.Handle{}
	e.requests.All(func(id slotmap.Handle, r *request) bool {
		if r.phase != open {
			return true
		}
		holders[r.server] = id
		age := r.link.UnansweredFor()
		if s := e.servers[r.server]; s != nil && age > s.meter.waiting {
			s.meter.waiting, s.meter.waiterOf = age, id
		}
		if age > silentFor {
			silent = append(silent, r)
		}
		return true
	})
	for _, r := range silent {
		e.opts.Logger.Warn("moved a client off a silent server", "server", r.server)
		e.move(r, balancer.Reset)
	}
	if !e.opts.ReportsMessageDelay || e.opts.MessageLatencyObjective <= 0 {
		return
	}
	// By number, not in the map's order: the same events come to the rules in the same order.
	for _, id := range e.order() {
		if holder, ok := holders[id]; ok {
			e.probe(id, e.servers[id])
			e.tellDelay(id, e.servers[id], holder)
		}
	}
}
