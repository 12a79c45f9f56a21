package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// What is shed since warm servers are slow may still go to a cold one within its budget, and to no warm one.
func TestShedRequestsMayFillColdServers(t *testing.T) {
	set := settings()
	set.Gateways, set.WarmupDuration = 300, sec/100
	w := newWorld(t, set, 4)
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 4}}})
	w.b.slowRatio = 1
	sent := 0
	for i := range 200 {
		w.now += 500 * ms
		cold := w.b.servers[900]
		cold.Started = w.now // stays as cold
		w.feed(Request{ID: RequestID(i + 1), Class: "safe", Timeout: 2 * sec})
		for _, s := range find[Send](w.last) {
			if s.Server != 900 {
				t.Fatalf("sent to warm server %d though all is shed", s.Server)
			}
			sent++
		}
		w.b.slowRatio = 1
	}
	if sent == 0 {
		t.Error("nothing went to the cold server, whose budget was whole")
	}
}

// A connection that passes through is sent to its key's entry at once: no report tells who holds it.
func TestStrayIsNotHeldForReports(t *testing.T) {
	set := settings()
	set.Gateways, set.CanPollLoad = 300, true
	w := newWorld(t, set, 8)
	w.feed(Request{ID: 1, Class: "safe", Key: "a", Timeout: 2 * sec, MidFlow: true})
	w.b.refreshTable()
	if s := find[Send](w.last); len(s) != 1 || s[0].Server != w.b.lookup(w.b.requests[1], 0).ID {
		t.Errorf("sent %v", s)
	}
}

// Room is whole where all have room, so that no move is lost to rounding, and where servers
// tell their loads it counts those that did.
func TestRoomIsOfThoseThatTold(t *testing.T) {
	set := settings()
	w := newWorld(t, set, 4)
	w.b.refreshTable()
	if got := w.b.freeCapacityRatio(); got != 1 {
		t.Errorf("room is %v where all have room", got)
	}
	set.CanPollLoad = true
	w = newWorld(t, set, 4)
	w.b.refreshTable()
	for i, load := range []float64{0.2, 1.5} {
		w.feed(LoadReport{Server: w.b.sortedServers[i].ID, Utilization: load, Connections: 10})
	}
	if got := w.b.freeCapacityRatio(); got != 0.5 {
		t.Errorf("room is %v where one of two that told is full", got)
	}
}

// The fleet sheds whole ranks and a part of the one at the cut, the same clients at every gateway; what a
// server holds already stays, and what is shed is not sent again.
func TestWhatTheFleetShedsIsRefused(t *testing.T) {
	refused := func(seed uint64, level float64, rank int, stray bool) (clients []string) {
		set := settings()
		set.Seed = seed
		w := newWorld(t, set, 8)
		w.feed(FleetShedLevel{Level: level})
		for i := range 400 {
			key := fmt.Sprint("k", i)
			w.now += 10 * ms
			w.feed(Request{ID: RequestID(i + 1), Class: "safe", Key: key, Priority: rank, Timeout: 2 * sec,
				MidFlow: stray})
			for _, a := range find[Reject](w.last) {
				if !a.ShedByFleet {
					t.Fatalf("%+v is not marked as shed", a)
				}
				clients = append(clients, key)
			}
		}
		return clients
	}
	for _, f := range []struct {
		level float64
		rank  int
		part  float64
	}{
		{0, 0, 0}, {0.3, 0, 0.3}, {0.3, 1, 0}, {1, 0, 1}, {1, 1, 0}, {1.5, 0, 1}, {1.5, 1, 0.5}, {1.5, 2, 0},
	} {
		got := refused(1, f.level, f.rank, false)
		part, whole := float64(len(got))/400, f.part == 0 || f.part == 1
		if math.Abs(part-f.part) > 0.08 || whole && part != f.part {
			t.Errorf("level %v, rank %d: %.2f refused", f.level, f.rank, part)
		}
		if other := refused(2, f.level, f.rank, false); !slices.Equal(got, other) {
			t.Errorf("level %v, rank %d: two gateways refuse others", f.level, f.rank)
		}
		if n := len(refused(1, f.level, f.rank, true)); n > 0 {
			t.Errorf("level %v, rank %d: %d strays refused", f.level, f.rank, n)
		}
	}
	w := newWorld(t, settings(), 8)
	w.feed(Request{ID: 1, Class: "safe", Key: "a", Timeout: 2 * sec})
	s := w.sent()
	w.feed(FleetShedLevel{Level: 1})
	w.feed(AttemptEnded{ID: 1, Server: s.Server, Result: ConnectFailed})
	if r := find[Reject](w.last); len(r) != 1 || !r[0].ShedByFleet || len(find[Send](w.last)) > 0 {
		t.Errorf("a further attempt of what is shed: %+v", w.last)
	}
}
