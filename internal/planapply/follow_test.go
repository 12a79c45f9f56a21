package planapply

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/placement"
)

func server(i int, zone string, state balancer.ServerState) engine.Server {
	return engine.Server{Name: fmt.Sprint("n", i), Server: balancer.Server{ID: balancer.ServerID(i), Zone: zone, State: state, Capacity: 7}}
}

// plan is for n1 and n2 in a, n3 in b: clients of a bring 90, of which 30 go to b; clients of b bring 20.
func plan() *operator.Plan {
	return &operator.Plan{Version: 4, Load: map[string]int64{"n1": 40, "n2": 20, "n3": 50},
		Flows: []placement.Flow{{Class: "x", From: "a", To: "a", Load: 60}, {Class: "x", From: "a", To: "b", Load: 30}, {Class: "x", From: "b", To: "b", Load: 20}},
		Contingencies: []operator.PlanContingency{
			{Name: "node n1", Lost: []string{"n1"}, Load: map[string]int64{"n1": 0, "n2": 50, "n3": 60},
				Flows: []placement.Flow{{Class: "x", From: "a", To: "a", Load: 50}, {Class: "x", From: "a", To: "b", Load: 40}, {Class: "x", From: "b", To: "b", Load: 20}}},
			{Name: "zone b", Lost: []string{"n3"}, Short: 110},
		}}
}

// told keeps what an engine would know after all lists.
type told map[string]float64

func (t told) take(l engine.EndpointList) {
	if l.Mode != balancer.ListDelta {
		clear(t)
	}
	for _, s := range l.Servers {
		if t[s.Name] = s.Capacity; s.State == balancer.Removed {
			delete(t, s.Name)
		}
	}
}

func TestGoesByThePlanAndItsContingencies(t *testing.T) {
	var f Applier
	know := told{}
	step := func(l engine.EndpointList, wantSaid string, want map[string]float64) {
		t.Helper()
		l, said := f.Apply(0, l)
		know.take(l)
		if !strings.HasPrefix(said, wantSaid) || wantSaid == "" && said != "" || fmt.Sprint(know) != fmt.Sprint(told(want)) {
			t.Errorf("said %q, knows %v; want %q, %v", said, know, wantSaid, want)
		}
	}
	f.SetPlan(0, plan(), "a")
	all := engine.EndpointList{Mode: balancer.ListComplete, Servers: []engine.Server{server(1, "a", balancer.Ready), server(2, "a", balancer.Ready), server(3, "b", balancer.Ready)}}
	step(all, "plan 4", map[string]float64{"n1": 40, "n2": 20, "n3": 30})
	step(engine.EndpointList{Mode: balancer.ListDelta}, "", map[string]float64{"n1": 40, "n2": 20, "n3": 30})
	step(engine.EndpointList{Mode: balancer.ListDelta, Servers: []engine.Server{server(1, "a", balancer.Draining)}}, "plan 4 after the loss of node n1",
		map[string]float64{"n1": none, "n2": 50, "n3": 40})
	step(engine.EndpointList{Mode: balancer.ListDelta, Servers: []engine.Server{server(1, "a", balancer.Removed)}}, "", map[string]float64{"n2": 50, "n3": 40})
	step(engine.EndpointList{Mode: balancer.ListDelta, Servers: []engine.Server{server(3, "b", balancer.Draining)}}, "nominal weights: plan 4 has no word for the loss of n1, n3",
		map[string]float64{"n2": 7, "n3": 7})
	step(all, "plan 4", map[string]float64{"n1": 40, "n2": 20, "n3": 30})
	step(engine.EndpointList{Mode: balancer.ListDelta, Servers: []engine.Server{server(9, "b", balancer.Ready)}}, "nominal weights: plan 4 does not know node n9",
		map[string]float64{"n1": 7, "n2": 7, "n3": 7, "n9": 7})
	l, _ := f.SetPlan(0, nil, "")
	know.take(l)
	if len(know) != 4 || know["n1"] != 7 {
		t.Errorf("without a plan: %v", know)
	}
}

// However a list comes, whole or in changes, gateways of a zone end with the same weights.
func TestGatewaysOfAZoneAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Applier
		zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
		p := plan()
		a.SetPlan(0, p, zone)
		b.SetPlan(0, p, zone)
		ka, kb := told{}, told{}
		states := map[int]balancer.ServerState{}
		zones := map[int]string{1: "a", 2: "a", 3: "b", 4: "b"}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			i := rapid.IntRange(1, 4).Draw(t, "node")
			states[i] = balancer.ServerState(rapid.IntRange(0, 2).Draw(t, "state"))
			l, _ := a.Apply(0, engine.EndpointList{Mode: balancer.ListDelta, Servers: []engine.Server{server(i, zones[i], states[i])}})
			ka.take(l)
		}
		whole := engine.EndpointList{Mode: balancer.ListComplete}
		for i := 4; i > 0; i-- {
			if s, known := states[i]; known && s != balancer.Removed {
				whole.Servers = append(whole.Servers, server(i, zones[i], s))
			}
		}
		l, _ := b.Apply(0, whole)
		kb.take(l)
		if fmt.Sprint(ka) != fmt.Sprint(kb) {
			t.Fatalf("by changes %v, whole %v", ka, kb)
		}
	})
}

// A plan for 14 nodes met by a list of 9 that it has no word for: the list's own weights, and the log says why.
func TestPlanForAnotherFleet(t *testing.T) {
	p := &operator.Plan{Version: 1, Load: map[string]int64{}, Flows: []placement.Flow{{Class: "x", From: "a", To: "a", Load: 14}}}
	l := engine.EndpointList{Mode: balancer.ListComplete}
	for i := range 14 {
		p.Load[fmt.Sprint("n", i)] = 1
		if i < 9 {
			l.Servers = append(l.Servers, server(i, "a", balancer.Ready))
		}
	}
	var f Applier
	f.SetPlan(0, p, "a")
	got, said := f.Apply(0, l)
	if !strings.HasPrefix(said, "nominal weights: plan 1 has no word for the loss of n10, n11, n12, n13, n9") || len(got.Servers) != 9 || got.Servers[0].Capacity != 7 {
		t.Errorf("%q, %+v", said, got.Servers)
	}
}

// A node that has just started counts as lost until it is warm; then, without another list, the plan holds again.
func TestColdNodesAreLostUntilWarm(t *testing.T) {
	f := Applier{WarmupDuration: 10 * time.Second}
	f.SetPlan(time.Hour, plan(), "a")
	fresh := server(1, "a", balancer.Ready)
	fresh.Started = time.Hour - 4*time.Second
	know := told{}
	l, said := f.Apply(time.Hour, engine.EndpointList{Mode: balancer.ListComplete, Servers: []engine.Server{fresh, server(2, "a", balancer.Ready), server(3, "b", balancer.Ready)}})
	know.take(l)
	if at, ok := f.NextWarmup(); said != "plan 4 after the loss of node n1" || know["n1"] != none || !ok || at != time.Hour+6*time.Second {
		t.Fatalf("%q, %v, again at %v", said, know, at)
	}
	if l, said = f.Tick(time.Hour + 5*time.Second); len(l.Servers) != 0 || said != "" {
		t.Errorf("too early: %q", said)
	}
	l, said = f.Tick(time.Hour + 6*time.Second)
	know.take(l)
	if _, ok := f.NextWarmup(); said != "plan 4" || know["n1"] != 40 || ok {
		t.Errorf("%q, %v", said, know)
	}
}
