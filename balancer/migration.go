package balancer

import "math"

const (
	// migrationRate is the part of a slow server's connections that may migrate each second if all other
	// servers have capacity. As a few are to migrate soon, minMigratable is the number of which it is a part
	// at least.
	migrationRate = 1.0
	minMigratable = 5.0

	// groupMigrationWeight is the part that a group has in the choice of the connections that migrate, so
	// that its members go together. The rest is their clients' own.
	groupMigrationWeight = 0.8

	// evacuationRatio is the part of its connections that leaves a server to be evacuated with each sweep, if
	// all others have capacity.
	evacuationRatio = 0.5
)

// migrateFrom migrates what is due off a server: while set-ups fail it moves nothing, as each migration is
// one.
func (b *Balancer) migrateFrom(s *server) {
	switch setupsFail := b.failureShedRatio() > 0; {
	case !setupsFail && s.Evacuate && s.State == Draining:
		b.evacuate(s)
	case !setupsFail && s.State == Ready && s.messageDelay >= b.messageObjective && b.now < s.pausedUntil:
		b.migrateFromSlow(s)
	default:
		s.migrationCredit = 0
	}
}

// migrateFromSlow migrates connections off a server whose messages miss every objective, at a rate that falls
// with the capacity of the others, those of the lowest priority for their load first. This protects from
// servers that hang or slow down with their connections, and lets an overloaded one recover. It costs if all
// are overloaded: without capacity elsewhere a migration is a reconnect for nothing, hence the rate.
func (b *Balancer) migrateFromSlow(s *server) {
	b.sampleCapacity()
	migratable := max(float64(len(s.inFlight)+1), minMigratable)
	s.migrationCredit += migrationRate * b.freeCapacityRatio() * migratable * sweepInterval.Seconds()
	for ; s.migrationCredit >= 1; s.migrationCredit-- {
		r := b.lowestPriorityConnection(s)
		if r == nil || b.serverLoad(s)-(1-r.migrationOrder(s))*b.meanLoad() <= s.loadLimit {
			return
		}
		b.migrate(r)
	}
}

// lowestPriorityConnection returns the connection to a server that is to migrate first, or nil.
func (b *Balancer) lowestPriorityConnection(s *server) (lowest *request) {
	for _, r := range s.inFlight {
		if r.established && !r.finished && !b.isShedByFleet(r) &&
			(lowest == nil || b.priorityPerLoad(r) < b.priorityPerLoad(lowest)) {
			lowest = r
		}
	}
	return lowest
}

func (b *Balancer) migrate(r *request) {
	b.emit(Migrate{ID: r.ID})
	r.finished = true
}

// migrationOrder is a number in [0, 1) that decides which connections migrate last off a server, alike at
// every gateway. A group's members go together, as what the group costs the server is paid until the last has
// gone.
func (r *request) migrationOrder(s *server) float64 {
	return groupMigrationWeight*fraction(mix(r.placementHash, uint64(s.ID))) +
		(1-groupMigrationWeight)*r.clientFraction(uint64(s.ID))
}

// sampleCapacity polls one server whose load is not known, once a sweep: a gateway that holds few connections
// learns of the servers that hold them alone, and would find no capacity while others stand idle.
func (b *Balancer) sampleCapacity() {
	b.refreshTable()
	s := b.tableServers[int(b.random()*float64(len(b.tableServers)))]
	isUnknown := !b.hasFreshReport(s) && b.now-s.polledAt > loadReportTTL
	if b.settings.CanPollLoad && b.capacitySampledAt < b.now && isUnknown {
		b.capacitySampledAt = b.now
		b.poll(s)
	}
}

// evacuate migrates connections off a draining server, a part of them with each sweep while others have
// capacity. This protects them from being reset when the server is restarted.
func (b *Balancer) evacuate(s *server) {
	remaining := int(math.Ceil(evacuationRatio * b.freeCapacityRatio() * float64(len(s.inFlight))))
	for _, r := range s.inFlight {
		if remaining > 0 && r.established && !r.finished {
			b.migrate(r)
			remaining--
		}
	}
}
