package slotmap

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// A table behaves as a map from numbers to values, and a stale number finds nothing.
func TestTableIsAMapOfLiveNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		table, live, stale := New[int](limit), map[Handle]int{}, []Handle{}
		for i := range rapid.IntRange(0, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				id, ok := table.Insert(i)
				if ok != (len(live) < limit) {
					t.Fatalf("put with %d of %d held: %v", len(live), limit, ok)
				}
				if !ok {
					continue
				}
				if _, twice := live[id]; twice || id == 0 {
					t.Fatalf("number %d given", id)
				}
				live[id] = i
			} else {
				for id := range live {
					table.Remove(id)
					table.Remove(id) // again: nothing happens
					delete(live, id)
					stale = append(stale, id)
					break
				}
			}
			if table.Len() != len(live) {
				t.Fatalf("%d held, want %d", table.Len(), len(live))
			}
		}
		for id, v := range live {
			if got, ok := table.Get(id); !ok || got != v {
				t.Fatalf("%d holds %v %v, want %v", id, got, ok, v)
			}
		}
		for _, id := range stale {
			if _, ok := table.Get(id); ok {
				t.Fatalf("stale number %d finds a value", id)
			}
		}
		seen := 0
		table.All(func(id Handle, v int) bool {
			seen++
			if live[id] != v {
				t.Fatalf("%d is %d, want %d", id, v, live[id])
			}
			return true
		})
		if seen != len(live) {
			t.Fatalf("%d walked of %d", seen, len(live))
		}
	})
}

func TestGenerationsSkipTheNumberZero(t *testing.T) {
	table := New[int](1)
	for range 1 << 17 {
		id, ok := table.Insert(1)
		if !ok || id == 0 {
			t.Fatalf("number %d %v", id, ok)
		}
		table.Remove(id)
	}
}
