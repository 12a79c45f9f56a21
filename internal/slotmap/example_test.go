package slotmap_test

import (
	"fmt"

	"example.org/milletvane/internal/slotmap"
)

// A stale handle returns no value, even if its slot is in use again.
func Example() {
	requests := slotmap.New[string](1)
	first, _ := requests.Insert("first")
	requests.Remove(first)
	second, _ := requests.Insert("second")

	_, found := requests.Get(first)
	fmt.Println(found)
	value, found := requests.Get(second)
	fmt.Println(value, found)
	// Output:
	// false
	// second true
}
