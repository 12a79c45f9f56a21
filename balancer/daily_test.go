package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Of a server that holds nothing no more is heard: a limit in which no new group fits must not keep it out.
func TestEmptyServerTakesOneWhateverItsLimit(t *testing.T) {
	w := newWorld(t, settings(), 1)
	id, s := w.open("safe", "g")
	w.feed(LoadChanged{ID: id, Load: 1000})
	w.feed(LoadReport{Server: s, Utilization: 2})
	w.feed(AttemptEnded{ID: id, Server: s, Result: OK, Answered: true})
	w.feed(Request{ID: 900, Class: "safe", Key: "a", Group: "b", Timeout: 2 * sec, Load: 1000})
	if n := len(find[Send](w.last)); n > 0 {
		t.Error("sent to a server that has just reported twice its load")
	}
	w.wait(2 * sec)
	for i, want := range []int{1, 0} {
		id := RequestID(901 + i)
		w.feed(Request{ID: id, Class: "safe", Key: "a", Group: "b", Timeout: 2 * sec, Load: 1000})
		if n := len(find[Send](w.last)); n != want {
			t.Errorf("request %d: %d sent, want %d", i, n, want)
		}
	}
}

// Where warm servers tell what they hold and how loaded that makes them, a cold one's budget goes by that,
// not by the little that a quiet fleet holds.
func TestColdBudgetFollowsReports(t *testing.T) {
	w := newWorld(t, settings(), 4)
	s := w.b.sortedServers[0]
	before := w.b.warmConnections(s)
	for range 20 {
		w.feed(LoadReport{Server: w.b.sortedServers[1].ID, Utilization: 0.25, Connections: 10})
	}
	if got := w.b.warmConnections(s); before != minWarmConnections || got < 0.6*40 || got > 40 {
		t.Errorf("held to bear %v, then %v with reports of 10 at a quarter", before, got)
	}
	s.Started = w.now
	for range 20 {
		w.feed(LoadReport{Server: s.ID, Utilization: 0.25, Connections: 1000})
	}
	if got := w.b.warmConnections(s); got > 40 {
		t.Errorf("a cold server's own report made it %v", got)
	}
}

// A server that is put back is tried once, and not before its moment, whatever its cold budget allows.
func TestReturnedServerIsTriedOnce(t *testing.T) {
	w := newWorld(t, settings(), 4)
	back := w.b.sortedServers[2].ID
	w.feed(ServerReinstated{Server: back})
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: back, Capacity: 1, Started: w.now}}})
	w.wait(reinstatementSpread)
	to := 0
	for i := range 20 {
		w.feed(Request{ID: RequestID(500 + i), Class: "safe", Key: fmt.Sprint(i), Timeout: 2 * sec})
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

// Where many gateways share a cold server each tries it seldom: together they are to use its budget, and
// neither to lose it in between nor to pass it, however many they are and however often clients come.
func TestColdBudgetOfManyIsUsed(t *testing.T) {
	for _, f := range []struct {
		gateways int
		every    time.Duration // between requests at one gateway
	}{{48, 500 * ms}, {300, 500 * ms}, {300, 3 * sec}} {
		set := settings()
		set.Gateways, set.WarmupDuration = f.gateways, 2*sec
		const span, members = 10 * sec, 50
		sent := 0
		for g := range f.gateways {
			w := newWorld(t, set, members-1)
			w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1}}})
			w.b.refreshTable()
			s := w.b.servers[900]
			for i := 0; time.Duration(i)*f.every < 10*sec+span; i++ { // ten seconds ahead, to learn the rate
				w.now += f.every
				w.b.now, s.Started = w.now, w.now // stays as cold
				w.b.recentRequests.add(w.now, 1)
				id := RequestID(g*1000 + i + 1)
				for j := range maxNearLookups {
					if mix(uint64(id), uint64(j))%members == 0 && time.Duration(i)*f.every >= 10*sec &&
						w.b.admitToWarmingServer(&request{Request: Request{ID: id}}, s) {
						sent++
					}
				}
			}
		}
		budget := warmupBudgetRatio * 3 * minWarmConnections / 2 * span.Seconds()
		if n := float64(sent); n > 1.3*budget || n < 0.15*budget {
			t.Errorf("%d gateways, a request every %v: %d sent of %.1f", f.gateways, f.every, sent, budget)
		}
	}
}
