package simulation

import (
	"reflect"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

func site(nodes, gateways int) Settings {
	s := Settings{
		Balancer: balancer.Settings{Gateways: gateways, MaxAttempts: 5, DrainGrace: 500 * time.Millisecond, WarmupDuration: 20 * time.Second,
			ColdOverloadFactor: 4, ColdOverloadDuration: time.Second, MaxRetryAfter: 2 * time.Second,
			Classes: []balancer.Class{{Name: "c", SetupLatencyObjective: 800 * time.Millisecond, Timeout: 3 * time.Second}}},
		NetworkDelay: time.Millisecond, DiscoveryDelay: time.Second, ArrivalRate: float64(nodes), MeanLifetime: 30 * time.Second, MeanLoad: 0.03,
		ReconnectDelay: 200 * time.Millisecond, AnswerSlack: 50 * time.Millisecond,
	}
	for range nodes {
		k := sample
		k.MaxConnections = 200
		s.Nodes = append(s.Nodes, k)
	}
	return s
}

func play(t testing.TB, seed uint64, s Settings, more func(*Fleet)) *Stats {
	t.Helper()
	f, err := NewFleet(seed, s)
	if err != nil {
		t.Fatal(err)
	}
	f.Run(2 * time.Minute)
	if more != nil {
		more(f)
	}
	tally := f.Run(2 * time.Minute)
	for _, b := range tally.Violations {
		t.Errorf("seed %d: %s", seed, b)
	}
	return tally
}

// On a quiet day nearly all that is wanted is served, and a run played again is the same to the last figure.
func TestQuietDay(t *testing.T) {
	a := play(t, 1, site(12, 3), nil)
	if a.ServedRatio() < 0.97 || a.Established < 2500 || a.Disconnected > 0 {
		t.Errorf("served %.3f: %+v", a.ServedRatio(), *a)
	}
	if b := play(t, 1, site(12, 3), nil); !reflect.DeepEqual(a, b) {
		t.Errorf("played again: %+v, not %+v", *b, *a)
	}
	if c := play(t, 2, site(12, 3), nil); c.Requests == a.Requests && c.ServedSeconds == a.ServedSeconds {
		t.Error("another seed plays alike")
	}
}

// A rolling deploy breaks no rule, tips no cold node, and costs service.
func TestDeploy(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		quiet := play(t, seed, site(12, 3), nil)
		deploy := play(t, seed, site(12, 3), func(f *Fleet) { f.Deploy(2*time.Second, 3*time.Second) })
		if deploy.Disconnected == 0 || deploy.ServedRatio() >= quiet.ServedRatio() || deploy.ServedRatio() < 0.5 {
			t.Errorf("seed %d: served %.3f on the quiet day, %.3f in a deploy with %d cut", seed, quiet.ServedRatio(), deploy.ServedRatio(), deploy.Disconnected)
		}
	}
}

// The checks see what breaks a rule: gateways that know of no drain, and cold nodes that bear less than the rules are told.
func TestChecksSeeBrokenRules(t *testing.T) {
	broken := func(change func(*Settings), more func(*Fleet)) int {
		s := site(12, 3)
		change(&s)
		f, err := NewFleet(1, s)
		if err != nil {
			t.Fatal(err)
		}
		f.Run(time.Minute)
		more(f)
		return len(f.Run(time.Minute).Violations)
	}
	deploy := func(f *Fleet) { f.Deploy(2*time.Second, 3*time.Second) }
	if broken(func(s *Settings) {
		s.Balancer.WarmupDuration = 0
		for i := range s.Nodes {
			s.Nodes[i].ColdOverloadFactor = 1
		}
	}, deploy) == 0 {
		t.Error("rules that know of no cold nodes tip none")
	}
	if broken(func(*Settings) {}, func(f *Fleet) {
		for _, g := range f.gateways {
			g.told[1] = f.scheduler.Now() // the gateways were told, their rules were not
		}
	}) == 0 {
		t.Error("sends to a node that drains were not seen")
	}
}

// BenchmarkFleet is a second of a fleet's day, at 10 connections a node.
func BenchmarkFleet(b *testing.B) {
	f, err := NewFleet(1, site(100, 10))
	if err != nil {
		b.Fatal(err)
	}
	f.Run(time.Minute)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.Run(time.Second)
	}
	b.ReportMetric(float64(len(f.Violations)), "broken")
}
