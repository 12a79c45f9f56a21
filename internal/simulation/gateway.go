package simulation

import (
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// gateway performs the actions of one balancer and checks them against the rules.
type gateway struct {
	fleet         *Fleet
	balancer      *balancer.Balancer
	requests      map[balancer.RequestID]*request // unanswered requests and established connections
	lastID        balancer.RequestID
	drainingSince map[balancer.ServerID]time.Duration // time at which the gateway learned that the server is draining
}

// updateEndpoint passes a server's new state to the balancer.
func (g *gateway) updateEndpoint(endpoint balancer.Server) {
	if endpoint.State != balancer.Draining {
		delete(g.drainingSince, endpoint.ID)
	} else if _, known := g.drainingSince[endpoint.ID]; !known {
		g.drainingSince[endpoint.ID] = g.fleet.scheduler.Now()
	}
	g.handle(balancer.EndpointList{Mode: balancer.ListDelta, Servers: []balancer.Server{endpoint}})
}

// handle passes an event to the balancer and performs the actions that it returns.
func (g *gateway) handle(ev balancer.Event) {
	// The balancer reuses the slice of actions at its next call, which may happen while these actions are performed.
	for _, action := range slices.Clone(g.balancer.Handle(g.fleet.scheduler.Now(), ev)) {
		g.perform(action)
	}
}

// perform carries out one action of the balancer.
func (g *gateway) perform(action balancer.Action) {
	f := g.fleet
	switch a := action.(type) {
	case balancer.Send:
		g.send(a)
	case balancer.Reject:
		if r := g.answerRequest(a.ID); r != nil {
			f.Rejected++
			f.reconnect(r.client, a.RetryAfter)
		}
	case balancer.Fail:
		if r := g.answerRequest(a.ID); r != nil {
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

// answerRequest records the final answer to a request and returns the request. If the request must not be answered, it
// reports a violation and returns nil.
func (g *gateway) answerRequest(id balancer.RequestID) *request {
	r := g.requests[id]
	if r == nil || r.answered || r.server != nil {
		g.fleet.addViolation("request %d is answered twice, or while an attempt is in flight", id)
		return nil
	}
	r.answered = true
	delete(g.requests, id)
	return r
}

// send starts an attempt and reports violations of the rules for attempts.
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
