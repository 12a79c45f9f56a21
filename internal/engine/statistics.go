package engine

import (
	"time"

	"example.org/milletvane/internal/metrics"
)

// statisticsInterval is how often the statistics are logged. It is also the least time between two warnings that no
// endpoint list has been received.
const statisticsInterval = 10 * time.Second

// statistics are the counts since the start that are logged regularly.
type statistics struct {
	admitted    int // requests
	established int // connections
	rejected    int // clients and requests that may be retried
	failed      int // requests, with a final answer that promises nothing
	invalid     int // requests that can't be served, and clients that violated their protocol
	idleClosed  int // clients without a request
	migrated    int // clients
	// drainsNotified are connections whose frontend was notified that their server drains.
	drainsNotified int
	disconnected   int // clients with a request
	ended          int // connections that ended at their server, and requests that were answered

	unlistedClass metrics.ClassCounters // of requests whose class is not configured; not reported
	hasWarned     bool                  // that no endpoint list has been received, in this interval
}

func (e *Engine) onStatisticsDue() {
	e.setTimer(statisticsInterval, timer{kind: statisticsTimer})
	e.logStatistics()
	e.statistics.hasWarned = false
}

func (e *Engine) logStatistics() {
	s := &e.statistics
	e.options.Logger.Info("statistics",
		"connections", e.requests.len(), "idle", e.requests.idle,
		"servers", len(e.endpoints.byID), "timers", e.timers.Len(),
		"admitted", s.admitted, "established", s.established,
		"rejected", s.rejected, "failed", s.failed, "invalid", s.invalid, "idle_closed", s.idleClosed,
		"migrated", s.migrated, "drains_notified", s.drainsNotified, "disconnected", s.disconnected, "ended", s.ended)
}

// warnWithoutEndpoints warns that requests can't be served yet.
func (e *Engine) warnWithoutEndpoints() {
	if e.endpoints.received || e.statistics.hasWarned {
		return
	}
	e.statistics.hasWarned = true
	e.options.Logger.Warn("no endpoint list received, requests wait or are rejected")
}

// countersOf returns the counters of a class, or those that nobody reads for one that is not configured.
func (e *Engine) countersOf(class string) *metrics.ClassCounters {
	if c := e.options.Metrics.Class(class); c != nil {
		return c
	}
	return &e.statistics.unlistedClass
}

// updateOutstanding reports how many requests are pending and connections are open, but for those of the process
// before.
func (e *Engine) updateOutstanding() {
	outstanding := e.requests.len() - e.requests.idle - len(e.adopted.byClientID)
	e.options.Metrics.Outstanding.Store(int64(outstanding))
}

// updateEndpointGauges reports how many servers are listed, how many of these are in maintenance or ejected, and how
// many ready ones the lookup table does not lead to.
func (e *Engine) updateEndpointGauges() {
	avoided := 0
	for id, s := range e.endpoints.byID {
		if s.inMaintenance || e.balancer.IsEjected(id) {
			avoided++
		}
	}
	e.options.Metrics.Discovered.Store(int64(len(e.endpoints.byID)))
	e.options.Metrics.Ejected.Store(int64(avoided))
	e.options.Metrics.Unreachable.Store(int64(e.balancer.UnreachableServers()))
}
