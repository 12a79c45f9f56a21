package planapply

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/placement"
)

// noLoadWeight is the weight of a node without load in the plan. It is too small for a slot in any lookup table. A weight of 0
// can't be used, since the balancer treats it as 1.
const noLoadWeight = 1e-9

// chooseWeights returns the current weights by node, and the part of the plan that they come from. If weights is nil, the
// servers keep their listed weights.
func (a *Applier) chooseWeights() (weights map[string]float64, source string) {
	a.nextWarmup = 0
	if a.plan == nil {
		return nil, ""
	}
	var lost []string
	lost, a.nextWarmup = a.lostNodes()
	if name, ok := a.unplannedServer(); ok {
		return nil, fmt.Sprintf("nominal weights: plan %d does not know node %s", a.plan.Version, name)
	}
	if len(lost) == 0 {
		return a.zoneWeights(a.plan.Load, a.plan.Flows), fmt.Sprintf("plan %d", a.plan.Version)
	}
	contingency, ok := a.contingencyFor(lost)
	if !ok {
		return nil, fmt.Sprintf("nominal weights: plan %d has no contingency for the loss of %s",
			a.plan.Version, strings.Join(lost, ", "))
	}
	load := maps.Clone(a.plan.Load)
	maps.Copy(load, contingency.Load)
	return a.zoneWeights(load, contingency.Flows),
		fmt.Sprintf("plan %d after the loss of %s", a.plan.Version, contingency.Name)
}

// lostNodes returns the sorted names of the nodes that carry load in the plan but are not available now. It also returns the
// time at which the next cold node of the plan becomes warm, or zero if none is cold.
func (a *Applier) lostNodes() (lost []string, nextWarmup time.Duration) {
	for name, load := range a.plan.Load {
		server, listed := a.servers[name]
		warmAt := server.Started + a.WarmupDuration
		isCold := listed && server.Started > 0 && a.now < warmAt
		if isCold && (nextWarmup == 0 || warmAt < nextWarmup) {
			nextWarmup = warmAt
		}
		isReady := listed && !isCold && server.State == balancer.Ready
		if load != 0 && !isReady {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost, nextWarmup
}

// unplannedServer returns the first listed server, in the order of names, that is not in the plan.
func (a *Applier) unplannedServer() (name string, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(a.servers)) {
		if _, planned := a.plan.Load[name]; !planned {
			return name, true
		}
	}
	return "", false
}

// contingencyFor returns the contingency of the plan for the loss of exactly the given nodes; nodes without load in the plan
// are ignored. ok is false if there is no such contingency, or if the solver found no placement for it.
func (a *Applier) contingencyFor(lost []string) (contingency operator.PlanContingency, ok bool) {
	for _, contingency := range a.plan.Contingencies {
		loaded := slices.DeleteFunc(slices.Clone(contingency.Lost), func(name string) bool { return a.plan.Load[name] == 0 })
		if slices.Equal(loaded, lost) {
			return contingency, len(contingency.Flows) > 0
		}
	}
	return operator.PlanContingency{}, false
}

// zoneWeights returns the weight of each node for the gateways of this zone: the load that comes from the gateway's zone to
// the zone of the node, multiplied by the node's share of the total load of its zone. If no flow starts in the gateway's zone,
// the weight of a node is its total load.
func (a *Applier) zoneWeights(load map[string]int64, flows []placement.Flow) map[string]float64 {
	zoneLoad := map[string]int64{}
	for name, nodeLoad := range load {
		if server, listed := a.servers[name]; listed {
			zoneLoad[server.Zone] += nodeLoad
		}
	}
	flowTo := map[string]int64{}
	for _, flow := range flows {
		if flow.From == a.zone {
			flowTo[flow.To] += flow.Load
		}
	}
	weights := make(map[string]float64, len(load))
	for name, nodeLoad := range load {
		weight := float64(nodeLoad)
		if len(flowTo) > 0 {
			zone := a.servers[name].Zone
			weight = float64(flowTo[zone]) * float64(nodeLoad) / float64(max(zoneLoad[zone], 1))
		}
		weights[name] = max(weight, noLoadWeight)
	}
	return weights
}
