package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A request that arrives before the first endpoint list waits for the list: for firstListTimeout at most, and
// not past its deadline.
func TestRequestWaitsForFirstListUntilTimeout(t *testing.T) {
	h := newHarnessWithoutList(t, testSettings())
	id := h.request(nonIdempotentClass, "g")
	if len(h.sends())+len(h.rejections()) > 0 || len(actionsOf[SetTimer](h.lastActions)) != 2 {
		t.Fatalf("before the first list: got actions %+v, want no answer and two timers", h.lastActions)
	}
	if got := h.advance(firstListTimeout - 10*ms); len(actionsOf[Reject](got)) > 0 {
		t.Fatalf("before the timeout: got actions %+v, want no rejection", got)
	}
	h.now += 10 * ms
	h.handle(TimerFired{Ref: waitTimer})
	if diff := cmp.Diff([]Reject{{ID: id}}, h.rejections()); diff != "" {
		t.Fatalf("rejections at the timeout (-want +got):\n%s", diff)
	}
	if got := h.advance(sec); len(actionsOf[Reject](got))+len(actionsOf[Fail](got)) > 0 {
		t.Errorf("after the rejection: got actions %+v, want no second answer", got)
	}
}

// A list without servers counts as the first list, so no request waits for another one.
func TestEmptyListRejectsAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.listComplete()
	if h.request(nonIdempotentClass, "g"); len(h.rejections()) != 1 {
		t.Errorf("got actions %+v, want one rejection", h.lastActions)
	}
}

// Rejected clients get different Retry-After times so that they do not all return at once.
func TestRetryAfterIsSpread(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = 2 * sec
	h := newHarness(t, settings, 2)
	h.listComplete()
	shortest, longest := settings.MaxRetryAfter, time.Duration(0)
	for range 100 {
		h.request(idempotentClass, "g")
		after := h.rejections()[0].RetryAfter
		shortest, longest = min(shortest, after), max(longest, after)
	}
	if shortest < 0 || longest > settings.MaxRetryAfter || longest-shortest < settings.MaxRetryAfter/3 {
		t.Errorf("got RetryAfter from %v to %v, want a third of MaxRetryAfter between", shortest, longest)
	}
}

func TestWaitingRequestIsSentWithFirstList(t *testing.T) {
	h := newHarnessWithoutList(t, testSettings())
	id := h.request(idempotentClass, "g")
	h.listDelta(testServers(3)...)
	if h.onlySend().ID != id {
		t.Errorf("got %+v, want a send of the waiting request", h.onlySend())
	}
}

// A waiting request sets one timer only. One timer per sweep would flood the event loop under overload.
func TestWaitingRequestSetsOneTimer(t *testing.T) {
	h := newHarnessWithoutList(t, testSettings())
	h.request(idempotentClass, "g")
	timers := 0
	for _, a := range actionsOf[SetTimer](h.advance(sec)) {
		if a.Ref == waitTimer {
			timers++
		}
	}
	if timers > 0 {
		t.Errorf("got %d more timers while the request waited, want none", timers)
	}
}

// At a shutdown every pending request is answered by the deadline. Established connections stay open.
func TestShutdownAnswersWaitingRequests(t *testing.T) {
	t.Run("attempt that times out at the deadline", func(t *testing.T) {
		h := newHarness(t, testSettings(), 5)
		established, server := h.establish(idempotentClass, "")
		h.request(idempotentClass, "")
		pending := h.onlySend()
		h.handle(Shutdown{Deadline: h.now + 300*ms})
		if timers := actionsOf[SetTimer](h.lastActions); len(timers) != 1 || timers[0].After > 300*ms {
			t.Errorf("got timers %+v, want one within 300 ms", timers)
		}
		h.now += 300 * ms
		h.endAttempt(pending, 0, TimedOut)
		if len(h.rejections()) != 1 || len(h.sends()) != 0 {
			t.Errorf("at the deadline: got actions %+v, want one rejection", h.lastActions)
		}
		if got := actionsOf[Migrate](h.advance(sec)); len(got) != 0 {
			t.Errorf("connection %d to server %d was migrated, want it to stay", established, server)
		}
	})
	t.Run("request that waits for the first list", func(t *testing.T) {
		h := newHarnessWithoutList(t, testSettings())
		h.request(idempotentClass, "")
		h.handle(Shutdown{Deadline: h.now + 200*ms})
		h.now += 200 * ms
		h.handle(TimerFired{Ref: waitTimer})
		if len(h.rejections()) != 1 {
			t.Errorf("at the deadline: got actions %+v, want one rejection", h.lastActions)
		}
	})
}

func TestTenantOverQuotaHasLowerPriorityWeight(t *testing.T) {
	settings := testSettings()
	settings.OverQuotaWeightFactor = 0.1
	settings.Tenants = []Tenant{{Name: "within", ConnectionQuota: 1000}, {Name: "over", ConnectionQuota: 4}}
	h := newHarness(t, settings, 3)
	for i := range RequestID(5) {
		h.handle(Request{ID: 100 + i, Class: idempotentClass, Tenant: "over", Group: "g", Timeout: sec})
	}
	weight := func(tenant string) float64 {
		return h.balancer.priorityPerLoad(&request{Request: Request{Class: idempotentClass, Tenant: tenant}})
	}
	if within, over := weight("within"), weight("over"); over >= within {
		t.Errorf("got a weight of %v within the quota and %v over it, want less over it", within, over)
	}
}

func TestOverloadReservesCapacityForHigherPriority(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	for range 12 {
		h.establish(idempotentClass, "g")
		h.establish(highPriorityClass, "g")
	}
	s := h.balancer.sortedServers[0]
	h.balancer.lowerLoadLimit(s, 1, 0)
	s.loadLimit = 40
	if h.request(idempotentClass, "g"); len(h.sends()) > 0 {
		t.Error("a request of low priority was sent, want it held back")
	}
	if h.request(highPriorityClass, "g"); len(h.sends()) != 1 {
		t.Error("a request of high priority was not sent, want it sent")
	}
}

// The free capacity is exactly 1 if every server has capacity, so that rounding delays no migration. If
// servers can be polled, it counts only those that have reported.
func TestFreeCapacityCountsReportingServers(t *testing.T) {
	for _, c := range []struct {
		name        string
		canPollLoad bool
		reports     []float64 // utilizations of the first servers
		want        float64
	}{
		{"no reports", false, nil, 1},
		{"one of two reporting servers is full", true, []float64{0.2, 1.5}, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.CanPollLoad = c.canPollLoad
			h := newHarness(t, settings, 4)
			h.balancer.refreshTable()
			for i, utilization := range c.reports {
				id := h.balancer.sortedServers[i].ID
				h.handle(LoadReport{Server: id, Utilization: utilization, Connections: 10})
			}
			if got := h.balancer.freeCapacityRatio(); got != c.want {
				t.Errorf("got a free capacity ratio of %v, want %v", got, c.want)
			}
		})
	}
}

// If most of a gateway's connections are at slow servers, the fleet counts as overloaded: the gateway sheds
// some of the requests, those of the lowest priority first, until the servers are fast again.
func TestOverloadedFleetShedsLowestPriorityFirst(t *testing.T) {
	h := newHarness(t, testSettings(), 40)
	var ids []RequestID
	for i := range 40 {
		id, _ := h.establish(idempotentClass, fmt.Sprint("g", i))
		ids = append(ids, id)
	}
	for _, id := range ids[:28] {
		h.handle(MessageDelay{ID: id, Server: h.balancer.requests[id].server.ID, Delay: 60 * ms})
	}
	h.advance(sweepInterval)
	sent := map[string]int{}
	for i := range 200 {
		class := []string{idempotentClass, highPriorityClass}[i%2]
		h.request(class, fmt.Sprint("new", i))
		sent[class] += len(h.sends())
	}
	if sent[idempotentClass] > 70 || sent[highPriorityClass] <= sent[idempotentClass] {
		t.Errorf("got %v sent of 100 each, want at most 70 of low priority and more of high", sent)
	}
	for _, id := range ids[:28] {
		if r := h.balancer.requests[id]; r.server != nil {
			h.handle(MessageDelay{ID: id, Server: r.server.ID, Delay: 10 * ms})
		}
	}
	h.advance(sweepInterval)
	if h.request(idempotentClass, "after"); len(h.sends()) != 1 {
		t.Errorf("after the overload: got actions %+v, want one send", h.lastActions)
	}
}

// If set-ups time out at every server, the gateway sheds some requests and lowers no server's load limit for
// the timeouts. Once set-ups succeed again, it sends all requests.
func TestSetupTimeoutsAcrossFleetShedLoad(t *testing.T) {
	h := newHarness(t, testSettings(), 40)
	attempts, limited := 0, 0
	for i := range 400 {
		h.now += 20 * ms
		h.request(idempotentClass, fmt.Sprint("g", i))
		for attempt := 0; len(h.sends()) == 1; attempt++ {
			attempts++
			if attempt == 0 && i > 40 && h.balancer.servers[h.onlySend().Server].loadLimit > 0 {
				limited++
			}
			h.endAttempt(h.onlySend(), attempt, TimedOut)
		}
	}
	if attempts > 200 || limited > 40 {
		t.Errorf("got %d attempts, want at most 200; got %d at limited servers, want at most 40",
			attempts, limited)
	}
	if attempts < 20 {
		t.Errorf("got %d attempts for 400 requests, want 20 or more to notice a recovery", attempts)
	}
	h.advance(30 * sec)
	sent := 0
	for i := range 40 {
		h.now += 20 * ms
		h.request(idempotentClass, fmt.Sprint("g", i))
		for _, s := range h.sends() {
			sent++
			h.handle(AttemptEstablished{ID: s.ID, Server: s.Server, Elapsed: 10 * ms})
		}
	}
	if sent < 38 {
		t.Errorf("after the overload: got %d of 40 requests sent, want 38 or more", sent)
	}
}

// shedClients sends 400 requests of one priority at a fleet shed level and returns the keys of those
// rejected.
func shedClients(t *testing.T, seed uint64, level float64, priority int, midFlow bool) (keys []string) {
	t.Helper()
	settings := testSettings()
	settings.Seed = seed
	h := newHarness(t, settings, 8)
	h.handle(FleetShedLevel{Level: level})
	for i := range 400 {
		key := fmt.Sprint("k", i)
		h.now += 10 * ms
		h.handle(Request{
			ID: RequestID(i + 1), Class: idempotentClass, Key: key, Priority: priority,
			Timeout: 2 * sec, MidFlow: midFlow,
		})
		for _, a := range h.rejections() {
			if !a.ShedByFleet {
				t.Fatalf("got %+v, want ShedByFleet set", a)
			}
			keys = append(keys, key)
		}
	}
	return keys
}

// The fleet sheds all requests of priorities below its level and a fraction of those at it. Every gateway
// sheds the same clients. Mid-flow requests are not shed, and a request that is shed is not retried.
func TestFleetSheddingRejectsByPriority(t *testing.T) {
	for _, c := range []struct {
		level    float64
		priority int
		ratio    float64
	}{
		{0, 0, 0}, {0.3, 0, 0.3}, {0.3, 1, 0}, {1, 0, 1}, {1, 1, 0}, {1.5, 0, 1}, {1.5, 1, 0.5}, {1.5, 2, 0},
	} {
		t.Run(fmt.Sprintf("level %v, priority %d", c.level, c.priority), func(t *testing.T) {
			shed := shedClients(t, 1, c.level, c.priority, false)
			ratio, isExact := float64(len(shed))/400, c.ratio == 0 || c.ratio == 1
			if math.Abs(ratio-c.ratio) > 0.08 || isExact && ratio != c.ratio {
				t.Errorf("got a fraction of %.2f rejected, want %.2f", ratio, c.ratio)
			}
			if diff := cmp.Diff(shed, shedClients(t, 2, c.level, c.priority, false)); diff != "" {
				t.Errorf("two gateways shed different clients (-first +second):\n%s", diff)
			}
			if n := len(shedClients(t, 1, c.level, c.priority, true)); n > 0 {
				t.Errorf("got %d mid-flow requests rejected, want none", n)
			}
		})
	}
	t.Run("retry", func(t *testing.T) {
		h := newHarness(t, testSettings(), 8)
		h.handle(Request{ID: 1, Class: idempotentClass, Key: "a", Timeout: 2 * sec})
		s := h.onlySend()
		h.handle(FleetShedLevel{Level: 1})
		h.handle(AttemptEnded{ID: 1, Server: s.Server, Result: ConnectFailed})
		if r := h.rejections(); len(r) != 1 || !r[0].ShedByFleet || len(h.sends()) > 0 {
			t.Errorf("got actions %+v, want one rejection that is shed by the fleet", h.lastActions)
		}
	})
}
