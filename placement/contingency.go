package placement

import (
	"cmp"
	"errors"
	"slices"
)

// Contingency is the response to the loss of nodes: a plan, or the load that falls short without one.
type Contingency struct {
	Name      string           // what is lost, such as "node n1", "zone a" or "batch small n1"
	Lost      []string         // IDs of the lost nodes that have capacity, sorted
	Plan      *Plan            // nil if no plan meets the constraints
	Shortfall int64            // load not carried by Plan or, if it is nil, by the best placement without Carry and Spread
	Conflict  *InfeasibleError // the reason why Plan is nil; nil if there is a plan
}

// Batch describes the nodes of a model that a rolling deployment restarts together: groups of Size nodes in the order of their
// IDs.
type Batch struct {
	Model string
	Size  int // zero means that no nodes are restarted
}

// Contingencies computes the contingency for the loss of each node, each zone and each batch. Moves are counted from the given
// plan, and Moves constraints do not apply after a loss. The options apply to each solution on its own. After each
// contingency, Contingencies calls progress, if it is not nil, with the number of finished contingencies and their total. It
// returns the error of Problem.Check, or a *StepLimitError if a search reached its step limit.
func Contingencies(p *Problem, plan *Plan, batches []Batch, o Options, progress func(done, all int)) ([]Contingency, error) {
	list := p.enumerateLosses(batches)
	for i := range list {
		if err := list[i].solve(p, plan, o); err != nil {
			return nil, err
		}
		if progress != nil {
			progress(i+1, len(list))
		}
	}
	return list, nil
}

// enumerateLosses returns all contingencies without their solutions. Nodes without capacity are left out.
func (p *Problem) enumerateLosses(batches []Batch) []Contingency {
	nodes := slices.Clone(p.Nodes)
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	var list []Contingency
	add := func(name string, isLost func(Node) bool) {
		c := Contingency{Name: name}
		for _, n := range nodes {
			if isLost(n) && n.Capacity > 0 {
				c.Lost = append(c.Lost, n.ID)
			}
		}
		if len(c.Lost) > 0 {
			list = append(list, c)
		}
	}
	for _, node := range nodes {
		add("node "+node.ID, func(n Node) bool { return n.ID == node.ID })
	}
	for _, zone := range slices.Sorted(slices.Values(p.Zones)) {
		add("zone "+zone, func(n Node) bool { return n.Zone == zone })
	}
	for _, batch := range batches {
		for _, ids := range batch.split(nodes) {
			add("batch "+batch.Model+" "+ids[0], func(n Node) bool { return slices.Contains(ids, n.ID) })
		}
	}
	return list
}

// split returns the IDs of the nodes that are restarted together, group by group.
func (b Batch) split(nodes []Node) [][]string {
	if b.Size <= 0 {
		return nil
	}
	var ids []string
	for _, n := range nodes {
		if n.Model == b.Model {
			ids = append(ids, n.ID)
		}
	}
	return slices.Collect(slices.Chunk(ids, b.Size))
}

// solve computes the plan of a contingency, or the shortfall and the conflict if there is no plan.
func (c *Contingency) solve(p *Problem, currentPlan *Plan, o Options) error {
	problem := p.afterLoss(c.Lost, currentPlan)
	plan, err := Solve(problem, o)
	if err == nil {
		c.Plan, c.Shortfall = plan, plan.Uncarried
		return nil
	}
	if !errors.As(err, &c.Conflict) {
		return err
	}
	// Without Carry and Spread, no constraint requires load to be carried, so there is a placement. The shortfall is the load
	// that the best such placement does not carry. It stays 0 if the search for that placement reaches its step limit.
	problem.Constraints = slices.DeleteFunc(problem.Constraints, func(k Constraint) bool {
		return k.Kind == Carry || k.Kind == Spread
	})
	if plan, err := Solve(problem, o); err == nil {
		c.Shortfall = plan.Uncarried
	}
	return nil
}

// afterLoss returns the problem after a loss of nodes, with the loads of a current plan and without Moves constraints.
func (p *Problem) afterLoss(lost []string, currentPlan *Plan) *Problem {
	problem := *p
	problem.Nodes = slices.Clone(p.Nodes)
	for i := range problem.Nodes {
		n := &problem.Nodes[i]
		n.CurrentLoad = currentPlan.Load[n.ID]
		if slices.Contains(lost, n.ID) {
			n.Capacity, n.CurrentLoad = 0, 0
		}
	}
	problem.Constraints = slices.DeleteFunc(slices.Clone(p.Constraints), func(c Constraint) bool { return c.Kind == Moves })
	return &problem
}
