package balancer

import (
	"slices"
	"time"
)

const (
	// maxPastTables is the maximum number of past tables, which are kept for mid-flow requests.
	maxPastTables = 2

	// minTotalWeight is used as the sum of weights while the table has no servers, for example before the
	// first placement. It avoids a division by zero.
	minTotalWeight = 1e-9

	// groupPriorRatio is the prior estimate of the fraction of all connections that belong to one group.
	// groupPriorWeight is the weight of this estimate, in observed connections.
	groupPriorRatio  = 0.05
	groupPriorWeight = 2.0
)

// pastTable is a table that was replaced. The connections of mid-flow requests may have been placed by it. It
// holds the IDs of its servers instead of their records, since a server may be evicted and listed again while
// the past table is valid.
type pastTable struct {
	table     table
	servers   []ServerID // the IDs that the indexes of table refer to
	expiresAt time.Duration
}

// pastServer returns the server at which a past table placed a request, or nil if it has been evicted.
func (b *Balancer) pastServer(p pastTable, r *request) *server {
	return b.servers[p.servers[p.table.at(r.placementHash, 0)]]
}

// refreshTable rebuilds the table if the list has changed since it was built, and keeps the previous table
// for mid-flow requests. The next placement calls it, not the arrival of a list. Lists mostly change several
// times in a row, and a gateway that is one of many places few connections in between.
func (b *Balancer) refreshTable() {
	if !b.tableIsStale {
		return
	}
	b.tableIsStale = false
	var weights []weightedServer
	var servers []*server
	total := 0.0
	for _, s := range b.sortedServers {
		if s.State == Ready {
			weights = append(weights, weightedServer{s.ID, s.Capacity})
			servers = append(servers, s)
			total += s.Capacity
		}
	}
	if slices.Equal(weights, b.tableWeights) {
		b.tableServers = servers // a server that was evicted and listed again has a new record
		return                   // the table depends on the weights only
	}
	b.keepPastTable()
	b.table, b.tableWeights, b.tableServers = buildTable(weights), weights, servers
	b.totalWeight = max(total, minTotalWeight)
}

func (b *Balancer) keepPastTable() {
	if b.table == nil || b.settings.FlowRetention == 0 {
		return
	}
	ids := make([]ServerID, len(b.tableWeights))
	for i, s := range b.tableWeights {
		ids[i] = s.id
	}
	b.pastTables = append(b.pastTables, pastTable{b.table, ids, b.now + b.settings.FlowRetention})
	if n := len(b.pastTables) - maxPastTables; n > 0 {
		b.pastTables = slices.Delete(b.pastTables, 0, n)
	}
}

// lookup returns the server that a request's n-th lookup in the table gives. Lookup 0 gives the table entry
// of the request's placement hash; further lookups give alternates.
func (b *Balancer) lookup(r *request, n int) *server {
	return b.tableServers[b.table.at(r.placementHash, n)]
}

// groupShardCount returns the number of lookups over which a group is spread: its estimated members in the
// fleet divided by the load bound of one server, and at least 1. The result need not be whole.
//
// Sharding limits the load of a hot group of which each gateway sees only a few members: the size in the
// fleet is inferred from the members at this gateway, and from a prior estimate while this gateway has few
// connections. Overestimating a group is expensive, because a group adds a fixed cost to each server that
// holds one of its shards.
func (b *Balancer) groupShardCount(r *request) float64 {
	if r.Group == "" {
		return 1
	}
	connections := float64(b.connections)
	fleetConnections := (connections + 1) * float64(b.settings.Gateways)
	members := float64(b.groupConnections[r.Group]) + groupPriorWeight*groupPriorRatio
	groupRatio := members / (connections + groupPriorWeight)
	bound := (1+loadBoundRatio)*fleetConnections/float64(len(b.tableServers)) + loadBoundSlack
	return max(groupRatio*fleetConnections/bound, 1)
}

// groupShard returns the number of the lookup that is a request's ordinary placement, which is its client's
// shard of the group.
func (b *Balancer) groupShard(r *request) int { return int(r.clientFraction(0) * b.groupShardCount(r)) }

// UnreachableServers returns the number of ready servers without an entry in the lookup table. No request is
// placed at such a server by its key. The result is 0 while the table is due to be rebuilt for the next
// request.
func (b *Balancer) UnreachableServers() int {
	if b.tableIsStale {
		return 0
	}
	hasEntry := make([]bool, len(b.tableServers))
	for _, i := range b.table {
		hasEntry[i] = true
	}
	unreachable := 0
	for _, s := range b.sortedServers {
		if s.State == Ready {
			unreachable++
		}
	}
	for i, s := range b.tableServers {
		if hasEntry[i] && s.State == Ready && b.servers[s.ID] == s {
			unreachable--
		}
	}
	return unreachable
}
