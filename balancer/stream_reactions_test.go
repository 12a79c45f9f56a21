package balancer_test

import (
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// react answers an action like the servers, clients and timers of a gateway.
func (s *stream) react(a balancer.Action, cause string) {
	switch a := a.(type) {
	case balancer.Send:
		s.coverage["send"]++
		s.onSend(a)
	case balancer.Reject:
		s.coverage["reject"]++
		s.onReject(a)
	case balancer.Fail:
		s.coverage["fail"]++
	case balancer.Migrate:
		s.coverage["migrate"]++
		s.onMigrate(a)
	case balancer.PollLoad:
		s.coverage["poll load"]++
		if cause == "timer fired" {
			s.coverage["poll load on a timer"]++
		}
		if !s.oneIn(5) {
			s.schedule(s.randomDuration(130*time.Millisecond), func() { s.feedLoadReport(a.Server) })
		}
	case balancer.SetTimer:
		s.coverage["set timer"]++
		after := max(a.After, 0)
		if s.oneIn(4) {
			after += s.randomDuration(30 * time.Millisecond)
		}
		asking := s.balancer
		s.schedule(after, func() {
			if s.balancer == asking {
				s.feed("timer fired", balancer.TimerFired{Ref: a.Ref})
			}
		})
	case balancer.Log:
		s.coverage["log line"]++
	}
}

func (s *stream) onReject(a balancer.Reject) {
	if a.ShedByFleet {
		s.coverage["reject for fleet load shedding"]++
	}
	if a.RetryAfter > 0 {
		s.coverage["reject with retry-after"]++
	}
	if !s.hasList {
		s.coverage["reject while waiting for the first list"]++
	}
	if r := s.requests[a.ID]; s.oneIn(4) {
		s.schedule(a.RetryAfter+s.randomDuration(time.Second), func() { s.reconnect(r) })
	}
}

// reconnect sends a client's next request, with the same key and group.
func (s *stream) reconnect(r balancer.Request) {
	s.nextRequestID++
	r.ID, r.Reconnecting, r.MidFlow, r.OwnerKnown = s.nextRequestID, !s.oneIn(4), false, false
	s.sendRequest(r)
}

func (s *stream) onMigrate(a balancer.Migrate) {
	i := slices.IndexFunc(s.connections, func(c *connection) bool { return c.request.ID == a.ID })
	if i < 0 {
		return // an adopted connection that the stream no longer tracks
	}
	c := s.connections[i]
	if server := s.serverByID[c.server]; server.State == balancer.Draining {
		s.coverage["migrate off a draining server"]++
	} else {
		s.coverage["migrate off a slow server"]++
	}
	c.leaving = true
	s.schedule(s.randomDuration(200*time.Millisecond), func() { s.end(c, balancer.OK, true) })
	if !s.oneIn(8) {
		s.schedule(s.randomDuration(700*time.Millisecond), func() { s.reconnect(c.request) })
	}
}

// onSend starts an attempt and draws its outcome.
func (s *stream) onSend(a balancer.Send) {
	r, server := s.requests[a.ID], s.serverByID[a.Server]
	c := &connection{request: r, attempt: s.attempts[a.ID], server: a.Server}
	s.attempts[a.ID]++
	s.connections = append(s.connections, c)
	s.countSendCoverage(a, c, server)

	setUpTime := s.randomDuration(60 * time.Millisecond)
	limit := a.Timeout
	if limit == 0 {
		limit = time.Second
	}
	fail := func(after time.Duration, result balancer.Result) {
		s.schedule(after, func() { s.end(c, result, false) })
	}
	behavior := server.condition
	if behavior != healthy && behavior != crashed && s.oneIn(4) {
		behavior = healthy
	}
	switch {
	case s.setupsHang || behavior == hanging:
		fail(limit, balancer.TimedOut)
	case behavior == crashed:
		fail(setUpTime, balancer.ConnectFailed)
	case behavior == full, s.rejectsHalf && s.oneIn(2):
		fail(setUpTime, balancer.Rejected)
	case behavior == failing:
		fail(setUpTime, []balancer.Result{balancer.Errored, balancer.Reset}[s.rnd.IntN(2)])
	case s.oneIn(60):
		fail(0, balancer.NotSent)
	case s.rnd.IntN(60) == 0:
		fail(setUpTime, balancer.Cancelled)
	case s.oneIn(25):
		fail(setUpTime, balancer.Errored)
	case setUpTime > limit:
		fail(limit, balancer.TimedOut)
	case s.oneIn(30) && a.ConnectTimeout > 0: // established too late to carry anything
		fail(a.ConnectTimeout, balancer.NotSent)
	case s.oneIn(12): // a short answer
		s.schedule(setUpTime, func() { s.end(c, balancer.OK, true) })
	default:
		s.schedule(setUpTime, func() { s.establish(c) })
	}
}

func (s *stream) countSendCoverage(a balancer.Send, c *connection, server *fakeServer) {
	if c.attempt > 0 {
		s.coverage["retry"]++
		if s.mayHaveRun[a.ID] {
			s.coverage["retry after an attempt that may have run"]++
		}
	}
	if server.Started > 0 && s.now-server.Started < s.settings.WarmupDuration {
		s.coverage["send to a server that is warming up"]++
	}
	if a.ConnectTimeout == 0 {
		s.coverage["send without connect timeout"]++
	}
	if c.request.MidFlow {
		s.coverage["send of a mid-flow request"]++
	}
	if server.State == balancer.Draining {
		s.coverage["send to a draining server"]++
	}
}

func (s *stream) establish(c *connection) {
	if !slices.Contains(s.connections, c) {
		return
	}
	c.established = true
	s.feed("attempt established", balancer.AttemptEstablished{
		ID: c.request.ID, Attempt: c.attempt, Server: c.server,
		Elapsed: s.randomDuration(90 * time.Millisecond),
	})
	life := s.randomDuration(
		[]time.Duration{300 * time.Millisecond, 5 * time.Second, 40 * time.Second}[s.rnd.IntN(3)])
	s.schedule(life, func() {
		result := balancer.OK
		switch s.rnd.IntN(12) {
		case 0:
			result = balancer.Reset
		case 1:
			result = balancer.Cancelled
		case 2:
			result = balancer.Errored
		}
		s.end(c, result, !s.oneIn(10))
	})
}

// end ends an attempt, unless it has already ended.
func (s *stream) end(c *connection, result balancer.Result, answered bool) {
	i := slices.Index(s.connections, c)
	if i < 0 {
		return
	}
	s.connections = slices.Delete(s.connections, i, i+1)
	s.coverage[[...]string{
		"ok", "errored", "rejected", "timed out", "connect failed", "reset", "cancelled",
		"not sent",
	}[result]]++
	if !result.NeverRan() {
		s.mayHaveRun[c.request.ID] = true
	}
	s.feed("attempt ended", balancer.AttemptEnded{
		ID: c.request.ID, Attempt: c.attempt,
		Server: c.server, Result: result,
		Elapsed: s.randomDuration(300 * time.Millisecond), Answered: answered || c.leaving,
	})
}
