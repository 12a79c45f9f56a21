package balancer_test

import (
	"math"
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// changeCondition changes the condition of a random server for a time.
func (s *stream) changeCondition() {
	server := s.randomServer()
	if server.condition = s.commonFault; s.oneIn(2) {
		server.condition = condition(s.rnd.IntN(int(numConditions)))
	}
	switch server.condition {
	case crashed:
		s.resetConnections(server, time.Millisecond+s.randomDuration(300*time.Millisecond))
	case slow:
		s.slowDown(server, 3+s.rnd.IntN(6))
	}
	s.schedule(s.randomDuration(15*time.Second), func() { server.condition = healthy })
}

// resetConnections breaks all connections of a server within a time.
func (s *stream) resetConnections(server *fakeServer, within time.Duration) {
	for _, c := range s.connections {
		if c.server == server.ID {
			s.schedule(s.randomDuration(within), func() { s.end(c, balancer.Reset, c.established) })
		}
	}
}

// slowDown reports growing message delays of up to three connections of a server, for the given number of
// rounds.
func (s *stream) slowDown(server *fakeServer, rounds int) {
	if rounds == 0 || server.condition != slow {
		return
	}
	server.delay += 30*time.Millisecond + s.randomDuration(500*time.Millisecond)
	reported := 0
	for _, c := range slices.Clone(s.connections) {
		if c.server == server.ID && c.established && reported < 3 {
			reported++
			s.feed("message delay",
				balancer.MessageDelay{ID: c.request.ID, Server: server.ID, Delay: server.delay})
		}
	}
	if s.oneIn(3) {
		s.feedLoadReport(server.ID)
	}
	s.schedule(500*time.Millisecond+s.randomDuration(600*time.Millisecond),
		func() { s.slowDown(server, rounds-1) })
}

// feedListChange feeds a list that differs from the previous one, or one that is old or wrong.
func (s *stream) feedListChange() {
	server := s.randomServer()
	switch s.rnd.IntN(12) {
	case 0:
		server = s.addServer()
	case 1, 2:
		server.State, server.Evacuate = balancer.Draining, s.oneIn(2)
		defer s.scheduleMidFlow(server)
	case 3:
		server.State = balancer.Removed
		defer s.scheduleMidFlow(server)
		s.resetConnections(server, time.Second)
	case 4, 5, 6:
		server.State, server.Evacuate = balancer.Ready, false
	case 7:
		s.restartProcess(server)
	case 8:
		server.Capacity = []float64{0, -1, 0.5, 3, math.NaN(), math.Inf(1)}[s.rnd.IntN(6)]
	case 9: // a delta without entries
		s.feedList(balancer.ListDelta, nil)
		return
	case 10: // an old list, possibly an empty one
		old := s.pastLists[s.rnd.IntN(len(s.pastLists))]
		s.feedList(
			[]balancer.ListMode{balancer.ListComplete, balancer.ListCached}[s.rnd.IntN(2)], old.Servers)
		return
	case 11:
		s.feedList(balancer.ListComplete, s.listEntries())
		return
	}
	if s.oneIn(5) {
		s.feedList(balancer.ListComplete, s.listEntries())
		return
	}
	s.feedList(balancer.ListDelta, []balancer.Server{server.Server})
}

// scheduleMidFlow sends mid-flow requests for a server that has just left the table, around the latest times
// at which requests may be sent to it.
func (s *stream) scheduleMidFlow(server *fakeServer) {
	s.sendRequest(s.drawRequest()) // its placement builds the new table
	delays := []time.Duration{s.settings.FlowRetention}
	for range 3 {
		delays = append(delays, s.randomDuration(s.settings.DrainGrace+100*time.Millisecond))
	}
	for _, after := range delays {
		if after > time.Minute {
			continue
		}
		s.schedule(after, func() {
			r := s.drawRequest()
			r.MidFlow, r.OwnerKnown, r.Owner = true, s.oneIn(2), server.ID
			s.sendRequest(r)
		})
	}
}

// restartProcess restarts the process of a server.
func (s *stream) restartProcess(server *fakeServer) {
	server.Started, server.State, server.Evacuate, server.condition = s.now, balancer.Ready, false, healthy
	s.resetConnections(server, 100*time.Millisecond)
}

// reinstate has an operator put a server back into use, in half of the cases after a restart.
func (s *stream) reinstate(server *fakeServer) {
	s.feed("server reinstated", balancer.ServerReinstated{Server: server.ID})
	if s.oneIn(2) {
		s.restartProcess(server)
		s.feedList(balancer.ListDelta, []balancer.Server{server.Server})
	}
}

// feedUnexpectedEvent feeds an event that is late or repeated, or that refers to an unknown request or
// server.
func (s *stream) feedUnexpectedEvent() {
	known := balancer.RequestID(1 + s.rnd.IntN(int(s.nextRequestID)+1))
	unknown := s.nextRequestID + 1000
	server := s.randomServer().ID
	switch s.rnd.IntN(9) {
	case 0:
		if c := s.randomConnection(isEstablished); c != nil {
			s.feed("request", c.request)
		}
	case 1:
		s.feed("attempt established",
			balancer.AttemptEstablished{ID: known, Attempt: s.rnd.IntN(3), Server: server + 50})
	case 2:
		s.feed("attempt ended",
			balancer.AttemptEnded{ID: known, Attempt: 7, Server: server, Result: balancer.Reset})
	case 3:
		s.feed("client disconnected", balancer.ClientDisconnected{ID: unknown})
	case 4:
		s.feed("timer fired", balancer.TimerFired{Ref: 77})
	case 5:
		s.feed("load changed", balancer.LoadChanged{ID: unknown, Load: 5})
	case 6:
		s.feed("message delay", balancer.MessageDelay{ID: unknown, Server: 1, Delay: time.Second})
	case 7:
		s.feed("load report", balancer.LoadReport{Server: 1, Utilization: 1})
	case 8:
		s.feed("server reinstated", balancer.ServerReinstated{Server: 1})
	}
}

// restartBalancer passes a snapshot and the open connections to a second Balancer. Some streams put values
// into the snapshot that no Balancer produces.
func (s *stream) restartBalancer() {
	s.coverage["restored snapshot"]++
	snapshot := s.balancer.Snapshot()
	s.recordSnapshot(snapshot)
	if s.oneIn(4) {
		s.corruptSnapshot(&snapshot)
	}
	s.settings.Seed++
	s.balancer = s.newBalancer()
	s.feedList(
		[]balancer.ListMode{balancer.ListComplete, balancer.ListCached}[s.rnd.IntN(2)], s.listEntries())
	s.balancer.Restore(s.now, snapshot)
	s.recordSnapshot(s.balancer.Snapshot())
	inherited := s.connections
	s.connections = nil
	for _, c := range inherited {
		if !c.established || s.oneIn(6) {
			continue
		}
		c.attempt, s.attempts[c.request.ID] = 0, 1
		s.connections = append(s.connections, c)
		s.feed("adopted connection", balancer.AdoptedConnection{Request: c.request, Server: c.server})
		life := s.randomDuration(20 * time.Second)
		s.schedule(life, func() { s.end(c, balancer.OK, true) })
	}
	s.feed("adopted connection",
		balancer.AdoptedConnection{Request: balancer.Request{ID: s.nextRequestID + 5000}, Server: 1})
}

// corruptSnapshot puts values into a snapshot that Restore must ignore or bound.
func (s *stream) corruptSnapshot(snapshot *balancer.Snapshot) {
	snapshot.MeanLoad.Value = math.NaN()
	snapshot.ConnectionCapacity.Weight = 1e9
	if s.oneIn(2) {
		snapshot.ClassLoads = snapshot.ClassLoads[1:]
	}
	for i := range snapshot.Servers {
		saved := &snapshot.Servers[i]
		switch s.rnd.IntN(6) {
		case 0:
			saved.LoadLimit = math.Inf(1)
		case 1:
			saved.LoadLimit, saved.LimitLoweredAt = -3, s.now+time.Hour
		case 2:
			saved.PausedUntil, saved.EjectedUntil, saved.Ejections = s.now+time.Hour, s.now+time.Hour, -4
		case 3:
			saved.Started++
		case 4:
			saved.FailureScore, saved.FailureScoreAt = 0.9, s.now+time.Minute
		}
	}
}

// shutDownOrIdle feeds an event that affects the rest of the stream: a shutdown, or a long idle time after
// which removed servers may be evicted. Some streams have neither.
func (s *stream) shutDownOrIdle() {
	switch s.rnd.IntN(6) {
	case 0:
		s.feed("shutdown", balancer.Shutdown{Deadline: s.now + s.randomDuration(time.Second)})
	case 1, 2:
		for _, server := range s.servers[:(len(s.servers)+1)/2] {
			server.State = balancer.Removed
		}
		s.feedList(balancer.ListDelta, s.listEntries())
		s.advance(8 * time.Second)
		s.now += 9*time.Minute + s.randomDuration(time.Minute)
		s.advance(time.Second) // timers and everything else that is due are late
		s.now += 70*time.Second + s.randomDuration(time.Minute)
		s.advance(time.Second)
	}
}
