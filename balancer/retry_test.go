package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestRetryGoesToAnotherServer(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	h.request(idempotentClass, "g")
	tried := map[ServerID]bool{}
	for attempt := range 3 {
		s := h.onlySend()
		if tried[s.Server] {
			t.Errorf("attempt %d went to server %d again, want another server", attempt, s.Server)
		}
		tried[s.Server] = true
		h.endAttempt(s, attempt, TimedOut)
	}
	if len(h.rejections()) != 1 {
		t.Errorf("after the last attempt: got actions %+v, want one rejection", h.lastActions)
	}
}

func TestNonIdempotentRequestIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for _, c := range []struct {
		result    Result
		isRetried bool
	}{
		{TimedOut, false},
		{Reset, false},
		{Errored, false},
		{Cancelled, false},
		{Rejected, true},
		{ConnectFailed, true},
	} {
		t.Run(c.result.String(), func(t *testing.T) {
			h := newHarness(t, testSettings(), 6)
			h.request(nonIdempotentClass, "g")
			h.endAttempt(h.onlySend(), 0, c.result)
			if got := len(h.sends()) == 1; got != c.isRetried {
				t.Errorf("got retried = %v, want %v", got, c.isRetried)
			}
			fails := len(actionsOf[Fail](h.lastActions)) == 1
			if fails == c.isRetried || len(h.rejections()) > 0 {
				t.Errorf("got actions %+v, want a failure only if there is no retry", h.lastActions)
			}
		})
	}
}

func TestRetryWithIdempotencyKeyStaysInDedupScopeAndWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 9)
	h.request(keyedClass, "g")
	first := h.onlySend()
	h.endAttempt(first, 0, TimedOut)
	second := h.onlySend()
	a, b := h.balancer.servers[first.Server], h.balancer.servers[second.Server]
	if a.Cell != b.Cell || a == b {
		t.Errorf("got servers %d and %d in cells %d and %d, want two servers of one cell",
			a.ID, b.ID, a.Cell, b.Cell)
	}
	h.now += 3 * sec // past the dedup window
	h.balancer.requests[second.ID].deadline = h.now + sec
	h.endAttempt(second, 1, TimedOut)
	if len(h.sends()) > 0 {
		t.Errorf("after the dedup window: got actions %+v, want no retry", h.lastActions)
	}
	if len(actionsOf[Fail](h.lastActions)) != 1 || len(h.rejections()) > 0 {
		t.Errorf("after the dedup window: got actions %+v, want one failure and no rejection", h.lastActions)
	}
}

func TestUnknownClassIsTreatedAsNonIdempotent(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.request("unknown", "g")
	h.endAttempt(h.onlySend(), 0, TimedOut)
	if len(actionsOf[Fail](h.lastActions)) != 1 {
		t.Errorf("got actions %+v, want one failure", h.lastActions)
	}
}

// In a long run with bursts and pauses, every retry stays within the budget of the window that ends with it,
// and the budget is used. A token bucket, which bounds only the average, would either exceed the budget once
// the requests that earned a retry have left the window, or never regain the minimum.
func TestRetriesStayWithinBudget(t *testing.T) {
	for _, c := range []struct{ minimum, ratio float64 }{{5, 0}, {0, 0.1}, {5, 0.1}, {2.5, 0.02}, {0, 0}} {
		t.Run(fmt.Sprintf("minimum %v, ratio %v", c.minimum, c.ratio), func(t *testing.T) {
			const requests = 4000
			settings := testSettings()
			settings.MaxAttempts = 6
			settings.RetryBudgetWindow = 5 * sec
			settings.RetryBudgetMin, settings.RetryBudgetRatio = c.minimum, c.ratio
			h, audit := newHarness(t, settings, 40), retryBudgetAudit{}
			random := rand.New(rand.NewPCG(3, 9))
			for range requests {
				switch random.IntN(40) {
				case 0:
					h.advance(time.Duration(random.IntN(12000)) * ms) // longer than the window, at times
				case 1, 2, 3, 4:
					h.now += time.Duration(random.IntN(900)) * ms
				}
				h.retryRejected(random, &audit, &settings)
			}
			windows := float64(h.now-100*sec) / float64(settings.RetryBudgetWindow)
			wanted := (windows*c.minimum + requests*c.ratio) / 4
			if got := float64(len(audit.retries)); got < wanted {
				t.Errorf("got %v retries, want %.0f or more", got, wanted)
			}
			kept := len(h.balancer.requestWindow.buckets) + len(h.balancer.retryWindow.buckets)
			if kept > 2*maxWindowBuckets {
				t.Errorf("got %d buckets, want at most maxWindowBuckets for each of the two windows", kept)
			}
		})
	}
}

// retryRejected feeds a request whose attempts are each rejected by the server with a probability of one
// half, and checks each retry against the budget.
func (h *harness) retryRejected(random *rand.Rand, audit *retryBudgetAudit, settings *Settings) {
	h.t.Helper()
	h.request(idempotentClass, fmt.Sprint("g", h.lastID))
	audit.admitted = append(audit.admitted, h.now)
	for attempt := 0; len(h.sends()) == 1; attempt++ {
		if attempt > 0 {
			audit.addRetry(h.t, h.now, settings)
		}
		result := OK
		if random.IntN(2) == 0 {
			result = Rejected
		}
		s := h.onlySend()
		h.handle(AttemptEnded{
			ID: s.ID, Attempt: attempt, Server: s.Server, Result: result, Answered: result == OK,
		})
	}
}

// A connection that is established too late must carry nothing: neither after the drain grace of a server
// that drains or may start to drain, nor after the dedup window.
func TestConnectTimeoutIsBoundedByDrainGraceAndDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].DedupWindow, settings.Classes[1].DedupScope = 400*ms, DedupScopeAll
	h := newHarness(t, settings, 4)
	h.request(idempotentClass, "")
	if s := h.onlySend(); s.ConnectTimeout <= 0 || s.ConnectTimeout >= settings.DrainGrace {
		t.Errorf("to a ready server: got %+v, want a ConnectTimeout above 0 and below the DrainGrace", s)
	}

	id, first := h.request(keyedClass, ""), h.onlySend()
	h.now += 150 * ms
	h.handle(AttemptEnded{ID: id, Server: first.Server, Result: Reset})
	if s := h.onlySend(); s.ConnectTimeout != 250*ms {
		t.Errorf("retry 150 ms into a dedup window of 400 ms: got %+v, want a ConnectTimeout of 250 ms", s)
	}

	// The dedup window of a request that never ran has not started.
	id, first = h.request(keyedClass, ""), h.onlySend()
	h.now += 150 * ms
	h.handle(AttemptEnded{ID: id, Server: first.Server, Result: Rejected})
	if s := h.onlySend(); s.ConnectTimeout <= 250*ms {
		t.Errorf("retry of a request that never ran: got %+v, want a ConnectTimeout above 250 ms", s)
	}

	h.balancer.refreshTable()
	owner := h.balancer.tableServers[0].ID
	h.listDelta(Server{ID: owner, State: Draining})
	h.now += 300 * ms
	h.handle(Request{
		ID: 900, Class: idempotentClass, MidFlow: true, OwnerKnown: true, Owner: owner, Timeout: sec,
	})
	if s := h.onlySend(); s.Server != owner || s.ConnectTimeout <= 0 || s.ConnectTimeout >= 200*ms {
		t.Errorf("mid-flow request, 300 ms into a drain grace of 500 ms: got %+v, want below 200 ms", s)
	}
}
