package rules

import "testing"

// What is shed since warm servers are slow may still go to a cold one within its budget, and to no warm one.
func TestShedRequestsMayFillColdServers(t *testing.T) {
	set := settings()
	set.Gateways, set.ColdTime = 300, sec/100
	w := newWorld(t, set, 4)
	w.feed(List{Mode: Changes, Servers: []Server{{ID: 900, Capacity: 4}}})
	w.b.pressure = 1
	sent := 0
	for i := range 200 {
		w.now += 500 * ms
		cold := w.b.servers[900]
		cold.Started = w.now // stays as cold
		w.feed(Request{ID: RequestID(i + 1), Class: "safe", Deadline: 2 * sec})
		for _, s := range find[Send](w.last) {
			if s.Server != 900 {
				t.Fatalf("sent to warm server %d though all is shed", s.Server)
			}
			sent++
		}
		w.b.pressure = 1
	}
	if sent == 0 {
		t.Error("nothing went to the cold server, whose budget was whole")
	}
}

// A connection that passes through is sent to its key's entry at once: no report tells who holds it.
func TestStrayIsNotHeldForReports(t *testing.T) {
	set := settings()
	set.Gateways, set.Reports = 300, true
	w := newWorld(t, set, 8)
	w.feed(Request{ID: 1, Class: "safe", Key: "a", Deadline: 2 * sec, Stray: true})
	w.b.refresh()
	if s := find[Send](w.last); len(s) != 1 || s[0].Server != w.b.entry(w.b.requests[1], 0).ID {
		t.Errorf("sent %v", s)
	}
}

// Room is whole where all have room, so that no move is lost to rounding, and where servers
// tell their loads it counts those that did.
func TestRoomIsOfThoseThatTold(t *testing.T) {
	set := settings()
	w := newWorld(t, set, 4)
	w.b.refresh()
	if got := w.b.room(); got != 1 {
		t.Errorf("room is %v where all have room", got)
	}
	set.Reports = true
	w = newWorld(t, set, 4)
	w.b.refresh()
	for i, load := range []float64{0.2, 1.5} {
		w.feed(LoadReport{Server: w.b.order[i].ID, Load: load, Held: 10})
	}
	if got := w.b.room(); got != 0.5 {
		t.Errorf("room is %v where one of two that told is full", got)
	}
}
