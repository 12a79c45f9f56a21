package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// distributeByUnits is a reference implementation of distribute that moves one unit of load at a time.
func distributeByUnits(nodes []Node, capacities []int64, load int64) []int64 {
	loads := make([]int64, len(nodes))
	total := int64(0)
	for i, n := range nodes {
		loads[i] = min(n.CurrentLoad, capacities[i])
		total += loads[i]
	}
	for ; total < load; total++ {
		best := -1
		for i := range nodes {
			isFirst := best < 0 ||
				Ratio{loads[i] + 1, max(nodes[i].Capacity, 1)}.less(Ratio{loads[best] + 1, max(nodes[best].Capacity, 1)})
			if loads[i] < capacities[i] && isFirst {
				best = i
			}
		}
		if best < 0 {
			return loads
		}
		loads[best]++
	}
	for ; total > load; total-- {
		best := -1
		for i := range nodes {
			isFirst := best < 0 ||
				!Ratio{loads[i], max(nodes[i].Capacity, 1)}.less(Ratio{loads[best], max(nodes[best].Capacity, 1)})
			if loads[i] > 0 && isFirst {
				best = i
			}
		}
		if best < 0 {
			return loads
		}
		loads[best]--
	}
	return loads
}

// The distribution of random loads must equal that of the reference implementation.
func TestDistributeMatchesSingleUnits(t *testing.T) {
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		largest := []int64{3, 12, 90}[rng.IntN(3)]
		var nodes []Node
		var capacities []int64
		total := int64(0)
		for i := range 1 + rng.IntN(6) {
			n := Node{ID: fmt.Sprint("n", i), Capacity: rng.Int64N(largest + 1), CurrentLoad: rng.Int64N(largest + 1)}
			nodes, capacities = append(nodes, n), append(capacities, rng.Int64N(n.Capacity+1))
			if rng.IntN(2) == 0 {
				capacities[i] = n.Capacity
			}
			total += capacities[i]
		}
		load := rng.Int64N(total + 2)
		want := distributeByUnits(nodes, capacities, load)
		if diff := cmp.Diff(want, distribute(nodes, capacities, load)); diff != "" {
			t.Fatalf("seed %d: loads of %d units on nodes %+v with capacities %v (-want +got):\n%s",
				seed, load, nodes, capacities, diff)
		}
	}
}

// Guards against a distribution that moves one unit at a time between nodes of nearly equal capacity, which takes time in
// proportion to the load.
func TestLargeLoadsAreDistributedInTime(t *testing.T) {
	for _, current := range []int64{0, MaxLoad / 2, MaxLoad} {
		var nodes []Node
		var capacities []int64
		for i := range int64(50) {
			nodes = append(nodes, Node{ID: fmt.Sprint("n", i), Capacity: MaxLoad - i%3, CurrentLoad: min(current+i, MaxLoad-i%3)})
			capacities = append(capacities, MaxLoad-i%3)
		}
		begun := time.Now()
		load := int64(50) * (MaxLoad / 4 * 3)
		total := int64(0)
		for _, l := range distribute(nodes, capacities, load) {
			total += l
		}
		if total != load {
			t.Errorf("got %d units distributed, want %d", total, load)
		}
		if elapsed := time.Since(begun); elapsed > time.Second {
			t.Errorf("distribute took %v, want at most 1s", elapsed)
		}
	}
}

// Guards against a solver that does not finish when loads are close to MaxLoad.
func TestLargeProblemsAreSolvedInTime(t *testing.T) {
	p := RandomProblem(24, 4, 3)
	for i := range p.Nodes {
		p.Nodes[i].Capacity = MaxLoad - int64(i%2)
		p.Nodes[i].CurrentLoad = MaxLoad / 2
	}
	for i := range p.Demands {
		p.Demands[i].Load = MaxLoad / int64(len(p.Demands)) * 20
		if p.Demands[i].Load > MaxLoad {
			p.Demands[i].Load = MaxLoad - int64(i)
		}
	}
	begun := time.Now()
	plan, err := Solve(p, Options{MaxSteps: 1000})
	var infeasible *InfeasibleError
	if err != nil && !errors.As(err, &infeasible) {
		t.Fatal(err)
	}
	if plan != nil {
		checkPlan(t, p, plan)
	}
	if elapsed := time.Since(begun); elapsed > 20*time.Second {
		t.Errorf("Solve took %v, want at most 20s", elapsed)
	}
}

// Guards against an unlimited search when no plan is found. Each class must be carried whole and in a single zone, each zone
// has room for one class, and there are more classes than zones. The number of branches is the number of zones to the power of
// the number of classes.
func TestSearchWithoutAPlanEndsWithItsSteps(t *testing.T) {
	p := &Problem{Zones: []string{"a", "b", "c", "d", "e", "f"}, DefaultCost: 1}
	for i, zone := range p.Zones {
		p.Nodes = append(p.Nodes, Node{ID: fmt.Sprint("n", i), Zone: zone, Capacity: 10})
	}
	for class := range 7 {
		name := fmt.Sprint("c", class)
		p.Demands = append(p.Demands, Demand{Zone: p.Zones[class%6], Class: name, Load: 8})
		p.Constraints = append(p.Constraints,
			Constraint{Name: "one zone " + name, Kind: Together, Classes: []string{name}},
			Constraint{Name: "all " + name, Kind: Carry, Class: name})
	}
	_, err := Solve(p, Options{MaxSteps: 10})
	var stepLimit *StepLimitError
	if !errors.As(err, &stepLimit) {
		t.Fatalf("got error %v, want a *StepLimitError", err)
	}
	if stepLimit.Steps < minSearchLimit || stepLimit.Steps > 3*minSearchLimit {
		t.Errorf("got %d steps, want %d to %d", stepLimit.Steps, minSearchLimit, 3*minSearchLimit)
	}
	if text := stepLimit.Error(); !strings.Contains(text, "steps") || stepLimit.Retryable() {
		t.Errorf("got error %q, retryable %t; want one about steps that is not retryable", text, stepLimit.Retryable())
	}
}
