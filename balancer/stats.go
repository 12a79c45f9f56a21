package balancer

import (
	"math"
	"time"
)

const (
	// maxEWMAWeight bounds the weight of past samples in a moving average. Once it is reached, each new
	// sample counts for a 50th and older samples fade.
	maxEWMAWeight = 50

	// evidenceHalfLife is the half-life of a decaying counter. It is short so that isolated failures are soon
	// forgotten.
	evidenceHalfLife = 3 * time.Second

	// maxWindowBuckets bounds the memory of a sliding window at any rate of events: events that are closer
	// together than the window's length divided by maxWindowBuckets share a bucket.
	maxWindowBuckets = 4096
)

// ewma is an exponentially weighted moving average. Up to maxEWMAWeight samples it is their plain mean.
type ewma struct{ value, weight float64 }

func (e *ewma) add(sample float64) {
	e.weight = min(e.weight+1, maxEWMAWeight)
	e.value += (sample - e.value) / e.weight
}

// isKnown reports whether the average has any samples.
func (e *ewma) isKnown() bool { return e.weight > 0 }

// decayingCounter is a sum that halves every evidenceHalfLife.
type decayingCounter struct {
	sum float64
	at  time.Duration // time of the last addition
}

func (c *decayingCounter) value(now time.Duration) float64 {
	if c.sum == 0 {
		return 0
	}
	return c.sum * math.Exp2(-float64(now-c.at)/float64(evidenceHalfLife))
}

// add adds v to the counter and returns its new value.
func (c *decayingCounter) add(now time.Duration, v float64) float64 {
	c.sum, c.at = c.value(now)+v, now
	return c.sum
}

// slidingWindow counts the events in the interval of the given length that ends now. Its precision is one
// bucket.
type slidingWindow struct {
	length    time.Duration
	inclusive bool     // events exactly length old count, and a bucket stays until its last event leaves
	buckets   []bucket // oldest first
	total     int
}

// bucket counts events that are close together.
type bucket struct {
	first, last time.Duration // last decides when the bucket leaves the window; see inclusive
	count       int
}

func (w *slidingWindow) add(now time.Duration) {
	w.trim(now)
	w.total++
	if n := len(w.buckets); n > 0 && now-w.buckets[n-1].first <= w.length/maxWindowBuckets {
		newest := &w.buckets[n-1]
		newest.count++
		if w.inclusive {
			newest.last = now
		}
		return
	}
	w.buckets = append(w.buckets, bucket{now, now, 1})
}

func (w *slidingWindow) count(now time.Duration) int {
	w.trim(now)
	return w.total
}

// trim drops the buckets that have left the window.
func (w *slidingWindow) trim(now time.Duration) {
	cutoff := now - w.length
	if w.inclusive {
		cutoff--
	}
	for len(w.buckets) > 0 && w.buckets[0].last <= cutoff {
		w.total -= w.buckets[0].count
		w.buckets = w.buckets[1:]
	}
}

// remove removes one event that was added at the given time.
func (w *slidingWindow) remove(at time.Duration) {
	for i := range w.buckets {
		b := &w.buckets[i]
		if b.first <= at && at <= b.first+w.length/maxWindowBuckets && b.count > 0 {
			b.count--
			w.total--
			return
		}
	}
}
