package placement

import (
	"testing"

	"github.com/crillab/gophersat/solver"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// The benchmarks in this file compare libraries with this package's minimum-cost flow, on the flow part of a problem: the goals
// Uncarried and Crossings. Their results, in docs/design/placement.md, are why the solver has its own implementation.

// simplexForm converts the flow part of a problem into the standard form of gonum's simplex: minimize cx subject to Ax = b and
// x >= 0. Z is the number of zones, K that of classes.
func simplexForm(x *index, caps []int64) (c []float64, a *mat.Dense, b []float64) {
	Z, K := len(x.zones), len(x.classes)
	rows, cols := K*Z+Z, K*Z*Z+K*Z+Z
	a = mat.NewDense(rows, cols, nil)
	b, c = make([]float64, rows), make([]float64, cols)
	for k := range K {
		for z := range Z {
			row := k*Z + z
			b[row] = float64(x.demand[k][z])
			for to := range Z {
				col := row*Z + to
				a.Set(row, col, 1)
				a.Set(K*Z+to, col, 1)
				c[col] = float64(x.crossingCost[z][to])
			}
			a.Set(row, K*Z*Z+row, 1)
			c[K*Z*Z+row] = 1e6 // cost of load that is not carried: far above that of any crossing, but not a separate goal
		}
	}
	for z := range Z {
		for _, i := range x.nodesInZone[z] {
			b[K*Z+z] += float64(caps[i])
		}
		a.Set(K*Z+z, K*Z*Z+K*Z+z, 1)
	}
	return c, a, b
}

func BenchmarkFlowByGonumSimplex(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{50, 3}, {500, 12}} {
		b.Run(fleetName(size.nodes, size.zones), func(b *testing.B) {
			p := RandomProblem(size.nodes, size.zones, 1)
			s := &planner{problem: p, index: p.index()}
			c, a, rhs := simplexForm(s.index, s.effectiveCapacities(p.Constraints))
			for b.Loop() {
				if _, _, err := lp.Simplex(c, a, rhs, 1e-9, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkFlowBySuccessiveShortestPaths(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{50, 3}, {500, 12}} {
		b.Run(fleetName(size.nodes, size.zones), func(b *testing.B) {
			p := RandomProblem(size.nodes, size.zones, 1)
			s := &planner{problem: p, index: p.index()}
			capacities := s.effectiveCapacities(p.Constraints)
			for b.Loop() {
				s.minimizeCost(s.buildNetwork(newBranch(p.Constraints), capacities, s.goalsBeforeFullest()))
			}
		})
	}
}

// BenchmarkFlowByGophersat places single units of load, since a pseudo-Boolean optimizer has only Boolean variables. There is
// one variable for each unit and node, each unit is on exactly one node, and the number of units on a node is limited.
func BenchmarkFlowByGophersat(b *testing.B) {
	for _, units := range []int{6, 12, 18} {
		b.Run(fleetName(units, 3), func(b *testing.B) {
			const nodes = 6
			capacity := units/nodes + 1
			variable := func(u, n int) int { return u*nodes + n + 1 }
			for b.Loop() {
				var cs []solver.PBConstr
				var lits []solver.Lit
				var weights []int
				for u := range units {
					var one []int
					for n := range nodes {
						one = append(one, variable(u, n))
						lits = append(lits, solver.IntToLit(int32(variable(u, n))))
						weights = append(weights, []int{0, 2, 3}[(u+n)%3])
					}
					cs = append(cs, solver.AtMost(one, 1), solver.AtLeast(one, 1))
				}
				for n := range nodes {
					var all []int
					for u := range units {
						all = append(all, variable(u, n))
					}
					cs = append(cs, solver.AtMost(all, capacity))
				}
				p := solver.ParsePBConstrs(cs)
				p.SetCostFunc(lits, weights)
				if solver.New(p).Minimize() < 0 {
					b.Fatal("no plan")
				}
			}
		})
	}
}
