package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
)

// What a change of weights moves, over the least that could be: the sum of what each share gains. Plans
// change weights, and every key that moves is a client that is set up anew later.
func TestChangedWeightsMoveFewSlots(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	worst, sum, runs := 0.0, 0.0, 0
	for range 200 {
		n := 9 + rng.IntN(12)
		before, after := make([]weightedServer, n), make([]weightedServer, n)
		for i := range before {
			w := 40 + rng.Float64()*80
			before[i] = weightedServer{ServerID(i + 1), w}
			after[i] = weightedServer{ServerID(i + 1), w}
		}
		for range 1 + rng.IntN(3) { // a new plan moves load between a few nodes
			after[rng.IntN(n)].weight *= 0.7 + 0.6*rng.Float64()
		}
		a, b := buildTable(before), buildTable(after)
		moved := 0
		had, has := make([]float64, n), make([]float64, n)
		for i := range a {
			if a[i] != b[i] {
				moved++
			}
			had[a[i]]++
			has[b[i]]++
		}
		least := 0.0
		for i := range had {
			least += math.Max(has[i]-had[i], 0)
		}
		if least < 20 {
			continue
		}
		ratio := float64(moved) / least
		worst, sum, runs = math.Max(worst, ratio), sum+ratio, runs+1
	}
	t.Logf("%d changes: %.2f times the least slots moved on average, %.2f at worst",
		runs, sum/float64(runs), worst)
	if sum/float64(runs) > 5 {
		t.Error("a change of weights reshuffles the table")
	}
}
