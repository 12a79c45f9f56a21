package balancer

import (
	"log/slog"
	"time"
)

const (
	// ejectionScore is the failure score at which a server is ejected.
	ejectionScore = 1.0

	// suspicionScore is the failure score above which a server counts as failing in hasSharedFault.
	suspicionScore = ejectionScore / 2

	// baseEjectionDuration is the duration of a server's first ejection. Each further ejection doubles the
	// duration, at most maxEjectionDoublings times.
	baseEjectionDuration = 5 * time.Second
	maxEjectionDoublings = 2

	// maxEjectionRatio is the fraction of ready servers that may fail at once. Above it the failures are
	// attributed to a shared fault: no server is ejected, and the endpoint list is trusted.
	maxEjectionRatio = 0.5

	// reinstatementSpread is the interval after a reinstatement within which each gateway picks a random time
	// for its trial of the server.
	reinstatementSpread = time.Second
)

// Increments of a server's failure score by result.
const (
	rejectedScore      = 0.25
	connectFailedScore = ejectionScore // the server accepts no connections
	attemptFailedScore = 0.5           // timed out, errored, or reset before it was established

	// brokenConnectionsScore is divided among the connections of a server: a single broken connection may
	// have been shed by the server, but if all break, the process is gone.
	brokenConnectionsScore = 2.0
)

// scoreResult adds a result to a server's failure score and ejects the server if the score reaches
// ejectionScore. Until its ejection ends, the server is used only as a last resort.
//
// This protects from servers that are down or answer nothing while the endpoint list still shows them as
// ready, and works for any fault of a single server. If more than maxEjectionRatio of the servers are
// failing, the cause is taken to be shared, no server is ejected, and the list is trusted. The cost is that,
// if that many servers really are down, requests are still placed on them.
//
// established reports whether the attempt had been established, and inFlight is the number of connections and
// attempts at the server before the attempt ended.
func (b *Balancer) scoreResult(s *server, result Result, established bool, inFlight int) {
	if result == OK || result == Cancelled || result == NotSent {
		return
	}
	b.lowerLimitAfterFailure(s, result)
	score := failureScore(result, established, inFlight)
	if s.onProbation || s.awaitsConfirmation() && result != Rejected {
		score = ejectionScore
	}
	if s.failureScore.add(b.now, score) < ejectionScore || s.ejectedUntil > 0 || s.State != Ready {
		return
	}
	switch {
	case b.hasSharedFault():
	case s.removalSuspectedAt > 0: // the failures agree with the list
		b.confirmRemoval(s)
	default:
		b.eject(s, result)
	}
}

// failureScore returns the increment of a server's failure score for a result.
func failureScore(result Result, established bool, inFlight int) float64 {
	switch result {
	case Rejected:
		return rejectedScore
	case ConnectFailed:
		return connectFailedScore
	case TimedOut, Errored:
		return attemptFailedScore
	case Reset:
		if established {
			return brokenConnectionsScore / float64(1+inFlight)
		}
		return attemptFailedScore
	}
	return 0
}

// hasSharedFault reports whether more than maxEjectionRatio of the ready servers are failing, so that the
// cause is taken to be shared.
func (b *Balancer) hasSharedFault() bool {
	ready, failing := 0.0, 0.0
	for _, s := range b.sortedServers {
		if s.State == Ready {
			ready++
			if s.ejectedUntil > 0 || s.failureScore.value(b.now) > suspicionScore {
				failing++
			}
		}
	}
	return failing > maxEjectionRatio*ready
}

func (b *Balancer) eject(s *server, reason Result) {
	duration := baseEjectionDuration << min(s.ejections, maxEjectionDoublings)
	s.ejectedUntil = b.now + duration
	s.ejections++
	s.failureScore, s.onProbation = decayingCounter{}, false
	b.log("outlier ejected", serverAttr(s), slog.String("reason", reason.String()),
		slog.Duration("duration", duration))
}

// endEjection puts a server on probation once its ejection has expired.
func (b *Balancer) endEjection(s *server) {
	if s.ejectedUntil <= 0 || b.now < s.ejectedUntil {
		return
	}
	s.ejectedUntil, s.onProbation = 0, true
	b.log("outlier ejection ended", serverAttr(s))
}

// onServerReinstated clears a server's failures and schedules a trial of it.
func (b *Balancer) onServerReinstated(ev ServerReinstated) {
	if s := b.servers[ev.Server]; s != nil {
		s.resetHealth()
		s.trialDueAt = b.now + time.Duration(b.random()*float64(reinstatementSpread))
	}
}

// trialServer returns a reinstated server whose trial is due and marks the trial as done, or returns nil. One
// connection shows the operator and this gateway whether the server works; with the warm-up budget alone they
// would have to wait for that. Each gateway holds its trial at another time, so that all gateways together do
// not exceed what the server can take.
func (b *Balancer) trialServer(r *request) *server {
	if r.attempts > 0 || r.MidFlow {
		return nil
	}
	for _, s := range b.tableServers {
		if s.trialDueAt > 0 && b.now >= s.trialDueAt && s.State == Ready {
			s.trialDueAt = 0
			return s
		}
	}
	return nil
}

// isObservedHealthy reports whether this gateway has an established connection to a server that is neither
// ejected nor paused.
func (b *Balancer) isObservedHealthy(s *server) bool {
	return s.hasEstablishedConnection() && s.ejectedUntil == 0 && b.now >= s.pausedUntil
}
