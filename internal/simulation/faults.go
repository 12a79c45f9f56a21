package simulation

import (
	"cmp"
	"slices"
	"time"

	"example.org/milletvane/balancer"
)

// Drain lets a node accept no new connections, and restarts it, cold, after a delay. Nodes count from 0.
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

// Deploy drains and restarts all nodes, one each interval.
func (f *Fleet) Deploy(interval, restartDelay time.Duration) {
	for i := range f.servers {
		f.scheduler.After(time.Duration(i)*interval, func() { f.Drain(i, restartDelay) })
	}
}

// AddNoisyNeighbour takes a part of a node's capacity, from 0 to 1, for a duration. Nodes count from 0.
func (f *Fleet) AddNoisyNeighbour(node int, ratio float64, d time.Duration) {
	f.servers[node].SetNeighbourRatio(ratio)
	f.scheduler.After(d, func() { f.servers[node].SetNeighbourRatio(0) })
}

// publishEndpoint gives every gateway the present state of a server after the DiscoveryDelay.
func (f *Fleet) publishEndpoint(s *server) {
	endpoint := s.endpoint()
	f.scheduler.After(f.settings.DiscoveryDelay, func() {
		for _, g := range f.gateways {
			g.updateEndpoint(endpoint)
		}
	})
}

// disconnectAll resets all connections of a server.
func (f *Fleet) disconnectAll(s *server) {
	lost := make([]*request, 0, len(s.established))
	for r := range s.established {
		lost = append(lost, r)
	}
	slices.SortFunc(lost, func(a, b *request) int { // the order of a map would make runs differ
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.client.key, b.client.key))
	})
	for _, r := range lost {
		f.Disconnected++
		r.endAttempt(balancer.Reset)
		f.reconnect(r.client, 0)
	}
}
