package metrics

import "sync/atomic"

// PriorityCounters count requests by priority, 0 the lowest. The methods that count do nothing on nil, and count a priority
// out of range as the nearest one.
type PriorityCounters struct {
	offered, rejected, shed []atomic.Uint64
}

// NewPriorityCounters returns counters for a number of priorities, at least 1.
func NewPriorityCounters(priorities int) *PriorityCounters {
	return &PriorityCounters{
		offered:  make([]atomic.Uint64, priorities),
		rejected: make([]atomic.Uint64, priorities),
		shed:     make([]atomic.Uint64, priorities),
	}
}

// AddOffered counts a request, whatever becomes of it.
func (c *PriorityCounters) AddOffered(priority int) {
	if c != nil {
		increment(c.offered, priority)
	}
}

// AddRejected counts a request that was not served for lack of capacity or time.
func (c *PriorityCounters) AddRejected(priority int) {
	if c != nil {
		increment(c.rejected, priority)
	}
}

// AddShed counts a request that was rejected by load shedding over the fleet.
func (c *PriorityCounters) AddShed(priority int) {
	if c != nil {
		increment(c.shed, priority)
	}
}

func increment(counters []atomic.Uint64, priority int) {
	nearest := max(min(priority, len(counters)-1), 0)
	counters[nearest].Add(1)
}

// PriorityCounts are numbers of requests by priority, as PriorityCounters counted them.
type PriorityCounts struct {
	Offered, Rejected, Shed []uint64
}

// TakeCounts returns what was counted since the last call.
func (c *PriorityCounters) TakeCounts() PriorityCounts {
	return PriorityCounts{Offered: take(c.offered), Rejected: take(c.rejected), Shed: take(c.shed)}
}

// take reads counters and sets them to 0.
func take(counters []atomic.Uint64) []uint64 {
	counts := make([]uint64, len(counters))
	for i := range counters {
		counts[i] = counters[i].Swap(0)
	}
	return counts
}
