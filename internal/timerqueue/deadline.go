// Package timerqueue keeps everything that is to happen at a time in one ordered structure.
package timerqueue

import (
	"container/heap"
	"time"
)

// Timer is an entry of a Queue, kept by whoever may want to remove it.
type Timer[T any] struct {
	value T
	at    time.Duration
	seq   uint64
	index int // in the heap; -1: not in it
}

// At is when the entry is, or was, due.
func (it *Timer[T]) At() time.Duration { return it.at }

// Queue orders values by time, and by order of arrival where times are equal. It is not safe for
// concurrent use.
type Queue[T any] struct {
	items items[T]
	seq   uint64
}

// Len is the number of entries.
func (q *Queue[T]) Len() int { return len(q.items) }

// Add puts a value in at its time.
func (q *Queue[T]) Add(at time.Duration, v T) *Timer[T] {
	q.seq++
	it := &Timer[T]{value: v, at: at, seq: q.seq}
	heap.Push(&q.items, it)
	return it
}

// Remove takes an entry out. One that is nil, or has come due or been removed, is let be.
func (q *Queue[T]) Remove(it *Timer[T]) {
	if it != nil && it.index >= 0 {
		heap.Remove(&q.items, it.index)
	}
}

// Next is the time of the earliest entry; ok is false where there is none.
func (q *Queue[T]) Next() (at time.Duration, ok bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// PopExpired takes out the earliest entry that is due; ok is false where none is.
func (q *Queue[T]) PopExpired(now time.Duration) (v T, ok bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return v, false
	}
	return heap.Pop(&q.items).(*Timer[T]).value, true
}

// items implements heap.Interface.
type items[T any] []*Timer[T]

func (h items[T]) Len() int { return len(h) }

func (h items[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h items[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *items[T]) Push(x any) {
	it := x.(*Timer[T])
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *items[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
