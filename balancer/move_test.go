package balancer

import (
	"fmt"
	"testing"
)

// slowOf is a gateway of many whose one connection, of a group, is at a server that reports too much load.
func slowOf(t *testing.T, group, key string) (*world, RequestID, ServerID) {
	set := settings()
	set.Gateways, set.CanPollLoad = 300, true
	w := newWorld(t, set, 8)
	w.feed(Request{ID: 1, Class: "safe", Group: group, Key: key, Timeout: 2 * sec})
	at := find[PollLoad](w.last)[0].Server
	for _, a := range find[PollLoad](w.last) {
		w.feed(LoadReport{Server: a.Server, Utilization: 0.3, Connections: 20})
	}
	w.feed(AttemptEstablished{ID: 1, Server: at, Elapsed: 10 * ms})
	w.wait(2 * loadReportTTL) // what the others said is old by now
	return w, 1, at
}

// A gateway that hears of nobody but the slow server that holds its clients asks others for room, and moves
// them once there is some.
func TestSlowServersGatewayAsksForRoom(t *testing.T) {
	moved, asked := 0, 0
	for i := range 20 {
		w, id, at := slowOf(t, fmt.Sprint("g", i), "k")
		for range 12 {
			w.feed(LoadReport{Server: at, Utilization: 1.4, Connections: 40})
			w.feed(MessageDelay{ID: id, Server: at, Delay: sec / 2})
			did := w.wait(sweepInterval)
			for _, a := range find[PollLoad](did) {
				if a.Server == at {
					t.Fatal("the slow server was asked for room")
				}
				asked++
				w.feed(LoadReport{Server: a.Server, Utilization: 0.2, Connections: 10})
			}
			moved += len(find[Migrate](did))
		}
	}
	if asked == 0 || asked > 20*12 || moved < 5 || moved > 15 {
		t.Errorf("%d asked and %d of 20 moved off servers at twice the load they bear well", asked, moved)
	}
}

// Over all gateways a group leaves a slow server whole, or stays: what it costs the server is paid until the
// last of its connections has gone.
func TestGroupsLeaveSlowServersWhole(t *testing.T) {
	const groups, members = 30, 10
	part := 0
	for g := range groups {
		left := 0
		for m := range members {
			w, id, at := slowOf(t, fmt.Sprint("g", g), fmt.Sprint("k", m))
			for range 12 {
				w.feed(LoadReport{Server: at, Utilization: 1.4, Connections: 40})
				w.feed(MessageDelay{ID: id, Server: at, Delay: sec / 2})
				did := w.wait(sweepInterval)
				for _, a := range find[PollLoad](did) {
					w.feed(LoadReport{Server: a.Server, Utilization: 0.2, Connections: 10})
				}
				left += len(find[Migrate](did))
			}
		}
		if left > 0 && left < members {
			part++
		}
	}
	if part > groups/3 {
		t.Errorf("%d of %d groups left in part", part, groups)
	}
}
