package balancer_test

import (
	"fmt"
	"time"

	"example.org/milletvane/balancer"
)

func (s *stream) drawSettings() balancer.Settings {
	rnd := s.rnd
	pickDuration := func(values ...time.Duration) time.Duration { return values[rnd.IntN(len(values))] }
	pickFloat := func(values ...float64) float64 { return values[rnd.IntN(len(values))] }
	settings := balancer.Settings{
		Seed: rnd.Uint64(), Gateways: []int{0, 1, 2, 3, 10, 80, 300}[rnd.IntN(7)],
		MaxAttempts:        []int{0, 2, 3, 5}[rnd.IntN(4)],
		FlowRetention:      pickDuration(0, 2*time.Second, 10*time.Second, 11*time.Minute),
		DrainGrace:         pickDuration(0, 500*time.Millisecond, 2*time.Second),
		WarmupDuration:     pickDuration(0, 3*time.Second, 8*time.Second, 20*time.Second),
		ColdOverloadFactor: pickFloat(0, 2, 4.5), ColdOverloadDuration: pickDuration(0, 2*time.Second),
		RemovalIsAdvisory: s.oneIn(2), MaxRetryAfter: pickDuration(0, time.Second, 3*time.Second),
		CanPollLoad:           s.oneIn(2),
		OverQuotaWeightFactor: pickFloat(0, 0.2, 0.7),
	}
	if s.oneIn(2) {
		settings.RetryBudgetWindow = pickDuration(time.Second, 5*time.Second)
		settings.RetryBudgetMin, settings.RetryBudgetRatio = pickFloat(0, 3, 8), pickFloat(0.05, 0.1, 0.6)
	}
	settings.Classes = []balancer.Class{
		{
			Name: "idempotent", Idempotency: balancer.Idempotent, PriorityWeight: pickFloat(0, 1, 3),
			SetupLatencyObjective:   pickDuration(0, 150*time.Millisecond),
			MessageLatencyObjective: pickDuration(0, 60*time.Millisecond, 90*time.Millisecond),
		},
		{
			Name: "with key", Idempotency: balancer.WithIdempotencyKey,
			DedupScope: balancer.DedupScope(rnd.IntN(3)), PriorityWeight: pickFloat(1, 8),
			DedupWindow:           pickDuration(time.Second, 10*time.Second),
			SetupLatencyObjective: pickDuration(0, 100*time.Millisecond),
		},
		{
			Name: "non-idempotent", Idempotency: balancer.NonIdempotent,
			PriorityWeight: pickFloat(0, 0.5, 2), Timeout: time.Second,
		},
		{
			Name: "with key everywhere", Idempotency: balancer.WithIdempotencyKey,
			DedupScope: balancer.DedupScopeAll, PriorityWeight: 1,
			DedupWindow:             pickDuration(700*time.Millisecond, 4*time.Second),
			MessageLatencyObjective: pickDuration(0, 45*time.Millisecond, 120*time.Millisecond),
		},
	}
	if s.oneIn(2) {
		settings.Tenants = []balancer.Tenant{
			{Name: "small", ConnectionQuota: pickFloat(2, 20)},
			{Name: "large", ConnectionQuota: 500},
			{Name: "free"},
		}
	}
	return settings
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
	s.groupCount = []int{0, 1, 3, 12, 60}[s.rnd.IntN(5)]
	s.faultPercent = []int{1, 4, 12, 25}[s.rnd.IntN(4)]
	s.commonFault, s.rejectsHalf = condition(s.rnd.IntN(int(numConditions))), s.oneIn(4)
	s.meanStep = []time.Duration{2, 8, 25, 70}[s.rnd.IntN(4)] * time.Millisecond
	for range []int{1, 2, 4, 7, 12, 25}[s.rnd.IntN(6)] {
		s.addServer()
	}
	if s.oneIn(2) { // part of the fleet has just started
		for _, server := range s.servers {
			if !s.oneIn(3) {
				server.Started = s.now - s.randomDuration(5*time.Second)
			}
		}
	}
}

func (s *stream) addServer() *fakeServer {
	server := &fakeServer{
		Server: balancer.Server{
			ID: s.nextServerID, Zone: fmt.Sprint("zone ", s.rnd.IntN(2)), Cell: s.rnd.IntN(3),
			Capacity: []float64{1, 1, 1, 0, 0.3, 2.5}[s.rnd.IntN(6)],
		},
		otherUtilization:   s.rnd.Float64() * 0.7,
		connectionCapacity: 5 + 60*s.rnd.Float64(),
	}
	s.nextServerID += balancer.ServerID(1 + s.rnd.IntN(5))
	s.servers = append(s.servers, server)
	s.serverByID[server.ID] = server
	return server
}

// feedFirstList feeds the first list. In some streams, requests arrive before it and have to wait.
func (s *stream) feedFirstList() {
	mode := balancer.ListMode(s.rnd.IntN(3))
	if s.oneIn(4) {
		for range 1 + s.rnd.IntN(6) {
			s.sendRequest(s.drawRequest())
			s.advance(s.randomDuration(200 * time.Millisecond))
		}
	}
	s.feedList(mode, s.listEntries())
	s.hasList = true
	if s.oneIn(6) { // the members of a group arrive at once
		s.burst(20 + s.rnd.IntN(60))
	}
}

func (s *stream) listEntries() []balancer.Server {
	var list []balancer.Server
	for _, server := range s.servers {
		list = append(list, server.Server)
	}
	return list
}

func (s *stream) feedList(mode balancer.ListMode, servers []balancer.Server) {
	list := balancer.EndpointList{Mode: mode, Servers: servers}
	if len(s.pastLists) < 6 {
		s.pastLists = append(s.pastLists, list)
	}
	s.feed([]string{"list delta", "complete list", "cached list"}[mode], list)
}
