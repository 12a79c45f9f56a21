package engine

import (
	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// The trace follows each request through a gateway, by its client's name for it, and with the logs of all gateways
// through the fleet. It is logged at level debug where Options.Trace is set.

func (e *Engine) trace(msg string, args ...any) { e.options.Logger.Debug(msg, args...) }

// traceRequest logs what concerns a request, at a server; 0: at the one of its last attempt.
func (e *Engine) traceRequest(msg string, id balancer.RequestID, server balancer.ServerID, args ...any) {
	clientID := ""
	if r := e.requests.get(slotmap.Handle(id)); r != nil {
		clientID = r.clientID
		if server == 0 {
			server = r.server
		}
	}
	e.trace(msg, append([]any{"request", id, "client", clientID, "server", e.serverName(server)}, args...)...)
}

func (e *Engine) serverName(id balancer.ServerID) string {
	if s := e.endpoints.byID[id]; s != nil {
		return s.name
	}
	return ""
}

// traceEvent logs what the balancer is notified of.
func (e *Engine) traceEvent(ev balancer.Event) {
	switch ev := ev.(type) {
	case balancer.Request:
		e.traceRequest("request received", ev.ID, ev.Owner, "class", ev.Class, "group", ev.Group, "key", ev.Key,
			"timeout", ev.Timeout, "mid_flow", ev.MidFlow, "reconnecting", ev.Reconnecting)
	case balancer.AdoptedConnection:
		e.traceRequest("connection adopted", ev.ID, ev.Server, "class", ev.Class, "group", ev.Group)
	case balancer.AttemptEstablished:
		e.traceRequest("attempt established", ev.ID, ev.Server, "elapsed", ev.Elapsed)
	case balancer.AttemptEnded:
		e.traceRequest("attempt ended", ev.ID, ev.Server, "attempt", ev.Attempt, "result", ev.Result.String(),
			"elapsed", ev.Elapsed, "answered", ev.Answered)
	case balancer.ClientDisconnected:
		e.traceRequest("client disconnected", ev.ID, 0)
	case balancer.MessageDelay:
		e.trace("message delay reported", "server", e.serverName(ev.Server), "delay", ev.Delay)
	case balancer.LoadReport:
		e.trace("load reported", "server", e.serverName(ev.Server), "utilization", ev.Utilization,
			"connections", ev.Connections)
	case balancer.EndpointList:
		for _, s := range ev.Servers {
			e.trace("endpoint updated", "server", e.serverName(s.ID), "id", s.ID, "state", int(s.State),
				"started", s.Started, "weight", s.Capacity, "zone", s.Zone)
		}
	}
}

// traceAction logs what the balancer decides.
func (e *Engine) traceAction(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		e.traceRequest("attempt sent", a.ID, a.Server, "timeout", a.Timeout, "server_age_ms", e.serverAge(a.Server))
	case balancer.Reject:
		e.traceRequest("request rejected", a.ID, 0, "retry_after", a.RetryAfter)
	case balancer.Fail:
		e.traceRequest("request failed", a.ID, 0)
	case balancer.Migrate:
		e.traceRequest("client migrated", a.ID, 0)
	case balancer.PollLoad:
		e.trace("load polled", "server", e.serverName(a.Server))
	}
}

// serverAge is the time since a server's start, in milliseconds; 0: it started long ago.
func (e *Engine) serverAge(id balancer.ServerID) int64 {
	if s := e.endpoints.byID[id]; s != nil && s.effective().Started > 0 {
		return (e.now - s.effective().Started).Milliseconds()
	}
	return 0
}
