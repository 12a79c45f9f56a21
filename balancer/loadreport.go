package balancer

import "time"

const (
	// loadReportTTL is how long a load report is valid for placement.
	loadReportTTL = time.Second

	// loadPollTimeout is how long a request waits for load reports.
	loadPollTimeout = 100 * time.Millisecond

	// maxPolledServers is the number of servers that are polled at once for a request, and maxPollRounds is
	// the number of times that a request may wait for load reports.
	maxPolledServers = 2
	maxPollRounds    = 3
)

// Utilizations, as fractions of a server's capacity.
const (
	targetUtilization = 0.7  // load limits aim at this utilization
	highUtilization   = 0.8  // above it, a server's load limit is lowered to the target
	lowUtilization    = 0.6  // below it, the limit is raised; up to it, utilization does not affect the rank
	maxUtilization    = 0.85 // above it, a server gets no new connections
	minUtilization    = 0.1  // lower bound of utilizations that are used as divisors
)

// pollForRequest makes a request wait for load reports and polls the given servers, except those whose last
// poll may still be answered.
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

// needsPoll reports whether a server's load is unknown and the server must be polled before a request is sent
// to it.
func (b *Balancer) needsPoll(s *server) bool {
	return b.settings.CanPollLoad && s.ejectedUntil == 0 && b.isWarm(s) && !b.hasFreshReport(s) &&
		(s.polledAt == 0 || b.now-s.polledAt > loadReportTTL)
}

// awaitsReport reports whether a server has not answered its last poll yet.
func (s *server) awaitsReport() bool { return s.reportedAt < s.polledAt }

// hasFreshReport reports whether a server's last load report is recent enough to use for placement.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= loadReportTTL
}

// projectedUtilization returns the utilization that a server would report with one more connection.
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
