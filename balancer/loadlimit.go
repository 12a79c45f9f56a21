package balancer

import "time"

// A load limit is the load from this gateway that a server is held to be able to take. There is none until
// something shows that the server is overloaded.

const (
	// messageDelayTTL is how long a reported message delay holds: reports come once a second.
	messageDelayTTL = 2500 * time.Millisecond

	// rejectedPause is how long a server that rejected an attempt is given nothing new.
	rejectedPause = time.Second

	// limitCutRatio is the part of its load that a slow server's limit falls to. It falls lower as the delay
	// grows, to minLimitCutRatio at the least.
	limitCutRatio    = 0.85
	minLimitCutRatio = 0.5

	// limitCutInterval is the least time between two cuts of a limit, so that one slow spell does not count
	// for each connection that reports it.
	limitCutInterval = time.Second

	// limitGrowthDelay is the time after a cut from which a limit grows, by limitGrowthRatio a second.
	limitGrowthDelay = 1500 * time.Millisecond
	limitGrowthRatio = 0.1

	// limitDropFactor is the multiple of a server's fair share of the load above which its limit binds no
	// more and is dropped.
	limitDropFactor = 4.0

	// objectiveMetDivisor is the part of the objective, as 1 / objectiveMetDivisor, up to which a message
	// delay shows that a server is not slow any more.
	objectiveMetDivisor = 3
)

// onMessageDelay follows the delay of a server's messages. Work piles up where a server is sent more than it
// can do, so the growth of the delay shows how much more that is.
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

// adjustLimitToReport lets a server's limit follow its load report, to the load from here at which the server
// would be well used if all gateways did the same.
//
// This protects from placing on until messages are slow, and from a limit that was cut at a bad moment and
// kept long after, as limits grow slowly by themselves: a server at a sixth of its capacity was seen kept out
// for ten seconds while clients were rejected. It works for whatever takes a server's capacity. It costs if
// reports are wrong by more than lies between lowUtilization and highUtilization.
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

// lowerLimitAfterFailure lowers a server's limit if a result shows that it is overloaded.
func (b *Balancer) lowerLimitAfterFailure(s *server, result Result) {
	switch result {
	case Rejected:
		b.lowerLoadLimit(s, 1, rejectedPause)
	case TimedOut, Errored: // work piles up there, or nothing answers
		b.recentFailures.add(b.now, 1)
		if b.failureShedRatio() <= 0 {
			b.lowerLoadLimit(s, limitCutRatio, 0)
		}
	}
}

// lowerLoadLimit lowers a server's limit to a part of its load, once in limitCutInterval at most, and gives
// it nothing new for the time of the pause.
//
// This protects from overload that feeds itself: a server on which work piles up answers none in time and
// loses connections, whose clients reconnect and are more work. It works for whatever takes a server's
// capacity: a hang, a slow spell, another program on its machine, a hot group, too few servers. It costs if
// slowness passes by itself within a second, since the limit grows more slowly than it falls.
func (b *Balancer) lowerLoadLimit(s *server, ratio float64, pause time.Duration) {
	s.pausedUntil = max(s.pausedUntil, b.now+pause)
	if s.loadLimit != 0 && b.now-s.limitLoweredAt < limitCutInterval {
		return
	}
	load := b.serverLoad(s)
	if s.loadLimit > 0 {
		load = min(load, s.loadLimit)
	}
	// A gateway that holds few of a server's connections learns of few chances to cut.
	ratio = max(ratio-(1-ratio)/float64(max(len(s.inFlight), 1)), minLimitCutRatio)
	s.loadLimit, s.limitLoweredAt = max(load*ratio, b.minLoadLimit()), b.now
}

// growLoadLimit lets a limit grow while nothing speaks against it, and drops one that no longer binds.
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

// minLoadLimit is the least load limit: one mean connection of all gateways together.
func (b *Balancer) minLoadLimit() float64 { return b.meanLoad() / float64(b.settings.Gateways) }
