package experiment

import (
	"errors"
	"fmt"
	"math"

	"example.org/milletvane/placement"
)

// arrivals are connections by the zone that they come from, then by the ID of the node that they came to.
type arrivals map[string]map[string]int64

func (a arrivals) total() (sum int64) {
	for _, byNode := range a {
		for _, n := range byNode {
			sum += n
		}
	}
	return sum
}

func (a arrivals) atNode(id string) (sum int64) {
	for _, byNode := range a {
		sum += byNode[id]
	}
	return sum
}

// crossingCost sums the cost of all connections that left their zone.
func (a arrivals) crossingCost(problem *placement.Problem) (sum int64) {
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

// maxDeviation returns by how much the node that is furthest from its planned load deviates, relative to that load.
func (a arrivals) maxDeviation(plannedLoad map[string]int64, connectionsPerUnit int) (deviation float64) {
	for id, load := range plannedLoad {
		if load > 0 {
			planned := float64(load * int64(connectionsPerUnit))
			deviation = max(deviation, math.Abs(float64(a.atNode(id))/planned-1))
		}
	}
	return deviation
}

// planResult compares where connections went with where the plan wanted them.
type planResult struct {
	Opened             int     `json:"opened"`
	Failed             int     `json:"failed"`
	CrossingsWithout   int64   `json:"crossings_without_plan"`
	CrossingsWith      int64   `json:"crossings_with_plan"`
	CrossingsPlanned   int64   `json:"crossings_planned"` // the plan's own figure, for as many connections
	MaxDeviation       float64 `json:"worst_deviation"`   // of a node's load, relative to the plan's
	DeviationAfterLoss float64 `json:"worst_deviation_after_loss"`
	SentToLostZone     int64   `json:"sent_to_lost_zone"`
	Restarted          int     `json:"gateways_restarted"`
	ColdOpenings       int     `json:"cold_most_in_a_second"` // at a node of the zone that comes back
	ColdLimit          int     `json:"cold_limit"`            // overload factor times the cold share of its warm openings
}

// faults returns an error for each figure that is not as it must be.
func (r *planResult) faults(maxDeviation float64) error {
	var errs []error
	if r.MaxDeviation > maxDeviation || r.DeviationAfterLoss > maxDeviation {
		errs = append(errs, fmt.Errorf("a node is off its plan by %.3f, after the loss by %.3f; %.2f is allowed",
			r.MaxDeviation, r.DeviationAfterLoss, maxDeviation))
	}
	if r.Failed > 0 || r.SentToLostZone > 0 {
		errs = append(errs, fmt.Errorf("%d not served, %d sent to the lost zone", r.Failed, r.SentToLostZone))
	}
	if r.ColdOpenings > r.ColdLimit {
		errs = append(errs, fmt.Errorf("a cold node had %d openings in a second and bears %d", r.ColdOpenings, r.ColdLimit))
	}
	if r.CrossingsWith >= r.CrossingsWithout {
		errs = append(errs, fmt.Errorf("crossings are %d with the plan and %d without", r.CrossingsWith, r.CrossingsWithout))
	}
	return errors.Join(errs...)
}
