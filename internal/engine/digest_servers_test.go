package engine_test

import (
	"fmt"
	"slices"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

func (s *simulation) serverName(id int) string { return fmt.Sprint("server-", id) }

func (s *simulation) entry(l listedServer) engine.Server {
	return engine.Server{
		Name: s.serverName(l.id),
		Addr: fmt.Sprintf("addr-%d-%d", l.id, l.addr),
		Server: balancer.Server{
			ID:       balancer.ServerID(l.id),
			Zone:     fmt.Sprint("zone-", l.id%2),
			Cell:     l.id % 3,
			State:    l.state,
			Capacity: l.capacity,
			Started:  l.started,
		},
	}
}

// sendFullList sends a full endpoint list. Removed servers may be listed as removed or left out.
func (s *simulation) sendFullList(mode balancer.ListMode) {
	event := engine.EndpointList{Mode: mode, Version: int64(s.random.IntN(50))}
	if !s.oneIn(8) {
		for _, l := range s.servers {
			if l.state != balancer.Removed && !s.oneIn(10) || l.state == balancer.Removed && s.oneIn(4) {
				event.Servers = append(event.Servers, s.entry(l))
			}
		}
	}
	s.handleList(event)
}

func (s *simulation) handleList(event engine.EndpointList) {
	if s.hasDiscovery {
		s.handle("list", event)
	}
}

// changeServer changes one or two servers and sends an endpoint list with the changes.
func (s *simulation) changeServer() {
	event := engine.EndpointList{Mode: balancer.ListDelta}
	for range 1 + s.random.IntN(2) {
		l := &s.servers[s.random.IntN(serverCount)]
		switch s.random.IntN(6) {
		case 0, 1, 2:
			l.state = balancer.Ready
		case 3:
			l.state = balancer.Draining
		case 4:
			l.state = balancer.Removed
		case 5:
			l.started, l.addr = s.drawStart(), s.random.IntN(5)
		}
		event.Servers = append(event.Servers, s.entry(*l))
	}
	if s.oneIn(10) { // another server with an ID that is in use
		twin := s.entry(s.servers[s.random.IntN(serverCount)])
		twin.Name = "twin"
		event.Servers = append(event.Servers, twin)
	}
	s.handleList(event)
}

// reportLoad sends a load report of a server, whose load changes occasionally.
func (s *simulation) reportLoad(server balancer.ServerID) {
	report := engine.LoadReport{Utilization: s.drawLoad(), HasUtilization: !s.oneIn(10)}
	if i := int(server) - 1; i < len(s.servers) {
		if s.oneIn(25) {
			s.servers[i].load = s.drawLoad()
		}
		report.Utilization = s.servers[i].load
	}
	if s.oneIn(2) {
		report.Connections = float64(s.random.IntN(60))
	}
	if s.reportsBacklog && s.oneIn(2) {
		report.Backlog, report.HasBacklog = s.durationBetween(0, 200*time.Millisecond), true
	}
	s.handle("probed", engine.LoadReported{Server: server, Report: report})
}

func (s *simulation) changeMaintenance() {
	id := 1 + s.random.IntN(serverCount+1)
	event := engine.MaintenanceChanged{Name: s.serverName(id), InMaintenance: s.oneIn(2)}
	if !s.oneIn(3) {
		event.Done = func() { s.transcript.call("done", field{"banned", id}) }
	}
	s.handle("banned", event)
	if event.InMaintenance {
		s.schedule(s.durationBetween(0, 3*time.Second), func() {
			s.handle("banned", engine.MaintenanceChanged{Name: s.serverName(id)})
		})
	}
}

func (s *simulation) changeShedLevel() {
	s.handle("shed", engine.FleetShedLevel{Level: pick(s, 0, 0, 0.5, 1.25)})
}

func (s *simulation) shutDown() {
	s.isShuttingDown = true
	s.handle("stop", engine.Shutdown{})
	if s.oneIn(3) {
		s.handle("stop", engine.Shutdown{}) // the engine ignores the second one
	}
}

// requestState requests the state of the engine and records each field of it.
func (s *simulation) requestState() {
	s.handle("tell", engine.StateRequested{Deliver: func(state engine.State) {
		s.predecessor.snapshot = state.Balancer
		s.transcript.call("state", field{"version", state.Version})
		for _, e := range state.Servers {
			s.transcript.call("state server", field{"name", e.Name}, field{"addr", e.Addr}, field{"id", int(e.ID)},
				field{"zone", e.Zone}, field{"cell", e.Cell}, field{"state", int(e.State)}, field{"capacity", e.Capacity},
				field{"started", e.Started}, field{"clear", e.Evacuate})
		}
		for _, f := range state.Flows {
			s.transcript.call("state flow", field{"id", f.ID}, field{"class", f.Class}, field{"key", f.Key},
				field{"group", f.Group}, field{"server", f.Server}, field{"load", f.Load})
		}
		s.recordSnapshot(state.Balancer)
	}})
}

func (s *simulation) recordSnapshot(l balancer.Snapshot) {
	s.transcript.call("learned", field{"load", l.MeanLoad.Value}, field{"weight", l.MeanLoad.Weight},
		field{"bears", l.ConnectionCapacity.Value}, field{"weight", l.ConnectionCapacity.Weight})
	for _, c := range l.ClassLoads {
		s.transcript.call("learned class", field{"load", c.Value}, field{"weight", c.Weight})
	}
	for _, k := range l.Servers {
		s.transcript.call("learned server", field{"id", int(k.ID)}, field{"started", k.Started},
			field{"limit", k.LoadLimit}, field{"cut at", k.LimitLoweredAt}, field{"paused until", k.PausedUntil},
			field{"ejected", k.EjectedUntil},
			field{"ejections", k.Ejections}, field{"strikes", k.FailureScore}, field{"strikes at", k.FailureScoreAt})
	}
}

// sendPredecessorState sends the state of the predecessor process. The first one has all its connections; each
// later one may lack one connection of the state before.
func (s *simulation) sendPredecessorState() {
	p := &s.predecessor
	event := engine.PredecessorState{First: !p.isKnown}
	if !p.isKnown {
		s.drawFlows()
		event.State.Balancer = p.snapshot
	} else if len(p.flows) > 0 && s.oneIn(2) {
		i := s.random.IntN(len(p.flows))
		p.flows = slices.Delete(slices.Clone(p.flows), i, i+1)
	}
	s.handlePredecessorState(event)
	if event.First {
		s.refreshPredecessor()
	}
}

func (s *simulation) drawFlows() {
	p := &s.predecessor
	p.isKnown = true
	most := fewFlows
	if s.options.MaxSockets >= socketsForManyFlows {
		most = manyFlows
	}
	for i := range 1 + s.random.IntN(most) {
		p.flows = append(p.flows, engine.Flow{
			ID:     fmt.Sprint("flow-", i),
			Class:  pick(s, "interactive", "bulk"),
			Key:    fmt.Sprint("key-", s.random.IntN(40)),
			Group:  pick(s, "", "group-1"),
			Server: s.serverName(1 + s.random.IntN(serverCount)),
			Load:   pick(s, 0.0, 300),
		})
	}
	if len(p.flows) > 0 && s.oneIn(10) {
		p.flows[0].ID = ""
	}
}

func (s *simulation) handlePredecessorState(event engine.PredecessorState) {
	event.State.Flows = slices.Clone(s.predecessor.flows)
	s.handle("inherit", event)
}

// refreshPredecessor sends the state of the predecessor process periodically while it has more than one connection.
func (s *simulation) refreshPredecessor() {
	s.schedule(predecessorRefreshDelay, func() {
		if len(s.predecessor.flows) > 1 {
			s.handlePredecessorState(engine.PredecessorState{})
			s.refreshPredecessor()
		}
	})
}
