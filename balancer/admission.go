package balancer

import (
	"log/slog"
	"math"
)

const (
	// minPriorityLimitRatio is the part of a server's load limit that requests of the lowest priority may
	// fill, so that none starves.
	minPriorityLimitRatio = 0.5

	// slowRatioThreshold is the part of this gateway's connections on slow servers, times the part of a limit
	// that a request may fill, from which some requests are shed.
	slowRatioThreshold = 0.3

	// maxAttemptsPerEstablished bounds the attempts for each one that is established; requests beyond that
	// are shed.
	maxAttemptsPerEstablished = 1.5

	// sharedGroupCost is what a group's last member costs a server, in mean connections, where members share
	// it and priorities rank connections.
	sharedGroupCost = 2 * newGroupCost

	// minPriorityPerLoad keeps the highest priority for its load above 0, if all weights are 0.
	minPriorityPerLoad = 1e-12
)

// isShedByFleet reports whether the fleet sheds a request. Which clients of the priority at the level those
// are is the same at every gateway, so that one who reconnects elsewhere is answered alike. What a server
// holds already is never shed.
func (b *Balancer) isShedByFleet(r *request) bool {
	return !r.MidFlow && r.clientFraction(fleetShedPurpose) < b.fleetShedLevel-float64(r.Priority)
}

// failureShedRatio is the part of the requests that is shed since too few attempts are established, at
// whatever servers; 0 or less sheds none.
//
// This protects from an overload of what all set-ups share, as a database: asked for more than it can do it
// answers none in time, and the reconnecting clients keep that up. Meanwhile nothing migrates, as each
// migration is a set-up, and no server's limit is lowered for a time-out. It works for any failure of set-ups
// that ejections do not end. It costs if a gateway reaches few servers, until the failing ones are ejected.
func (b *Balancer) failureShedRatio() float64 {
	if b.recentFailures.sum == 0 {
		return 0
	}
	established := b.recentEstablished.value(b.now)
	attempts := established + b.recentFailures.value(b.now)
	return (attempts - maxAttemptsPerEstablished*(established+1)) / (attempts + 1)
}

// isShedForFailures reports whether a request is shed since too few attempts are established.
func (b *Balancer) isShedForFailures(r *request) bool {
	return r.clientFraction(shedPurpose) < b.failureShedRatio()
}

// isShedForSlowness reports whether a request is shed since a good part of this gateway's own connections is
// on slow servers: the more, the larger that part is and the smaller the part of a limit that the request may
// fill.
//
// What a gateway holds is a sample of the fleet, so this protects from an overload of which each gateway sees
// little, and which clients that disconnect and reconnect keep up. It costs if a few slow servers hold most
// of what this gateway has.
func (b *Balancer) isShedForSlowness(r *request, limitRatio float64) bool {
	threshold := slowRatioThreshold * limitRatio
	return r.clientFraction(shedPurpose) < (b.slowRatio-threshold)/(1-threshold)
}

// logShedding logs when this gateway starts and stops to shed.
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

// roundToFraction rounds a value for the log to a part of 1.
func roundToFraction(value, part float64) float64 { return math.Round(value*part) / part }

// limitRatio is the part of a server's load limit that a request may fill: all for the highest priority for
// its load, less for the others. This protects from an overload in which the capacity goes to whoever asks
// first. If loads are not known, the priority weight alone ranks requests.
func (b *Balancer) limitRatio(r *request) float64 {
	highest := 0.0
	for class := range b.settings.configuredClasses() {
		highest = max(highest, b.settings.Classes[class].PriorityWeight/b.classLoad(class))
	}
	return minPriorityLimitRatio +
		(1-minPriorityLimitRatio)*min(b.priorityPerLoad(r)/max(highest, minPriorityPerLoad), 1)
}

// priorityPerLoad ranks a connection by its priority weight for its load. Members of a group that is at the
// connection's server share what the group costs there.
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

// isOverQuota reports whether a request's tenant uses its quota of connections, as far as this gateway can
// infer.
func (b *Balancer) isOverQuota(r *request) bool {
	t, ok := b.tenantIndex[r.Tenant]
	if !ok {
		return false
	}
	quota := b.settings.Tenants[t].ConnectionQuota
	return quota > 0 && b.tenantConnections[t]*float64(b.settings.Gateways) >= quota
}

// hasCapacity reports whether a server can take another connection of the given load within a part of its
// load limit. One that holds nothing from here takes one in any case: nothing more would be observed of it
// otherwise, and a limit that no new group fits in would keep it out for minutes where connections are few.
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

// freeCapacityRatio is the part of the table's weight that can take more: of the servers that reported their
// loads, if they can.
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
