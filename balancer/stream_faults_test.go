package balancer_test

import (
	"math"
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// fault changes how a server fares.
func (s *stream) fault() {
	h := s.anyHost()
	if h.condition = s.usual; s.oneIn(2) {
		h.condition = condition(s.rnd.IntN(int(conditions)))
	}
	switch h.condition {
	case crashed:
		s.resetAll(h, time.Millisecond+s.upTo(300*time.Millisecond))
	case slow:
		s.slowDown(h, 3+s.rnd.IntN(6))
	}
	s.later(s.upTo(15*time.Second), func() { h.condition = healthy })
}

// resetAll breaks a server's connections within a time.
func (s *stream) resetAll(h *host, within time.Duration) {
	for _, c := range s.live {
		if c.server == h.ID {
			s.later(s.upTo(within), func() { s.end(c, balancer.Reset, c.established) })
		}
	}
}

// slowDown has some connections of a server tell of messages that take longer and longer.
func (s *stream) slowDown(h *host, times int) {
	if times == 0 || h.condition != slow {
		return
	}
	h.delay += 30*time.Millisecond + s.upTo(500*time.Millisecond)
	told := 0
	for _, c := range slices.Clone(s.live) {
		if c.server == h.ID && c.established && told < 3 {
			told++
			s.feed("message delay", balancer.MessageDelay{ID: c.request.ID, Server: h.ID, Delay: h.delay})
		}
	}
	if s.oneIn(3) {
		s.reportLoad(h.ID)
	}
	s.later(500*time.Millisecond+s.upTo(600*time.Millisecond), func() { s.slowDown(h, times-1) })
}

// changeList feeds a list that differs from the last, or one that is old or wrong.
func (s *stream) changeList() {
	h := s.anyHost()
	switch s.rnd.IntN(12) {
	case 0:
		h = s.addHost()
	case 1, 2:
		h.State, h.Evacuate = balancer.Draining, s.oneIn(2)
		defer s.midFlowAfter(h)
	case 3:
		h.State = balancer.Removed
		defer s.midFlowAfter(h)
		s.resetAll(h, time.Second)
	case 4, 5, 6:
		h.State, h.Evacuate = balancer.Ready, false
	case 7:
		s.reboot(h)
	case 8:
		h.Capacity = []float64{0, -1, 0.5, 3, math.NaN(), math.Inf(1)}[s.rnd.IntN(6)]
	case 9: // nothing new
		s.feedList(balancer.ListDelta, nil)
		return
	case 10: // an old list, or an empty one
		old := s.pastLists[s.rnd.IntN(len(s.pastLists))]
		s.feedList(
			[]balancer.ListMode{balancer.ListComplete, balancer.ListCached}[s.rnd.IntN(2)], old.Servers)
		return
	case 11:
		s.feedList(balancer.ListComplete, s.entries())
		return
	}
	if s.oneIn(5) {
		s.feedList(balancer.ListComplete, s.entries())
		return
	}
	s.feedList(balancer.ListDelta, []balancer.Server{h.Server})
}

// midFlowAfter sends requests of a server that has just left the table, around the times up to which it may
// still be sent some.
func (s *stream) midFlowAfter(h *host) {
	s.sendRequest(s.drawRequest()) // the table is filled by the next placement
	times := []time.Duration{s.settings.FlowRetention}
	for range 3 {
		times = append(times, s.upTo(s.settings.DrainGrace+100*time.Millisecond))
	}
	for _, after := range times {
		if after > time.Minute {
			continue
		}
		s.later(after, func() {
			r := s.drawRequest()
			r.MidFlow, r.OwnerKnown, r.Owner = true, s.oneIn(2), h.ID
			s.sendRequest(r)
		})
	}
}

// reboot restarts a server's process.
func (s *stream) reboot(h *host) {
	h.Started, h.State, h.Evacuate, h.condition = s.now, balancer.Ready, false, healthy
	s.resetAll(h, 100*time.Millisecond)
}

// reinstate has staff put a server back into use, for some after a restart.
func (s *stream) reinstate(h *host) {
	s.feed("server reinstated", balancer.ServerReinstated{Server: h.ID})
	if s.oneIn(2) {
		s.reboot(h)
		s.feedList(balancer.ListDelta, []balancer.Server{h.Server})
	}
}

// oddEvent feeds what comes late, twice, or of what is not known.
func (s *stream) oddEvent() {
	known := balancer.RequestID(1 + s.rnd.IntN(int(s.nextRequest)+1))
	unknown := s.nextRequest + 1000
	server := s.anyHost().ID
	switch s.rnd.IntN(9) {
	case 0:
		if c := s.anyLive(isEstablished); c != nil {
			s.feed("request", c.request)
		}
	case 1:
		s.feed("established",
			balancer.AttemptEstablished{ID: known, Attempt: s.rnd.IntN(3), Server: server + 50})
	case 2:
		s.feed("ended", balancer.AttemptEnded{ID: known, Attempt: 7, Server: server, Result: balancer.Reset})
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

// restart hands what the Balancer has learned and its open connections to a second one, for some streams with
// figures that no Balancer gives.
func (s *stream) restart() {
	s.coverage["restored snapshot"]++
	snapshot := s.balancer.Snapshot()
	s.digestSnapshot(snapshot)
	if s.oneIn(4) {
		s.spoil(&snapshot)
	}
	s.settings.Seed++
	s.balancer = s.newBalancer()
	s.feedList([]balancer.ListMode{balancer.ListComplete, balancer.ListCached}[s.rnd.IntN(2)], s.entries())
	s.balancer.Restore(s.now, snapshot)
	s.digestSnapshot(s.balancer.Snapshot())
	inherited := s.live
	s.live = nil
	for _, c := range inherited {
		if !c.established || s.oneIn(6) {
			continue
		}
		c.attempt, s.attempts[c.request.ID] = 0, 1
		s.live = append(s.live, c)
		s.feed("adopted connection", balancer.AdoptedConnection{Request: c.request, Server: c.server})
		life := s.upTo(20 * time.Second)
		s.later(life, func() { s.end(c, balancer.OK, true) })
	}
	s.feed("adopted connection",
		balancer.AdoptedConnection{Request: balancer.Request{ID: s.nextRequest + 5000}, Server: 1})
}

// spoil puts figures into a snapshot that have to be passed over or bounded.
func (s *stream) spoil(l *balancer.Snapshot) {
	l.MeanLoad.Value = math.NaN()
	l.ConnectionCapacity.Weight = 1e9
	if s.oneIn(2) {
		l.ClassLoads = l.ClassLoads[1:]
	}
	for i := range l.Servers {
		k := &l.Servers[i]
		switch s.rnd.IntN(6) {
		case 0:
			k.LoadLimit = math.Inf(1)
		case 1:
			k.LoadLimit, k.LimitLoweredAt = -3, s.now+time.Hour
		case 2:
			k.PausedUntil, k.EjectedUntil, k.Ejections = s.now+time.Hour, s.now+time.Hour, -4
		case 3:
			k.Started++
		case 4:
			k.FailureScore, k.FailureScoreAt = 0.9, s.now+time.Minute
		}
	}
}

// lastQuarter does near a stream's end what changes all that follows: a shutdown, or a long silence after
// which servers that are gone may be forgotten.
func (s *stream) lastQuarter() {
	switch s.rnd.IntN(6) {
	case 0:
		s.feed("shutdown", balancer.Shutdown{Deadline: s.now + s.upTo(time.Second)})
	case 1, 2:
		for _, h := range s.hosts[:(len(s.hosts)+1)/2] {
			h.State = balancer.Removed
		}
		s.feedList(balancer.ListDelta, s.entries())
		s.wait(8 * time.Second)
		s.now += 9*time.Minute + s.upTo(time.Minute)
		s.wait(time.Second) // the timers are late, and all else that was due
		s.now += 70*time.Second + s.upTo(time.Minute)
		s.wait(time.Second)
	}
}
