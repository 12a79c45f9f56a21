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

// drawn is a Map beside a plain map that says what it should hold.
type drawn struct {
	slots *Map[int]
	live  map[Handle]int
	stale []Handle
}

const drawnCapacity = 5

func (d *drawn) insert(t *rapid.T, value int) {
	t.Helper()
	h, ok := d.slots.Insert(value)
	if ok != (len(d.live) < drawnCapacity) {
		t.Fatalf("Insert with %d of %d held: %t", len(d.live), drawnCapacity, ok)
	}
	if !ok {
		return
	}
	if _, twice := d.live[h]; twice || h == 0 {
		t.Fatalf("Insert returned handle %d", h)
	}
	d.live[h] = value
}

func (d *drawn) removeOne() {
	for h := range d.live {
		d.slots.Remove(h)
		d.slots.Remove(h) // again: nothing happens
		delete(d.live, h)
		d.stale = append(d.stale, h)
		return
	}
}

func (d *drawn) check(t *rapid.T) {
	t.Helper()
	for h, want := range d.live {
		if got, ok := d.slots.Get(h); !ok || got != want {
			t.Fatalf("Get(%d) = %d, %t, want %d", h, got, ok, want)
		}
	}
	for _, h := range d.stale {
		if _, ok := d.slots.Get(h); ok {
			t.Fatalf("stale handle %d finds a value", h)
		}
	}
	seen := 0
	d.slots.All(func(h Handle, got int) bool {
		seen++
		if want := d.live[h]; got != want {
			t.Fatalf("All yields %d for handle %d, want %d", got, h, want)
		}
		return true
	})
	if seen != len(d.live) {
		t.Fatalf("All yields %d values, want %d", seen, len(d.live))
	}
}

// A Map behaves as a plain map by handle, and a stale handle finds nothing.
func TestMapHoldsLiveHandles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &drawn{slots: New[int](drawnCapacity), live: map[Handle]int{}}
		for step := range rapid.IntRange(0, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "insert") {
				d.insert(t, step)
			} else {
				d.removeOne()
			}
			if d.slots.Len() != len(d.live) {
				t.Fatalf("Len() = %d, want %d", d.slots.Len(), len(d.live))
			}
		}
		d.check(t)
	})
}

func TestGenerationsSkipHandleZero(t *testing.T) {
	m := New[int](1)
	for range 1 << 17 {
		h, ok := m.Insert(1)
		if !ok || h == 0 {
			t.Fatalf("Insert returned handle %d, %t", h, ok)
		}
		m.Remove(h)
	}
}

// Slots are reused in the order in which they became free, past the moment when the list of free slots is compacted.
func TestSlotFreeForLongestIsReusedFirst(t *testing.T) {
	const capacity = 3 * compactAfter
	m := New[int](capacity)
	var freed []Handle
	for i := range capacity {
		h, ok := m.Insert(i)
		if !ok {
			t.Fatalf("Insert %d failed", i)
		}
		freed = append(freed, h)
	}
	for _, h := range freed {
		m.Remove(h)
	}
	for i, old := range freed {
		h, ok := m.Insert(i)
		if !ok || h.index() != old.index() || h.generation() != old.generation()+1 {
			t.Fatalf("Insert %d returned %d of generation %d, want %d of generation %d",
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
			t.Errorf("New(%d) takes %d values, want %d", c.given, m.Len(), c.want)
		}
	}
}

// All may be ended early, and the value at hand may be removed.
func TestAllEndsEarly(t *testing.T) {
	m := New[string](3)
	for _, value := range []string{"a", "b", "c"} {
		if _, ok := m.Insert(value); !ok {
			t.Fatalf("Insert %s failed", value)
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
		t.Errorf("All yielded %q and %d are left, want %q and 1", seen, m.Len(), want)
	}
}
