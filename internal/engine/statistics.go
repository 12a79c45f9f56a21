package engine

import (
	"time"

	"example.org/milletvane/internal/metrics"
)

// statisticsInterval is the interval at which the statistics are logged. Within one interval the engine warns at most
// once that no endpoint list has been received.
const statisticsInterval = 10 * time.Second

// statistics holds counts since the start, which are logged periodically.
type statistics struct {
	admitted       int // requests
	established    int // connections
	rejected       int // rejected clients and requests; the client may retry after a rejection
	failed         int // requests whose answer leaves open whether they had an effect
	invalid        int // requests that can't be served, and clients that violated their protocol
	idleClosed     int // clients closed without a request
	migrated       int // clients
	drainsNotified int // connections whose frontend was notified that their server is draining
	disconnected   int // clients with a request that disconnected
	ended          int // connections that ended at their server, and requests that were answered

	unconfiguredClass      metrics.ClassCounters // of requests whose class is not configured; never reported
	hasWarnedOfMissingList bool                  // in the current interval; see warnIfNoEndpointList
}

func (e *Engine) onStatisticsDue() {
	e.setTimer(statisticsInterval, timer{kind: statisticsTimer})
	e.logStatistics()
	e.statistics.hasWarnedOfMissingList = false
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

// warnIfNoEndpointList logs a warning if no endpoint list has been received, so that requests can't be served yet.
func (e *Engine) warnIfNoEndpointList() {
	if e.endpoints.listReceived || e.statistics.hasWarnedOfMissingList {
		return
	}
	e.statistics.hasWarnedOfMissingList = true
	e.options.Logger.Warn("no endpoint list received, requests wait or are rejected")
}

// countersOf returns the counters of a class, or counters that are never reported if the class is not configured.
func (e *Engine) countersOf(class string) *metrics.ClassCounters {
	if c := e.options.Metrics.Class(class); c != nil {
		return c
	}
	return &e.statistics.unconfiguredClass
}

// updateOutstandingGauge sets the gauge of pending requests and open connections. It leaves out connections of the
// predecessor process.
func (e *Engine) updateOutstandingGauge() {
	outstanding := e.requests.len() - e.requests.idle - len(e.adopted.byClientID)
	e.options.Metrics.Outstanding.Store(int64(outstanding))
}

// updateEndpointGauges sets the gauges of servers: how many are listed, how many of these are in maintenance or ejected,
// and how many ready servers the lookup table does not contain.
func (e *Engine) updateEndpointGauges() {
	avoided := 0
	for id, s := range e.endpoints.byID {
		if s.inMaintenance || e.balancer.IsEjected(id) {
			avoided++
		}
	}
	e.options.Metrics.DiscoveredServers.Store(int64(len(e.endpoints.byID)))
	e.options.Metrics.EjectedServers.Store(int64(avoided))
	e.options.Metrics.UnreachableServers.Store(int64(e.balancer.UnreachableServers()))
}
