package metrics

import "sync/atomic"

// PriorityCounters counts what became of requests by rank. A nil one counts nothing. Ranks beyond those that it was made for count as
// the highest.
type PriorityCounters struct{ asked, refused, cut []atomic.Uint64 }

// NewPriorityCounters returns a Tiers for so many ranks.
func NewPriorityCounters(ranks int) *PriorityCounters {
	return &PriorityCounters{make([]atomic.Uint64, ranks), make([]atomic.Uint64, ranks), make([]atomic.Uint64, ranks)}
}

func add(in []atomic.Uint64, rank int) { in[max(min(rank, len(in)-1), 0)].Add(1) }

// AddOffered counts a request, Refused one that was not served for want of room or time, and Cut one that the fleet sheds.
func (t *PriorityCounters) AddOffered(rank int) {
	if t != nil {
		add(t.asked, rank)
	}
}

// Refused: see Asked.
func (t *PriorityCounters) AddRejected(rank int) {
	if t != nil {
		add(t.refused, rank)
	}
}

// Cut: see Asked.
func (t *PriorityCounters) AddShed(rank int) {
	if t != nil {
		add(t.cut, rank)
	}
}

// TakeCounts returns what was counted since the last call, by rank.
func (t *PriorityCounters) TakeCounts() (asked, refused, cut []uint64) {
	take := func(in []atomic.Uint64) []uint64 {
		out := make([]uint64, len(in))
		for i := range in {
			out[i] = in[i].Swap(0)
		}
		return out
	}
	return take(t.asked), take(t.refused), take(t.cut)
}
