package experiment

import (
	"errors"
	"fmt"
	"math"

	"example.org/milletvane/placement"
)

// connectionCounts holds numbers of connections by the zone of origin and then by the ID of the node that accepted them.
type connectionCounts map[string]map[string]int64

func (a connectionCounts) total() (sum int64) {
	for _, byNode := range a {
		for _, n := range byNode {
			sum += n
		}
	}
	return sum
}

func (a connectionCounts) atNode(id string) (sum int64) {
	for _, byNode := range a {
		sum += byNode[id]
	}
	return sum
}

// crossingCost returns the total cost of the connections that left their zone.
func (a connectionCounts) crossingCost(problem *placement.Problem) (sum int64) {
	for from, byNode := range a {
		for _, node := range problem.Nodes {
			sum += byNode[node.ID] * costBetween(problem, from, node.Zone)
		}
	}
	return sum
}

func costBetween(problem *placement.Problem, from, to string) int64 {
	if from == to {
		return 0
	}
	for _, c := range problem.Crossings {
		if c.From == from && c.To == to {
			return c.Cost
		}
	}
	return problem.DefaultCost
}

// maxDeviation returns the largest deviation of a node's load from its planned load, as a fraction of the planned load.
func (a connectionCounts) maxDeviation(plannedLoad map[string]int64, connectionsPerUnit int) (deviation float64) {
	for id, load := range plannedLoad {
		if load > 0 {
			planned := float64(load * int64(connectionsPerUnit))
			deviation = max(deviation, math.Abs(float64(a.atNode(id))/planned-1))
		}
	}
	return deviation
}

// planResult is the result of plan-run. It compares the distribution of connections with the plan.
type planResult struct {
	Opened             int     `json:"opened"`
	Failed             int     `json:"failed"`
	CrossingsWithout   int64   `json:"crossings_without_plan"`
	CrossingsWith      int64   `json:"crossings_with_plan"`
	CrossingsPlanned   int64   `json:"crossings_planned"` // the crossing cost of the plan for the same number of connections
	MaxDeviation       float64 `json:"worst_deviation"`   // of a node's load, as a fraction of its planned load
	DeviationAfterLoss float64 `json:"worst_deviation_after_loss"`
	SentToLostZone     int64   `json:"sent_to_lost_zone"`
	Restarted          int     `json:"gateways_restarted"`
	ColdOpenings       int     `json:"cold_most_in_a_second"` // at the most loaded node of the restored zone
	ColdLimit          int     `json:"cold_limit"`            // overload factor times the cold share of its warm openings
}

// faults returns an error for each figure that is outside its allowed range.
func (r *planResult) faults(maxDeviation float64) error {
	var errs []error
	if r.MaxDeviation > maxDeviation || r.DeviationAfterLoss > maxDeviation {
		errs = append(errs, fmt.Errorf("a node's load deviates from the plan by %.3f, after the loss by %.3f; at most %.2f is allowed",
			r.MaxDeviation, r.DeviationAfterLoss, maxDeviation))
	}
	if r.Failed > 0 || r.SentToLostZone > 0 {
		errs = append(errs, fmt.Errorf("%d connections were not served, %d were sent to the lost zone", r.Failed, r.SentToLostZone))
	}
	if r.ColdOpenings > r.ColdLimit {
		errs = append(errs, fmt.Errorf("a cold node accepted %d connections in a second, the limit is %d", r.ColdOpenings, r.ColdLimit))
	}
	if r.CrossingsWith >= r.CrossingsWithout {
		errs = append(errs, fmt.Errorf("the crossing cost is %d with the plan and %d without it", r.CrossingsWith, r.CrossingsWithout))
	}
	return errors.Join(errs...)
}
