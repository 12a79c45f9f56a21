package placement_test

import (
	"errors"
	"fmt"

	"example.org/milletvane/placement"
)

// exampleProblem returns a problem with two zones, of which north has more demand than capacity.
func exampleProblem() *placement.Problem {
	return &placement.Problem{
		Zones: []string{"north", "south"},
		Nodes: []placement.Node{
			{ID: "n1", Zone: "north", Model: "small", Capacity: 100},
			{ID: "s1", Zone: "south", Model: "large", Capacity: 200},
			{ID: "s2", Zone: "south", Model: "small", Capacity: 100},
		},
		Demands: []placement.Demand{
			{Zone: "north", Class: "chat", Load: 120},
			{Zone: "south", Class: "chat", Load: 90},
		},
		DefaultCost: 1,
		Constraints: []placement.Constraint{
			{Name: "all load is carried", Line: 1, Kind: placement.Carry},
			{Name: "nodes are at most 90 % full", Line: 2, Kind: placement.Headroom, Part: placement.Ratio{Num: 9, Den: 10}},
		},
	}
}

func ExampleSolve() {
	plan, err := placement.Solve(exampleProblem(), placement.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("proven:", plan.Proven)
	for _, flow := range plan.Flows {
		fmt.Printf("%s from %s to %s: %d\n", flow.Class, flow.From, flow.To, flow.Load)
	}
	for _, id := range []string{"n1", "s1", "s2"} {
		fmt.Println(id, plan.Load[id])
	}
	// Output:
	// proven: true
	// chat from north to north: 90
	// chat from north to south: 30
	// chat from south to south: 90
	// n1 90
	// s1 80
	// s2 40
}

func ExampleSolve_conflict() {
	problem := exampleProblem()
	problem.Constraints = append(problem.Constraints,
		placement.Constraint{Name: "chat stays in its zone", Line: 3, Kind: placement.Keep, Class: "chat"})
	_, err := placement.Solve(problem, placement.Options{})
	var conflict *placement.InfeasibleError
	if errors.As(err, &conflict) {
		for _, relaxation := range conflict.Conflict {
			fmt.Printf("%s: %s\n", relaxation.Constraint.Name, relaxation.Text)
		}
	}
	// Output:
	// all load is carried: without it 20 units from north are not carried
	// chat stays in its zone: without it the others can be met
}

func ExampleContingencies() {
	problem := exampleProblem()
	plan, err := placement.Solve(problem, placement.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	batches := []placement.Batch{{Model: "small", Size: 2}}
	contingencies, err := placement.Contingencies(problem, plan, batches, placement.Options{}, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, c := range contingencies {
		if c.Plan == nil {
			fmt.Printf("%s: %v lost, no plan, %d units fall short\n", c.Name, c.Lost, c.Shortfall)
		} else {
			fmt.Printf("%s: %v lost, %d units move\n", c.Name, c.Lost, c.Plan.Moves)
		}
	}
	// Output:
	// node n1: [n1] lost, 90 units move
	// node s1: [s1] lost, no plan, 30 units fall short
	// node s2: [s2] lost, 40 units move
	// zone north: [n1] lost, 90 units move
	// zone south: [s1 s2] lost, no plan, 120 units fall short
	// batch small n1: [n1 s2] lost, no plan, 30 units fall short
}

func ExampleProblem_Check() {
	problem := exampleProblem()
	problem.Nodes[0].Zone = "west"
	problem.Demands[1].Load = -1
	fmt.Println(problem.Check())
	// Output:
	// node n1: zone "west" does not exist
	// demand of class chat in zone south: load -1 is not between 0 and 1000000000
}
