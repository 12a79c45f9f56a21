package balancer

import "math"

const (
	// warmupBudgetRatio is the fraction of the warm-up budget that is used. The rest is a safety margin.
	warmupBudgetRatio = 0.6

	// minWarmupArrivalRatio is the minimum fraction of all requests that are assumed to have a lookup leading
	// to a given server that is warming up. One group may make up most of the requests, and its members have
	// the same lookups.
	minWarmupArrivalRatio = 0.1

	// warmupSpacingRatio is the minimum time between two connections of a gateway to a server that is warming
	// up, as a fraction of their mean time apart. It limits bursts, in which the rate of lookups is learned
	// too late.
	warmupSpacingRatio = 0.5

	// minWarmConnections is the minimum number of connections that a warm server is assumed to hold.
	minWarmConnections = 6.0

	// minArrivalAge is the minimum time that the Balancer is assumed to have run when it extrapolates the
	// rate of its requests.
	minArrivalAge = evidenceHalfLife / 30
)

// isWarm reports whether a server's warm-up is over, so that it has its full capacity.
func (b *Balancer) isWarm(s *server) bool {
	return s.Started <= 0 || b.now-s.Started >= b.settings.WarmupDuration
}

// admitToWarmingServer reports whether the warm-up budget of a server that is warming up allows one more
// connection, and if so records that it is sent.
//
// The budget keeps all gateways together from overloading a server that has just started. It is a rate of
// connections, constant during the warm-up: a multiple of the rate that would fill the server over its
// warm-up. A gateway admits a request with a probability of its share of this rate, divided by the rate at
// which its lookups lead to the server. The sum thus keeps to the budget, whatever the number of gateways and
// however rarely each one's lookups lead to the server. The budget is harmful if much of the fleet is warming
// up and the rest has little capacity.
func (b *Balancer) admitToWarmingServer(r *request, s *server) bool {
	budgetRate := warmupBudgetRatio * max(b.settings.ColdOverloadFactor, 1) * b.warmConnectionCapacity(s) /
		b.settings.WarmupDuration.Seconds() / float64(b.settings.Gateways)
	arrivalRatio := max(shortSearchLookups*s.Capacity/b.totalWeight, minWarmupArrivalRatio)
	lookupRate := max(b.arrivalRate()*arrivalRatio,
		s.warmupLookups.value(b.now)*math.Ln2/evidenceHalfLife.Seconds())
	s.warmupLookups.add(b.now, 1)
	spacing := min(warmupSpacingRatio/budgetRate, b.settings.ColdOverloadDuration.Seconds())
	tooSoon := (b.now - s.lastWarmupSendAt).Seconds() < spacing
	if tooSoon || fraction(mix(uint64(r.ID), uint64(s.ID))) >= budgetRate/lookupRate {
		return false
	}
	s.lastWarmupSendAt = b.now
	return true
}

// arrivalRate estimates the recent number of requests per second at this gateway. It adds a number of assumed
// requests to those observed. The number is chosen so that a burst, in which each gateway has one request and
// knows of no other, sends a server that is warming up no more than it can take in ColdOverloadDuration.
func (b *Balancer) arrivalRate() float64 {
	span := evidenceHalfLife.Seconds() / math.Ln2
	assumed := max(warmupBudgetRatio*span/b.settings.ColdOverloadDuration.Seconds()-1, 0)
	age := max(b.now-b.startedAt, minArrivalAge)
	// observedRatio is the fraction of the span that a Balancer of this age has observed.
	observedRatio := 1 - math.Exp2(-float64(age)/float64(evidenceHalfLife))
	requests := b.recentRequests.value(b.now)
	return max(requests/observedRatio, requests+assumed) / span
}

// warmConnectionCapacity estimates how many connections of all gateways together a server can hold when it is
// warm. The estimate is based on the load reports of warm servers. Without reports it is based on the
// connections that warm servers hold now, which underestimates the capacity unless the fleet is full.
func (b *Balancer) warmConnectionCapacity(s *server) float64 {
	if b.connectionCapacity.isKnown() {
		return max(b.connectionCapacity.value*s.Capacity, minWarmConnections)
	}
	connections, capacity := 0.0, minTotalWeight
	for _, other := range b.tableServers {
		if b.isWarm(other) {
			connections += float64(len(other.inFlight))
			capacity += other.Capacity
		}
	}
	return max(connections*float64(b.settings.Gateways)/capacity*s.Capacity, minWarmConnections)
}
