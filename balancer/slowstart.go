package balancer

import "math"

const (
	// warmupBudgetRatio is the part of a warming server's budget that is used, for safety.
	warmupBudgetRatio = 0.6

	// minWarmupArrivalRatio is the part of the requests that are counted on to lead to one server at least,
	// as where one group is most of all.
	minWarmupArrivalRatio = 0.1

	// warmupSpacingRatio is the part of the mean time between two connections of a gateway to a warming
	// server by which they are kept apart at least: in a burst their rate is learned too late.
	warmupSpacingRatio = 0.5

	// minWarmConnections is the number of connections that a warm server is held to take at least.
	minWarmConnections = 6.0

	// minArrivalAge is the time that a process is taken to have run at least when it extrapolates the rate of
	// its requests.
	minArrivalAge = evidenceHalfLife / 30
)

// isWarm reports whether a server has its whole capacity: its warm-up is over.
func (b *Balancer) isWarm(s *server) bool {
	return s.Started <= 0 || b.now-s.Started >= b.settings.WarmupDuration
}

// admitToWarmingServer reports whether the budget of a server that is warming up allows one more connection.
//
// This protects from gateways that together overload a server that has just started. The budget is a multiple
// of what fills the server over its warm-up, at any time of that. A gateway's chance to use it is its share
// over the rate at which its lookups lead there, so that the sum keeps to the budget however many gateways
// there are and however seldom each does. It costs if much of the fleet is warming up and little else has
// capacity.
func (b *Balancer) admitToWarmingServer(r *request, s *server) bool {
	rate := warmupBudgetRatio * max(b.settings.ColdOverloadFactor, 1) * b.warmConnectionCapacity(s) /
		b.settings.WarmupDuration.Seconds() / float64(b.settings.Gateways)
	arrivalRatio := max(shortSearchLookups*s.Capacity/b.totalWeight, minWarmupArrivalRatio)
	lookups := max(b.arrivalRate()*arrivalRatio,
		s.warmupLookups.value(b.now)*math.Ln2/evidenceHalfLife.Seconds())
	s.warmupLookups.add(b.now, 1)
	spacing := min(warmupSpacingRatio/rate, b.settings.ColdOverloadDuration.Seconds())
	tooSoon := (b.now - s.lastWarmupSendAt).Seconds() < spacing
	if tooSoon || fraction(mix(uint64(r.ID), uint64(s.ID))) >= rate/lookups {
		return false
	}
	s.lastWarmupSendAt = b.now
	return true
}

// arrivalRate is the recent number of requests a second. So many are added to those seen that a burst, in
// which each gateway has one request and knows of no other, spends no more than a warming server can take in
// ColdOverloadDuration.
func (b *Balancer) arrivalRate() float64 {
	span := evidenceHalfLife.Seconds() / math.Ln2
	added := max(warmupBudgetRatio*span/b.settings.ColdOverloadDuration.Seconds()-1, 0)
	age := max(b.now-b.startedAt, minArrivalAge)
	seen := 1 - math.Exp2(-float64(age)/float64(evidenceHalfLife)) // part of the span, by a young process
	requests := b.recentRequests.value(b.now)
	return max(requests/seen, requests+added) / span
}

// warmConnectionCapacity estimates how many connections of all gateways together a server can hold when it is
// warm. The estimate is based on the load reports of warm servers. Without reports it is based on the
// connections that warm servers hold now, which underestimates the capacity unless the fleet is full.
func (b *Balancer) warmConnectionCapacity(s *server) float64 {
	if b.connectionCapacity.isKnown() {
		return max(b.connectionCapacity.value*s.Capacity, minWarmConnections)
	}
	held, weight := 0.0, minTotalWeight
	for _, other := range b.tableServers {
		if b.isWarm(other) {
			held += float64(len(other.inFlight))
			weight += other.Capacity
		}
	}
	return max(held*float64(b.settings.Gateways)/weight*s.Capacity, minWarmConnections)
}
