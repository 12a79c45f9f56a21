package balancer

import "slices"

// rank says what speaks against a server for a request. Ranks are compared field by field, in this order.
type rank struct {
	objections    int     // two for an ejection, one for an earlier attempt, one if it did not answer a poll
	awaitsFirst   bool    // the first attempt since its ejection or suspected removal is not established yet
	overFairShare bool    // its load would exceed the bound on its share
	utilization   float64 // by its load report, if that is above lowUtilization; 0: nothing speaks against it
}

func (b *Balancer) rankOf(r *request, s *server, p *placement) rank {
	k := rank{
		awaitsFirst:   (s.onProbation || s.awaitsConfirmation()) && s.pendingAttempts > 0,
		overFairShare: b.serverLoad(s)+p.meanLoad > p.fairShare*s.Capacity+loadBoundSlack*p.meanLoad,
	}
	if slices.Contains(r.triedServers, s.ID) {
		k.objections++
	}
	if s.ejectedUntil > 0 {
		k.objections += 2
	}
	if !b.settings.CanPollLoad || b.needsPoll(s) || !b.isWarm(s) {
		return k
	}
	if !b.hasFreshReport(s) { // polled and not answered: it serves if all that answered are full
		k.objections++
	} else if u := b.projectedUtilization(s); u > lowUtilization {
		k.utilization = k.roundUtilization(u)
	}
	return k
}

// roundUtilization drops the digits of a utilization that are lost when it is added to the number which
// stands for all else that speaks against the server. Servers whose utilizations differ by rounding errors
// alone then tie, and the one that was looked up first is preferred.
func (k rank) roundUtilization(u float64) float64 {
	base := float64(4 * k.objections)
	if k.awaitsFirst {
		base += 2
	}
	if k.overFairShare {
		base++
	}
	return base + u - base
}

// isClear reports whether nothing speaks against the server.
func (k rank) isClear() bool { return k == rank{} }

// suitsWarmup reports whether a server that is warming up may be sent a connection.
func (k rank) suitsWarmup() bool { return k.objections == 0 && !k.awaitsFirst }

// less reports whether less speaks against the server of k than against that of other.
func (k rank) less(other rank) bool {
	switch {
	case k.objections != other.objections:
		return k.objections < other.objections
	case k.awaitsFirst != other.awaitsFirst:
		return other.awaitsFirst
	case k.overFairShare != other.overFairShare:
		return other.overFairShare
	}
	return k.utilization < other.utilization
}
