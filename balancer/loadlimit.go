package balancer

import "time"

// A load limit is the load from this gateway that a server is assumed to be able to take. A server has none
// until something shows that it is overloaded.

const (
	// messageDelayTTL is how long a reported message delay is valid. Reports come once a second.
	messageDelayTTL = 2500 * time.Millisecond

	// rejectedPause is how long a server that rejected an attempt gets no new requests.
	rejectedPause = time.Second

	// limitCutRatio is the fraction of a slow server's load to which its limit is cut. The fraction is
	// smaller the faster the message delay grows, down to minLimitCutRatio.
	limitCutRatio    = 0.85
	minLimitCutRatio = 0.5

	// limitCutInterval is the minimum time between two cuts of a limit, so that one slow period does not cut
	// it once for each connection that reports the delay.
	limitCutInterval = time.Second

	// limitGrowthDelay is the time after a cut during which a limit does not grow. Afterwards it grows at a
	// rate of limitGrowthRatio per second.
	limitGrowthDelay = 1500 * time.Millisecond
	limitGrowthRatio = 0.1

	// limitDropFactor decides when a limit has no effect any more and is removed: once it exceeds
	// limitDropFactor times the server's fair share of the load, plus twice loadBoundSlack mean connections.
	limitDropFactor = 4.0

	// objectiveMetDivisor decides when a server is no longer slow: once its message delay is at most the
	// message latency objective divided by objectiveMetDivisor.
	objectiveMetDivisor = 3
)

// onMessageDelay adjusts a server's load limit to the reported delay of its messages. A server that is sent
// more work than it can do builds up a backlog, so the growth rate of the delay shows by how much it is
// overloaded.
func (b *Balancer) onMessageDelay(ev MessageDelay) {
	s := b.servers[ev.Server]
	if s == nil {
		return
	}
	previous, elapsed := s.messageDelay, b.now-s.messageDelayAt
	if elapsed > messageDelayTTL {
		previous = 0
	}
	s.messageDelay, s.messageDelayAt = ev.Delay, b.now
	switch {
	case ev.Delay <= b.messageObjective/objectiveMetDivisor:
		s.pausedUntil = 0
	case previous > 0 && ev.Delay < previous: // the backlog shrinks at this load
		b.lowerLoadLimit(s, 1, messageDelayTTL)
	case previous > 0 && elapsed > 0:
		b.lowerLoadLimit(s, limitCutRatio/(1+float64(ev.Delay-previous)/float64(elapsed)), messageDelayTTL)
	default:
		b.lowerLoadLimit(s, limitCutRatio, messageDelayTTL)
	}
}

// adjustLimitToReport adjusts a server's limit to its load report. The target is the load from this gateway
// at which the server would have targetUtilization, provided that all gateways change their loads by the same
// ratio. Above highUtilization, the limit is lowered to the target. Below lowUtilization, a limit that the
// server has is raised to the target.
//
// This stops placements on a server before its messages become slow. It also corrects a limit that was cut at
// a bad moment, since limits grow slowly by themselves: a server that used a sixth of its capacity was once
// kept out of use for ten seconds while clients were rejected. This works whatever takes up a server's
// capacity. It does harm if reports are wrong by more than the distance between lowUtilization and
// highUtilization.
func (b *Balancer) adjustLimitToReport(s *server) {
	u, minLimit := s.utilization, b.minLoadLimit()
	switch {
	case u > highUtilization:
		limit := max(b.serverLoad(s)*targetUtilization/u, minLimit)
		if s.loadLimit == 0 || limit < s.loadLimit {
			s.loadLimit, s.limitLoweredAt = limit, b.now
		}
	case u < lowUtilization && s.loadLimit > 0:
		s.loadLimit = max(s.loadLimit, (b.serverLoad(s)+minLimit)*targetUtilization/max(u, minUtilization))
	}
}

// lowerLimitAfterFailure lowers a server's limit if a result shows that the server is overloaded.
func (b *Balancer) lowerLimitAfterFailure(s *server, result Result) {
	switch result {
	case Rejected:
		b.lowerLoadLimit(s, 1, rejectedPause)
	case TimedOut, Errored: // the server has a backlog, or nothing answers
		b.recentFailures.add(b.now, 1)
		if b.failureShedRatio() <= 0 {
			b.lowerLoadLimit(s, limitCutRatio, 0)
		}
	}
}

// lowerLoadLimit lowers a server's limit to a fraction of its load, at most once per limitCutInterval, and
// gives the server no new requests during the pause.
//
// This protects from overload that sustains itself: a server with a growing backlog answers no request in
// time and loses connections, and the clients that reconnect add to its work. This works whatever takes up a
// server's capacity: a hang, a slow period, another program on its machine, a hot group, or too few servers.
// It does harm if the slowness passes by itself within a second, because the limit grows more slowly than it
// falls.
func (b *Balancer) lowerLoadLimit(s *server, ratio float64, pause time.Duration) {
	s.pausedUntil = max(s.pausedUntil, b.now+pause)
	if s.loadLimit != 0 && b.now-s.limitLoweredAt < limitCutInterval {
		return
	}
	load := b.serverLoad(s)
	if s.loadLimit > 0 {
		load = min(load, s.loadLimit)
	}
	// A gateway with few connections to a server has few occasions to cut its limit, so it cuts more.
	ratio = max(ratio-(1-ratio)/float64(max(len(s.inFlight), 1)), minLimitCutRatio)
	s.loadLimit, s.limitLoweredAt = max(load*ratio, b.minLoadLimit()), b.now
}

// growLoadLimit raises a limit that was not lowered for limitGrowthDelay, and removes one that no longer has
// an effect.
func (b *Balancer) growLoadLimit(s *server) {
	if s.loadLimit == 0 || b.now-s.limitLoweredAt <= limitGrowthDelay {
		return
	}
	fairShare := b.totalLoad() * s.Capacity / b.totalWeight
	s.loadLimit += limitGrowthRatio * max(s.loadLimit, fairShare, b.minLoadLimit()) * sweepInterval.Seconds()
	if s.loadLimit > limitDropFactor*fairShare+2*loadBoundSlack*b.meanLoad() {
		s.loadLimit = 0
	}
}

// minLoadLimit returns the lowest load limit, which is one mean connection divided among all gateways.
func (b *Balancer) minLoadLimit() float64 { return b.meanLoad() / float64(b.settings.Gateways) }
