package slotmap

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// mapModel compares a Map with a Go map that holds the expected values.
type mapModel struct {
	slots *Map[int]
	live  map[Handle]int
	stale []Handle
}

const modelCapacity = 5

func (m *mapModel) insert(t *rapid.T, value int) {
	t.Helper()
	h, ok := m.slots.Insert(value)
	if ok != (len(m.live) < modelCapacity) {
		t.Fatalf("Insert into a map with %d of %d values returned %t", len(m.live), modelCapacity, ok)
	}
	if !ok {
		return
	}
	if _, twice := m.live[h]; twice || h == 0 {
		t.Fatalf("Insert returned handle %d, want a new handle other than 0", h)
	}
	m.live[h] = value
}

func (m *mapModel) removeAny() {
	for h := range m.live {
		m.slots.Remove(h)
		m.slots.Remove(h) // the second call does nothing
		delete(m.live, h)
		m.stale = append(m.stale, h)
		return
	}
}

func (m *mapModel) check(t *rapid.T) {
	t.Helper()
	for h, want := range m.live {
		if got, ok := m.slots.Get(h); !ok || got != want {
			t.Fatalf("Get(%d) = %d, %t, want %d", h, got, ok, want)
		}
	}
	for _, h := range m.stale {
		if _, ok := m.slots.Get(h); ok {
			t.Fatalf("Get(%d) returned a value, want none for a stale handle", h)
		}
	}
	seen := 0
	m.slots.All(func(h Handle, got int) bool {
		seen++
		if want := m.live[h]; got != want {
			t.Fatalf("All yielded %d for handle %d, want %d", got, h, want)
		}
		return true
	})
	if seen != len(m.live) {
		t.Fatalf("All yielded %d values, want %d", seen, len(m.live))
	}
}

// A Map holds the same values as a Go map with the same changes, and a stale handle returns no value.
func TestMapHoldsLiveHandles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &mapModel{slots: New[int](modelCapacity), live: map[Handle]int{}}
		for step := range rapid.IntRange(0, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "insert") {
				m.insert(t, step)
			} else {
				m.removeAny()
			}
			if m.slots.Len() != len(m.live) {
				t.Fatalf("Len() = %d, want %d", m.slots.Len(), len(m.live))
			}
		}
		m.check(t)
	})
}

func TestGenerationsSkipHandleZero(t *testing.T) {
	m := New[int](1)
	for range 1 << 17 {
		h, ok := m.Insert(1)
		if !ok || h == 0 {
			t.Fatalf("Insert returned handle %d, %t, want a handle other than 0", h, ok)
		}
		m.Remove(h)
	}
}

// Slots are reused in the order in which they became free, even after the list of free slots was compacted.
func TestSlotFreeForLongestIsReusedFirst(t *testing.T) {
	const capacity = 3 * compactAfter
	m := New[int](capacity)
	var freed []Handle
	for i := range capacity {
		h, ok := m.Insert(i)
		if !ok {
			t.Fatalf("Insert of value %d failed below the capacity", i)
		}
		freed = append(freed, h)
	}
	for _, h := range freed {
		m.Remove(h)
	}
	for i, old := range freed {
		h, ok := m.Insert(i)
		if !ok || h.index() != old.index() || h.generation() != old.generation()+1 {
			t.Fatalf("Insert of value %d returned slot %d of generation %d, want slot %d of generation %d",
				i, h.index(), h.generation(), old.index(), old.generation()+1)
		}
	}
}

func TestCapacityIsClamped(t *testing.T) {
	for _, c := range []struct{ given, want int }{
		{-1, 0},
		{0, 0},
		{1, 1},
		{MaxCapacity, MaxCapacity},
		{MaxCapacity + 1, MaxCapacity},
	} {
		m := New[struct{}](c.given)
		for {
			if _, ok := m.Insert(struct{}{}); !ok {
				break
			}
		}
		if m.Len() != c.want {
			t.Errorf("New(%d) returned a map for %d values, want %d", c.given, m.Len(), c.want)
		}
	}
}

// An iteration with All can end early, and it can remove the value that it is given.
func TestAllEndsEarly(t *testing.T) {
	m := New[string](3)
	for _, value := range []string{"a", "b", "c"} {
		if _, ok := m.Insert(value); !ok {
			t.Fatalf("Insert of value %s failed below the capacity", value)
		}
	}
	var seen []string
	for h, value := range m.All {
		seen = append(seen, value)
		m.Remove(h)
		if value == "b" {
			break
		}
	}
	if want := []string{"a", "b"}; !slices.Equal(seen, want) || m.Len() != 1 {
		t.Errorf("All yielded %q and %d values are left, want %q and 1", seen, m.Len(), want)
	}
}
