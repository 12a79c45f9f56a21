package balancer

import "math"

const (
	// migrationRate is the fraction of a slow server's connections that may migrate each second if all other
	// servers have capacity. The fraction is taken of at least minMigratable connections, so that a few
	// connections also migrate soon.
	migrationRate = 1.0
	minMigratable = 5.0

	// groupMigrationWeight is the weight of a connection's group in its migrationOrder, so that the members
	// of a group migrate together. The client has the remaining weight.
	groupMigrationWeight = 0.8

	// evacuationRatio is the fraction of its connections that an evacuated server loses with each sweep if
	// all other servers have capacity.
	evacuationRatio = 0.5
)

// migrateFrom migrates the connections that are due to leave a server. It migrates none while set-ups fail,
// because each migration is a set-up.
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

// migrateFromSlow migrates connections off a server whose messages miss every latency objective. Connections
// with the lowest priority per load go first, and the rate falls with the free capacity of the other servers.
//
// This protects clients from servers that hang or become slow, and lets an overloaded server recover. The
// rate depends on the capacity, because a migration without capacity elsewhere is a useless reconnect.
// Useless reconnects are the cost of migrating if all servers are overloaded.
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

// lowestPriorityConnection returns the established connection to a server with the lowest priority per load,
// or nil if none can migrate. A client that the fleet would shed on its return does not migrate.
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

// migrationOrder returns a number in [0, 1), the same at every gateway, that decides which connections
// migrate last off a server: the lower it is, the further the server's load must exceed its limit. The
// members of a group migrate together, because the server bears the cost of the group until its last member
// has left.
func (r *request) migrationOrder(s *server) float64 {
	return groupMigrationWeight*fraction(mix(r.placementHash, uint64(s.ID))) +
		(1-groupMigrationWeight)*r.clientFraction(uint64(s.ID))
}

// sampleCapacity polls a randomly chosen server if its load is unknown, at most once per sweep. Without it, a
// gateway with few connections would know only the loads of the servers that hold them, and would find no
// free capacity while other servers are idle.
func (b *Balancer) sampleCapacity() {
	b.refreshTable()
	s := b.tableServers[int(b.random()*float64(len(b.tableServers)))]
	isUnknown := !b.hasFreshReport(s) && b.now-s.polledAt > loadReportTTL
	if b.settings.CanPollLoad && b.capacitySampledAt < b.now && isUnknown {
		b.capacitySampledAt = b.now
		b.poll(s)
	}
}

// evacuate migrates a fraction of the connections off a draining server with each sweep, as far as other
// servers have capacity. This protects the connections from being reset when the server restarts.
func (b *Balancer) evacuate(s *server) {
	remaining := int(math.Ceil(evacuationRatio * b.freeCapacityRatio() * float64(len(s.inFlight))))
	for _, r := range s.inFlight {
		if remaining > 0 && r.established && !r.finished {
			b.migrate(r)
			remaining--
		}
	}
}
