package experiment

import (
	"errors"
	"fmt"
	"math"

	"example.org/milletvane/placement"
)

// connectionCounts holds numbers of connections by the zone of origin and then by the ID of the node that accepted them.
type connectionCounts map[string]map[string]int64

// total returns the number of all connections.
func (c connectionCounts) total() (sum int64) {
	for _, byNode := range c {
		for _, n := range byNode {
			sum += n
		}
	}
	return sum
}

// atNode returns the number of connections that a node accepted from all zones.
func (c connectionCounts) atNode(id string) (sum int64) {
	for _, byNode := range c {
		sum += byNode[id]
	}
	return sum
}

// crossingCost returns the total cost of the connections that were accepted in another zone than their own.
func (c connectionCounts) crossingCost(problem *placement.Problem) (sum int64) {
	for from, byNode := range c {
		for _, node := range problem.Nodes {
			sum += byNode[node.ID] * crossingCostBetween(problem, from, node.Zone)
		}
	}
	return sum
}

// crossingCostBetween returns the cost of one connection from one zone to another, which is 0 within a zone.
func crossingCostBetween(problem *placement.Problem, from, to string) int64 {
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
func (c connectionCounts) maxDeviation(plannedLoad map[string]int64, connectionsPerUnit int) (deviation float64) {
	for id, load := range plannedLoad {
		if load > 0 {
			planned := float64(load * int64(connectionsPerUnit))
			deviation = max(deviation, math.Abs(float64(c.atNode(id))/planned-1))
		}
	}
	return deviation
}

// planResult holds the measurements of plan-run.
type planResult struct {
	Opened              int     `json:"opened"` // connections that servers accepted
	Failed              int     `json:"failed"` // connections that could not be established
	CrossingCostWithout int64   `json:"crossings_without_plan"`
	CrossingCostWith    int64   `json:"crossings_with_plan"`
	CrossingCostPlanned int64   `json:"crossings_planned"` // cost that the plan predicts for as many connections
	MaxDeviation        float64 `json:"worst_deviation"`   // of a node's load, as a fraction of its planned load
	DeviationAfterLoss  float64 `json:"worst_deviation_after_loss"`
	SentToLostZone      int64   `json:"sent_to_lost_zone"` // connections after the loss
	GatewaysRestarted   int     `json:"gateways_restarted"`
	ColdConnectionRate  int     `json:"cold_most_in_a_second"` // connections per second at the node that came closest to its limit
	ColdRateLimit       int     `json:"cold_limit"`            // the rate above which that node is overloaded
}

// faults returns a joined error with one entry for each check that failed, or nil. maxDeviation is the allowed deviation of a
// node's load, as a fraction of its planned load.
func (r *planResult) faults(maxDeviation float64) error {
	var errs []error
	if r.MaxDeviation > maxDeviation || r.DeviationAfterLoss > maxDeviation {
		errs = append(errs, fmt.Errorf("a node's load deviates from the plan by %.3f, after the loss by %.3f; at most %.2f is allowed",
			r.MaxDeviation, r.DeviationAfterLoss, maxDeviation))
	}
	if r.Failed > 0 || r.SentToLostZone > 0 {
		errs = append(errs, fmt.Errorf("%d connections were not served, %d were sent to the lost zone", r.Failed, r.SentToLostZone))
	}
	if r.ColdConnectionRate > r.ColdRateLimit {
		errs = append(errs, fmt.Errorf("a cold node accepted %d connections in a second, the limit is %d",
			r.ColdConnectionRate, r.ColdRateLimit))
	}
	if r.CrossingCostWith >= r.CrossingCostWithout {
		errs = append(errs, fmt.Errorf("the crossing cost is %d with the plan and %d without it",
			r.CrossingCostWith, r.CrossingCostWithout))
	}
	return errors.Join(errs...)
}
