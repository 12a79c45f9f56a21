// Package slot keeps things in a table of numbered slots. A number holds the slot's generation too, so
// that one kept past the end of its thing is recognised as stale and never reaches the slot's next tenant.
package slot

// ID numbers a tenant of a table: the slot in the low half, its generation in the high one. 0 is never given.
type ID uint32

const (
	indexBits = 16
	// MaxLimit is the most that a table can hold.
	MaxLimit = 1 << indexBits
)

func (id ID) index() int { return int(id & (MaxLimit - 1)) }

type entry[T any] struct {
	value T
	gen   uint16 // of the present tenant, or of the next where the slot is free
	used  bool
}

// Table holds values in slots. It is not safe for concurrent use.
type Table[T any] struct {
	limit   int
	entries []entry[T]
	free    []uint16 // in order of release: the longest free slot is taken first, so that numbers recur late
	head    int
}

// New returns a table for at most limit values.
func New[T any](limit int) *Table[T] {
	return &Table[T]{limit: min(max(limit, 0), MaxLimit)}
}

// Len is the number of values held.
func (t *Table[T]) Len() int { return len(t.entries) - (len(t.free) - t.head) }

// Put takes a slot for a value; ok is false where the table is full.
func (t *Table[T]) Put(v T) (id ID, ok bool) {
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
	return ID(e.gen)<<indexBits | ID(i), true
}

func (t *Table[T]) at(id ID) *entry[T] {
	i := id.index()
	if i >= len(t.entries) {
		return nil
	}
	e := &t.entries[i]
	if !e.used || ID(e.gen) != id>>indexBits {
		return nil
	}
	return e
}

// Get returns the value that a number stands for; ok is false where its tenant has left.
func (t *Table[T]) Get(id ID) (v T, ok bool) {
	e := t.at(id)
	if e == nil {
		return v, false
	}
	return e.value, true
}

// Remove frees a slot. A stale number frees nothing.
func (t *Table[T]) Remove(id ID) {
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
func (t *Table[T]) All(f func(ID, T) bool) {
	for i := range t.entries {
		if e := &t.entries[i]; e.used && !f(ID(e.gen)<<indexBits|ID(i), e.value) {
			return
		}
	}
}
