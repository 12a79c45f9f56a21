// Package slotmap keeps values in numbered slots and gives out handles to them. A handle holds its slot's generation
// too, so that one kept after its value was removed is recognised as stale and never reaches the slot's next value.
//
// A Map belongs to one goroutine at a time; it does no locking.
package slotmap

// Handle refers to a value in a Map: the slot's index in the low half, its generation in the high one. The zero Handle
// is never given out.
type Handle uint32

const (
	indexBits = 16
	// MaxCapacity is the most values that a Map can hold.
	MaxCapacity = 1 << indexBits

	firstGeneration = 1  // 0 would make the first slot's first handle 0
	compactAfter    = 64 // reused slots, before the list of free ones is moved to its front
)

func newHandle(generation uint16, index int) Handle {
	return Handle(generation)<<indexBits | Handle(index)
}

func (h Handle) index() int { return int(h & (MaxCapacity - 1)) }

func (h Handle) generation() uint16 { return uint16(h >> indexBits) }

type slot[T any] struct {
	value      T
	generation uint16 // of the present value, or of the next one where the slot is free
	occupied   bool
}

// Map holds values by handle. Make one with New.
type Map[T any] struct {
	capacity int
	slots    []slot[T]
	// Indexes of free slots in order of release, from freeHead on. The slot that was free for longest is reused first,
	// so that handles recur as late as can be.
	free     []uint16
	freeHead int
}

// New returns a Map for at most capacity values. A capacity below 0 is taken as 0, one above MaxCapacity as that.
func New[T any](capacity int) *Map[T] {
	return &Map[T]{capacity: min(max(capacity, 0), MaxCapacity)}
}

// Len is the number of values held.
func (m *Map[T]) Len() int { return len(m.slots) - m.freeSlots() }

func (m *Map[T]) freeSlots() int { return len(m.free) - m.freeHead }

// Insert adds a value and returns its handle; ok is false where the map is full.
func (m *Map[T]) Insert(value T) (h Handle, ok bool) {
	index, ok := m.takeSlot()
	if !ok {
		return 0, false
	}
	s := &m.slots[index]
	s.value, s.occupied = value, true
	return newHandle(s.generation, index), true
}

// takeSlot returns the index of a free slot, or of a new one while the capacity allows that.
func (m *Map[T]) takeSlot() (index int, ok bool) {
	if m.freeSlots() > 0 {
		index = int(m.free[m.freeHead])
		m.freeHead++
		if m.freeHead > compactAfter && m.freeHead > len(m.free)/2 {
			m.free = append(m.free[:0], m.free[m.freeHead:]...)
			m.freeHead = 0
		}
		return index, true
	}
	if len(m.slots) >= m.capacity {
		return 0, false
	}
	m.slots = append(m.slots, slot[T]{generation: firstGeneration})
	return len(m.slots) - 1, true
}

// find returns the slot of a handle; nil where the handle is stale or was never given out.
func (m *Map[T]) find(h Handle) *slot[T] {
	index := h.index()
	if index >= len(m.slots) {
		return nil
	}
	s := &m.slots[index]
	if !s.occupied || s.generation != h.generation() {
		return nil
	}
	return s
}

// Get returns the value of a handle; ok is false where the handle is stale.
func (m *Map[T]) Get(h Handle) (value T, ok bool) {
	s := m.find(h)
	if s == nil {
		return value, false
	}
	return s.value, true
}

// Remove takes a value out and frees its slot. A stale handle removes nothing.
func (m *Map[T]) Remove(h Handle) {
	s := m.find(h)
	if s == nil {
		return
	}
	var zero T
	s.value, s.occupied = zero, false
	s.generation++
	if s.generation == 0 {
		s.generation = firstGeneration
	}
	m.free = append(m.free, uint16(h.index()))
}

// All calls yield for each value in order of slots, until it returns false. The value that yield is given may be removed
// meanwhile.
func (m *Map[T]) All(yield func(Handle, T) bool) {
	for index := range m.slots {
		s := &m.slots[index]
		if s.occupied && !yield(newHandle(s.generation, index), s.value) {
			return
		}
	}
}
