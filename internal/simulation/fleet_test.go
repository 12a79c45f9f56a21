package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
)

func sampleSettings(nodes, gateways int) Settings {
	s := Settings{
		Balancer: balancer.Settings{
			Gateways: gateways, MaxAttempts: 5, DrainGrace: 500 * time.Millisecond, WarmupDuration: 20 * time.Second,
			ColdOverloadFactor: 4, ColdOverloadDuration: time.Second, MaxRetryAfter: 2 * time.Second,
			Classes: []balancer.Class{{
				Name: "c", SetupLatencyObjective: 800 * time.Millisecond, Timeout: 3 * time.Second,
			}},
		},
		NetworkDelay: time.Millisecond, DiscoveryDelay: time.Second, ArrivalRate: float64(nodes),
		MeanLifetime: 30 * time.Second, MeanLoad: 0.03,
		ReconnectDelay: 200 * time.Millisecond, AnswerSlack: 50 * time.Millisecond,
	}
	for range nodes {
		n := sampleNode
		n.MaxConnections = 200
		s.Nodes = append(s.Nodes, n)
	}
	return s
}

// runFleet runs a fleet for two minutes, applies the faults unless they are nil, and runs the fleet for two more minutes. It
// fails the test if the fleet reports violations.
func runFleet(t *testing.T, seed uint64, s Settings, faults func(*Fleet)) *Stats {
	t.Helper()
	f, err := NewFleet(seed, s)
	if err != nil {
		t.Fatal(err)
	}
	f.Run(2 * time.Minute)
	if faults != nil {
		faults(f)
	}
	stats := f.Run(2 * time.Minute)
	for _, violation := range stats.Violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
	return stats
}

func deployAll(f *Fleet) { f.Deploy(2*time.Second, 3*time.Second) }

// Guards against lost service without faults, and against runs with the same seed that give different results.
func TestFleetWithoutFaults(t *testing.T) {
	first := runFleet(t, 1, sampleSettings(12, 3), nil)
	if first.ServedRatio() < 0.97 || first.Established < 2500 || first.Disconnected > 0 {
		t.Errorf("got served ratio %.3f and stats %+v, want at least 0.97, 2500 established and none disconnected",
			first.ServedRatio(), *first)
	}
	if diff := cmp.Diff(first, runFleet(t, 1, sampleSettings(12, 3), nil)); diff != "" {
		t.Errorf("stats of two runs with the same seed differ (-first +second):\n%s", diff)
	}
	other := runFleet(t, 2, sampleSettings(12, 3), nil)
	if other.Requests == first.Requests && other.ServedSeconds == first.ServedSeconds {
		t.Error("runs with different seeds have the same stats")
	}
}

// Guards against balancers that break rules or overload cold nodes in a rolling deploy, and against a simulated deploy that
// does not reduce the service.
func TestDeployReducesService(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			quiet := runFleet(t, seed, sampleSettings(12, 3), nil)
			deploy := runFleet(t, seed, sampleSettings(12, 3), deployAll)
			served := deploy.ServedRatio()
			if deploy.Disconnected == 0 || served >= quiet.ServedRatio() || served < 0.5 {
				t.Errorf("got served ratio %.3f, in a deploy %.3f, %d disconnected, want a lower ratio of at least 0.5, some disconnected",
					quiet.ServedRatio(), served, deploy.Disconnected)
			}
		})
	}
}

// Guards against checks of a fleet that miss broken rules.
func TestViolationsAreFound(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Settings)
		faults func(*Fleet)
	}{
		{
			"balancers without warm-up crash cold nodes",
			func(s *Settings) {
				s.Balancer.WarmupDuration = 0
				for i := range s.Nodes {
					s.Nodes[i].ColdOverloadFactor = 1
				}
			},
			deployAll,
		},
		{
			"balancers unaware of a drain send to the node",
			func(*Settings) {},
			func(f *Fleet) {
				for _, g := range f.gateways {
					g.drainingSince[1] = f.scheduler.Now()
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := sampleSettings(12, 3)
			test.change(&s)
			f, err := NewFleet(1, s)
			if err != nil {
				t.Fatal(err)
			}
			f.Run(time.Minute)
			test.faults(f)
			if stats := f.Run(time.Minute); len(stats.Violations) == 0 {
				t.Error("got no violation, want at least one")
			}
		})
	}
}

// Guards against a wrong bound: a request may be sent to a draining node until DrainGrace has passed, and not later.
func TestSendAfterDrainGraceIsAViolation(t *testing.T) {
	grace := sampleSettings(1, 1).Balancer.DrainGrace
	for _, test := range []struct {
		name  string
		after time.Duration
		want  []string
	}{
		{"at the end of the grace", grace, nil},
		{"after the grace", grace + 1, []string{
			"500.000001ms: request 7 is sent to node 1, known to be draining for 500.000001ms",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := sampleSettings(1, 1)
			s.ArrivalRate = 1e-6 // no request but the test's own
			f, err := NewFleet(1, s)
			if err != nil {
				t.Fatal(err)
			}
			g := f.gateways[0]
			g.drainingSince[1] = f.scheduler.Now()
			f.Run(test.after)
			g.requests[7] = &request{gateway: g, client: &client{}, id: 7, deadline: f.scheduler.Now() + time.Second}
			g.send(balancer.Send{ID: 7, Server: 1})
			if diff := cmp.Diff(test.want, f.Violations); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkFleet measures one simulated second of a fleet with 30 connections per node.
func BenchmarkFleet(b *testing.B) {
	f, err := NewFleet(1, sampleSettings(100, 10))
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
