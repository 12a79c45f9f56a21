package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func fleet(n int, weight func(i int) float64) []weightedServer {
	var shares []weightedServer
	for i := range n {
		shares = append(shares, weightedServer{ServerID(1000 + 7919*i), weight(i)})
	}
	return shares
}

func even(int) float64 { return 1 }

func counts(t table, n int) []int {
	c := make([]int, n)
	for _, i := range t {
		c[i]++
	}
	return c
}

func TestTableSizeIsPrimeAndLarge(t *testing.T) {
	for d := 2; d*d <= tableSize; d++ {
		if tableSize%d == 0 {
			t.Fatalf("%d is divisible by %d", tableSize, d)
		}
	}
	if foreseen := 200; tableSize < 10*foreseen {
		t.Errorf("%d slots are fewer than 10 for each of %d servers", tableSize, foreseen)
	}
}

func TestEverySlotIsFilledFairly(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 14, 40, 160} {
		table := buildTable(fleet(n, even))
		if len(table) != tableSize {
			t.Fatalf("%d servers: %d slots", n, len(table))
		}
		for i, c := range counts(table, n) { // counts panics on a slot that no server holds
			if c < tableSize/n || c > tableSize/n+1 {
				t.Errorf("%d servers: server %d has %d slots of %d", n, i, c, tableSize)
			}
		}
	}
}

func TestSlotsFollowWeights(t *testing.T) {
	shares := fleet(9, func(i int) float64 { return []float64{1, 1.5, 0.25}[i%3] })
	total := 3 * (1 + 1.5 + 0.25)
	for i, c := range counts(buildTable(shares), 9) {
		want := tableSize * shares[i].weight / total
		if math.Abs(float64(c)-want) > 2 {
			t.Errorf("server %d of weight %v has %d slots, not about %.0f", i, shares[i].weight, c, want)
		}
	}
}

func TestNoServersNoTable(t *testing.T) {
	if table := buildTable(nil); table != nil {
		t.Errorf("a table of %d slots for no servers", len(table))
	}
}

// A change of the list moves little beyond the part of the servers that changed.
func TestAChangeMovesLittleElse(t *testing.T) {
	for _, n := range []int{8, 12, 20, 40, 80} {
		before := fleet(n, even)
		gone := n / 3
		after := slices.Delete(slices.Clone(before), gone, gone+1)
		old, now := buildTable(before), buildTable(after)
		moved := 0
		for slot := range old {
			if int(old[slot]) != gone && before[old[slot]].id != after[now[slot]].id {
				moved++
			}
		}
		if share := float64(moved) / tableSize; share > 0.06 {
			t.Errorf("%d servers, one gone: %.3f of the slots moved between the others", n, share)
		}
	}
}

// Gateways agree whatever the order of their lists and their own seeds.
func TestGatewaysBuildTheSameTable(t *testing.T) {
	list := servers(12)
	var first *Balancer
	for seed := range uint64(5) {
		shuffled := slices.Clone(list)
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(list), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		set := settings()
		set.Seed = seed
		b := mustNew(t, set)
		b.Handle(0, EndpointList{Mode: ListComplete, Servers: shuffled})
		if first == nil {
			first = b
		}
		if !slices.Equal(b.table, first.table) {
			t.Errorf("seed %d: another table", seed)
		}
	}
}
