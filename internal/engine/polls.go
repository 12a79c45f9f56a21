package engine

import (
	"time"

	"example.org/milletvane/balancer"
)

const (
	// pollInterval is the interval at which a server with connections from this gateway is polled for its load.
	pollInterval = time.Second
	// lowUtilization is the utilization below which a server is polled less often, because its messages are far from
	// slow.
	lowUtilization = 0.6
	// lowUtilizationPollInterval is the poll interval below lowUtilization. It must be shorter than loadReportLifetime,
	// so that the next report arrives while the last one is valid.
	lowUtilizationPollInterval = 2 * pollInterval
)

// LoadReport is a server's report of its load.
type LoadReport struct {
	Utilization    float64 // ratio of requested work to capacity: 1 is full capacity, overload is above 1
	HasUtilization bool
	Connections    float64       // connections to the server from all gateways; zero means not reported
	Backlog        time.Duration // time that the waiting work takes
	HasBacklog     bool
}

// LoadPoller polls servers for their load.
type LoadPoller interface {
	// PollLoad polls a server at an address. LoadReported reports the answer, if there is one.
	PollLoad(server balancer.ServerID, addr string)
	// StopPolling ends the polls of a server.
	StopPolling(server balancer.ServerID)
}

func (e *Engine) onLoadReported(ev LoadReported) {
	s := e.endpoints.byID[ev.Server]
	if s == nil {
		return
	}
	s.latency.recordLoadReport(e.now, ev.Report)
	if ev.Report.HasUtilization {
		e.notify(balancer.LoadReport{
			Server:      ev.Server,
			Utilization: ev.Report.Utilization,
			Connections: ev.Report.Connections,
		})
	}
}

// pollIfDue polls a server for its load if its poll interval has passed.
func (e *Engine) pollIfDue(id balancer.ServerID, s *endpoint) {
	if !e.options.CanPollLoad || e.now-s.latency.polledAt < s.pollInterval() {
		return
	}
	if e.options.Trace {
		e.trace("load poll due", "server", s.name)
	}
	e.pollLoad(id, s)
}

func (e *Engine) pollLoad(id balancer.ServerID, s *endpoint) {
	s.latency.polledAt = e.now
	e.poller.PollLoad(id, s.addr)
}

func (s *endpoint) pollInterval() time.Duration {
	if s.latency.reportedAt > 0 && s.latency.utilization < lowUtilization {
		return lowUtilizationPollInterval
	}
	return pollInterval
}
