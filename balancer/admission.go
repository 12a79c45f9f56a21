package balancer

import (
	"log/slog"
	"math"
)

const (
	// minPriorityLimitRatio is the fraction of a server's load limit that requests of the lowest priority may
	// use. It is above 0 so that they are not starved.
	minPriorityLimitRatio = 0.5

	// slowRatioThreshold is the threshold of shedding for slowness: some requests are shed when the fraction
	// of this gateway's connections that are on slow servers exceeds this value times the request's
	// limitRatio.
	slowRatioThreshold = 0.3

	// maxAttemptsPerEstablished bounds the number of attempts for each established one. Requests beyond the
	// bound are shed.
	maxAttemptsPerEstablished = 1.5

	// sharedGroupCost is the load, in mean connections, that priorityPerLoad charges for a group at a server.
	// The members of the group at that server share it equally, so the last one left bears all of it.
	sharedGroupCost = 2 * newGroupCost

	// minPriorityPerLoad keeps the highest priority per load above 0 if all priority weights are 0.
	minPriorityPerLoad = 1e-12
)

// isShedByFleet reports whether the shed level of the fleet rejects a request. Of a priority that is shed in
// part, every gateway sheds the same clients, so a client that reconnects through another gateway gets the
// same answer. Mid-flow requests are never shed, because a server already holds their connections.
func (b *Balancer) isShedByFleet(r *request) bool {
	return !r.MidFlow && r.clientFraction(fleetShedPurpose) < b.fleetShedLevel-float64(r.Priority)
}

// failureShedRatio returns the fraction of requests to shed because too few attempts are established, counted
// over all servers. Zero or a negative value sheds none.
//
// Shedding protects from an overload of a resource that all set-ups share, such as a database. Under more
// load than it can serve, such a resource answers nothing in time, and reconnecting clients keep the load up.
// While the result is positive, nothing migrates, because each migration is a set-up, and a timeout or an
// error lowers no server's load limit. Shedding works for any failure of set-ups that ejections do not end.
// The cost is that a gateway that reaches few servers sheds requests until the failing servers are ejected.
func (b *Balancer) failureShedRatio() float64 {
	if b.recentFailures.sum == 0 {
		return 0
	}
	established := b.recentEstablished.value(b.now)
	attempts := established + b.recentFailures.value(b.now)
	return (attempts - maxAttemptsPerEstablished*(established+1)) / (attempts + 1)
}

// isShedForFailures reports whether a request is shed because too few attempts are established.
func (b *Balancer) isShedForFailures(r *request) bool {
	return r.clientFraction(shedPurpose) < b.failureShedRatio()
}

// isShedForSlowness reports whether a request is shed because many of this gateway's connections are on slow
// servers. The probability grows with the fraction of connections on slow servers, and is higher for a
// request with a smaller limitRatio.
//
// The connections of a gateway are a sample of the fleet's. This protects from an overload of which each
// gateway sees little, and which clients keep up by disconnecting and reconnecting. Its cost is that requests
// are shed needlessly if a few slow servers hold most of this gateway's connections.
func (b *Balancer) isShedForSlowness(r *request, limitRatio float64) bool {
	threshold := slowRatioThreshold * limitRatio
	return r.clientFraction(shedPurpose) < (b.slowRatio-threshold)/(1-threshold)
}

// logShedding logs when this gateway starts or stops shedding load.
func (b *Balancer) logShedding() {
	shedding := b.slowRatio > slowRatioThreshold || b.failureShedRatio() > 0
	if shedding == b.isShedding {
		return
	}
	b.isShedding = shedding
	message := "load shedding stopped"
	if shedding {
		message = "load shedding started"
	}
	b.log(message, slog.Float64("slow_ratio", roundToFraction(b.slowRatio, 100)),
		slog.Float64("recent_failures", roundToFraction(b.recentFailures.value(b.now), 10)))
}

// roundToFraction rounds a value that is logged to a multiple of 1/denominator.
func roundToFraction(value, denominator float64) float64 {
	return math.Round(value*denominator) / denominator
}

// limitRatio returns the fraction of a server's load limit that a request may use, from minPriorityLimitRatio
// to 1. It is 1 for requests with the highest priority per load and smaller for all others, so that under
// overload the capacity does not go to whichever request comes first. If loads are unknown, the priority
// weight alone ranks requests.
func (b *Balancer) limitRatio(r *request) float64 {
	highest := 0.0
	for class := range b.settings.configuredClasses() {
		highest = max(highest, b.settings.Classes[class].PriorityWeight/b.classLoad(class))
	}
	return minPriorityLimitRatio +
		(1-minPriorityLimitRatio)*min(b.priorityPerLoad(r)/max(highest, minPriorityPerLoad), 1)
}

// priorityPerLoad returns the priority weight of a connection divided by its load. If the connection belongs
// to a group and is at a server, the load includes its share of the group's cost there.
func (b *Balancer) priorityPerLoad(r *request) float64 {
	load := r.load
	if load == 0 {
		load = b.classLoad(r.classIndex)
	}
	weight := b.class(r).PriorityWeight
	if b.settings.OverQuotaWeightFactor > 0 && b.isOverQuota(r) {
		weight *= b.settings.OverQuotaWeightFactor
	}
	if r.Group != "" && r.server != nil {
		load += sharedGroupCost * b.meanLoad() / float64(r.server.groupConnections[r.Group])
	}
	return weight / load
}

// isOverQuota reports whether a request's tenant has reached its quota of connections. The gateway
// extrapolates from its own connections to those of all gateways.
func (b *Balancer) isOverQuota(r *request) bool {
	t, ok := b.tenantIndex[r.Tenant]
	if !ok {
		return false
	}
	quota := b.settings.Tenants[t].ConnectionQuota
	return quota > 0 && b.tenantConnections[t]*float64(b.settings.Gateways) >= quota
}

// hasCapacity reports whether a server can take another connection of the given load within the fraction
// limitRatio of its load limit. If servers can be polled, a server with a fresh load report is judged by its
// utilization instead.
//
// Once limitGrowthDelay has passed since the limit was lowered, a server that is not paused and has no
// connections from this gateway can always take one. Otherwise the gateway would observe nothing more of the
// server. If connections are few, a limit that is too low for any new group would then keep the server out of
// use for minutes.
func (b *Balancer) hasCapacity(s *server, load, limitRatio float64) bool {
	if b.settings.CanPollLoad && b.hasFreshReport(s) {
		return b.projectedUtilization(s) <= maxUtilization
	}
	if s.loadLimit == 0 {
		return true
	}
	if b.now < s.pausedUntil {
		return false
	}
	return b.serverLoad(s)+load <= limitRatio*s.loadLimit ||
		len(s.inFlight) == 0 && b.now-s.limitLoweredAt > limitGrowthDelay
}

// freeCapacityRatio returns the fraction of the lookup table's capacity, from 0 to 1, that belongs to servers
// that can take more connections. If servers can be polled, it counts only those with a fresh load report.
func (b *Balancer) freeCapacityRatio() float64 {
	free, total := 0.0, 0.0
	for _, s := range b.tableServers {
		if b.settings.CanPollLoad && !b.hasFreshReport(s) {
			continue
		}
		total += s.Capacity
		if b.hasCapacity(s, 0, 1) {
			free += s.Capacity
		}
	}
	return free / max(total, minTotalWeight)
}
