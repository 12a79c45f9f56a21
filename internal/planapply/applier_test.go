package planapply

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/placement"
)

const nominalWeight = 7

func testServer(number int, zone string, state balancer.ServerState) engine.Server {
	return engine.Server{
		Name: fmt.Sprint("n", number),
		Server: balancer.Server{
			ID:       balancer.ServerID(number),
			Zone:     zone,
			State:    state,
			Capacity: nominalWeight,
		},
	}
}

func completeList(servers ...engine.Server) engine.EndpointList {
	return engine.EndpointList{Mode: balancer.ListComplete, Servers: servers}
}

func delta(servers ...engine.Server) engine.EndpointList {
	return engine.EndpointList{Mode: balancer.ListDelta, Servers: servers}
}

// testPlan returns a plan for nodes n1 and n2 in zone a and n3 in zone b. Clients of zone a cause a load of 90, of which 30
// goes to zone b. Clients of zone b cause a load of 20.
func testPlan() *operator.Plan {
	return &operator.Plan{
		Version: 4,
		Load:    map[string]int64{"n1": 40, "n2": 20, "n3": 50},
		Flows: []placement.Flow{
			{Class: "x", From: "a", To: "a", Load: 60},
			{Class: "x", From: "a", To: "b", Load: 30},
			{Class: "x", From: "b", To: "b", Load: 20},
		},
		Contingencies: []operator.PlanContingency{
			{
				Name: "node n1",
				Lost: []string{"n1"},
				Load: map[string]int64{"n1": 0, "n2": 50, "n3": 60},
				Flows: []placement.Flow{
					{Class: "x", From: "a", To: "a", Load: 50},
					{Class: "x", From: "a", To: "b", Load: 40},
					{Class: "x", From: "b", To: "b", Load: 20},
				},
			},
			{Name: "zone b", Lost: []string{"n3"}, Shortfall: 110},
		},
	}
}

// engineWeights holds the weight of each server that an engine has after all lists that it received.
type engineWeights map[string]float64

func (w engineWeights) receive(list engine.EndpointList) {
	if list.Mode != balancer.ListDelta {
		clear(w)
	}
	for _, server := range list.Servers {
		if server.State == balancer.Removed {
			delete(w, server.Name)
		} else {
			w[server.Name] = server.Capacity
		}
	}
}

func TestApplierFollowsPlanAndContingencies(t *testing.T) {
	complete := completeList(testServer(1, "a", balancer.Ready), testServer(2, "a", balancer.Ready),
		testServer(3, "b", balancer.Ready))
	steps := []struct {
		name        string
		list        engine.EndpointList
		wantSource  string
		wantWeights engineWeights
	}{
		{"all nodes", complete, "plan 4", engineWeights{"n1": 40, "n2": 20, "n3": 30}},
		{"empty delta", delta(), "", engineWeights{"n1": 40, "n2": 20, "n3": 30}},
		{
			"node draining", delta(testServer(1, "a", balancer.Draining)),
			"plan 4 after the loss of node n1",
			engineWeights{"n1": noLoadWeight, "n2": 50, "n3": 40},
		},
		{"node removed", delta(testServer(1, "a", balancer.Removed)), "", engineWeights{"n2": 50, "n3": 40}},
		{
			"loss without a contingency", delta(testServer(3, "b", balancer.Draining)),
			"nominal weights: plan 4 has no contingency for the loss of n1, n3",
			engineWeights{"n2": 7, "n3": 7},
		},
		{"all nodes again", complete, "plan 4", engineWeights{"n1": 40, "n2": 20, "n3": 30}},
		{
			"node that the plan does not have", delta(testServer(9, "b", balancer.Ready)),
			"nominal weights: plan 4 does not know node n9",
			engineWeights{"n1": 7, "n2": 7, "n3": 7, "n9": 7},
		},
	}
	var applier Applier
	weights := engineWeights{}
	applier.SetPlan(0, testPlan(), "a")
	for _, step := range steps {
		list, source := applier.Apply(0, step.list)
		weights.receive(list)
		if source != step.wantSource {
			t.Errorf("%s: got source %q, want %q", step.name, source, step.wantSource)
		}
		if diff := cmp.Diff(step.wantWeights, weights); diff != "" {
			t.Errorf("%s: weights (-want +got):\n%s", step.name, diff)
		}
	}

	list, _ := applier.SetPlan(0, nil, "")
	weights.receive(list)
	if diff := cmp.Diff(engineWeights{"n1": 7, "n2": 7, "n3": 7, "n9": 7}, weights); diff != "" {
		t.Errorf("without a plan: weights (-want +got):\n%s", diff)
	}
}

// Guards against weights that depend on the way in which a gateway got its list: a complete list and the deltas that lead to
// it must give the same weights.
func TestGatewaysOfOneZoneGetEqualWeights(t *testing.T) {
	zones := map[int]string{1: "a", 2: "a", 3: "b", 4: "b"}
	rapid.Check(t, func(t *rapid.T) {
		var byDelta, byCompleteList Applier
		zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
		plan := testPlan()
		byDelta.SetPlan(0, plan, zone)
		byCompleteList.SetPlan(0, plan, zone)

		deltaWeights := engineWeights{}
		states := map[int]balancer.ServerState{}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			number := rapid.IntRange(1, 4).Draw(t, "node")
			states[number] = balancer.ServerState(rapid.IntRange(0, 2).Draw(t, "state"))
			list, _ := byDelta.Apply(0, delta(testServer(number, zones[number], states[number])))
			deltaWeights.receive(list)
		}

		complete := completeList()
		for number := 4; number > 0; number-- {
			if state, known := states[number]; known && state != balancer.Removed {
				complete.Servers = append(complete.Servers, testServer(number, zones[number], state))
			}
		}
		completeWeights := engineWeights{}
		list, _ := byCompleteList.Apply(0, complete)
		completeWeights.receive(list)

		if diff := cmp.Diff(completeWeights, deltaWeights); diff != "" {
			t.Fatalf("weights (-complete list +deltas):\n%s", diff)
		}
	})
}

// A plan for 14 nodes with a list of only 9 of them is a loss for which the plan has no contingency, so that the listed
// weights must stay.
func TestPlanForAnotherFleetLeavesNominalWeights(t *testing.T) {
	plan := &operator.Plan{
		Version: 1,
		Load:    map[string]int64{},
		Flows:   []placement.Flow{{Class: "x", From: "a", To: "a", Load: 14}},
	}
	complete := completeList()
	for number := range 14 {
		plan.Load[fmt.Sprint("n", number)] = 1
		if number < 9 {
			complete.Servers = append(complete.Servers, testServer(number, "a", balancer.Ready))
		}
	}
	var applier Applier
	applier.SetPlan(0, plan, "a")
	list, source := applier.Apply(0, complete)
	wantSource := "nominal weights: plan 1 has no contingency for the loss of n10, n11, n12, n13, n9"
	if !strings.HasPrefix(source, wantSource) {
		t.Errorf("got source %q, want one that begins with %q", source, wantSource)
	}
	if diff := cmp.Diff(complete.Servers, list.Servers); diff != "" {
		t.Errorf("servers (-want +got):\n%s", diff)
	}
}

func TestStartedNodeCountsAsLostUntilWarm(t *testing.T) {
	applier := Applier{WarmupDuration: 10 * time.Second}
	applier.SetPlan(time.Hour, testPlan(), "a")
	started := testServer(1, "a", balancer.Ready)
	started.Started = time.Hour - 4*time.Second
	weights := engineWeights{}

	list, source := applier.Apply(time.Hour,
		completeList(started, testServer(2, "a", balancer.Ready), testServer(3, "b", balancer.Ready)))
	weights.receive(list)
	at, ok := applier.NextWarmup()
	if source != "plan 4 after the loss of node n1" || weights["n1"] != noLoadWeight {
		t.Fatalf("while cold: got source %q, weights %v; want those without n1", source, weights)
	}
	if want := time.Hour + 6*time.Second; !ok || at != want {
		t.Fatalf("got next warmup at %v, %t; want %v, true", at, ok, want)
	}

	list, source = applier.Refresh(time.Hour + 5*time.Second)
	if len(list.Servers) != 0 || source != "" {
		t.Errorf("before the warmup ends: got source %q, %d servers; want no change", source, len(list.Servers))
	}

	list, source = applier.Refresh(time.Hour + 6*time.Second)
	weights.receive(list)
	if source != "plan 4" || weights["n1"] != 40 {
		t.Errorf("once warm: got source %q, weights %v; want those of the plan", source, weights)
	}
	if at, ok := applier.NextWarmup(); ok {
		t.Errorf("once warm: got next warmup at %v, want none", at)
	}
}

// Guards against a list whose version is lost between the gateway and the engine.
func TestAppliedListsKeepTheirVersion(t *testing.T) {
	a := Applier{}
	list := completeList(testServer(1, "a", balancer.Ready))
	list.Version = 41
	if got, _ := a.Apply(0, list); got.Version != 41 {
		t.Errorf("got version %d, want 41", got.Version)
	}
	if got, _ := a.SetPlan(0, testPlan(), "a"); got.Version != 0 {
		t.Errorf("got version %d for a change of weights alone, want 0", got.Version)
	}
	if weight, ok := a.ListedWeight("n1"); !ok || weight != nominalWeight {
		t.Errorf("got listed weight %v, %t; want 7, true", weight, ok)
	}
	if _, ok := a.ListedWeight("n9"); ok {
		t.Error("got a weight for a server that is not listed, want none")
	}
}
