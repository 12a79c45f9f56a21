package metrics

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestAppendStatsd(t *testing.T) {
	r := New([]string{"plan-diario", "a:b|c\nd"})
	r.Class("plan-diario").Succeeded.Add(812)
	r.Class("a:b|c\nd").Aborted.Add(1)
	r.Outstanding.Store(14)
	r.Forwards.Add(3)
	r.DroppedMessages.Duplicate.Add(21)
	r.DroppedMessages.Setup.Add(22)
	r.DroppedMessages.Detached.Add(23)
	r.DroppedMessages.Ended.Add(24)
	r.DiscoveredServers.Store(2)
	r.EjectedServers.Store(1)
	r.UnreachableServers.Store(4)
	r.Descriptors.Store(31)
	r.ConnectionDescriptors.Store(17)
	r.ClosingDescriptors.Store(5)
	const want = "edge_proxy.succeeded.plan-diario:812|c\n" +
		"edge_proxy.declined.plan-diario:0|c\n" +
		"edge_proxy.aborted.plan-diario:0|c\n" +
		"edge_proxy.succeeded.a_b_c_d:0|c\n" +
		"edge_proxy.declined.a_b_c_d:0|c\n" +
		"edge_proxy.aborted.a_b_c_d:1|c\n" +
		"edge_proxy.forwards:3|c\n" +
		"edge_proxy.dropped_messages.duplicate:21|c\n" +
		"edge_proxy.dropped_messages.setup:22|c\n" +
		"edge_proxy.dropped_messages.detached:23|c\n" +
		"edge_proxy.dropped_messages.ended:24|c\n" +
		"edge_proxy.outstanding:14|g\n" +
		"edge_proxy.discovered:2|g\n" +
		"edge_proxy.ejected:1|g\n" +
		"edge_proxy.unreachable:4|g\n" +
		"edge_proxy.descriptors:31|g\n" +
		"edge_proxy.connection_descriptors:17|g\n" +
		"edge_proxy.closing_descriptors:5|g\n"
	if diff := cmp.Diff(want, string(r.AppendStatsd(nil))); diff != "" {
		t.Errorf("page differs (-want +got):\n%s", diff)
	}
}

func TestClass(t *testing.T) {
	for name, c := range map[string]struct {
		classes []string
		class   string
		counted bool
	}{
		"named in the settings":            {classes: []string{"plan-diario"}, class: "plan-diario", counted: true},
		"unknown, without the class other": {classes: []string{"plan-diario"}, class: "a client's", counted: false},
		"unknown, with the class other":    {classes: []string{"plan-diario", "other"}, class: "a client's", counted: true},
		"settings without classes":         {class: "any", counted: true},
	} {
		t.Run(name, func(t *testing.T) {
			if counters := New(c.classes).Class(c.class); (counters != nil) != c.counted {
				t.Errorf("got the counters %p, want non-nil: %v", counters, c.counted)
			}
		})
	}
	if r := New(nil); r.Class("any") != r.Class("another") {
		t.Error("without classes, two names have different counters, want the same")
	}
}

func TestTakeCounts(t *testing.T) {
	c := NewPriorityCounters(2)
	c.AddOffered(1)
	c.AddOffered(1)
	c.AddRejected(0)
	c.AddShed(7) // out of range, so it counts as the highest priority
	want := PriorityCounts{Offered: []uint64{0, 2}, Rejected: []uint64{1, 0}, Shed: []uint64{0, 1}}
	if diff := cmp.Diff(want, c.TakeCounts()); diff != "" {
		t.Errorf("counts differ (-want +got):\n%s", diff)
	}
	want = PriorityCounts{Offered: []uint64{0, 0}, Rejected: []uint64{0, 0}, Shed: []uint64{0, 0}}
	if diff := cmp.Diff(want, c.TakeCounts()); diff != "" {
		t.Errorf("counts of the second call differ (-want +got):\n%s", diff)
	}
}
