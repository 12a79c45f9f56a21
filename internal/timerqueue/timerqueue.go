// Package timerqueue implements a priority queue of timers, ordered by the time at which they expire. It reads no clock:
// the caller passes the current time.
//
// A Queue is not safe for concurrent use.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is an entry of a Queue. The caller keeps it in order to remove it.
type Timer[T any] struct {
	value    T
	at       time.Duration
	sequence uint64
	index    int // position in the heap, or notQueued
}

const notQueued = -1

// ExpiresAt returns the time at which the timer expires or has expired.
func (t *Timer[T]) ExpiresAt() time.Duration { return t.at }

// Queue holds timers in the order in which they expire. Timers with equal times expire in the order in which they were
// added. The zero Queue is empty and ready to use.
type Queue[T any] struct {
	timers   timerHeap[T]
	sequence uint64
}

// Len returns the number of queued timers.
func (q *Queue[T]) Len() int { return len(q.timers) }

// Add queues a value with a timer that expires at a time. The time may be in the past.
func (q *Queue[T]) Add(at time.Duration, value T) *Timer[T] {
	q.sequence++
	t := &Timer[T]{value: value, at: at, sequence: q.sequence}
	heap.Push(&q.timers, t)
	return t
}

// Remove removes a timer from the queue. It does nothing if the timer is nil, was popped or was removed before.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t != nil && t.index != notQueued {
		heap.Remove(&q.timers, t.index)
	}
}

// Next returns the time at which the earliest timer expires. The ok result is false if the queue is empty.
func (q *Queue[T]) Next() (at time.Duration, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// PopExpired removes the earliest timer if it expires at now or before, and returns its value. Otherwise ok is false.
func (q *Queue[T]) PopExpired(now time.Duration) (value T, ok bool) {
	if len(q.timers) == 0 || q.timers[0].at > now {
		return value, false
	}
	return heap.Pop(&q.timers).(*Timer[T]).value, true
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []*Timer[T]

func (h timerHeap[T]) Len() int { return len(h) }

func (h timerHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = notQueued
	return t
}
