package placement

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

var exhaustive = flag.Bool("exhaustive", false, "compare with brute force on the whole grid, which takes minutes")

// constraintSets returns the empty set, each constraint alone, and each pair of constraints.
func constraintSets() [][]Constraint {
	all := []Constraint{
		{Kind: Carry},
		{Kind: Headroom, Part: Ratio{2, 3}},
		{Kind: Keep, Class: "x"},
		{Kind: Keep, Class: "x", Zones: []string{"a"}},
		{Kind: KeepOut, Class: "x", Zones: []string{"a"}},
		{Kind: Spread, Class: "x", Count: 2},
		{Kind: Spread, Class: "x", Count: 3},
		{Kind: Spread, Class: "x", Count: 2, Least: 2},
		{Kind: Share, Part: Ratio{1, 2}},
		{Kind: Together, Classes: []string{"x"}},
		{Kind: Pair, Model: "large", With: "small"},
		{Kind: Moves, Count: 1},
	}
	for i := range all {
		all[i].Name = fmt.Sprint("c", i)
	}
	sets := [][]Constraint{nil}
	for i, c := range all {
		sets = append(sets, []Constraint{c})
		for _, d := range all[:i] {
			sets = append(sets, []Constraint{d, c})
		}
	}
	return sets
}

// forEachGridCase calls f with every case of the grid and returns their number. The grid has 1 to 3 zones, and up to 6 nodes
// in all distributions over the zones. Capacities are 0, 1 and 2, or 1 and 2 from four nodes on. The demand of a zone is 0, 1
// or 2, or 0 or 2 from four nodes on. Each problem occurs without constraints and with the next four sets of constraints in
// turn, so that each set occurs with problems of every size.
func forEachGridCase(f func(*Problem)) (count int) {
	sets := constraintSets()
	usedSets := 0
	forEachGridProblem(func(p *Problem) {
		for k := range 5 {
			problem := *p
			if k > 0 {
				usedSets++
				problem.Constraints = sets[usedSets%len(sets)]
			}
			count++
			f(&problem)
		}
	})
	return count
}

// forEachGridProblem calls f with every problem of the grid, without constraints.
func forEachGridProblem(f func(*Problem)) {
	for zones := 1; zones <= 3; zones++ {
		for nodes := 1; nodes <= 6; nodes++ {
			capacities, demands := []int64{0, 1, 2}, []int64{0, 1, 2}
			if nodes > 3 {
				capacities, demands = []int64{1, 2}, []int64{0, 2}
			}
			forEachSequence(zones, nodes, true, func(zoneOf []int) {
				forEachSequence(len(capacities), nodes, false, func(capacityOf []int) {
					forEachSequence(len(demands), zones, false, func(demandOf []int) {
						f(gridProblem(zoneOf, valuesAt(capacities, capacityOf), valuesAt(demands, demandOf)))
					})
				})
			})
		}
	}
}

func valuesAt(values []int64, positions []int) (at []int64) {
	for _, i := range positions {
		at = append(at, values[i])
	}
	return at
}

// gridProblem returns a problem with a node for each capacity and a zone for each demand.
func gridProblem(zoneOf []int, capacities, demands []int64) *Problem {
	names := []string{"a", "b", "c"}[:len(demands)]
	p := &Problem{Zones: names, DefaultCost: 1, Crossings: []Crossing{{"a", "a", 0}}}
	if len(names) > 1 {
		p.Crossings = append(p.Crossings, Crossing{"a", "b", 2})
	}
	for i, capacity := range capacities {
		p.Nodes = append(p.Nodes, Node{
			ID: fmt.Sprint("n", i), Zone: names[zoneOf[i]], Capacity: capacity,
			Model: []string{"large", "small"}[i%2], CurrentLoad: int64(i % 3 % 2),
		})
	}
	for i, demand := range demands {
		p.Demands = append(p.Demands, Demand{names[i], "x", demand})
	}
	return p
}

// forEachSequence calls f with every sequence of n digits below base. If nonDecreasing is set, it leaves out sequences that
// are not sorted.
func forEachSequence(base, n int, nonDecreasing bool, f func([]int)) {
	digits := make([]int, n)
	var setDigit func(i int)
	setDigit = func(i int) {
		if i == n {
			f(digits)
			return
		}
		from := 0
		if nonDecreasing && i > 0 {
			from = digits[i-1]
		}
		for d := from; d < base; d++ {
			digits[i] = d
			setDigit(i + 1)
		}
	}
	setDigit(0)
}

// The solver must agree with brute force: on the whole grid with -exhaustive, otherwise on one case in 500.
func TestGridAgreesWithBruteForce(t *testing.T) {
	interval := 500
	if *exhaustive {
		interval = 1
	}
	cases := make(chan *Problem, 64)
	var wg sync.WaitGroup
	var checked, conflicts, disagreements atomic.Int64
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for p := range cases {
				checked.Add(1)
				if _, err := Solve(p, Options{}); err != nil {
					conflicts.Add(1)
				}
				if err := compareWithBruteForce(p); err != nil && disagreements.Add(1) < 5 {
					t.Errorf("%+v: %v", *p, err)
				}
			}
		})
	}
	n := 0
	count := forEachGridCase(func(p *Problem) {
		if n++; n%interval == 0 {
			cases <- p
		}
	})
	close(cases)
	wg.Wait()
	t.Logf("checked %d of %d cases: %d conflicts, %d disagreements",
		checked.Load(), count, conflicts.Load(), disagreements.Load())
	if checked.Load() == 0 {
		t.Error("no case was checked")
	}
}
