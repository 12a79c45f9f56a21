// Package slotmap keeps things in a table of numbered slots. A number holds the slot's generation too, so
// that one kept past the end of its thing is recognised as stale and never reaches the slot's next tenant.
package slotmap

// Handle numbers a tenant of a table: the slot in the low half, its generation in the high one. 0 is never given.
type Handle uint32

const (
	indexBits = 16
	// MaxLimit is the most that a table can hold.
	MaxCapacity = 1 << indexBits
)

func (id Handle) index() int { return int(id & (MaxCapacity - 1)) }

type entry[T any] struct {
	value T
	gen   uint16 // of the present tenant, or of the next where the slot is free
	used  bool
}

// Map holds values in slots. It is not safe for concurrent use.
type Map[T any] struct {
	limit   int
	entries []entry[T]
	free    []uint16 // in order of release: the longest free slot is taken first, so that numbers recur late
	head    int
}

// New returns a table for at most limit values.
func New[T any](limit int) *Map[T] {
	return &Map[T]{limit: min(max(limit, 0), MaxCapacity)}
}

// Len is the number of values held.
func (t *Map[T]) Len() int { return len(t.entries) - (len(t.free) - t.head) }

// Insert takes a slot for a value; ok is false where the table is full.
func (t *Map[T]) Insert(v T) (id Handle, ok bool) {
	var i int
	switch {
	case t.head < len(t.free):
		i = int(t.free[t.head])
		t.head++
		if t.head > len(t.free)/2 && t.head > 64 {
			t.free = append(t.free[:0], t.free[t.head:]...)
			t.head = 0
		}
	case len(t.entries) < t.limit:
		i = len(t.entries)
		t.entries = append(t.entries, entry[T]{gen: 1})
	default:
		return 0, false
	}
	e := &t.entries[i]
	e.value, e.used = v, true
	return Handle(e.gen)<<indexBits | Handle(i), true
}

func (t *Map[T]) at(id Handle) *entry[T] {
	i := id.index()
	if i >= len(t.entries) {
		return nil
	}
	e := &t.entries[i]
	if !e.used || Handle(e.gen) != id>>indexBits {
		return nil
	}
	return e
}

// Get returns the value that a number stands for; ok is false where its tenant has left.
func (t *Map[T]) Get(id Handle) (v T, ok bool) {
	e := t.at(id)
	if e == nil {
		return v, false
	}
	return e.value, true
}

// Remove frees a slot. A stale number frees nothing.
func (t *Map[T]) Remove(id Handle) {
	e := t.at(id)
	if e == nil {
		return
	}
	var zero T
	e.value, e.used = zero, false
	if e.gen++; e.gen == 0 { // 0 would make the first slot's number 0
		e.gen = 1
	}
	t.free = append(t.free, uint16(id.index()))
}

// All calls f for each value until it returns false. f may remove the value that it is given.
func (t *Map[T]) All(f func(Handle, T) bool) {
	for i := range t.entries {
		if e := &t.entries[i]; e.used && !f(Handle(e.gen)<<indexBits|Handle(i), e.value) {
			return
		}
	}
}
