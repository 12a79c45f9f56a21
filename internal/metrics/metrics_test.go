package metrics

import "testing"

func TestForm(t *testing.T) {
	s := New([]string{"plan-diario", "a:b|c\nd"})
	s.Class("plan-diario").Succeeded.Add(812)
	s.Class("a:b|c\nd").Aborted.Add(1)
	s.Outstanding.Store(14)
	s.Forwards.Add(3)
	s.Discovered.Store(2)
	s.Ejected.Store(1)
	want := "edge_proxy.succeeded.plan-diario:812|c\nedge_proxy.declined.plan-diario:0|c\nedge_proxy.aborted.plan-diario:0|c\n" +
		"edge_proxy.succeeded.a_b_c_d:0|c\nedge_proxy.declined.a_b_c_d:0|c\nedge_proxy.aborted.a_b_c_d:1|c\n" +
		"edge_proxy.forwards:3|c\nedge_proxy.outstanding:14|g\nedge_proxy.discovered:2|g\nedge_proxy.ejected:1|g\n"
	if got := string(s.AppendStatsd(nil)); got != want {
		t.Errorf("got %s", got)
	}
	if s.Class("a client's") != nil {
		t.Error("a client made up a name")
	}
	if c := New(nil); c.Class("any") == nil || c.Class("any") != c.Class("other one") {
		t.Error("without classes all requests count as one")
	}
}
