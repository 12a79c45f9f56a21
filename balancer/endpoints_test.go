package balancer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestDrainingServerGetsNothingNew(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		w := newWorld(t, settings(), 5)
		_, s := w.open("safe", "g")
		w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s, State: state}}})
		for range 50 {
			if _, got := w.open("safe", "g"); got == s {
				t.Fatalf("state %v: sent to it", state)
			}
		}
	}
}

func TestServerMissingFromAWholeListIsGone(t *testing.T) {
	w := newWorld(t, settings(), 3)
	w.feed(EndpointList{Mode: ListComplete, Servers: servers(1)})
	for i := range 20 {
		if _, got := w.open("safe", fmt.Sprint("g", i)); got != 100 {
			t.Fatalf("sent to %d", got)
		}
	}
}

// Lists that change nothing must not push the table of the last real change out of memory.
func TestUnchangedListKeepsThePast(t *testing.T) {
	w := newWorld(t, settings(), 5)
	w.b.refreshTable()
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1}}})
	w.b.refreshTable()
	past := len(w.b.pastTables)
	for range 3 {
		w.feed(EndpointList{Mode: ListDelta})
		w.b.refreshTable()
	}
	if past != 1 || len(w.b.pastTables) != 1 {
		t.Errorf("%d past tables, then %d", past, len(w.b.pastTables))
	}
}

// A list that wrongly calls every server gone, leaves all of them out, or is an old one, leaves the fleet
// served by the same table, and the true list's return changes nothing.
func TestListThatIsWrongLeavesTheFleetServed(t *testing.T) {
	gone := servers(8)
	for i := range gone {
		gone[i].State = Removed
	}
	old := append(servers(6), Server{ID: 700, Capacity: 1}) // two newer ones missing, one that is no more
	for name, wrong := range map[string]EndpointList{
		"all gone": {Mode: ListDelta, Servers: gone}, "empty": {Mode: ListComplete},
		"old":   {Mode: ListComplete, Servers: old},
		"twice": {Mode: ListComplete, Servers: append(gone, gone...)},
	} {
		w := newWorld(t, adviceOnly(), 8)
		at := map[string]ServerID{}
		w.b.refreshTable()
		shares := w.b.tableWeights
		for i := range 30 {
			group := fmt.Sprint("g", i)
			_, at[group] = w.open("safe", group)
		}
		w.feed(wrong)
		moved := 0
		for group, before := range at {
			w.request("safe", group)
			s := w.sent()
			if s.Server == 700 { // never answers
				w.end(s, 0, ConnectFailed)
				s = w.sent()
			}
			w.feed(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
			if s.Server != before {
				moved++
			}
		}
		if moved > 8 {
			t.Errorf("%s: %d of 30 groups moved", name, moved)
		}
		past := len(w.b.pastTables)
		w.feed(EndpointList{Mode: ListComplete, Servers: servers(8)})
		if w.b.refreshTable(); !slices.Equal(w.b.tableWeights, shares) {
			t.Errorf("%s: the true list left another table", name)
		}
		if name != "old" && len(w.b.pastTables) != past {
			t.Errorf("%s: the true list filled the table again", name)
		}
	}
}

// A server of which a list speaks first as gone was never there: no doubt makes it usable.
func TestServerFirstListedAsGoneGetsNothing(t *testing.T) {
	for _, set := range []Settings{settings(), adviceOnly()} {
		w := newWorld(t, set, 3)
		w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, State: Removed}}})
		for i := range 60 {
			if w.request("safe", fmt.Sprint("g", i)); w.sent().Server == 900 {
				t.Fatalf("gone is advice: %v: sent to it", set.RemovalIsAdvisory)
			}
		}
		w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, State: Ready}}})
		if w.b.servers[900].State != Ready {
			t.Error("listed as ready it is not used")
		}
	}
}

// A server in doubt that fails is gone, as listed; one that held a good connection takes more than that.
func TestFailureConfirmsThatAServerIsGone(t *testing.T) {
	w := newWorld(t, adviceOnly(), 6)
	entry := w.entry("g")
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: entry, State: Removed}}})
	first := w.onTrial("g", entry)
	w.end(first, 0, TimedOut)
	for range 100 {
		w.wait(sec)
		if w.request("safe", "g"); w.sent().Server == entry {
			t.Fatal("sent to a server whose failure confirmed the list")
		}
	}
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: entry, State: Ready}}})
	if w.request("safe", "g"); w.sent().Server != entry {
		t.Error("listed as ready again, it gets nothing")
	}
}

func TestOnlyDrainingBindsWhereGoneIsAdvice(t *testing.T) {
	w := newWorld(t, adviceOnly(), 5)
	_, s := w.open("safe", "g")
	state := func(state ServerState, started time.Duration) {
		w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: s, State: state, Started: started}}})
	}
	stray := func() ServerID {
		w.id++
		w.feed(Request{ID: w.id, Class: "safe", Group: "g", MidFlow: true, Timeout: sec})
		return w.sent().Server
	}
	state(Removed, 0)
	w.now += 2 * sec
	if _, got := w.open("safe", "g"); got != s {
		t.Fatalf("called gone with a good connection: sent to %d, not %d", got, s)
	}
	state(Draining, 0) // the grace starts now
	w.now += 300 * ms
	if got := stray(); got != s {
		t.Errorf("within the grace a stray goes to %d, not %d", got, s)
	}
	w.now += 300 * ms
	for _, next := range []ServerState{Draining, Removed, Ready} { // an old list may call it ready again
		state(next, 0)
		if got := stray(); got == s {
			t.Errorf("drained, then listed as %v: sent to it", next)
		}
		if _, got := w.open("safe", "g"); got == s {
			t.Errorf("drained, then listed as %v: sent to it", next)
		}
	}
	state(Ready, w.now-30*sec)
	back := false
	for i := range 60 {
		w.request("safe", fmt.Sprint("h", i))
		back = back || w.sent().Server == s
	}
	if !back {
		t.Error("a new start does not clear the drain")
	}
}

// A fleet whose machines get new ids for months does not grow the memory, whether gone binds or not.
func TestGoneServersAreForgotten(t *testing.T) {
	for _, advice := range []bool{false, true} {
		set := settings()
		set.RemovalIsAdvisory = advice
		w := newWorld(t, set, 0)
		most := 0
		for round := range 300 {
			list := servers(4)
			for i := range list {
				list[i].ID = ServerID(1000*round + i)
			}
			w.feed(EndpointList{Mode: ListComplete, Servers: list})
			for i := range 3 {
				w.request("safe", fmt.Sprint("g", i))
				if s := w.sent(); int(s.Server)/1000 == round {
					w.feed(AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
				} else {
					w.feed(AttemptEnded{ID: s.ID, Server: s.Server, Result: ConnectFailed, Answered: true})
				}
			}
			w.wait(30 * sec)
			most = max(most, len(w.b.sortedServers), len(w.b.servers))
		}
		if most > 200 {
			t.Errorf("gone is advice: %v: %d servers remembered of 1200", advice, most)
		}
	}
}

// Gateways that are fed the same lists, however odd, place a fresh key alike and never at a server that no
// list named: duplicates, unknown ids, drains of servers never ready, empty and old lists among them.
func TestGatewaysFedOddListsAgree(t *testing.T) {
	for seed := range uint64(12) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		set := settings()
		set.RemovalIsAdvisory = seed%2 == 0
		var gateways []*Balancer
		for i := range uint64(3) {
			set.Seed = seed*10 + i
			gateways = append(gateways, mustNew(t, set))
		}
		named := map[ServerID]bool{}
		past := []EndpointList{{Mode: ListComplete}}
		now := 50 * sec
		for i := range 300 {
			now += time.Duration(rnd.IntN(3000)) * ms
			list := EndpointList{Mode: ListMode(rnd.IntN(3))}
			for range rnd.IntN(9) {
				s := Server{ID: ServerID(100 + rnd.IntN(9)), State: ServerState(rnd.IntN(3))}
				if rnd.IntN(3) == 0 {
					s.Started = now - time.Duration(rnd.IntN(60))*sec
				}
				list.Servers = append(list.Servers, s)
			}
			if rnd.IntN(8) == 0 {
				list = past[rnd.IntN(len(past))]
			}
			past = append(past, list)
			for _, s := range list.Servers {
				named[s.ID] = true
			}
			req := Request{ID: RequestID(i + 1), Class: "safe", Key: fmt.Sprint("k", i), Timeout: sec}
			var first []Action
			for g, b := range gateways {
				b.Handle(now, list)
				sends := []Action{}
				for _, a := range b.Handle(now, req) {
					if s, ok := a.(Send); ok {
						sends = append(sends, s)
						if !named[s.Server] {
							t.Fatalf("sent to %d, which no list named", s.Server)
						}
						b.Handle(now, AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
					}
				}
				if g == 0 {
					first = sends
				} else if !reflect.DeepEqual(first, sends) {
					t.Fatalf("list %d: gateway %d sends %+v, the first %+v", i, g, sends, first)
				}
			}
		}
	}
}
