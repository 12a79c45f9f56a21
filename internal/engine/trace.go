package engine

import (
	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// The trace logs every event and decision that concerns a request, together with the ID that the client assigned to it.
// The logs of all gateways show the path of a request through the fleet. The trace is logged at level debug if
// Options.Trace is set.

func (e *Engine) trace(msg string, args ...any) { e.options.Logger.Debug(msg, args...) }

// traceRequest logs a message about a request at a server. Server 0 means the server of the request's last attempt.
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

// traceEvent logs an event that the balancer is notified of.
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

// traceAction logs an action that the balancer decided on.
func (e *Engine) traceAction(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		e.traceRequest("attempt sent", a.ID, a.Server, "timeout", a.Timeout, "server_age_ms", e.serverAgeMillis(a.Server))
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

// serverAgeMillis returns the time since a server's start in milliseconds, or 0 if the server started long ago or is not
// listed.
func (e *Engine) serverAgeMillis(id balancer.ServerID) int64 {
	if s := e.endpoints.byID[id]; s != nil && s.effective().Started > 0 {
		return (e.now - s.effective().Started).Milliseconds()
	}
	return 0
}
