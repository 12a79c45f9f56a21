package balancer

import (
	"fmt"
	"testing"
)

// scattered is over how many servers a group lies that is placed in a busy fleet of 80 servers, by gateways
// that each know what the servers tell and nothing of one another, and how many of its members are refused.
func scattered(
	t *testing.T, group string, members int, load func(server, member int) float64,
) (servers, refused int) {
	set := settings()
	set.Gateways, set.CanPollLoad = 300, true
	over := map[ServerID]bool{}
	for n := range members {
		w := newWorld(t, set, 80)
		for i, s := range w.b.sortedServers {
			w.feed(LoadReport{Server: s.ID, Utilization: load(i, n), Connections: 20})
		}
		w.feed(Request{ID: RequestID(n + 1), Class: "safe", Key: fmt.Sprint("k", n), Group: group,
			Timeout: 2 * sec})
		for _, s := range find[Send](w.last) {
			over[s.Server] = true
		}
		refused += len(find[Reject](w.last))
	}
	return len(over), refused
}

// A group stays together where the fleet is busy: its members go to what is near of its lookups, though
// servers far off report less, one at one time and another at the next. On a day of restarts each search went
// on until some server had room, so that 57 groups lay in 550 pieces; one costs its server as much as some
// connections, so that the scattering itself filled the fleet.
func TestBusyFleetDoesNotScatterGroups(t *testing.T) {
	busy := func(i, n int) float64 { return 0.62 + 0.2*float64((i*37+n*13)%80)/80 }
	for _, group := range []string{"a", "b", "c"} {
		if n, refused := scattered(t, group, 60, busy); n > 9 || refused > 0 {
			t.Errorf("group %s: %d servers for 60 members, %d refused", group, n, refused)
		}
	}
}

// Nor does it go far off where what is near has no room: who is refused may come again, a piece stays. Who
// has no group costs any server alike, and is taken wherever there is room.
func TestFullLookupsRefuseAGroupsMembers(t *testing.T) {
	full := func(i, _ int) float64 {
		if i%20 == 7 {
			return 0.2
		}
		return 1.2
	}
	most := 0
	for _, group := range []string{"a", "b", "c", "d"} {
		n, refused := scattered(t, group, 20, full)
		if n > 4 {
			t.Errorf("group %s: at %d servers, %d have room", group, n, 4)
		}
		most = max(most, refused)
	}
	if most == 0 {
		t.Error("nobody was refused, whose lookups were full")
	}
	if _, refused := scattered(t, "", 20, full); refused > 0 {
		t.Errorf("%d without a group refused, though servers have room", refused)
	}
}
