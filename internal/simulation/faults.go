package simulation

import (
	"cmp"
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// Drain makes a node reject new connections, and restarts it cold after a delay. Nodes are numbered from 0.
func (f *Fleet) Drain(node int, restartDelay time.Duration) {
	s := f.servers[node]
	s.draining, s.stateSince = true, f.scheduler.Now()
	f.publishEndpoint(s)
	f.scheduler.After(restartDelay, func() {
		f.disconnectAll(s)
		s.draining, s.stateSince = false, f.scheduler.Now()
		s.Restart(f.scheduler.Now())
		f.publishEndpoint(s)
	})
}

// Deploy drains and restarts all nodes, one per interval.
func (f *Fleet) Deploy(interval, restartDelay time.Duration) {
	for i := range f.servers {
		f.scheduler.After(time.Duration(i)*interval, func() { f.Drain(i, restartDelay) })
	}
}

// AddNoisyNeighbour reduces a node's capacity for duration d. The ratio is the fraction of the capacity that is taken, from
// 0 to 1. Nodes are numbered from 0.
func (f *Fleet) AddNoisyNeighbour(node int, ratio float64, d time.Duration) {
	f.servers[node].SetNeighbourRatio(ratio)
	f.scheduler.After(d, func() { f.servers[node].SetNeighbourRatio(0) })
}

// publishEndpoint passes the present state of a server to every gateway after DiscoveryDelay.
func (f *Fleet) publishEndpoint(s *server) {
	endpoint := s.endpoint()
	f.scheduler.After(f.settings.DiscoveryDelay, func() {
		for _, g := range f.gateways {
			g.updateEndpoint(endpoint)
		}
	})
}

// disconnectAll resets all connections of a server. Their clients reconnect.
func (f *Fleet) disconnectAll(s *server) {
	lost := make([]*request, 0, len(s.established))
	for r := range s.established {
		lost = append(lost, r)
	}
	slices.SortFunc(lost, func(a, b *request) int { // the random order of a map would make runs with one seed differ
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.client.key, b.client.key))
	})
	for _, r := range lost {
		f.Disconnected++
		r.endAttempt(balancer.Reset)
		f.reconnect(r.client, 0)
	}
}
