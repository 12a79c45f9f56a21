package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestRetryGoesToAnotherServer(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	h.request("safe", "g")
	tried := map[ServerID]bool{}
	for attempt := range 3 {
		s := h.onlySend()
		if tried[s.Server] {
			t.Errorf("attempt %d again at %d", attempt, s.Server)
		}
		tried[s.Server] = true
		h.endAttempt(s, attempt, TimedOut)
	}
	if len(actionsOf[Reject](h.lastActions)) != 1 {
		t.Errorf("after the last attempt: %+v", h.lastActions)
	}
}

func TestNonIdempotentRequestIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for result, again := range map[Result]bool{
		TimedOut: false, Reset: false, Errored: false, Cancelled: false, Rejected: true, ConnectFailed: true,
	} {
		h := newHarness(t, testSettings(), 6)
		h.request("unsafe", "g")
		h.endAttempt(h.onlySend(), 0, result)
		if got := len(actionsOf[Send](h.lastActions)) == 1; got != again {
			t.Errorf("%v: sent again: %v, want %v", result, got, again)
		}
		if got := len(actionsOf[Fail](h.lastActions)) == 1; got == again ||
			len(actionsOf[Reject](h.lastActions)) > 0 {
			t.Errorf("%v: actions %+v", result, h.lastActions)
		}
	}
}

func TestRetryWithIdempotencyKeyStaysInDedupScopeAndWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 9)
	h.request("keyed", "g")
	first := h.onlySend()
	h.endAttempt(first, 0, TimedOut)
	second := h.onlySend()
	if a, b := h.balancer.servers[first.Server], h.balancer.servers[second.Server]; a.Cell != b.Cell ||
		a == b {
		t.Errorf("cells %d and %d", a.Cell, b.Cell)
	}
	h.now += 3 * sec // past the window
	h.balancer.requests[second.ID].deadline = h.now + sec
	h.endAttempt(second, 1, TimedOut)
	if len(actionsOf[Send](h.lastActions)) > 0 {
		t.Errorf("sent after the window: %+v", h.lastActions)
	}
	if len(actionsOf[Fail](h.lastActions)) != 1 || len(actionsOf[Reject](h.lastActions)) > 0 {
		t.Errorf("answers: %+v", h.lastActions)
	}
}

func TestUnknownClassIsTreatedAsNonIdempotent(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request("never heard of", "g")
	h.endAttempt(h.onlySend(), 0, TimedOut)
	if len(actionsOf[Fail](h.lastActions)) != 1 {
		t.Errorf("actions %+v", h.lastActions)
	}
}

// Every further attempt of a long run with bursts and silences keeps to the budget, by a recount of the span
// that ends with it, and what the budget allows is used: a bucket that merely averages to it would either
// break it where the requests that earned an attempt age out first, or never give back what is free.
func TestRetriesStayWithinBudget(t *testing.T) {
	for _, budget := range []struct{ free, share float64 }{{5, 0}, {0, 0.1}, {5, 0.1}, {2.5, 0.02}, {0, 0}} {
		settings := testSettings()
		settings.MaxAttempts = 6
		settings.RetryBudgetWindow, settings.RetryBudgetMin, settings.RetryBudgetRatio = 5*sec, budget.free,
			budget.share
		h, l := newHarness(t, settings, 40), budgetLedger{}
		rnd := rand.New(rand.NewPCG(3, 9))
		for range 4000 {
			switch rnd.IntN(40) {
			case 0:
				h.advance(time.Duration(rnd.IntN(12000)) * ms) // longer than the span, at times
			case 1, 2, 3, 4:
				h.now += time.Duration(rnd.IntN(900)) * ms
			}
			h.request("safe", fmt.Sprint("g", h.lastID))
			l.taken = append(l.taken, h.now)
			for attempt := 0; len(actionsOf[Send](h.lastActions)) == 1; attempt++ {
				if attempt > 0 {
					l.check(t, h.now, &settings)
				}
				result := OK
				if rnd.IntN(2) == 0 {
					result = Rejected
				}
				s := h.onlySend()
				h.handle(AttemptEnded{ID: s.ID, Attempt: attempt, Server: s.Server, Result: result,
					Answered: result == OK})
			}
		}
		spans := float64(h.now-100*sec) / float64(settings.RetryBudgetWindow)
		least := (spans*budget.free + 4000*budget.share) / 4
		if got := float64(len(l.further)); got < least {
			t.Errorf("%+v: %v further attempts, %.0f at least were wanted", budget, got, least)
		}
		if kept := len(h.balancer.admitted.buckets) +
			len(h.balancer.retries.buckets); kept > 2*maxWindowBuckets {
			t.Errorf("%d moments kept", kept)
		}
	}
}

// A connection that comes up late carries nothing: not behind the grace of a server that may begin to drain
// meanwhile, or that drains and takes a stray, nor behind the window in which repeats are known.
func TestConnectTimeoutIsBoundedByDrainGraceAndDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].DedupWindow, settings.Classes[1].DedupScope = 400*ms, DedupScopeAll
	h := newHarness(t, settings, 4)
	h.request("safe", "")
	if s := h.onlySend(); s.ConnectTimeout <= 0 || s.ConnectTimeout >= settings.DrainGrace {
		t.Errorf("to a server in service: %+v", s)
	}

	id, first := h.request("keyed", ""), h.onlySend()
	h.now += 150 * ms
	h.handle(AttemptEnded{ID: id, Server: first.Server, Result: Reset})
	if s := h.onlySend(); s.ConnectTimeout != 250*ms {
		t.Errorf("a repeat 150 ms into a window of 400 ms: %+v", s)
	}

	// A repeat of what never ran has no window.
	id, first = h.request("keyed", ""), h.onlySend()
	h.now += 150 * ms
	h.handle(AttemptEnded{ID: id, Server: first.Server, Result: Rejected})
	if s := h.onlySend(); s.ConnectTimeout <= 250*ms {
		t.Errorf("a repeat of what never ran: %+v", s)
	}

	h.balancer.refreshTable()
	holder := h.balancer.tableServers[0]
	h.handle(EndpointList{Mode: ListDelta, Servers: []Server{{ID: holder.ID, State: Draining}}})
	h.now += 300 * ms
	h.handle(Request{ID: 900, Class: "safe", MidFlow: true, OwnerKnown: true, Owner: holder.ID, Timeout: sec})
	if s := h.onlySend(); s.Server != holder.ID || s.ConnectTimeout <= 0 || s.ConnectTimeout >= 200*ms {
		t.Errorf("a stray to a server that has drained for 300 of 500 ms: %+v", s)
	}
}
