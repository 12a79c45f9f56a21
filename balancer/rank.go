package balancer

import "slices"

// rank says what speaks against a server for a request. Ranks are compared field by field, in this order.
type rank struct {
	// penalty is 2 for an ejected server, plus 1 if an earlier attempt of the request went there, plus 1 if
	// the server has not answered a poll.
	penalty int

	// probationAttemptPending reports that the server is on probation, or suspected to be removed without a
	// sign that it serves, and that an attempt there is not established yet.
	probationAttemptPending bool

	overLoadBound bool    // with the request its load would exceed the load bound
	utilization   float64 // projected from its load report; 0 if at most lowUtilization or not reported
}

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
	if !b.hasFreshReport(s) { // polled and not answered: it serves if all that answered are full
		k.penalty++
	} else if u := b.projectedUtilization(s); u > lowUtilization {
		k.utilization = k.roundUtilization(u)
	}
	return k
}

// roundUtilization drops the digits of a utilization that are lost when it is added to the number which
// stands for all else that speaks against the server. Servers whose utilizations differ by rounding errors
// alone then tie, and the one that was looked up first is preferred.
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

// isBestPossible reports whether nothing speaks against the server.
func (k rank) isBestPossible() bool { return k == rank{} }

// suitsWarmup reports whether a server that is warming up may be sent a connection.
func (k rank) suitsWarmup() bool { return k.penalty == 0 && !k.probationAttemptPending }

// less reports whether less speaks against the server of k than against that of other.
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
