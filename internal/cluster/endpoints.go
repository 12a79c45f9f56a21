package cluster

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
)

// endpointList is the endpoint list that this instance holds, as discovery or its own disk gave it.
type endpointList struct {
	version   int64         // 0: it holds none
	updatedAt time.Duration // Unix time
	byID      map[string]discovery.Endpoint
}

// apply takes a complete list or a delta from discovery, and reports whether entries may have changed.
func (l *endpointList) apply(now time.Duration, update engine.EndpointList) (changed bool) {
	isComplete := update.Mode == balancer.ListComplete
	if isComplete {
		clear(l.byID)
	}
	for _, s := range update.Servers {
		if s.State == balancer.Removed {
			delete(l.byID, s.Name)
			continue
		}
		l.byID[s.Name] = discovery.NewEndpointList(0, []engine.Server{s}).Endpoints[0]
	}
	if update.Version > 0 {
		l.version = update.Version
	}
	l.updatedAt = now
	return isComplete || len(update.Servers) > 0
}

// sorted returns the entries by ID, nil where there are none.
func (l *endpointList) sorted() []discovery.Endpoint {
	var all []discovery.Endpoint
	for _, id := range slices.Sorted(maps.Keys(l.byID)) {
		all = append(all, l.byID[id])
	}
	return all
}

// stateOf is a list as recovery compares it with those of others.
func stateOf(version int64, updatedAt time.Duration, endpoints []discovery.Endpoint) recovery.PeerState {
	state := recovery.PeerState{Version: version, Hash: hashOf(endpoints), UpdatedAt: updatedAt}
	for _, e := range endpoints {
		state.Servers = append(state.Servers, recovery.Server{ID: e.ID, StartedAt: milliseconds(e.StartedMS)})
	}
	return state
}

// hashOf returns the same for equal lists in any order, whatever start times of servers their holders have observed.
func hashOf(endpoints []discovery.Endpoint) uint64 {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b discovery.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	h := xxhash.New()
	for _, e := range sorted {
		e.StartedMS = 0
		_, _ = h.Write(encode(e)) // a hash takes everything
	}
	return h.Sum64()
}

// encode returns the JSON of a message, a record or a part of them. Their fields are plain, and their numbers come from
// JSON or from counts: encoding can't fail.
func encode(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
