package balancer

import "time"

const (
	// loadReportTTL is how long a load report is placed by.
	loadReportTTL = time.Second

	// loadPollTimeout is how long a request waits for load reports.
	loadPollTimeout = 100 * time.Millisecond

	// maxPolledServers is the number of servers that are polled at once for a request, and maxPollRounds how
	// often that is done.
	maxPolledServers = 2
	maxPollRounds    = 3
)

// Utilizations, as parts of a server's capacity.
const (
	targetUtilization = 0.7  // a server is well used, which load limits aim at
	highUtilization   = 0.8  // above which a server's load limit falls to the target
	lowUtilization    = 0.6  // below which it rises to the target; up to it nothing speaks against a server
	maxUtilization    = 0.85 // up to which a server is given more
	minUtilization    = 0.1  // reports of less are taken for this where something is divided by them
)

// pollForRequest polls servers for their load on behalf of a request, which waits for the reports.
func (b *Balancer) pollForRequest(r *request, servers []*server) {
	r.polledServers, r.waitUntil = servers, b.now+loadPollTimeout
	r.pollRounds++
	for _, s := range servers {
		if b.now-s.polledAt > loadPollTimeout || s.polledAt == 0 {
			b.poll(s)
		}
	}
	b.waiting = append(b.waiting, r)
	b.emit(SetTimer{After: loadPollTimeout, Ref: waitTimer})
}

func (b *Balancer) poll(s *server) {
	s.polledAt = b.now
	b.emit(PollLoad{Server: s.ID})
}

// needsPoll reports whether a server's load is unknown and it is to be polled before it is sent to.
func (b *Balancer) needsPoll(s *server) bool {
	return b.settings.CanPollLoad && s.ejectedUntil == 0 && b.isWarm(s) && !b.hasFreshReport(s) &&
		(s.polledAt == 0 || b.now-s.polledAt > loadReportTTL)
}

// awaitsReport reports whether a server was polled and has not answered yet.
func (s *server) awaitsReport() bool { return s.reportedAt < s.polledAt }

// hasFreshReport reports whether a server's load report is recent enough to place by.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= loadReportTTL
}

// projectedUtilization is the utilization that a server would report with one connection more.
func (b *Balancer) projectedUtilization(s *server) float64 {
	return s.utilization + float64(s.attemptsSinceReport+1)*s.utilizationPerConnection
}

func (b *Balancer) onLoadReport(ev LoadReport) {
	s := b.servers[ev.Server]
	if s == nil {
		return
	}
	s.utilization, s.reportedAt = ev.Utilization, b.now
	s.attemptsSinceReport, s.utilizationPerConnection = 0, 0
	if ev.Connections > 0 && ev.Utilization > minUtilization {
		s.utilizationPerConnection = ev.Utilization / ev.Connections
		if b.isWarm(s) {
			b.connectionCapacity.add(1 / s.utilizationPerConnection / s.Capacity)
		}
	}
	b.adjustLimitToReport(s)
	b.dispatchWaiting()
}
