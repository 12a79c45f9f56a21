package balancer_test

import (
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

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
			s.later(s.upTo(130*time.Millisecond), func() { s.reportLoad(a.Server) })
		}
	case balancer.SetTimer:
		s.coverage["set timer"]++
		after := max(a.After, 0)
		if s.oneIn(4) {
			after += s.upTo(30 * time.Millisecond)
		}
		asked := s.balancer
		s.later(after, func() {
			if s.balancer == asked {
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
		s.coverage["reject with advice"]++
	}
	if !s.listed {
		s.coverage["reject while waiting for the first list"]++
	}
	if r := s.requests[a.ID]; s.oneIn(4) {
		s.later(a.RetryAfter+s.upTo(time.Second), func() { s.comeAgain(r) })
	}
}

// comeAgain sends a client's next request, of the same key and group.
func (s *stream) comeAgain(r balancer.Request) {
	s.nextRequest++
	r.ID, r.Reconnecting, r.MidFlow, r.OwnerKnown = s.nextRequest, !s.oneIn(4), false, false
	s.sendRequest(r)
}

func (s *stream) onMigrate(a balancer.Migrate) {
	i := slices.IndexFunc(s.live, func(c *connection) bool { return c.request.ID == a.ID })
	if i < 0 {
		return // a connection adopted from a process before, of which this driver lost sight
	}
	c := s.live[i]
	if h := s.hostByID[c.server]; h.State == balancer.Draining {
		s.coverage["migrate off a drained server"]++
	} else {
		s.coverage["migrate for slow messages"]++
	}
	c.left = true
	s.later(s.upTo(200*time.Millisecond), func() { s.end(c, balancer.OK, true) })
	if !s.oneIn(8) {
		s.later(s.upTo(700*time.Millisecond), func() { s.comeAgain(c.request) })
	}
}

// onSend starts an attempt and draws how it goes on.
func (s *stream) onSend(a balancer.Send) {
	r, h := s.requests[a.ID], s.hostByID[a.Server]
	c := &connection{request: r, attempt: s.attempts[a.ID], server: a.Server}
	s.attempts[a.ID]++
	s.live = append(s.live, c)
	s.coverSend(a, c, h)

	setUp := s.upTo(60 * time.Millisecond)
	limit := a.Timeout
	if limit == 0 {
		limit = time.Second
	}
	fail := func(after time.Duration, result balancer.Result) {
		s.later(after, func() { s.end(c, result, false) })
	}
	fate := h.condition
	if fate != healthy && fate != crashed && s.oneIn(4) {
		fate = healthy
	}
	switch {
	case s.jammed || fate == hanging:
		fail(limit, balancer.TimedOut)
	case fate == crashed:
		fail(setUp, balancer.ConnectFailed)
	case fate == full, s.flaky && s.oneIn(2):
		fail(setUp, balancer.Rejected)
	case fate == failing:
		fail(setUp, []balancer.Result{balancer.Errored, balancer.Reset}[s.rnd.IntN(2)])
	case s.oneIn(60):
		fail(0, balancer.NotSent)
	case s.rnd.IntN(60) == 0:
		fail(setUp, balancer.Cancelled)
	case s.oneIn(25):
		fail(setUp, balancer.Errored)
	case setUp > limit:
		fail(limit, balancer.TimedOut)
	case s.oneIn(30) && a.ConnectTimeout > 0: // stands too late to carry anything
		fail(a.ConnectTimeout, balancer.NotSent)
	case s.oneIn(12): // a short answer
		s.later(setUp, func() { s.end(c, balancer.OK, true) })
	default:
		s.later(setUp, func() { s.establish(c) })
	}
}

func (s *stream) coverSend(a balancer.Send, c *connection, h *host) {
	if c.attempt > 0 {
		s.coverage["retry"]++
		if s.mayHaveRun[a.ID] {
			s.coverage["retry after an attempt that may have run"]++
		}
	}
	if h.Started > 0 && s.now-h.Started < s.settings.WarmupDuration {
		s.coverage["send to a server that is warming up"]++
	}
	if a.ConnectTimeout == 0 {
		s.coverage["send without establish limit"]++
	}
	if c.request.MidFlow {
		s.coverage["send of a mid-flow request"]++
	}
	if h.State == balancer.Draining {
		s.coverage["send to a draining server"]++
	}
}

func (s *stream) establish(c *connection) {
	if !slices.Contains(s.live, c) {
		return
	}
	c.established = true
	s.feed("established", balancer.AttemptEstablished{
		ID: c.request.ID, Attempt: c.attempt, Server: c.server,
		Elapsed: s.upTo(90 * time.Millisecond),
	})
	life := s.upTo([]time.Duration{300 * time.Millisecond, 5 * time.Second, 40 * time.Second}[s.rnd.IntN(3)])
	s.later(life, func() {
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

// end ends an attempt that has not ended yet.
func (s *stream) end(c *connection, result balancer.Result, answered bool) {
	i := slices.Index(s.live, c)
	if i < 0 {
		return
	}
	s.live = slices.Delete(s.live, i, i+1)
	s.coverage[[...]string{
		"ok", "errored", "full", "timed out", "connect failed", "reset", "cancelled",
		"never sent",
	}[result]]++
	if !result.NeverRan() {
		s.mayHaveRun[c.request.ID] = true
	}
	s.feed("ended", balancer.AttemptEnded{
		ID: c.request.ID, Attempt: c.attempt,
		Server: c.server, Result: result,
		Elapsed: s.upTo(300 * time.Millisecond), Answered: answered || c.left,
	})
}
