package balancer

import (
	"slices"
	"time"
)

const (
	// maxPastTables bounds the tables that are kept for mid-flow requests.
	maxPastTables = 2

	// minTotalWeight stands for the sum of capacities while no server is in the table, as before any
	// placement.
	minTotalWeight = 1e-9

	// groupPriorRatio is the part of all connections that a group is guessed to have, and groupPriorWeight
	// the number of connections seen that outweighs the guess.
	groupPriorRatio  = 0.05
	groupPriorWeight = 2.0
)

// pastTable is a table that was replaced, which mid-flow requests may still have been placed by. It holds the
// ids of its servers, since a server may be evicted, and listed again, while the table is valid.
type pastTable struct {
	table     table
	servers   []ServerID
	expiresAt time.Duration
}

// pastServer returns the server where the ordinary placement of a request was; nil: it was evicted since.
func (b *Balancer) pastServer(p pastTable, r *request) *server {
	return b.servers[p.servers[p.table.at(r.placementHash, 0)]]
}

// refreshTable builds the table anew if the list has changed since, and keeps the one before for mid-flow
// requests. It is called by the next placement and not with the list, since most changes of a list come in a
// run and a gateway among many places few connections between them.
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
		b.tableServers = servers // a server that was evicted and listed again has another record
		return                   // nothing that the table's entries depend on has changed
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

// lookup returns the server of a request's n-th lookup in the table: 0 is its ordinary placement.
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
	held := float64(b.connections)
	fleet := (held + 1) * float64(b.settings.Gateways)
	members := float64(b.groupConnections[r.Group]) + groupPriorWeight*groupPriorRatio
	ratio := members / (held + groupPriorWeight)
	bound := (1+loadBoundRatio)*fleet/float64(len(b.tableServers)) + loadBoundSlack
	return max(ratio*fleet/bound, 1)
}

// groupShard is the lookup that is the ordinary placement of a request: its client's shard of the group.
func (b *Balancer) groupShard(r *request) int { return int(r.clientFraction(0) * b.groupShardCount(r)) }

// UnreachableServers is the number of ready servers without an entry in the lookup table, to which no request
// is sent by its key. It is 0 while the table is to be built anew for the next request.
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
