// Package planapply applies a placement plan to the endpoint lists of a gateway. It gives servers their weights in the plan,
// or their weights in a contingency while its nodes are lost. If no part of the plan fits, servers keep the weights of the
// list.
//
// An Applier holds the plan and the servers as last listed. It does no I/O, reads no clock and starts no goroutine. Callers
// pass the time and serialize their calls.
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
// SetPlan, Apply and Refresh return the list to pass to the engine, and a description of the source of its weights for the
// log. The description is empty if there is no plan, or if the plan and the source are unchanged. If nothing has changed, the
// list of SetPlan and Refresh is a delta without servers.
type Applier struct {
	// WarmupDuration is the time after its start during which a node counts as lost. A plan gives a node its full load at
	// once. If all nodes that the plan allows for the gateways of a zone were cold, no other node could take the clients of
	// the zone. Until the nodes are warm, the contingency for their loss applies.
	WarmupDuration time.Duration

	now         time.Duration // time of the last call, since the same epoch as Started of engine.Server
	nextWarmup  time.Duration // time at which the next cold node becomes warm; zero means that none is cold
	plan        *operator.Plan
	planChanged bool // reports whether plan or zone has changed since the last update of the weights
	zone        string
	servers     map[string]engine.Server // servers with their listed weights, by name
	source      string                   // description of the source of the weights in use
}

// SetPlan sets the plan and the zone of the gateway; a nil plan removes the plan. now is the time since the same epoch as the
// start times of the servers. The returned list is a delta without servers if no list has been applied yet.
func (a *Applier) SetPlan(now time.Duration, plan *operator.Plan, zone string) (engine.EndpointList, string) {
	a.now = now
	if plan != a.plan || zone != a.zone {
		a.plan, a.zone, a.planChanged = plan, zone, true
	}
	return a.updateWeights(balancer.ListDelta, nil)
}

// NextWarmup returns the time at which the next cold node becomes warm, when the caller must call Refresh. ok is false if no
// node is cold.
func (a *Applier) NextWarmup() (at time.Duration, ok bool) { return a.nextWarmup, a.nextWarmup > 0 }

// Refresh returns the changes to the weights that result from the passage of time alone, as a delta.
func (a *Applier) Refresh(now time.Duration) (engine.EndpointList, string) {
	a.now = now
	return a.updateWeights(balancer.ListDelta, nil)
}

// Apply takes an endpoint list, complete or a delta, and returns it with the weights of the plan.
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
	applied, source := a.updateWeights(list.Mode, list.Servers)
	applied.Version = list.Version
	return applied, source
}

// ListedWeight returns the weight of a server in the endpoint list, independent of the plan. ok is false if the server is not
// listed.
func (a *Applier) ListedWeight(name string) (weight float64, ok bool) {
	server, ok := a.servers[name]
	return server.Capacity, ok
}

// updateWeights chooses the weights again and returns a list of the changed servers with their weights. If the plan or the
// source of the weights has changed, the list has all servers.
func (a *Applier) updateWeights(mode balancer.ListMode, changed []engine.Server) (engine.EndpointList, string) {
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

// withWeight returns a server with its weight from weights. A removed server, or one without an entry, is unchanged.
func withWeight(server engine.Server, weights map[string]float64) engine.Server {
	if weight, ok := weights[server.Name]; ok && server.State != balancer.Removed {
		server.Capacity = weight
	}
	return server
}
