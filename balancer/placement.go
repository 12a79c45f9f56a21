package balancer

import "slices"

const (
	// maxLookups bounds the lookups of one search. Further lookups cost more than the better
	// servers that they find are worth.
	maxLookups = 160

	// shortSearchLookups bounds the lookups for a member of a group, so that the group stays on few servers,
	// and the lookups that may lead to a server that is warming up.
	shortSearchLookups = 8

	// reconnectLookups is the number of lookups after the first over which reconnecting clients are spread if
	// the server of the first is not known to be healthy.
	reconnectLookups = 4

	// loadBoundRatio and loadBoundSlack define the load bound: the load of a server may exceed its fair share
	// by loadBoundRatio, plus loadBoundSlack mean connections. Above the bound, requests overflow to
	// alternates.
	loadBoundRatio = 0.5
	loadBoundSlack = 4.0

	// newGroupCost is the load that the first member of a group is assumed to add to a server, in mean
	// connections.
	newGroupCost = 4.0
)

// place returns the server for a request's next attempt, or nil if there is none now. The server of a
// mid-flow request, and a reinstated server whose trial is due, are chosen without a search. The search
// returns the first server in the order of the lookups that has the best possible rank, or else the server
// with the best rank. It never returns a server without capacity, nor a server that is warming up and has no
// budget left. If place returns nil and the request's polledServers is not empty, the request waits for load
// reports. If place returns nil otherwise, the request has to wait for the first list or be answered.
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

// midFlowServer returns the server that is known to own a mid-flow request's connection. If the owner is
// unknown, it returns the server at which a past table placed the request, if that table is still valid and
// the server is warm, and either ready or in the usable part of its drain grace. Otherwise it returns nil.
// This keeps connections from being reset when gateways and servers change at the same time. The guess is
// wrong for a connection at an alternate.
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

// acceptsMidFlow reports whether mid-flow requests may be sent to a server: it is ready, or it drains and the
// usable part of its drain grace is not over.
func (b *Balancer) acceptsMidFlow(s *server) bool {
	return s.State == Ready || s.State == Draining && b.now-s.unavailableSince < b.usableDrainGrace()
}

// unpolledMidFlowServer returns the ordinary placement of a mid-flow request if that server's load is unknown
// and it is eligible; otherwise it returns nil. The server is not polled first, because the connection is
// part of its owner's load already, and no load report shows which server the owner is.
func (b *Balancer) unpolledMidFlowServer(r *request) *server {
	if !r.isFirstMidFlowAttempt() {
		return nil
	}
	if s := b.lookup(r, b.groupShard(r)); b.needsPoll(s) && b.isEligible(r, s) {
		return s
	}
	return nil
}

// placement holds the parameters and the state of one search for a server.
type placement struct {
	firstLookup      int     // number of the lookup that is tried before the others
	lookups          int     // how many further lookups are tried, counted from lookup 0
	meanLoad         float64 // mean load of a connection
	boundPerCapacity float64 // load bound per unit of capacity, without loadBoundSlack
	limitRatio       float64 // fraction of a server's load limit that the request may use
	warmingOnly      bool    // only a server that is warming up may take the request

	toPoll   []*server // servers whose load is unknown
	best     *server   // the warm server with the best rank so far
	bestRank rank
}

// newPlacement returns the parameters of the search for a request's server.
//
// The load bound protects servers from hot groups and from an uneven distribution of keys. It is harmful
// where a group is better kept on one server, because a group adds a fixed cost to each server that holds a
// shard.
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

// search returns the first suitable server of a request's lookups. If there is none, it polls the servers of
// unknown load and returns nil. If there are no such servers either, it returns the server with the best
// rank, or nil.
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

// firstSuitable returns the first server that has the best possible rank, or that is warming up and admits
// the request. It returns nil if there is none. It records in the placement which servers are to be polled,
// and which of the others has the best rank.
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
		k := b.rankOf(r, s, p)
		switch {
		case !b.isWarm(s):
			if k.suitsWarmup() && i <= shortSearchLookups && b.admitToWarmingServer(r, s) {
				return s
			}
		case k.isBestPossible():
			return s
		case p.best == nil || k.less(p.bestRank):
			p.best, p.bestRank = s, k
		}
	}
	return nil
}

// candidate returns the server for the i-th step of a search. Step 0 tries the client's own shard of its
// group. The following steps try the lookups from 0 on, which are the other shards and their alternates.
func (b *Balancer) candidate(r *request, p *placement, i int) *server {
	if i == 0 {
		return b.lookup(r, p.firstLookup)
	}
	return b.lookup(r, i-1)
}

// isShedFrom reports whether load shedding keeps the request from a server. A request that is shed because
// warm servers are slow may still be sent to a server that is warming up, within its budget.
func (b *Balancer) isShedFrom(s *server, p *placement) bool { return p.warmingOnly && b.isWarm(s) }

// mustPollFirst reports whether a server must be polled before the request is sent to it.
func (b *Balancer) mustPollFirst(r *request, s *server) bool {
	return r.pollRounds < maxPollRounds && b.needsPoll(s)
}

// hasCapacityFor reports whether a server can take the request within the fraction of its load limit that the
// request may use.
func (b *Balancer) hasCapacityFor(r *request, s *server, p *placement) bool {
	return b.hasCapacity(s, b.addedLoad(r, s, p), p.limitRatio)
}

func (p *placement) addToPoll(s *server) {
	if len(p.toPoll) < maxPolledServers && !slices.Contains(p.toPoll, s) {
		p.toPoll = append(p.toPoll, s)
	}
}

// addedLoad returns the load that a request is assumed to add to a server. The mean load is multiplied by the
// client's fraction, so that a load limit below one connection admits a corresponding share of the clients.
// The first member of a group adds more, so that scarce capacity is not divided among many groups.
func (b *Balancer) addedLoad(r *request, s *server, p *placement) float64 {
	added := r.clientFraction(uint64(s.ID)) * p.meanLoad
	if r.Group != "" && s.groupConnections[r.Group] == 0 {
		added += newGroupCost * p.meanLoad
	}
	return added
}
