package balancer

import (
	"log/slog"
	"time"
)

const (
	// ejectionScore is the failure score at which a server is ejected.
	ejectionScore = 1.0

	// suspicionScore is the failure score above which a server counts as failing when a shared fault is
	// searched.
	suspicionScore = ejectionScore / 2

	// baseEjectionDuration is how long a server's first ejection lasts. Each that follows lasts twice as long
	// as the one before, up to maxEjectionDoublings times.
	baseEjectionDuration = 5 * time.Second
	maxEjectionDoublings = 2

	// maxEjectionRatio is the part of the ready servers above which failures are taken for a shared fault, so
	// that none is ejected and the list is trusted.
	maxEjectionRatio = 0.5

	// reinstatementSpread is the time within which a reinstated server is first tried, by each gateway at a
	// time of its own.
	reinstatementSpread = time.Second
)

// What a result adds to a server's failure score.
const (
	rejectedScore      = 0.25
	connectFailedScore = ejectionScore // nothing accepts connections there
	attemptFailedScore = 0.5           // timed out, errored or reset before it was established

	// brokenConnectionsScore is shared by the connections of a server: one that breaks may be shed; if all
	// do, the process is gone.
	brokenConnectionsScore = 2.0
)

// scoreResult adds a result to a server's failure score and ejects the server if that is high enough: it is
// then the last resort for a time.
//
// This protects from servers that are down or answer nothing before the list shows it, and works for any
// fault of one server. A fault of something shared is blamed on none: if more than maxEjectionRatio of the
// servers are failing, the list is trusted. It costs if so many are really down, as requests are then still
// placed there.
//
// established says that the attempt had been established, and held how many connections and attempts the
// server had until then.
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
	case s.removalSuspectedAt > 0: // the list was right
		b.confirmRemoval(s)
	default:
		b.eject(s, result)
	}
}

// failureScore is what a result adds to the failure score of its server.
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

// hasSharedFault reports whether so many servers are failing that the cause is taken to be shared.
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

// endEjection puts a server whose ejection is over on probation.
func (b *Balancer) endEjection(s *server) {
	if s.ejectedUntil <= 0 || b.now < s.ejectedUntil {
		return
	}
	s.ejectedUntil, s.onProbation = 0, true
	b.log("outlier ejection ended", serverAttr(s))
}

// onServerReinstated forgets a server's failures and has it tried soon.
func (b *Balancer) onServerReinstated(ev ServerReinstated) {
	if s := b.servers[ev.Server]; s != nil {
		s.resetHealth()
		s.trialDueAt = b.now + time.Duration(b.random()*float64(reinstatementSpread))
	}
}

// trialServer returns a server that staff reinstated and nothing was sent to since, or nil. One connection
// shows staff and gateway whether it serves, for which the budget of a warming server would have them wait.
// Each gateway begins at another time, so that together they stay within what the server can take.
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

// isObservedHealthy reports whether this gateway has connections to a server and nothing speaks against it.
func (b *Balancer) isObservedHealthy(s *server) bool {
	return s.hasEstablishedConnection() && s.ejectedUntil == 0 && b.now >= s.pausedUntil
}
