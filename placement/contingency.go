package placement

import (
	"cmp"
	"errors"
	"slices"
)

// Contingency is what to do when nodes are lost.
type Contingency struct {
	Name      string           // such as "node n1", "zone a" or "batch small 1"
	Lost      []string         // IDs of nodes, in order
	Plan      *Plan            // nil: no plan meets the constraints
	Shortfall int64            // load that is not carried: by the plan, or without one by the best placement there is
	Conflict  *InfeasibleError // why there is no plan
}

// Batch is the nodes of a model that a rolling deploy restarts together: Size of them, in the order of their IDs.
type Batch struct {
	Model string
	Size  int // 0: no nodes are restarted
}

// Contingencies computes what to do after the loss of each node, each zone and each batch. Moves are counted from the given
// plan; constraints of the kind Moves don't apply after a loss. The options apply to each solution by itself. If progress is
// not nil, it is called after each contingency with how many of all are done. The error is that of Problem.Check.
func Contingencies(p *Problem, plan *Plan, batches []Batch, o Options, progress func(done, all int)) ([]Contingency, error) {
	list := p.losses(batches)
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

// losses lists the contingencies without their plans.
func (p *Problem) losses(batches []Batch) []Contingency {
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

// split returns the IDs of the nodes that are restarted together.
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

// solve finds the plan for a contingency, or how much load falls short.
func (c *Contingency) solve(p *Problem, inForce *Plan, o Options) error {
	problem := p.afterLoss(c.Lost, inForce)
	plan, err := Solve(problem, o)
	if err == nil {
		c.Plan, c.Shortfall = plan, plan.Uncarried
		return nil
	}
	if !errors.As(err, &c.Conflict) {
		return err
	}
	// The shortfall is the least that any placement leaves where no load must be carried.
	problem.Constraints = slices.DeleteFunc(problem.Constraints, func(k Constraint) bool {
		return k.Kind == Carry || k.Kind == Spread
	})
	if plan, err := Solve(problem, o); err == nil {
		c.Shortfall = plan.Uncarried
	}
	return nil
}

// afterLoss returns the problem after a loss, with a plan in force.
func (p *Problem) afterLoss(lost []string, inForce *Plan) *Problem {
	problem := *p
	problem.Nodes = slices.Clone(p.Nodes)
	for i := range problem.Nodes {
		n := &problem.Nodes[i]
		n.CurrentLoad = inForce.Load[n.ID]
		if slices.Contains(lost, n.ID) {
			n.Capacity, n.CurrentLoad = 0, 0
		}
	}
	problem.Constraints = slices.DeleteFunc(slices.Clone(p.Constraints), func(c Constraint) bool { return c.Kind == Moves })
	return &problem
}
