// Package planapply has a gateway go by a plan: it gives the servers of a list the weights that the plan has for them, goes over
// to a contingency when the list says that nodes are lost, and back to the list's own weights where no plan fits. It does no
// I/O and reads no clock.
package planapply

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/placement"
)

// none is the weight of a node that a plan gives nothing: too little for a slot in any table. 0 would be taken as 1.
const none = 1e-9

// Applier knows the list and the plan. The zero value goes by no plan.
type Applier struct {
	// WarmupDuration is how long a node counts as lost after its start. A plan gives a node its whole part at once, and where all that
	// a zone's gateway may use by the plan is cold, nobody else could take its clients: until they are warm, what the plan
	// says for their loss holds.
	WarmupDuration time.Duration

	at      time.Duration // the time now, on the clock that starts are told by
	again   time.Duration // when a node will be warm next; 0: none is cold
	plan    *operator.Plan
	zone    string
	servers map[string]engine.Server // as listed, by name
	now     string                   // what is gone by
}

// SetPlan goes over to a plan, or with nil to none, for gateways of a zone. It returns the list that follows; its servers are
// none where no list has come yet.
func (f *Applier) SetPlan(now time.Duration, p *operator.Plan, zone string) (engine.EndpointList, string) {
	f.at = now
	if p != f.plan || zone != f.zone {
		f.plan, f.zone, f.now = p, zone, "another"
	}
	return f.list(balancer.ListDelta, nil)
}

// NextWarmup is when Look has something to do: a node is warm then. ok is false where none is cold.
func (f *Applier) NextWarmup() (at time.Duration, ok bool) { return f.again, f.again > 0 }

// Tick returns the list that follows from the time alone.
func (f *Applier) Tick(now time.Duration) (engine.EndpointList, string) {
	f.at = now
	return f.list(balancer.ListDelta, nil)
}

// Apply takes in a list and returns it with the weights to go by, and a word where what is gone by has changed.
func (f *Applier) Apply(now time.Duration, l engine.EndpointList) (engine.EndpointList, string) {
	f.at = now
	if f.servers == nil || l.Mode != balancer.ListDelta {
		f.servers = map[string]engine.Server{}
	}
	for _, s := range l.Servers {
		if s.State == balancer.Removed {
			delete(f.servers, s.Name)
		} else {
			f.servers[s.Name] = s
		}
	}
	return f.list(l.Mode, l.Servers)
}

// list is what is to be told: what came, and in place of changed weights all servers.
func (f *Applier) list(mode balancer.ListMode, came []engine.Server) (engine.EndpointList, string) {
	weights, by := f.weights()
	said := ""
	if by != f.now {
		said = by
	}
	changed := by != f.now && len(f.servers) > 0
	f.now = by
	out := engine.EndpointList{Mode: mode}
	for _, s := range came {
		if s.State == balancer.Removed {
			out.Servers = append(out.Servers, s)
		} else if !changed {
			out.Servers = append(out.Servers, weighed(s, weights))
		}
	}
	if changed {
		for _, name := range slices.Sorted(maps.Keys(f.servers)) {
			out.Servers = append(out.Servers, weighed(f.servers[name], weights))
		}
	}
	return out, said
}

func weighed(s engine.Server, weights map[string]float64) engine.Server {
	if w, planned := weights[s.Name]; planned {
		s.Capacity = w
	}
	return s
}

// weights finds what to go by: the plan, one of its contingencies, or nothing, and says which.
func (f *Applier) weights() (map[string]float64, string) {
	f.again = 0
	if f.plan == nil {
		return nil, ""
	}
	var lost []string
	for id := range f.plan.Load {
		s, listed := f.servers[id]
		warm := s.Started + f.WarmupDuration
		cold := listed && s.Started > 0 && f.at < warm
		if cold && (f.again == 0 || warm < f.again) {
			f.again = warm
		}
		if !listed || cold || s.State != balancer.Ready {
			lost = append(lost, id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.servers)) {
		if _, planned := f.plan.Load[name]; !planned {
			return nil, fmt.Sprintf("nominal weights: plan %d does not know node %s", f.plan.Version, name)
		}
	}
	slices.Sort(lost)
	// Nodes that carry nothing in the plan are no loss.
	lost = slices.DeleteFunc(lost, func(id string) bool { return f.plan.Load[id] == 0 })
	if len(lost) == 0 {
		return f.shares(f.plan.Load, f.plan.Flows), fmt.Sprintf("plan %d", f.plan.Version)
	}
	for _, c := range f.plan.Contingencies {
		left := slices.DeleteFunc(slices.Clone(c.Lost), func(id string) bool { return f.plan.Load[id] == 0 })
		if !slices.Equal(left, lost) {
			continue
		}
		if len(c.Flows) == 0 {
			break
		}
		load := maps.Clone(f.plan.Load)
		maps.Copy(load, c.Load)
		return f.shares(load, c.Flows), fmt.Sprintf("plan %d after the loss of %s", f.plan.Version, c.Name)
	}
	return nil, fmt.Sprintf("nominal weights: plan %d has no word for the loss of %s", f.plan.Version, strings.Join(lost, ", "))
}

// shares are what nodes are to carry of the load that comes through this gateway's zone: a zone's part of that, shared as its
// nodes share all that they carry. Where the zone brings none in the plan, nodes are weighed by all that they carry.
func (f *Applier) shares(load map[string]int64, flows []placement.Flow) map[string]float64 {
	zoneLoad, fromHere := map[string]int64{}, map[string]int64{}
	for id, n := range load {
		if s, listed := f.servers[id]; listed {
			zoneLoad[s.Zone] += n
		}
	}
	for _, w := range flows {
		if w.From == f.zone {
			fromHere[w.To] += w.Load
		}
	}
	weights := make(map[string]float64, len(load))
	for id, n := range load {
		w := float64(n)
		if len(fromHere) > 0 {
			z := f.servers[id].Zone
			w = float64(fromHere[z]) * float64(n) / float64(max(zoneLoad[z], 1))
		}
		weights[id] = max(w, none)
	}
	return weights
}
