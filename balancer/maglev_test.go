package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func weightedServers(n int, weight func(i int) float64) []weightedServer {
	var servers []weightedServer
	for i := range n {
		servers = append(servers, weightedServer{ServerID(1000 + 7919*i), weight(i)})
	}
	return servers
}

func equalWeight(int) float64 { return 1 }

// slotCounts returns the number of slots of each of n servers. It panics if a slot belongs to none of them.
func slotCounts(t table, n int) []int {
	counts := make([]int, n)
	for _, i := range t {
		counts[i]++
	}
	return counts
}

func TestTableSizeIsPrimeAndLarge(t *testing.T) {
	for d := 2; d*d <= tableSize; d++ {
		if tableSize%d == 0 {
			t.Fatalf("%d is divisible by %d", tableSize, d)
		}
	}
	if maxServers := 200; tableSize < 10*maxServers {
		t.Errorf("got %d slots, want at least 10 for each of %d servers", tableSize, maxServers)
	}
}

func TestSlotsAreSharedEvenly(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 14, 40, 160} {
		t.Run(fmt.Sprint(n, " servers"), func(t *testing.T) {
			table := buildTable(weightedServers(n, equalWeight))
			if len(table) != tableSize {
				t.Fatalf("got %d slots, want tableSize", len(table))
			}
			for i, count := range slotCounts(table, n) {
				if count < tableSize/n || count > tableSize/n+1 {
					t.Errorf("server %d has %d of %d slots, want an equal share", i, count, tableSize)
				}
			}
		})
	}
}

func TestSlotsFollowWeights(t *testing.T) {
	servers := weightedServers(9, func(i int) float64 { return []float64{1, 1.5, 0.25}[i%3] })
	total := 3 * (1 + 1.5 + 0.25)
	for i, count := range slotCounts(buildTable(servers), 9) {
		want := tableSize * servers[i].weight / total
		if math.Abs(float64(count)-want) > 2 {
			t.Errorf("server %d of weight %v has %d slots, want %.0f ± 2", i, servers[i].weight, count, want)
		}
	}
}

func TestNoServersGiveNoTable(t *testing.T) {
	if table := buildTable(nil); table != nil {
		t.Errorf("got a table of %d slots for no servers, want nil", len(table))
	}
}

// The removal of a server changes few slots of the other servers.
func TestRemovalMovesFewSlotsOfOtherServers(t *testing.T) {
	for _, n := range []int{8, 12, 20, 40, 80} {
		t.Run(fmt.Sprint(n, " servers"), func(t *testing.T) {
			before := weightedServers(n, equalWeight)
			removed := n / 3
			after := slices.Delete(slices.Clone(before), removed, removed+1)
			oldTable, newTable := buildTable(before), buildTable(after)
			changed := 0
			for slot := range oldTable {
				wasOfOther := int(oldTable[slot]) != removed
				if wasOfOther && before[oldTable[slot]].id != after[newTable[slot]].id {
					changed++
				}
			}
			if ratio := float64(changed) / tableSize; ratio > 0.06 {
				t.Errorf("a fraction %.3f of the slots moved between other servers, want at most 0.06", ratio)
			}
		})
	}
}

// Gateways build the same table, whatever the order of the servers in their lists and their own seeds.
func TestGatewaysBuildTheSameTable(t *testing.T) {
	list := testServers(12)
	var first table
	for seed := range uint64(5) {
		shuffled := slices.Clone(list)
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(list), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		settings := testSettings()
		settings.Seed = seed
		b := newBalancer(t, settings)
		b.Handle(0, EndpointList{Mode: ListComplete, Servers: shuffled})
		b.refreshTable()
		if len(b.table) != tableSize {
			t.Fatalf("seed %d: got a table of %d slots, want tableSize", seed, len(b.table))
		}
		if first == nil {
			first = b.table
		}
		if diff := cmp.Diff(first, b.table); diff != "" {
			t.Errorf("seed %d: table differs (-first +got):\n%s", seed, diff)
		}
	}
}

// weightChange changes the weights of a few servers, as a new placement plan does. It returns how many slots
// changed, and how many had to change, which is the sum of the slots that servers gained.
func weightChange(random *rand.Rand) (changed, needed float64) {
	n := 9 + random.IntN(12)
	before := weightedServers(n, func(int) float64 { return 40 + random.Float64()*80 })
	for i := range before {
		before[i].id = ServerID(i + 1)
	}
	after := slices.Clone(before)
	for range 1 + random.IntN(3) {
		after[random.IntN(n)].weight *= 0.7 + 0.6*random.Float64()
	}
	oldTable, newTable := buildTable(before), buildTable(after)
	for slot := range oldTable {
		if oldTable[slot] != newTable[slot] {
			changed++
		}
	}
	newCounts := slotCounts(newTable, n)
	for i, count := range slotCounts(oldTable, n) {
		needed += float64(max(newCounts[i]-count, 0))
	}
	return changed, needed
}

// A change of weights, as by a new placement plan, moves few slots. Each key that moves means that its
// clients have to be set up at another server later.
func TestChangedWeightsMoveFewSlots(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	maxRatio, sum, runs := 0.0, 0.0, 0
	for range 200 {
		changed, needed := weightChange(random)
		if needed < 20 {
			continue
		}
		ratio := changed / needed
		maxRatio, sum, runs = max(maxRatio, ratio), sum+ratio, runs+1
	}
	t.Logf("%d changes: ratio of moved to needed slots %.2f on average, %.2f at most",
		runs, sum/float64(runs), maxRatio)
	if sum/float64(runs) > 5 {
		t.Error("changes of weights move more than 5 times the needed slots on average")
	}
}

func BenchmarkBuildTable(b *testing.B) {
	servers := weightedServers(100, equalWeight)
	for b.Loop() {
		buildTable(servers)
	}
}
