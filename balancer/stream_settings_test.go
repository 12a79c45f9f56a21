package balancer_test

import (
	"fmt"
	"time"

	"example.org/milletvane/balancer"
)

func (s *stream) drawSettings() balancer.Settings {
	rnd := s.rnd
	pick := func(values ...time.Duration) time.Duration { return values[rnd.IntN(len(values))] }
	figure := func(values ...float64) float64 { return values[rnd.IntN(len(values))] }
	set := balancer.Settings{
		Seed: rnd.Uint64(), Gateways: []int{0, 1, 2, 3, 10, 80, 300}[rnd.IntN(7)],
		MaxAttempts:        []int{0, 2, 3, 5}[rnd.IntN(4)],
		FlowRetention:      pick(0, 2*time.Second, 10*time.Second, 11*time.Minute),
		DrainGrace:         pick(0, 500*time.Millisecond, 2*time.Second),
		WarmupDuration:     pick(0, 3*time.Second, 8*time.Second, 20*time.Second),
		ColdOverloadFactor: figure(0, 2, 4.5), ColdOverloadDuration: pick(0, 2*time.Second),
		RemovalIsAdvisory: s.oneIn(2), MaxRetryAfter: pick(0, time.Second, 3*time.Second),
		CanPollLoad:           s.oneIn(2),
		OverQuotaWeightFactor: figure(0, 0.2, 0.7),
	}
	if s.oneIn(2) {
		set.RetryBudgetWindow = pick(time.Second, 5*time.Second)
		set.RetryBudgetMin, set.RetryBudgetRatio = figure(0, 3, 8), figure(0.05, 0.1, 0.6)
	}
	set.Classes = []balancer.Class{
		{
			Name: "idempotent", Idempotency: balancer.Idempotent, PriorityWeight: figure(0, 1, 3),
			SetupLatencyObjective:   pick(0, 150*time.Millisecond),
			MessageLatencyObjective: pick(0, 60*time.Millisecond, 90*time.Millisecond),
		},
		{
			Name: "with key", Idempotency: balancer.WithIdempotencyKey,
			DedupScope: balancer.DedupScope(rnd.IntN(3)), PriorityWeight: figure(1, 8),
			DedupWindow:           pick(time.Second, 10*time.Second),
			SetupLatencyObjective: pick(0, 100*time.Millisecond),
		},
		{
			Name: "non-idempotent", Idempotency: balancer.NonIdempotent,
			PriorityWeight: figure(0, 0.5, 2), Timeout: time.Second,
		},
		{
			Name: "with key everywhere", Idempotency: balancer.WithIdempotencyKey,
			DedupScope: balancer.DedupScopeAll, PriorityWeight: 1,
			DedupWindow:             pick(700*time.Millisecond, 4*time.Second),
			MessageLatencyObjective: pick(0, 45*time.Millisecond, 120*time.Millisecond),
		},
	}
	if s.oneIn(2) {
		set.Tenants = []balancer.Tenant{
			{Name: "small", ConnectionQuota: figure(2, 20)},
			{Name: "large", ConnectionQuota: 500},
			{Name: "free"},
		}
	}
	return set
}

func (s *stream) newBalancer() *balancer.Balancer {
	s.t.Helper()
	b, err := balancer.New(s.settings)
	if err != nil {
		s.t.Fatal(err)
	}
	return b
}

func (s *stream) drawFleet() {
	s.groups = []int{0, 1, 3, 12, 60}[s.rnd.IntN(5)]
	s.faults = []int{1, 4, 12, 25}[s.rnd.IntN(4)]
	s.usual, s.flaky = condition(s.rnd.IntN(int(conditions))), s.oneIn(4)
	s.pace = []time.Duration{2, 8, 25, 70}[s.rnd.IntN(4)] * time.Millisecond
	for range []int{1, 2, 4, 7, 12, 25}[s.rnd.IntN(6)] {
		s.addHost()
	}
	if s.oneIn(2) { // a fleet of which a part has just been started
		for _, h := range s.hosts {
			if !s.oneIn(3) {
				h.Started = s.now - s.upTo(5*time.Second)
			}
		}
	}
}

func (s *stream) addHost() *host {
	h := &host{
		Server: balancer.Server{
			ID: s.nextHost, Zone: fmt.Sprint("zone ", s.rnd.IntN(2)), Cell: s.rnd.IntN(3),
			Capacity: []float64{1, 1, 1, 0, 0.3, 2.5}[s.rnd.IntN(6)],
		},
		others:   s.rnd.Float64() * 0.7,
		capacity: 5 + 60*s.rnd.Float64(),
	}
	s.nextHost += balancer.ServerID(1 + s.rnd.IntN(5))
	s.hosts = append(s.hosts, h)
	s.hostByID[h.ID] = h
	return h
}

// start feeds the first list, for some streams only after requests that have to wait for it.
func (s *stream) start() {
	mode := balancer.ListMode(s.rnd.IntN(3))
	if s.oneIn(4) {
		for range 1 + s.rnd.IntN(6) {
			s.sendRequest(s.drawRequest())
			s.wait(s.upTo(200 * time.Millisecond))
		}
	}
	s.feedList(mode, s.entries())
	s.listed = true
	if s.oneIn(6) { // a group whose members come at once
		s.burst(20 + s.rnd.IntN(60))
	}
}

func (s *stream) entries() []balancer.Server {
	var list []balancer.Server
	for _, h := range s.hosts {
		list = append(list, h.Server)
	}
	return list
}

func (s *stream) feedList(mode balancer.ListMode, servers []balancer.Server) {
	list := balancer.EndpointList{Mode: mode, Servers: servers}
	if len(s.pastLists) < 6 {
		s.pastLists = append(s.pastLists, list)
	}
	s.feed([]string{"list of changes", "complete list", "cached list"}[mode], list)
}
