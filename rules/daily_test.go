package rules

import (
	"fmt"
	"testing"
)

// Of a server that holds nothing no more is heard: a limit in which no new group fits must not keep it out.
func TestEmptyServerTakesOneWhateverItsLimit(t *testing.T) {
	w := newWorld(t, settings(), 1)
	id, s := w.open("safe", "g")
	w.feed(LoadChanged{ID: id, Load: 1000})
	w.feed(LoadReport{Server: s, Load: 2})
	w.feed(Outcome{ID: id, Server: s, Result: OK, Settled: true})
	w.feed(Request{ID: 900, Class: "safe", Key: "a", Group: "b", Deadline: 2 * sec, Load: 1000})
	if n := len(find[Send](w.last)); n > 0 {
		t.Error("sent to a server that has just reported twice its load")
	}
	w.wait(2 * sec)
	for i, want := range []int{1, 0} {
		id := RequestID(901 + i)
		w.feed(Request{ID: id, Class: "safe", Key: "a", Group: "b", Deadline: 2 * sec, Load: 1000})
		if n := len(find[Send](w.last)); n != want {
			t.Errorf("request %d: %d sent, want %d", i, n, want)
		}
	}
}

// Where warm servers tell what they hold and how loaded that makes them, a cold one's budget goes by that,
// not by the little that a quiet fleet holds.
func TestColdBudgetFollowsReports(t *testing.T) {
	w := newWorld(t, settings(), 4)
	s := w.b.order[0]
	before := w.b.fullConnections(s)
	for range 20 {
		w.feed(LoadReport{Server: w.b.order[1].ID, Load: 0.25, Held: 10})
	}
	if got := w.b.fullConnections(s); before != coldRoom || got < 0.6*40 || got > 40 {
		t.Errorf("held to bear %v, then %v with reports of 10 at a quarter", before, got)
	}
	s.Started = w.now
	for range 20 {
		w.feed(LoadReport{Server: s.ID, Load: 0.25, Held: 1000})
	}
	if got := w.b.fullConnections(s); got > 40 {
		t.Errorf("a cold server's own report made it %v", got)
	}
}

// A server that is put back is tried once, and not before its moment, whatever its cold budget allows.
func TestReturnedServerIsTriedOnce(t *testing.T) {
	w := newWorld(t, settings(), 4)
	back := w.b.order[2].ID
	w.feed(Returned{Server: back})
	w.feed(List{Mode: Changes, Servers: []Server{{ID: back, Capacity: 1, Started: w.now}}})
	w.wait(tryWithin)
	to := 0
	for i := range 20 {
		w.feed(Request{ID: RequestID(500 + i), Class: "safe", Key: fmt.Sprint(i), Deadline: 2 * sec})
		for _, s := range find[Send](w.last) {
			if s.Server == back {
				to++
			}
		}
	}
	if to != 1 {
		t.Errorf("%d sent at once to a cold server that is back", to)
	}
}
