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

// endpointList is the endpoint list that this instance holds, as received from discovery or read from its disk.
type endpointList struct {
	version   int64         // 0 means that the instance holds no list
	updatedAt time.Duration // Unix time
	byID      map[string]discovery.Endpoint
}

// apply applies a complete list or a delta from discovery, and reports whether entries may have changed.
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

// sorted returns the entries sorted by ID, or nil if there are none.
func (l *endpointList) sorted() []discovery.Endpoint {
	var all []discovery.Endpoint
	for _, id := range slices.Sorted(maps.Keys(l.byID)) {
		all = append(all, l.byID[id])
	}
	return all
}

// peerState returns a list in the form in which package recovery compares the lists of instances.
func peerState(version int64, updatedAt time.Duration, endpoints []discovery.Endpoint) recovery.PeerState {
	state := recovery.PeerState{Version: version, Hash: hashEndpoints(endpoints), UpdatedAt: updatedAt}
	for _, e := range endpoints {
		state.Servers = append(state.Servers, recovery.Server{ID: e.ID, StartedAt: milliseconds(e.StartedMS)})
	}
	return state
}

// hashEndpoints returns the hash of a list. It depends neither on the order of the entries nor on their start times, which each
// instance observes for itself.
func hashEndpoints(endpoints []discovery.Endpoint) uint64 {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b discovery.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	h := xxhash.New()
	for _, e := range sorted {
		e.StartedMS = 0
		_, _ = h.Write(encode(e)) // writing to a hash never fails
	}
	return h.Sum64()
}

// encode returns the JSON of a message, a record or a part of them. Encoding can't fail, because the fields have plain types
// and the numbers come from JSON or from counts, so that none is NaN or infinite.
func encode(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
