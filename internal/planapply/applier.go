// Package planapply applies a placement plan to the endpoint lists of a gateway: servers get the weights that the plan gives
// them, those of a contingency while its nodes are lost, and the list's own weights where the plan has nothing that fits.
//
// An Applier owns its state: the plan, and the servers as last listed. It does no I/O, reads no clock and starts no goroutine;
// callers pass the time and serialise their calls.
package planapply

import (
	"maps"
	"slices"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
)

// Applier applies a plan to endpoint lists. The zero value has no plan and leaves all weights as listed. It is not safe for
// concurrent use.
//
// SetPlan, Apply and Tick each return the list that the engine is to have, and a description of where its weights come from
// if that has changed, to be logged; else "". The list is a delta without servers where nothing changes.
type Applier struct {
	// WarmupDuration is how long a node counts as lost after its start. A plan gives a node its full load at once; where all
	// nodes that the plan allows a zone's gateway are cold, no other node could take the zone's clients. Until the nodes are
	// warm, the contingency for their loss applies.
	WarmupDuration time.Duration

	now         time.Duration // on the clock of engine.Server's Started
	nextWarmup  time.Duration // when the next cold node becomes warm; 0: none is cold
	plan        *operator.Plan
	planChanged bool // since the weights were last chosen
	zone        string
	servers     map[string]engine.Server // as listed, by name
	source      string                   // of the weights in use
}

// SetPlan changes to a plan for gateways of a zone; nil is no plan. The time is since the same epoch as the servers' start
// times. The returned list is a delta without servers if no list has been applied yet.
func (a *Applier) SetPlan(now time.Duration, plan *operator.Plan, zone string) (engine.EndpointList, string) {
	a.now = now
	if plan != a.plan || zone != a.zone {
		a.plan, a.zone, a.planChanged = plan, zone, true
	}
	return a.update(balancer.ListDelta, nil)
}

// NextWarmup returns when Tick is due, because a node becomes warm then. ok is false if no node is cold.
func (a *Applier) NextWarmup() (at time.Duration, ok bool) { return a.nextWarmup, a.nextWarmup > 0 }

// Tick returns the delta that follows from the time alone.
func (a *Applier) Tick(now time.Duration) (engine.EndpointList, string) {
	a.now = now
	return a.update(balancer.ListDelta, nil)
}

// Apply takes an endpoint list, complete or a delta, and returns it with weights by the plan.
func (a *Applier) Apply(now time.Duration, list engine.EndpointList) (engine.EndpointList, string) {
	a.now = now
	if a.servers == nil || list.Mode != balancer.ListDelta {
		a.servers = map[string]engine.Server{}
	}
	for _, server := range list.Servers {
		if server.State == balancer.Removed {
			delete(a.servers, server.Name)
		} else {
			a.servers[server.Name] = server
		}
	}
	applied, source := a.update(list.Mode, list.Servers)
	applied.Version = list.Version
	return applied, source
}

// ListedWeight returns the weight of a server as listed, whatever the plan gives it; ok is false if it is not listed.
func (a *Applier) ListedWeight(name string) (weight float64, ok bool) {
	server, ok := a.servers[name]
	return server.Capacity, ok
}

// update returns the changed servers with their weights; if the weights of all have changed, every server instead.
func (a *Applier) update(mode balancer.ListMode, changed []engine.Server) (engine.EndpointList, string) {
	weights, source := a.chooseWeights()
	weightsChanged := a.planChanged || source != a.source
	a.planChanged, a.source = false, source

	list := engine.EndpointList{Mode: mode}
	if !weightsChanged || len(a.servers) == 0 {
		for _, server := range changed {
			list.Servers = append(list.Servers, withWeight(server, weights))
		}
	} else {
		for _, server := range changed {
			if server.State == balancer.Removed {
				list.Servers = append(list.Servers, server)
			}
		}
		for _, name := range slices.Sorted(maps.Keys(a.servers)) {
			list.Servers = append(list.Servers, withWeight(a.servers[name], weights))
		}
	}
	if !weightsChanged {
		return list, ""
	}
	return list, source
}

// withWeight returns a server with its weight, or unchanged if it has none or is removed.
func withWeight(server engine.Server, weights map[string]float64) engine.Server {
	if weight, ok := weights[server.Name]; ok && server.State != balancer.Removed {
		server.Capacity = weight
	}
	return server
}
