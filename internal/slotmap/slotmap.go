// Package slotmap implements a map that stores values in numbered slots and returns handles to them. A handle contains the
// generation of its slot. A handle that is used after its value was removed is therefore recognised as stale, and does not
// return the next value in the slot.
//
// A Map is not safe for concurrent use.
package slotmap

// Handle refers to a value in a Map. The lower 16 bits hold the index of the slot, the upper 16 bits its generation. The
// zero Handle never refers to a value.
type Handle uint32

const (
	indexBits = 16
	// MaxCapacity is the maximum number of values in a Map.
	MaxCapacity = 1 << indexBits

	firstGeneration = 1  // with generation 0, a handle to slot 0 would be the zero Handle
	compactAfter    = 64 // entries taken from the free list before they are removed from its front
)

func newHandle(generation uint16, index int) Handle {
	return Handle(generation)<<indexBits | Handle(index)
}

func (h Handle) index() int { return int(h & (MaxCapacity - 1)) }

func (h Handle) generation() uint16 { return uint16(h >> indexBits) }

type slot[T any] struct {
	value      T
	generation uint16 // generation of the current value, or of the next value if the slot is free
	occupied   bool
}

// Map stores values by handle. New returns an empty Map.
type Map[T any] struct {
	capacity int
	slots    []slot[T]
	// free[freeHead:] holds the indexes of the free slots in the order of their release. The slot that has been free for
	// longest is reused first, so that a handle recurs as late as possible.
	free     []uint16
	freeHead int
}

// New returns a Map that holds at most capacity values. The capacity is limited to the range from 0 to MaxCapacity.
func New[T any](capacity int) *Map[T] {
	return &Map[T]{capacity: min(max(capacity, 0), MaxCapacity)}
}

// Len returns the number of values in the map.
func (m *Map[T]) Len() int { return len(m.slots) - m.freeSlots() }

func (m *Map[T]) freeSlots() int { return len(m.free) - m.freeHead }

// Insert adds a value and returns its handle. The ok result is false if the map is full.
func (m *Map[T]) Insert(value T) (h Handle, ok bool) {
	index, ok := m.takeSlot()
	if !ok {
		return 0, false
	}
	s := &m.slots[index]
	s.value, s.occupied = value, true
	return newHandle(s.generation, index), true
}

// takeSlot returns the index of a free slot, or of a new slot if none is free. The ok result is false if the map is full.
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

// find returns the slot of a handle, or nil if the handle is stale or was never returned by Insert.
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

// Get returns the value of a handle. The ok result is false if the handle is stale or was never returned by Insert.
func (m *Map[T]) Get(h Handle) (value T, ok bool) {
	s := m.find(h)
	if s == nil {
		return value, false
	}
	return s.value, true
}

// Remove removes the value of a handle and frees its slot. It does nothing if the handle is stale.
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

// All calls yield for each handle and its value in slot order, until yield returns false. The yield function may remove
// the value that it is given.
func (m *Map[T]) All(yield func(Handle, T) bool) {
	for index := range m.slots {
		s := &m.slots[index]
		if s.occupied && !yield(newHandle(s.generation, index), s.value) {
			return
		}
	}
}
