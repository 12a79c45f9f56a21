package simulation

import (
	"cmp"
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// This file is what happens to nodes: drains, restarts and the word of them.

func (m *machine) entry() balancer.Server {
	s := balancer.Server{ID: m.id, Capacity: 1}
	if m.draining {
		s.State = balancer.Draining
	}
	if !m.warm {
		s.Started = m.started
	}
	return s
}

// list tells every gateway of a node, each after the lag.
func (f *Fleet) list(m *machine) {
	entry := m.entry()
	f.scheduler.After(f.site.DiscoveryDelay, func() {
		for _, g := range f.gateways {
			if entry.State != balancer.Draining {
				delete(g.told, entry.ID)
			} else if _, known := g.told[entry.ID]; !known {
				g.told[entry.ID] = f.scheduler.Now()
			}
			g.tell(balancer.EndpointList{Mode: balancer.ListDelta, Servers: []balancer.Server{entry}})
		}
	})
}

// cut ends all that a node holds without a word.
func (f *Fleet) cut(m *machine) {
	held := make([]*call, 0, len(m.open))
	for r := range m.open {
		held = append(held, r)
	}
	slices.SortFunc(held, func(a, b *call) int { // not in the map's order: a run can be played again
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.client.key, b.client.key))
	})
	for _, r := range held {
		f.Disconnected++
		c := r.client
		r.over(balancer.Reset)
		f.again(c, 0)
	}
}

// Drain has a node take nothing new, and Restart has it begin anew, cold, some time later.
func (f *Fleet) Drain(node int, restart time.Duration) {
	m := f.nodes[node]
	m.draining, m.since = true, f.scheduler.Now()
	f.list(m)
	f.scheduler.After(restart, func() {
		f.cut(m)
		m.draining, m.since = false, f.scheduler.Now()
		m.Node.Restart(f.scheduler.Now())
		f.list(m)
	})
}

// Deploy drains and restarts the nodes one after another.
func (f *Fleet) Deploy(every, drain time.Duration) {
	for i := range f.nodes {
		f.scheduler.After(time.Duration(i)*every, func() { f.Drain(i, drain) })
	}
}

// AddNoisyNeighbour takes a part of a node's power for a time.
func (f *Fleet) AddNoisyNeighbour(node int, part float64, d time.Duration) {
	f.nodes[node].SetNeighbourRatio(part)
	f.scheduler.After(d, func() { f.nodes[node].SetNeighbourRatio(0) })
}
