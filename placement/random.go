package placement

import (
	"fmt"
	"math/rand/v2"
)

// RandomProblem returns a random problem for benchmarks and experiments. Demand varies between zones, and capacity between
// models. The expected total demand is 60 % of the total capacity. The same arguments give the same problem.
func RandomProblem(nodes, zones int, seed uint64) *Problem {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := &Problem{DefaultCost: 10}
	for z := range zones {
		p.Zones = append(p.Zones, fmt.Sprintf("z%02d", z))
	}
	capacity := int64(0)
	for i := range nodes {
		n := Node{ID: fmt.Sprintf("n%05d", i), Zone: p.Zones[rng.IntN(zones)], Model: "small", Capacity: 900 + rng.Int64N(200)}
		if rng.IntN(2) == 0 {
			n.Model, n.Capacity = "large", n.Capacity*3/2
		}
		capacity += n.Capacity
		p.Nodes = append(p.Nodes, n)
	}
	for _, z := range p.Zones {
		for k := range 4 {
			mean := capacity * 6 / 10 / int64(zones) / 4
			p.Demands = append(p.Demands, Demand{z, fmt.Sprint("class", k), mean/2 + rng.Int64N(mean)})
		}
		for _, to := range p.Zones {
			if z != to {
				p.Crossings = append(p.Crossings, Crossing{z, to, 1 + rng.Int64N(20)})
			}
		}
	}
	p.Constraints = []Constraint{{Name: "headroom", Kind: Headroom, Part: Ratio{9, 10}}, {Name: "all", Kind: Carry}}
	return p
}
