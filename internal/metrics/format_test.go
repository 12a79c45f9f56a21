package metrics

import (
	"bytes"
	"fmt"
	"testing"

	"example.org/milletvane/internal/golden"
)

// The metrics page must stay the same byte for byte for various classes. Every metric has a different value.
func TestPageGolden(t *testing.T) {
	var got bytes.Buffer
	for _, c := range []struct {
		name    string
		classes []string
	}{
		{"no classes", nil},
		{"one class", []string{"plan-diario"}},
		{"names that would break the form", []string{"a:b|c\nd", "e@f\rg h", "", "é.ü", "other"}},
		{"a class twice", []string{"x", "y", "x"}},
	} {
		r := New(c.classes)
		fmt.Fprintf(&got, "# %s: new\n%s", c.name, r.AppendStatsd(nil))
		for i, name := range append([]string{"of no class", "other"}, c.classes...) {
			class := r.Class(name)
			if class == nil {
				fmt.Fprintf(&got, "%q is not counted\n", name)
				continue
			}
			class.Succeeded.Add(int64(100*i + 1))
			class.Declined.Add(int64(100*i + 2))
			class.Aborted.Add(int64(100*i + 3))
		}
		r.Forwards.Add(1 << 40)
		r.Outstanding.Store(-5)
		r.DroppedMessages.Duplicate.Add(12)
		r.DroppedMessages.Setup.Add(13)
		r.DroppedMessages.Detached.Add(14)
		r.DroppedMessages.Ended.Add(15)
		r.DiscoveredServers.Store(6)
		r.EjectedServers.Store(7)
		r.UnreachableServers.Store(8)
		r.Descriptors.Store(9)
		r.ConnectionDescriptors.Store(10)
		r.ClosingDescriptors.Store(11)
		fmt.Fprintf(&got, "# %s: counted\n%s", c.name, r.AppendStatsd([]byte("before\n")))
	}
	fmt.Fprintf(&got, "# prefix\n%s\n", Prefix)
	golden.Check(t, "page.txt", got.Bytes())
}

// Counts by priority must stay the same, also for priorities that are out of range. The golden file holds older terms than
// the code, so the printed text stays as it is.
func TestPriorityCountsGolden(t *testing.T) {
	var got bytes.Buffer
	for _, priorities := range []int{1, 2, 5} {
		counters := NewPriorityCounters(priorities)
		for priority := -2; priority < priorities+3; priority++ {
			for range priority + 3 {
				counters.AddOffered(priority)
			}
			for range 2*priority + 6 {
				counters.AddRejected(priority)
			}
			for range 3*priority + 9 {
				counters.AddShed(priority)
			}
		}
		for range 2 {
			taken := counters.TakeCounts()
			fmt.Fprintf(&got, "ranks %d: asked %d refused %d cut %d\n", priorities, taken.Offered, taken.Rejected, taken.Shed)
		}
	}
	var none *PriorityCounters
	none.AddOffered(0)
	none.AddRejected(1)
	none.AddShed(2)
	golden.Check(t, "ranks.txt", got.Bytes())
}
