package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Before the first list a request waits a little for it; no longer, and not past its deadline.
func TestNoListYetHoldsForAWhile(t *testing.T) {
	w := unlisted(t, settings())
	id := w.request("unsafe", "g")
	if len(find[Send](w.last))+len(find[Reject](w.last)) > 0 || len(find[SetTimer](w.last)) != 2 {
		t.Fatalf("not held: %+v", w.last)
	}
	if got := w.wait(firstListTimeout - 10*ms); len(find[Reject](got)) > 0 {
		t.Fatalf("answered early: %+v", got)
	}
	w.now += 10 * ms
	got := find[Reject](w.feed(TimerFired{Ref: oneShotTimer}))
	if len(got) != 1 || got[0].ID != id {
		t.Fatalf("when its time is up: %+v", w.last)
	}
	if got := w.wait(sec); len(find[Reject](got))+len(find[Fail](got)) > 0 {
		t.Errorf("answered twice: %+v", got)
	}
}

// A list that names no server is word enough: nothing is held for it.
func TestEmptyListRefusesAtOnce(t *testing.T) {
	w := newWorld(t, settings(), 2)
	w.feed(EndpointList{Mode: ListComplete})
	if w.request("unsafe", "g"); len(find[Reject](w.last)) != 1 {
		t.Errorf("actions %+v", w.last)
	}
}

// Clients that are turned away are told to come back spread over time, so that they do not come together.
func TestAdviceToReturnIsSpread(t *testing.T) {
	set := settings()
	set.MaxRetryAfter = 2 * sec
	w := newWorld(t, set, 2)
	w.feed(EndpointList{Mode: ListComplete})
	least, most := set.MaxRetryAfter, time.Duration(0)
	for range 100 {
		w.request("safe", "g")
		after := find[Reject](w.last)[0].RetryAfter
		least, most = min(least, after), max(most, after)
	}
	if least < 0 || most > set.MaxRetryAfter || most-least < set.MaxRetryAfter/3 {
		t.Errorf("told to return after %v to %v", least, most)
	}
}

func TestHeldRequestGoesOutWithTheList(t *testing.T) {
	w := unlisted(t, settings())
	id := w.request("safe", "g")
	w.feed(EndpointList{Mode: ListDelta, Servers: servers(3)})
	if w.sent().ID != id {
		t.Errorf("sent %+v", w.sent())
	}
}

// A held request sets one timer: on a day of overload, one for each look flooded the host.
func TestHeldRequestSetsOneTimer(t *testing.T) {
	w := unlisted(t, settings())
	w.request("safe", "g")
	wakes := 0
	for _, a := range find[SetTimer](w.wait(sec)) {
		if a.Ref == oneShotTimer {
			wakes++
		}
	}
	if wakes > 0 {
		t.Errorf("%d further timers while it was held", wakes)
	}
}

// The program's end answers what waits: an attempt that fails at that time is followed by no other, and what
// is held for a list is held no longer. What has been answered or stands is left alone.
func TestStopLeavesNothingWaiting(t *testing.T) {
	w := newWorld(t, settings(), 5)
	stands, at := w.open("safe", "")
	w.request("safe", "")
	out := w.sent()
	w.feed(Shutdown{Deadline: w.now + 300*ms})
	if wakes := find[SetTimer](w.last); len(wakes) != 1 || wakes[0].After > 300*ms {
		t.Errorf("looks again %+v", wakes)
	}
	w.now += 300 * ms
	w.end(out, 0, TimedOut)
	if r := find[Reject](w.last); len(r) != 1 || len(find[Send](w.last)) != 0 {
		t.Errorf("at the end: %+v", w.last)
	}
	if got := find[Migrate](w.wait(sec)); len(got) != 0 {
		t.Errorf("%d at %d is moved", stands, at)
	}

	w = unlisted(t, settings())
	w.request("safe", "")
	w.feed(Shutdown{Deadline: w.now + 200*ms})
	w.now += 200 * ms
	w.feed(TimerFired{Ref: oneShotTimer})
	if r := find[Reject](w.last); len(r) != 1 {
		t.Errorf("held for a list: %+v", w.last)
	}
}

func TestTrafficOverQuotaYields(t *testing.T) {
	set := settings()
	set.OverQuotaWeightFactor = 0.1
	set.Tenants = []Tenant{{Name: "in", ConnectionQuota: 1000}, {Name: "over", ConnectionQuota: 4}}
	w := newWorld(t, set, 3)
	for i := range RequestID(5) {
		w.feed(Request{ID: 100 + i, Class: "safe", Tenant: "over", Group: "g", Timeout: sec})
	}
	in, over := Request{Class: "safe", Tenant: "in"}, Request{Class: "safe", Tenant: "over"}
	a, b := w.b.priorityPerLoad(&request{Request: in}), w.b.priorityPerLoad(&request{Request: over})
	if b >= a {
		t.Errorf("worth %v within and %v over the quota", a, b)
	}
}

func TestOverloadKeepsRoomForTheWorthier(t *testing.T) {
	w := newWorld(t, settings(), 1)
	for range 12 {
		w.open("safe", "g")
		w.open("dear", "g")
	}
	s := w.b.sortedServers[0]
	w.b.lowerLoadLimit(s, 1, 0)
	s.loadLimit = 40
	if w.request("safe", "g"); len(find[Send](w.last)) > 0 {
		t.Error("the less worthy filled what is kept")
	}
	if w.request("dear", "g"); len(find[Send](w.last)) != 1 {
		t.Error("the worthier found no room")
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

// A gateway whose own connections are mostly on slow servers takes the fleet to be jammed: it refuses
// some of what comes, first what earns least, at once, and takes it again once the jam is over.
func TestJamRefusesWhatEarnsLeast(t *testing.T) {
	w := newWorld(t, settings(), 40)
	var ids []RequestID
	for i := range 40 {
		id, _ := w.open("safe", fmt.Sprint("g", i))
		ids = append(ids, id)
	}
	for _, id := range ids[:28] {
		w.feed(MessageDelay{ID: id, Server: w.b.requests[id].server.ID, Delay: 60 * ms})
	}
	w.wait(sweepInterval)
	sent := map[string]int{}
	for i := range 200 {
		class := []string{"safe", "dear"}[i%2]
		w.request(class, fmt.Sprint("new", i))
		sent[class] += len(find[Send](w.last))
	}
	if sent["safe"] > 70 || sent["dear"] <= sent["safe"] {
		t.Errorf("sent of 100 each: %v", sent)
	}
	for _, id := range ids[:28] {
		if r := w.b.requests[id]; r.server != nil {
			w.feed(MessageDelay{ID: id, Server: r.server.ID, Delay: 10 * ms})
		}
	}
	w.wait(sweepInterval)
	if w.request("safe", "after"); len(find[Send](w.last)) != 1 {
		t.Errorf("after the jam: %+v", w.last)
	}
}

// Where set-ups time out at whatever server they are tried, a part of what comes is shed, no server is blamed
// for load, and all is taken again once set-ups stand.
func TestSetUpsThatFailEverywhereAreThrottled(t *testing.T) {
	w := newWorld(t, settings(), 40)
	sent, cut := 0, 0
	for i := range 400 {
		w.now += 20 * ms
		w.request("safe", fmt.Sprint("g", i))
		for attempt := 0; len(find[Send](w.last)) == 1; attempt++ {
			if sent++; attempt == 0 && i > 40 && w.b.servers[w.sent().Server].loadLimit > 0 {
				cut++
			}
			w.end(w.sent(), attempt, TimedOut)
		}
	}
	if sent > 200 || cut > 40 {
		t.Errorf("%d attempts for 400 requests, %d at servers whose limit was cut", sent, cut)
	}
	if sent < 20 {
		t.Errorf("%d attempts for 400 requests: none would learn that it is over", sent)
	}
	w.wait(30 * sec)
	sent = 0
	for i := range 40 {
		w.now += 20 * ms
		w.request("safe", fmt.Sprint("g", i))
		for _, s := range find[Send](w.last) {
			sent++
			w.feed(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
		}
	}
	if sent < 38 {
		t.Errorf("%d of 40 sent after the jam", sent)
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
