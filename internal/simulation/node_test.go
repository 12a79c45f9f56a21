package simulation

import (
	"errors"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var sampleNode = NodeSettings{
	Cores: 2, Speed: 1.5, ColdCapacityRatio: 0.2, WarmupDuration: 20 * time.Second, MaxConnections: 40,
	FullOverheadRatio: 0.1, ColdOverloadFactor: 4, ColdOverloadDuration: time.Second, ColdOverloadAllowance: 0.1,
}

func newNode(t *testing.T, s NodeSettings) *Node {
	t.Helper()
	n, err := NewNode("s-1", s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestCapacityDependsOnWarmupNeighboursAndConnections(t *testing.T) {
	n := newNode(t, sampleNode)
	checkNear := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
	checkNear("warm", n.Capacity(0), 3)
	n.SetNeighbourRatio(0.5)
	checkNear("with a neighbour", n.Capacity(0), 1.5)
	n.Restart(time.Minute)
	checkNear("cold, with a neighbour", n.Capacity(time.Minute), 0.3)
	n.SetNeighbourRatio(0)
	checkNear("half warm", n.Capacity(time.Minute+10*time.Second), 1.8)
	checkNear("warm again", n.Capacity(2*time.Minute), 3)
	for range 40 {
		if result := n.Connect(2*time.Minute, 0.1); result != Accepted {
			t.Fatalf("connect: got result %v, want %v", result, Accepted)
		}
	}
	checkNear("full", n.Capacity(2*time.Minute), 2.7)
	checkNear("utilization", n.Utilization(2*time.Minute), 4/2.7)
	if result := n.Connect(2*time.Minute, 0.1); result != Rejected || n.Connections() != 40 {
		t.Errorf("connect to a full node: got result %v, %d connections, want %v and 40", result, n.Connections(), Rejected)
	}
}

// Guards against a wrong cold overload limit: a cold node crashes above the limit and not below it, and a warm node never
// crashes. The limit is a multiple of the load that would fill the node evenly over its warm-up.
func TestColdNodeCrashesOnOverload(t *testing.T) {
	limit := 4*2*1.5/20 + 0.1 // load offered within one second, in reference cores
	for _, test := range []struct {
		name   string
		load   float64
		wantUp bool
	}{
		{"below the limit", 0.9 * limit, true},
		{"above the limit", 1.1 * limit, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(t, sampleNode)
			n.Restart(0)
			for range 10 {
				n.Connect(100*time.Millisecond, test.load/10)
			}
			if n.Up() != test.wantUp {
				t.Errorf("load of %.3f in a second: got unexpected Up %t", test.load, n.Up())
			}
			if !test.wantUp && (n.Connections() != 0 || n.Connect(time.Minute, 0.01) != Unreachable) {
				t.Error("a crashed node has connections or is reachable")
			}
		})
	}
	t.Run("warm", func(t *testing.T) {
		n := newNode(t, sampleNode)
		for range 30 {
			n.Connect(0, 1)
		}
		if !n.Up() {
			t.Error("a warm node crashed")
		}
	})
}

// Guards against errors in the running total of recent load: a cold node counts the load of the last ColdOverloadDuration.
// The test compares the total with a sum over all offers.
func TestColdOverloadWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := sampleNode
		s.ColdOverloadAllowance = 1e9 // count, but never crash
		n := newNode(t, s)
		n.Restart(0)
		var all []offeredLoad
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(rt, "offers") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			load := float64(rapid.IntRange(0, 16).Draw(rt, "load")) / 16
			n.Connect(now, load)
			all = append(all, offeredLoad{at: now, load: load})
			want := 0.0
			for _, offered := range all {
				if offered.at > now-s.ColdOverloadDuration {
					want += offered.load
				}
			}
			if now < s.WarmupDuration && n.recentOfferedLoad != want {
				rt.Fatalf("at %v: got recent load %v, want %v", now, n.recentOfferedLoad, want)
			}
		}
	})
}

func TestNodeSettingsOutOfRange(t *testing.T) {
	for name, s := range map[string]NodeSettings{
		"zero":                {},
		"no speed":            {Cores: 1},
		"cold capacity ratio": {Cores: 1, Speed: 1, ColdCapacityRatio: 2},
		"not a number":        {Cores: math.NaN(), Speed: 1},
		"full overhead ratio": {Cores: 1, Speed: 1, FullOverheadRatio: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := NewNode("x", s); !errors.Is(err, ErrNodeSettings) {
				t.Errorf("%+v: got error %v, want %v", s, err, ErrNodeSettings)
			}
		})
	}
}
