package engine

import (
	"time"

	"example.org/milletvane/balancer"
)

const (
	// pollInterval is how often a server with connections from here is asked for its load.
	pollInterval = time.Second
	// lowUtilization is the load under which a server is asked less often, since its messages are far from slow.
	lowUtilization = 0.6
	// lowUtilizationPollInterval is the interval then. It ends before the last report is too old to tell of the
	// present.
	lowUtilizationPollInterval = 2 * pollInterval
)

// LoadReport is what a server reports of its load.
type LoadReport struct {
	Utilization    float64 // the work asked of it by its capacity: 1 is all that it can do
	HasUtilization bool
	Connections    float64       // there, of all gateways; 0: not reported
	Backlog        time.Duration // work that waits
	HasBacklog     bool
}

// LoadPoller asks servers for their load.
type LoadPoller interface {
	// PollLoad asks a server at its address. LoadReported brings the answer, if there is one.
	PollLoad(server balancer.ServerID, addr string)
	// Forget says that a server is not polled any more.
	Forget(server balancer.ServerID)
}

func (e *Engine) onLoadReported(ev LoadReported) {
	s := e.endpoints.byID[ev.Server]
	if s == nil {
		return
	}
	s.latency.noteReport(e.now, ev.Report)
	if ev.Report.HasUtilization {
		e.notify(balancer.LoadReport{
			Server:      ev.Server,
			Utilization: ev.Report.Utilization,
			Connections: ev.Report.Connections,
		})
	}
}

// pollIfDue asks a server for its load at intervals.
func (e *Engine) pollIfDue(id balancer.ServerID, s *endpoint) {
	if !e.options.CanPollLoad || e.now-s.latency.polledAt < s.pollInterval() {
		return
	}
	if e.options.Trace {
		e.trace("load poll due", "server", s.name)
	}
	e.poll(id, s)
}

func (e *Engine) poll(id balancer.ServerID, s *endpoint) {
	s.latency.polledAt = e.now
	e.poller.PollLoad(id, s.addr)
}

func (s *endpoint) pollInterval() time.Duration {
	if s.latency.reportedAt > 0 && s.latency.utilization < lowUtilization {
		return lowUtilizationPollInterval
	}
	return pollInterval
}
