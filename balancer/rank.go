package balancer

import "slices"

// rank holds the drawbacks of a server for a request. The fields are compared in the order of their
// declaration, and lower is better.
type rank struct {
	// penalty is the sum of 2 if the server is ejected, 1 if an earlier attempt of the request went to it,
	// and 1 if it has not answered a poll.
	penalty int

	// probationAttemptPending is set if the server is on probation, or is suspected to be removed and not
	// confirmed alive, and an attempt at it is not established yet.
	probationAttemptPending bool

	overLoadBound bool    // with the request, the server's load would exceed the load bound
	utilization   float64 // projected from the load report; 0 if it is at most lowUtilization or unknown
}

// rankOf returns the rank of a server for a request.
func (b *Balancer) rankOf(r *request, s *server, p *placement) rank {
	k := rank{
		probationAttemptPending: (s.onProbation || s.awaitsConfirmation()) && s.pendingAttempts > 0,
		overLoadBound: b.serverLoad(s)+p.meanLoad >
			p.boundPerCapacity*s.Capacity+loadBoundSlack*p.meanLoad,
	}
	if slices.Contains(r.triedServers, s.ID) {
		k.penalty++
	}
	if s.ejectedUntil > 0 {
		k.penalty += 2
	}
	if !b.settings.CanPollLoad || b.needsPoll(s) || !b.isWarm(s) {
		return k
	}
	if !b.hasFreshReport(s) { // polled without an answer: used if all servers that answered are full
		k.penalty++
	} else if u := b.projectedUtilization(s); u > lowUtilization {
		k.utilization = k.roundUtilization(u)
	}
	return k
}

// roundUtilization drops the low-order digits of a utilization by adding the weights of the other drawbacks
// and subtracting them again. Servers whose utilizations differ only by rounding errors then have equal
// ranks, and the one that was looked up first is preferred.
func (k rank) roundUtilization(u float64) float64 {
	base := float64(4 * k.penalty)
	if k.probationAttemptPending {
		base += 2
	}
	if k.overLoadBound {
		base++
	}
	return base + u - base
}

// isBestPossible reports whether the server has no drawback.
func (k rank) isBestPossible() bool { return k == rank{} }

// suitsWarmup reports whether a server of this rank may be sent a connection while it is warming up.
func (k rank) suitsWarmup() bool { return k.penalty == 0 && !k.probationAttemptPending }

// less reports whether k is a better rank than other.
func (k rank) less(other rank) bool {
	switch {
	case k.penalty != other.penalty:
		return k.penalty < other.penalty
	case k.probationAttemptPending != other.probationAttemptPending:
		return other.probationAttemptPending
	case k.overLoadBound != other.overLoadBound:
		return other.overLoadBound
	}
	return k.utilization < other.utilization
}
