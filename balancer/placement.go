package balancer

import "slices"

const (
	// maxLookups bounds the lookups of one search for an alternate: more cost more than they found.
	maxLookups = 160

	// shortSearchLookups bounds the lookups for a member of a group, so that the group stays on few servers,
	// and the lookups that may lead to a server that is warming up.
	shortSearchLookups = 8

	// reconnectLookups is the number of lookups, from the second on, over which reconnecting clients are
	// spread if the server of the first is not known to be healthy.
	reconnectLookups = 4

	// loadBoundRatio and loadBoundSlack bound the load of a server before requests overflow to alternates: it
	// may exceed its fair share by this ratio, and by this many mean connections more.
	loadBoundRatio = 0.5
	loadBoundSlack = 4.0

	// newGroupCost is what the first member of a group is taken to cost a server, in mean connections.
	newGroupCost = 4.0
)

// place returns the server for a request's next attempt: that of the first lookup that nothing speaks
// against, or else the one with the best rank. It never returns one without capacity, nor one that is warming
// up and has no budget left, and nil if there is no other. A request may then be waiting for load reports;
// else it is to be rejected.
func (b *Balancer) place(r *request) *server {
	b.refreshTable()
	if s := b.midFlowServer(r); s != nil {
		return s
	}
	if b.table == nil {
		return nil
	}
	if s := b.trialServer(r); s != nil {
		return s
	}
	if s := b.unpolledMidFlowServer(r); s != nil {
		return s
	}
	if b.isShedForFailures(r) {
		return nil
	}
	return b.search(r)
}

// midFlowServer returns the server that is known to own a mid-flow request's connection. If none is, it
// returns a guess while a past table is valid: the server where the ordinary placement was then, also if that
// drains, within the grace. This protects connections from being reset when gateways and servers change
// together. It can miss a connection that an alternate took.
func (b *Balancer) midFlowServer(r *request) *server {
	if !r.isFirstMidFlowAttempt() {
		return nil
	}
	if s := b.servers[r.Owner]; r.OwnerKnown && s != nil && b.acceptsMidFlow(s) {
		return s
	}
	for _, p := range b.pastTables {
		if b.now > p.expiresAt {
			continue
		}
		if s := b.pastServer(p, r); s != nil && b.isWarm(s) && b.acceptsMidFlow(s) {
			return s
		}
	}
	return nil
}

// acceptsMidFlow reports whether mid-flow requests may be sent to a server.
func (b *Balancer) acceptsMidFlow(s *server) bool {
	return s.State == Ready || s.State == Draining && b.now-s.unavailableSince < b.usableDrainGrace()
}

// unpolledMidFlowServer returns the ordinary placement of a mid-flow request if that server's load is unknown
// and it is eligible; otherwise it returns nil. The server is not polled first: the connection is part of its
// owner's load already, and no load report shows which server the owner is.
func (b *Balancer) unpolledMidFlowServer(r *request) *server {
	if !r.isFirstMidFlowAttempt() {
		return nil
	}
	if s := b.lookup(r, b.groupShard(r)); b.needsPoll(s) && b.isEligible(r, s) {
		return s
	}
	return nil
}

// placement is the state of one search for a server.
type placement struct {
	firstLookup      int     // the lookup that is tried before the others
	lookups          int     // the others: from 0 on so many
	meanLoad         float64 // of a connection
	boundPerCapacity float64 // load for each unit of capacity above which a server is over its fair share
	limitRatio       float64 // part of a server's load limit that the request may fill
	warmingOnly      bool    // only a server that is warming up may take the request

	toPoll   []*server // servers whose load is unknown
	best     *server   // of those that something speaks against
	bestRank rank
}

// newPlacement states the terms of a search.
//
// The bound on a server's share of the load protects from hot groups, and from any uneven draw of keys. It
// costs if a group is better kept whole, as each shard costs the server it is placed at.
func (b *Balancer) newPlacement(r *request) placement {
	p := placement{
		firstLookup: b.groupShard(r),
		lookups:     maxLookups,
		meanLoad:    b.meanLoad(),
		limitRatio:  b.limitRatio(r),
	}
	p.boundPerCapacity = (1 + loadBoundRatio) * (b.totalLoad() + p.meanLoad) / b.totalWeight
	p.warmingOnly = b.isShedForSlowness(r, p.limitRatio)
	if r.Reconnecting && !b.isObservedHealthy(b.lookup(r, p.firstLookup)) {
		p.firstLookup += 1 + int(mix(uint64(r.ID), keySeed)%reconnectLookups)
	}
	if p.warmingOnly || r.Group != "" {
		p.lookups = shortSearchLookups
	}
	return p
}

// search goes through the lookups of a request. The first server that nothing speaks against serves.
func (b *Balancer) search(r *request) *server {
	p := b.newPlacement(r)
	if s := b.firstSuitable(r, &p); s != nil {
		return s
	}
	if len(p.toPoll) > 0 {
		b.pollForRequest(r, p.toPoll)
		return nil
	}
	return p.best
}

// firstSuitable returns the first server that nothing speaks against, or nil. It notes in the placement which
// servers are to be polled, and the best of the others.
func (b *Balancer) firstSuitable(r *request, p *placement) *server {
	for i := range p.lookups + 1 {
		s := b.candidate(r, p, i)
		switch {
		case !b.isEligible(r, s), b.isShedFrom(s, p):
			continue
		case b.mustPollFirst(r, s):
			p.addToPoll(s)
			continue
		case len(p.toPoll) > 0, !b.hasCapacityFor(r, s, p):
			continue
		}
		found := b.rankOf(r, s, p)
		switch {
		case !b.isWarm(s):
			if found.suitsWarmup() && i <= shortSearchLookups && b.admitToWarmingServer(r, s) {
				return s
			}
		case found.isBestPossible():
			return s
		case p.best == nil || found.less(p.bestRank):
			p.best, p.bestRank = s, found
		}
	}
	return nil
}

// candidate returns the server of the i-th step of a search: the client's own shard of its group comes first,
// then the other shards and their alternates.
func (b *Balancer) candidate(r *request, p *placement, i int) *server {
	if i == 0 {
		return b.lookup(r, p.firstLookup)
	}
	return b.lookup(r, i-1)
}

// isShedFrom reports whether the request is shed as far as a server is concerned: what is shed since warm
// servers are slow may still fit the budget of one that is warming up.
func (b *Balancer) isShedFrom(s *server, p *placement) bool { return p.warmingOnly && b.isWarm(s) }

// mustPollFirst reports whether a server is to be polled before the request is sent to it.
func (b *Balancer) mustPollFirst(r *request, s *server) bool {
	return r.pollRounds < maxPollRounds && b.needsPoll(s)
}

// hasCapacityFor reports whether a server can take the request within its part of the load limit.
func (b *Balancer) hasCapacityFor(r *request, s *server, p *placement) bool {
	return b.hasCapacity(s, b.addedLoad(r, s, p), p.limitRatio)
}

func (p *placement) addToPoll(s *server) {
	if len(p.toPoll) < maxPolledServers && !slices.Contains(p.toPoll, s) {
		p.toPoll = append(p.toPoll, s)
	}
}

// addedLoad is the load that a request is taken to add to a server. The client's fraction stands for its
// connection, so that limits of less than one connection are kept by chance. The first member of a group
// costs more, so that scarce capacity is not spread over many groups.
func (b *Balancer) addedLoad(r *request, s *server, p *placement) float64 {
	added := r.clientFraction(uint64(s.ID)) * p.meanLoad
	if r.Group != "" && s.groupConnections[r.Group] == 0 {
		added += newGroupCost * p.meanLoad
	}
	return added
}
