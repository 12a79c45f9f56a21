package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Before the first list a request waits a little for it; no longer, and not past its deadline.
func TestRequestWaitsForFirstListUntilTimeout(t *testing.T) {
	h := newHarnessWithoutList(t, testSettings())
	id := h.request("unsafe", "g")
	if len(actionsOf[Send](h.lastActions))+len(actionsOf[Reject](h.lastActions)) > 0 ||
		len(actionsOf[SetTimer](h.lastActions)) != 2 {
		t.Fatalf("not held: %+v", h.lastActions)
	}
	if got := h.advance(firstListTimeout - 10*ms); len(actionsOf[Reject](got)) > 0 {
		t.Fatalf("answered early: %+v", got)
	}
	h.now += 10 * ms
	got := actionsOf[Reject](h.handle(TimerFired{Ref: oneShotTimer}))
	if len(got) != 1 || got[0].ID != id {
		t.Fatalf("when its time is up: %+v", h.lastActions)
	}
	if got := h.advance(sec); len(actionsOf[Reject](got))+len(actionsOf[Fail](got)) > 0 {
		t.Errorf("answered twice: %+v", got)
	}
}

// A list that names no server is word enough: nothing is held for it.
func TestEmptyListRejectsAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.handle(EndpointList{Mode: ListComplete})
	if h.request("unsafe", "g"); len(actionsOf[Reject](h.lastActions)) != 1 {
		t.Errorf("actions %+v", h.lastActions)
	}
}

// Clients that are turned away are told to come back spread over time, so that they do not come together.
func TestRetryAfterIsSpread(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 2 * sec
	h := newHarness(t, settings, 2)
	h.handle(EndpointList{Mode: ListComplete})
	least, most := settings.MaxRetryAfter, time.Duration(0)
	for range 100 {
		h.request("safe", "g")
		after := actionsOf[Reject](h.lastActions)[0].RetryAfter
		least, most = min(least, after), max(most, after)
	}
	if least < 0 || most > settings.MaxRetryAfter || most-least < settings.MaxRetryAfter/3 {
		t.Errorf("told to return after %v to %v", least, most)
	}
}

func TestWaitingRequestIsSentWithFirstList(t *testing.T) {
	h := newHarnessWithoutList(t, testSettings())
	id := h.request("safe", "g")
	h.handle(EndpointList{Mode: ListDelta, Servers: testServers(3)})
	if h.onlySend().ID != id {
		t.Errorf("sent %+v", h.onlySend())
	}
}

// A held request sets one timer: on a day of overload, one for each look flooded the host.
func TestWaitingRequestSetsOneTimer(t *testing.T) {
	h := newHarnessWithoutList(t, testSettings())
	h.request("safe", "g")
	wakes := 0
	for _, a := range actionsOf[SetTimer](h.advance(sec)) {
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
func TestShutdownAnswersWaitingRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	stands, at := h.establish("safe", "")
	h.request("safe", "")
	out := h.onlySend()
	h.handle(Shutdown{Deadline: h.now + 300*ms})
	if wakes := actionsOf[SetTimer](h.lastActions); len(wakes) != 1 || wakes[0].After > 300*ms {
		t.Errorf("looks again %+v", wakes)
	}
	h.now += 300 * ms
	h.endAttempt(out, 0, TimedOut)
	if r := actionsOf[Reject](h.lastActions); len(r) != 1 || len(actionsOf[Send](h.lastActions)) != 0 {
		t.Errorf("at the end: %+v", h.lastActions)
	}
	if got := actionsOf[Migrate](h.advance(sec)); len(got) != 0 {
		t.Errorf("%d at %d is moved", stands, at)
	}

	h = newHarnessWithoutList(t, testSettings())
	h.request("safe", "")
	h.handle(Shutdown{Deadline: h.now + 200*ms})
	h.now += 200 * ms
	h.handle(TimerFired{Ref: oneShotTimer})
	if r := actionsOf[Reject](h.lastActions); len(r) != 1 {
		t.Errorf("held for a list: %+v", h.lastActions)
	}
}

func TestTenantOverQuotaHasLowerPriorityWeight(t *testing.T) {
	settings := testSettings()
	settings.OverQuotaWeightFactor = 0.1
	settings.Tenants = []Tenant{{Name: "in", ConnectionQuota: 1000}, {Name: "over", ConnectionQuota: 4}}
	h := newHarness(t, settings, 3)
	for i := range RequestID(5) {
		h.handle(Request{ID: 100 + i, Class: "safe", Tenant: "over", Group: "g", Timeout: sec})
	}
	in, over := Request{Class: "safe", Tenant: "in"}, Request{Class: "safe", Tenant: "over"}
	a, b := h.balancer.priorityPerLoad(&request{Request: in}),
		h.balancer.priorityPerLoad(&request{Request: over})
	if b >= a {
		t.Errorf("worth %v within and %v over the quota", a, b)
	}
}

func TestOverloadReservesCapacityForHigherPriority(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	for range 12 {
		h.establish("safe", "g")
		h.establish("dear", "g")
	}
	s := h.balancer.sortedServers[0]
	h.balancer.lowerLoadLimit(s, 1, 0)
	s.loadLimit = 40
	if h.request("safe", "g"); len(actionsOf[Send](h.lastActions)) > 0 {
		t.Error("the less worthy filled what is kept")
	}
	if h.request("dear", "g"); len(actionsOf[Send](h.lastActions)) != 1 {
		t.Error("the worthier found no room")
	}
}

// Room is whole where all have room, so that no move is lost to rounding, and where servers
// tell their loads it counts those that did.
func TestAvailableCapacityCountsReportingServers(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, 4)
	h.balancer.refreshTable()
	if got := h.balancer.freeCapacityRatio(); got != 1 {
		t.Errorf("room is %v where all have room", got)
	}
	settings.CanPollLoad = true
	h = newHarness(t, settings, 4)
	h.balancer.refreshTable()
	for i, load := range []float64{0.2, 1.5} {
		h.handle(LoadReport{Server: h.balancer.sortedServers[i].ID, Utilization: load, Connections: 10})
	}
	if got := h.balancer.freeCapacityRatio(); got != 0.5 {
		t.Errorf("room is %v where one of two that told is full", got)
	}
}

// A gateway whose own connections are mostly on slow servers takes the fleet to be jammed: it refuses
// some of what comes, first what earns least, at once, and takes it again once the jam is over.
func TestOverloadedFleetShedsLowestPriorityFirst(t *testing.T) {
	h := newHarness(t, testSettings(), 40)
	var ids []RequestID
	for i := range 40 {
		id, _ := h.establish("safe", fmt.Sprint("g", i))
		ids = append(ids, id)
	}
	for _, id := range ids[:28] {
		h.handle(MessageDelay{ID: id, Server: h.balancer.requests[id].server.ID, Delay: 60 * ms})
	}
	h.advance(sweepInterval)
	sent := map[string]int{}
	for i := range 200 {
		class := []string{"safe", "dear"}[i%2]
		h.request(class, fmt.Sprint("new", i))
		sent[class] += len(actionsOf[Send](h.lastActions))
	}
	if sent["safe"] > 70 || sent["dear"] <= sent["safe"] {
		t.Errorf("sent of 100 each: %v", sent)
	}
	for _, id := range ids[:28] {
		if r := h.balancer.requests[id]; r.server != nil {
			h.handle(MessageDelay{ID: id, Server: r.server.ID, Delay: 10 * ms})
		}
	}
	h.advance(sweepInterval)
	if h.request("safe", "after"); len(actionsOf[Send](h.lastActions)) != 1 {
		t.Errorf("after the jam: %+v", h.lastActions)
	}
}

// Where set-ups time out at whatever server they are tried, a part of what comes is shed, no server is blamed
// for load, and all is taken again once set-ups stand.
func TestSetupTimeoutsAcrossFleetShedLoad(t *testing.T) {
	h := newHarness(t, testSettings(), 40)
	sent, cut := 0, 0
	for i := range 400 {
		h.now += 20 * ms
		h.request("safe", fmt.Sprint("g", i))
		for attempt := 0; len(actionsOf[Send](h.lastActions)) == 1; attempt++ {
			if sent++; attempt == 0 && i > 40 && h.balancer.servers[h.onlySend().Server].loadLimit > 0 {
				cut++
			}
			h.endAttempt(h.onlySend(), attempt, TimedOut)
		}
	}
	if sent > 200 || cut > 40 {
		t.Errorf("%d attempts for 400 requests, %d at servers whose limit was cut", sent, cut)
	}
	if sent < 20 {
		t.Errorf("%d attempts for 400 requests: none would learn that it is over", sent)
	}
	h.advance(30 * sec)
	sent = 0
	for i := range 40 {
		h.now += 20 * ms
		h.request("safe", fmt.Sprint("g", i))
		for _, s := range actionsOf[Send](h.lastActions) {
			sent++
			h.handle(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
		}
	}
	if sent < 38 {
		t.Errorf("%d of 40 sent after the jam", sent)
	}
}

// The fleet sheds whole ranks and a part of the one at the cut, the same clients at every gateway; what a
// server holds already stays, and what is shed is not sent again.
func TestFleetSheddingRejectsByPriority(t *testing.T) {
	refused := func(seed uint64, level float64, rank int, stray bool) (clients []string) {
		settings := testSettings()
		settings.Seed = seed
		h := newHarness(t, settings, 8)
		h.handle(FleetShedLevel{Level: level})
		for i := range 400 {
			key := fmt.Sprint("k", i)
			h.now += 10 * ms
			h.handle(Request{ID: RequestID(i + 1), Class: "safe", Key: key, Priority: rank, Timeout: 2 * sec,
				MidFlow: stray})
			for _, a := range actionsOf[Reject](h.lastActions) {
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
	h := newHarness(t, testSettings(), 8)
	h.handle(Request{ID: 1, Class: "safe", Key: "a", Timeout: 2 * sec})
	s := h.onlySend()
	h.handle(FleetShedLevel{Level: 1})
	h.handle(AttemptEnded{ID: 1, Server: s.Server, Result: ConnectFailed})
	if r := actionsOf[Reject](h.lastActions); len(r) != 1 || !r[0].ShedByFleet ||
		len(actionsOf[Send](h.lastActions)) > 0 {
		t.Errorf("a further attempt of what is shed: %+v", h.lastActions)
	}
}
