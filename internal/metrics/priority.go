package metrics

import "sync/atomic"

// PriorityCounters counts requests by priority; 0 is the lowest. On a nil receiver, the Add methods do nothing. They count a
// priority that is out of range as the nearest one in range. All methods may be called from any goroutine.
type PriorityCounters struct {
	offered, rejected, shed []atomic.Uint64
}

// NewPriorityCounters returns counters for a number of priorities, which must be at least 1.
func NewPriorityCounters(priorities int) *PriorityCounters {
	return &PriorityCounters{
		offered:  make([]atomic.Uint64, priorities),
		rejected: make([]atomic.Uint64, priorities),
		shed:     make([]atomic.Uint64, priorities),
	}
}

// AddOffered counts a request that was received, whatever its outcome.
func (c *PriorityCounters) AddOffered(priority int) {
	if c != nil {
		increment(c.offered, priority)
	}
}

// AddRejected counts a request that was not served because of a lack of capacity or time.
func (c *PriorityCounters) AddRejected(priority int) {
	if c != nil {
		increment(c.rejected, priority)
	}
}

// AddShed counts a request that was rejected by fleet-wide load shedding.
func (c *PriorityCounters) AddShed(priority int) {
	if c != nil {
		increment(c.shed, priority)
	}
}

func increment(counters []atomic.Uint64, priority int) {
	nearest := max(min(priority, len(counters)-1), 0)
	counters[nearest].Add(1)
}

// PriorityCounts holds the numbers of requests that PriorityCounters counted, indexed by priority.
type PriorityCounts struct {
	Offered, Rejected, Shed []uint64
}

// TakeCounts returns the counts since the last call and resets the counters to 0.
func (c *PriorityCounters) TakeCounts() PriorityCounts {
	return PriorityCounts{Offered: swapWithZero(c.offered), Rejected: swapWithZero(c.rejected), Shed: swapWithZero(c.shed)}
}

// swapWithZero returns the values of counters and sets each to 0.
func swapWithZero(counters []atomic.Uint64) []uint64 {
	counts := make([]uint64, len(counters))
	for i := range counters {
		counts[i] = counters[i].Swap(0)
	}
	return counts
}
