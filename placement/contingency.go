package placement

import (
	"errors"
	"slices"
	"sort"
)

// Contingency is what to do when nodes are lost.
type Contingency struct {
	Name      string // as node n1, zone a or batch small 1
	Lost      []string
	Plan      *Plan            // nil: none meets the constraints
	Shortfall int64            // load that can't be carried then, in the plan or, where there is none, at best
	Conflict  *InfeasibleError // where there is no plan
}

// Batch is a model's nodes that a rolling deploy restarts together, in the order of their names.
type Batch struct {
	Model string
	Size  int
}

// Contingencies works out what to do after the loss of any one node, of any zone, and of each batch, from a plan in force:
// moves are counted from it. Limits of the Moves kind bind the plan itself, not what is done after a loss.
func Contingencies(p *Problem, plan *Plan, batches []Batch, o Options, progress func(done, all int)) ([]Contingency, error) {
	var list []Contingency
	lose := func(name string, lost func(Node) bool) {
		c := Contingency{Name: name}
		for _, n := range p.Nodes {
			if lost(n) && n.Capacity > 0 {
				c.Lost = append(c.Lost, n.ID)
			}
		}
		if len(c.Lost) > 0 {
			sort.Strings(c.Lost)
			list = append(list, c)
		}
	}
	nodes := slices.Clone(p.Nodes)
	slices.SortFunc(nodes, func(a, b Node) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, n := range nodes {
		lose("node "+n.ID, func(m Node) bool { return m.ID == n.ID })
	}
	for _, z := range slices.Sorted(slices.Values(p.Zones)) {
		lose("zone "+z, func(m Node) bool { return m.Zone == z })
	}
	for _, b := range batches {
		var of []string
		for _, n := range nodes {
			if n.Model == b.Model {
				of = append(of, n.ID)
			}
		}
		for i := 0; b.Size > 0 && i < len(of); i += b.Size {
			part := of[i:min(i+b.Size, len(of))]
			lose("batch "+b.Model+" "+part[0], func(m Node) bool { return slices.Contains(part, m.ID) })
		}
	}
	for i := range list {
		c := &list[i]
		q := p.without(c.Lost, plan)
		got, err := Solve(q, o)
		switch {
		case err == nil:
			c.Plan, c.Shortfall = got, got.Goals.Uncarried
		case errors.As(err, &c.Conflict):
			// How much falls short where nothing must be carried: the least that any plan leaves.
			q.Constraints = slices.DeleteFunc(q.Constraints, func(k Constraint) bool { return k.Kind == Carry || k.Kind == Spread })
			if got, err := Solve(q, o); err == nil {
				c.Shortfall = got.Goals.Uncarried
			}
		default:
			return nil, err
		}
		if progress != nil {
			progress(i+1, len(list))
		}
	}
	return list, nil
}

// without is the problem after a loss, with a plan in force.
func (p *Problem) without(lost []string, plan *Plan) *Problem {
	q := *p
	q.Nodes = slices.Clone(p.Nodes)
	for i := range q.Nodes {
		n := &q.Nodes[i]
		if n.CurrentLoad = plan.Load[n.ID]; slices.Contains(lost, n.ID) {
			n.Capacity, n.CurrentLoad = 0, 0
		}
	}
	q.Constraints = slices.DeleteFunc(slices.Clone(p.Constraints), func(c Constraint) bool { return c.Kind == Moves })
	return &q
}
