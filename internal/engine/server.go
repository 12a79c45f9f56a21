package engine

import (
	"slices"
	"time"

	"example.org/milletvane/internal/slot"
	"example.org/milletvane/rules"
)

type server struct {
	name string
	addr string

	meter meter

	state   rules.ServerState // as the rules were last told
	started time.Duration
	entry   rules.Server
	leaving bool // it has said that it drains, whatever the list says, until it starts anew
}

func (e *Engine) onList(ev List) {
	list := rules.List{Mode: ev.Mode}
	var drained []rules.ServerID
	if ev.Mode == rules.Complete || ev.Mode == rules.Stored {
		listed := make(map[rules.ServerID]bool, len(ev.Servers))
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
		case n.State == rules.Gone:
			if s != nil {
				e.forget(n.ID, s)
				drained = append(drained, n.ID)
			}
			list.Servers = append(list.Servers, n.Server)
			continue
		case s == nil:
			s = &server{name: n.Name, addr: n.Addr, started: n.Started}
			e.servers[n.ID] = s
			e.names[n.Name] = n.ID
		default:
			s.addr = n.Addr
		}
		if s.leaving && s.started != n.Started {
			s.leaving = false
		}
		if s.leaving && n.State == rules.Ready {
			n.State = rules.Draining // the list is late
		}
		s.started = n.Started
		if s.state == rules.Ready && n.State == rules.Draining {
			drained = append(drained, n.ID)
		}
		s.state, s.entry = n.State, n.Server
		list.Servers = append(list.Servers, n.Server)
	}
	e.tell(list)
	e.tellMovers(drained)
	if ev.Mode == rules.Complete || len(e.servers) > 0 {
		e.ready.Store(true)
	}
}

// onLeaving takes a server's own word that it drains. The rules hear of it as from the list.
func (e *Engine) onLeaving(id rules.ServerID) {
	s := e.servers[id]
	if s == nil || s.leaving || s.state != rules.Ready {
		return
	}
	s.leaving, s.state, s.entry.State = true, rules.Draining, rules.Draining
	e.tell(rules.List{Mode: rules.Changes, Servers: []rules.Server{s.entry}})
	e.tellMovers([]rules.ServerID{id})
}

// tellMovers tells the clients whose servers leave. Those that can't be moved by their front are sent away by the
// server itself.
func (e *Engine) tellMovers(servers []rules.ServerID) {
	if len(servers) == 0 {
		return
	}
	e.requests.All(func(_ slot.ID, r *request) bool {
		if r.phase == open && slices.Contains(servers, r.server) {
			if m, ok := r.client.(Mover); ok {
				m.ServerLeaves()
			}
		}
		return true
	})
}

func (e *Engine) forget(id rules.ServerID, s *server) {
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
	holders := map[rules.ServerID]slot.ID{}
	e.requests.All(func(id slot.ID, r *request) bool {
		if r.phase != open {
			return true
		}
		holders[r.server] = id
		age := r.link.Waiting()
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
		e.move(r, rules.Reset)
	}
	if !e.opts.TellsDelay || e.opts.MessageAim <= 0 {
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
