package balancer

import "testing"

// A connection that comes up late carries nothing: not behind the grace of a server that may begin to drain
// meanwhile, or that drains and takes a stray, nor behind the window in which repeats are known.
func TestLateConnectionsHaveABound(t *testing.T) {
	set := settings()
	set.Classes[1].DedupWindow, set.Classes[1].DedupScope = 400*ms, DedupScopeAll
	w := newWorld(t, set, 4)
	w.request("safe", "")
	if s := w.sent(); s.ConnectTimeout <= 0 || s.ConnectTimeout >= set.DrainGrace {
		t.Errorf("to a server in service: %+v", s)
	}

	id, first := w.request("keyed", ""), w.sent()
	w.now += 150 * ms
	w.feed(AttemptEnded{ID: id, Server: first.Server, Result: Reset})
	if s := w.sent(); s.ConnectTimeout != 250*ms {
		t.Errorf("a repeat 150 ms into a window of 400 ms: %+v", s)
	}

	// A repeat of what never ran has no window.
	id, first = w.request("keyed", ""), w.sent()
	w.now += 150 * ms
	w.feed(AttemptEnded{ID: id, Server: first.Server, Result: Rejected})
	if s := w.sent(); s.ConnectTimeout <= 250*ms {
		t.Errorf("a repeat of what never ran: %+v", s)
	}

	w.b.refreshTable()
	holder := w.b.tableServers[0]
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: holder.ID, State: Draining}}})
	w.now += 300 * ms
	w.feed(Request{ID: 900, Class: "safe", MidFlow: true, OwnerKnown: true, Owner: holder.ID, Timeout: sec})
	if s := w.sent(); s.Server != holder.ID || s.ConnectTimeout <= 0 || s.ConnectTimeout >= 200*ms {
		t.Errorf("a stray to a server that has drained for 300 of 500 ms: %+v", s)
	}
}
