package engine

import (
	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// The trace follows each request through a gateway, by its client's name for it, and with the logs of all gateways
// through the fleet. It is logged at level debug where Options.Trace is set.

func (e *Engine) trace(msg string, args ...any) { e.opts.Logger.Debug(msg, args...) }

// traced is what tells a request and a server in the trace.
func (e *Engine) traced(id balancer.RequestID, server balancer.ServerID) []any {
	var name string
	if r, ok := e.requests.Get(slotmap.Handle(id)); ok {
		name = r.name
		if server == 0 {
			server = r.server
		}
	}
	return []any{"id", id, "name", name, "server", e.serverName(server)}
}

func (e *Engine) serverName(id balancer.ServerID) string {
	if s := e.servers[id]; s != nil {
		return s.name
	}
	return ""
}

// traceEvent logs what the rules are told.
func (e *Engine) traceEvent(ev balancer.Event) {
	switch ev := ev.(type) {
	case balancer.Request:
		e.trace("asked", append(e.traced(ev.ID, ev.Owner), "class", ev.Class, "group", ev.Group, "key", ev.Key, "wait", ev.Timeout,
			"stray", ev.MidFlow, "returned", ev.Reconnecting)...)
	case balancer.AdoptedConnection:
		e.trace("carried", append(e.traced(ev.ID, ev.Server), "class", ev.Class, "group", ev.Group)...)
	case balancer.AttemptEstablished:
		e.trace("up", append(e.traced(ev.ID, ev.Server), "after", ev.Elapsed)...)
	case balancer.AttemptEnded:
		e.trace("outcome", append(e.traced(ev.ID, ev.Server), "attempt", ev.Attempt, "result", ev.Result.String(), "after", ev.Elapsed,
			"settled", ev.Answered)...)
	case balancer.ClientDisconnected:
		e.trace("expired", e.traced(ev.ID, 0)...)
	case balancer.MessageDelay:
		e.trace("slow", "server", e.serverName(ev.Server), "delay", ev.Delay)
	case balancer.LoadReport:
		e.trace("report", "server", e.serverName(ev.Server), "load", ev.Utilization, "held", ev.Connections)
	case balancer.EndpointList:
		for _, s := range ev.Servers {
			e.trace("told", "server", e.serverName(s.ID), "number", s.ID, "state", int(s.State), "started", s.Started, "weight", s.Capacity,
				"zone", s.Zone)
		}
	}
}

// traceAction logs what the rules decide.
func (e *Engine) traceAction(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		var cold int64 // the server's age in milliseconds; 0: it started long ago
		if s := e.servers[a.Server]; s != nil && s.shown().Started > 0 {
			cold = (e.now - s.shown().Started).Milliseconds()
		}
		e.trace("send", append(e.traced(a.ID, a.Server), "timeout", a.Timeout, "age_ms", cold)...)
	case balancer.Reject:
		e.trace("refuse", append(e.traced(a.ID, 0), "after", a.RetryAfter)...)
	case balancer.Fail:
		e.trace("fail", e.traced(a.ID, 0)...)
	case balancer.Migrate:
		e.trace("move", e.traced(a.ID, 0)...)
	case balancer.PollLoad:
		e.trace("ask", "server", e.serverName(a.Server))
	}
}
