// Package timerqueue orders timers by when they expire. It reads no clock: whoever owns a Queue says what time it is.
//
// A Queue belongs to one goroutine at a time; it does no locking.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is an entry of a Queue, kept by whoever may want to remove it.
type Timer[T any] struct {
	value    T
	at       time.Duration
	sequence uint64
	index    int // in the heap; notQueued: not in it
}

const notQueued = -1

// At is when the timer expires, or expired.
func (t *Timer[T]) At() time.Duration { return t.at }

// Queue holds timers in the order in which they expire: by time and, where times are equal, by order of Add. The zero
// Queue is empty and ready for use.
type Queue[T any] struct {
	timers   timerHeap[T]
	sequence uint64
}

// Len is the number of timers that are queued.
func (q *Queue[T]) Len() int { return len(q.timers) }

// Add queues a value until a time, which may be past.
func (q *Queue[T]) Add(at time.Duration, value T) *Timer[T] {
	q.sequence++
	t := &Timer[T]{value: value, at: at, sequence: q.sequence}
	heap.Push(&q.timers, t)
	return t
}

// Remove takes a timer out of the queue. A nil timer, or one that expired or was removed before, is left alone.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t != nil && t.index != notQueued {
		heap.Remove(&q.timers, t.index)
	}
}

// Next is when the earliest timer expires; ok is false where none is queued.
func (q *Queue[T]) Next() (at time.Duration, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// PopExpired takes out the earliest timer if it expires at now or before; ok is false where none does.
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

// Push appends a timer, for package heap.
func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop takes the last timer out, for package heap.
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = notQueued
	return t
}
