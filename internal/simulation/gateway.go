package simulation

import (
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// gateway carries out the actions of one balancer.
type gateway struct {
	fleet         *Fleet
	balancer      *balancer.Balancer
	requests      map[balancer.RequestID]*request // unanswered ones and connections
	lastID        balancer.RequestID
	drainingSince map[balancer.ServerID]time.Duration // since the gateway learned of it
}

// updateEndpoint gives the balancer a server's new state.
func (g *gateway) updateEndpoint(endpoint balancer.Server) {
	if endpoint.State != balancer.Draining {
		delete(g.drainingSince, endpoint.ID)
	} else if _, known := g.drainingSince[endpoint.ID]; !known {
		g.drainingSince[endpoint.ID] = g.fleet.scheduler.Now()
	}
	g.handle(balancer.EndpointList{Mode: balancer.ListDelta, Servers: []balancer.Server{endpoint}})
}

func (g *gateway) handle(ev balancer.Event) {
	// The balancer reuses its actions at the next call, which may be made while these are carried out.
	for _, action := range slices.Clone(g.balancer.Handle(g.fleet.scheduler.Now(), ev)) {
		g.perform(action)
	}
}

func (g *gateway) perform(action balancer.Action) {
	f := g.fleet
	switch a := action.(type) {
	case balancer.Send:
		g.send(a)
	case balancer.Reject:
		if r := g.answer(a.ID); r != nil {
			f.Rejected++
			f.reconnect(r.client, a.RetryAfter)
		}
	case balancer.Fail:
		if r := g.answer(a.ID); r != nil {
			f.Failed++
			f.reconnect(r.client, 0)
		}
	case balancer.Migrate:
		if r := g.requests[a.ID]; r != nil && r.established {
			f.Migrated++
			r.endAttempt(balancer.Cancelled)
			f.reconnect(r.client, 0)
		}
	case balancer.SetTimer:
		f.scheduler.After(a.After, func() { g.handle(balancer.TimerFired{Ref: a.Ref}) })
	}
}

// answer takes the final answer to a request, and returns nil if there must be none.
func (g *gateway) answer(id balancer.RequestID) *request {
	r := g.requests[id]
	if r == nil || r.answered || r.server != nil {
		g.fleet.addViolation("request %d is answered twice, or while an attempt is in flight", id)
		return nil
	}
	r.answered = true
	delete(g.requests, id)
	return r
}

// send starts an attempt, and checks that the balancer may make it.
func (g *gateway) send(a balancer.Send) {
	f := g.fleet
	r := g.requests[a.ID]
	if r == nil || r.server != nil || r.answered {
		f.addViolation("request %d is sent while an attempt is in flight, or after its answer", a.ID)
		return
	}
	if r.attempts++; r.attempts > max(f.settings.Balancer.MaxAttempts, 1) {
		f.addViolation("request %d is sent %d times", a.ID, r.attempts)
	}
	if since, draining := g.drainingSince[a.Server]; draining {
		if duration := f.scheduler.Now() - since; duration > f.settings.Balancer.DrainGrace {
			f.addViolation("request %d is sent to node %d, known to be draining for %v", a.ID, a.Server, duration)
		}
	}
	f.Attempts++
	r.startAttempt(f.servers[a.Server-1], a.Timeout)
}
