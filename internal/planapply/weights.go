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

// noLoadWeight is the weight of a node that is to carry nothing: too little for a slot in any lookup table. The balancer
// takes a weight of 0 as 1.
const noLoadWeight = 1e-9

// chooseWeights returns the weights by node that apply now, and which part of the plan they come from. Without weights the
// servers keep those of the list.
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

// lostNodes returns the names, in order, of the nodes that carry load in the plan but can't take it now, and when the next
// cold node of the plan becomes warm; 0 if none is cold.
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

// unplannedServer returns the first listed server, by name, that the plan does not have.
func (a *Applier) unplannedServer() (name string, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(a.servers)) {
		if _, planned := a.plan.Load[name]; !planned {
			return name, true
		}
	}
	return "", false
}

// contingencyFor returns the plan's contingency for the loss of exactly these nodes; nodes without load in the plan don't
// count. ok is false if there is none, or if the solver found no placement for it.
func (a *Applier) contingencyFor(lost []string) (contingency operator.PlanContingency, ok bool) {
	for _, contingency := range a.plan.Contingencies {
		loaded := slices.DeleteFunc(slices.Clone(contingency.Lost), func(name string) bool { return a.plan.Load[name] == 0 })
		if slices.Equal(loaded, lost) {
			return contingency, len(contingency.Flows) > 0
		}
	}
	return operator.PlanContingency{}, false
}

// zoneWeights returns what nodes are to carry of the load that comes through this gateway's zone: of the part that the flows
// bring to a node's zone, the node's share of all load of its zone. If the flows bring nothing from the gateway's zone, a
// node's weight is its total load.
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
