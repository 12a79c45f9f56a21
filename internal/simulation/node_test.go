package simulation

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var sample = NodeSettings{Cores: 2, Speed: 1.5, ColdCapacityRatio: 0.2, WarmupDuration: 20 * time.Second, MaxConnections: 40, FullOverheadRatio: 0.1,
	ColdOverloadFactor: 4, ColdOverloadDuration: time.Second, ColdOverloadAllowance: 0.1}

func mustNode(t testing.TB, k NodeSettings) *Node {
	n, err := NewNode("s-1", k)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestPowerFollowsWarmthNeighboursAndCrowding(t *testing.T) {
	n := mustNode(t, sample)
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	near("warm", n.Capacity(0), 3)
	n.SetNeighbourRatio(0.5)
	near("with a neighbour", n.Capacity(0), 1.5)
	n.Restart(time.Minute)
	near("cold, with it", n.Capacity(time.Minute), 0.3)
	n.SetNeighbourRatio(0)
	near("half way", n.Capacity(time.Minute+10*time.Second), 1.8)
	near("after it", n.Capacity(2*time.Minute), 3)
	for range 40 {
		if v := n.Connect(2*time.Minute, 0.1); v != Accepted {
			t.Fatalf("turned away with %v", v)
		}
	}
	near("full", n.Capacity(2*time.Minute), 2.7)
	near("its load", n.Utilization(2*time.Minute), 4/2.7)
	if v := n.Connect(2*time.Minute, 0.1); v != Rejected || n.Connections() != 40 {
		t.Errorf("one over its cap: %v, it holds %d", v, n.Connections())
	}
}

// A cold node bears what fills it over its warm-up, and falls over at more than a multiple of that; a warm one does not.
func TestColdNodeTips(t *testing.T) {
	allowed := 4*2*1.5/20 + 0.1 // a second
	for _, c := range []struct {
		load float64
		up   bool
	}{{0.9 * allowed, true}, {1.1 * allowed, false}} {
		n := mustNode(t, sample)
		n.Restart(0)
		for range 10 {
			n.Connect(100*time.Millisecond, c.load/10)
		}
		if n.Up() != c.up {
			t.Errorf("sent %.3f in a second it is up: %t", c.load, n.Up())
		}
		if !c.up && (n.Connections() != 0 || n.Connect(time.Minute, 0.01) != Unreachable) {
			t.Error("one that fell over still holds or takes connections")
		}
	}
	n := mustNode(t, sample)
	for range 30 {
		n.Connect(0, 1)
	}
	if !n.Up() {
		t.Error("a warm node fell over")
	}
}

// The window of a cold node counts the last TipTime and nothing else, against a sum taken anew each time.
func TestTipWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		k := sample
		k.ColdOverloadAllowance = 1e9 // count, but bear all
		n := mustNode(t, k)
		n.Restart(0)
		var all []sending
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(rt, "sendings") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			load := float64(rapid.IntRange(0, 16).Draw(rt, "load")) / 16
			n.Connect(now, load)
			all = append(all, sending{now, load})
			want := 0.0
			for _, s := range all {
				if s.at > now-k.ColdOverloadDuration {
					want += s.load
				}
			}
			if now < k.WarmupDuration && n.window != want {
				rt.Fatalf("at %v the window holds %v, not %v", now, n.window, want)
			}
		}
	})
}

func TestKindsThatAreNone(t *testing.T) {
	for _, k := range []NodeSettings{{}, {Cores: 1}, {Cores: 1, Speed: 1, ColdCapacityRatio: 2}, {Cores: math.NaN(), Speed: 1}, {Cores: 1, Speed: 1, FullOverheadRatio: 1}} {
		if _, err := NewNode("x", k); err == nil {
			t.Errorf("%+v makes a node", k)
		}
	}
}
