package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestRetryGoesToAnAlternate(t *testing.T) {
	w := newWorld(t, settings(), 6)
	w.request("safe", "g")
	tried := map[ServerID]bool{}
	for attempt := range 3 {
		s := w.sent()
		if tried[s.Server] {
			t.Errorf("attempt %d again at %d", attempt, s.Server)
		}
		tried[s.Server] = true
		w.end(s, attempt, TimedOut)
	}
	if len(find[Reject](w.last)) != 1 {
		t.Errorf("after the last attempt: %+v", w.last)
	}
}

func TestUnsafeIsNotRepeated(t *testing.T) {
	for result, again := range map[Result]bool{
		TimedOut: false, Reset: false, Errored: false, Cancelled: false, Rejected: true, ConnectFailed: true,
	} {
		w := newWorld(t, settings(), 6)
		w.request("unsafe", "g")
		w.end(w.sent(), 0, result)
		if got := len(find[Send](w.last)) == 1; got != again {
			t.Errorf("%v: sent again: %v, want %v", result, got, again)
		}
		if got := len(find[Fail](w.last)) == 1; got == again || len(find[Reject](w.last)) > 0 {
			t.Errorf("%v: actions %+v", result, w.last)
		}
	}
}

func TestKeyedStaysInItsCellAndWindow(t *testing.T) {
	w := newWorld(t, settings(), 9)
	w.request("keyed", "g")
	first := w.sent()
	w.end(first, 0, TimedOut)
	second := w.sent()
	if a, b := w.b.servers[first.Server], w.b.servers[second.Server]; a.Cell != b.Cell || a == b {
		t.Errorf("cells %d and %d", a.Cell, b.Cell)
	}
	w.now += 3 * sec // past the window
	w.b.requests[second.ID].deadline = w.now + sec
	w.end(second, 1, TimedOut)
	if len(find[Send](w.last)) > 0 {
		t.Errorf("sent after the window: %+v", w.last)
	}
	if len(find[Fail](w.last)) != 1 || len(find[Reject](w.last)) > 0 {
		t.Errorf("answers: %+v", w.last)
	}
}

func TestUnknownClassIsTreatedAsUnsafe(t *testing.T) {
	w := newWorld(t, settings(), 4)
	w.request("never heard of", "g")
	w.end(w.sent(), 0, TimedOut)
	if len(find[Fail](w.last)) != 1 {
		t.Errorf("actions %+v", w.last)
	}
}

// Every further attempt of a long run with bursts and silences keeps to the budget, by a recount of the span
// that ends with it, and what the budget allows is used: a bucket that merely averages to it would either
// break it where the requests that earned an attempt age out first, or never give back what is free.
func TestFurtherAttemptsKeepToTheBudget(t *testing.T) {
	for _, budget := range []struct{ free, share float64 }{{5, 0}, {0, 0.1}, {5, 0.1}, {2.5, 0.02}, {0, 0}} {
		set := settings()
		set.MaxAttempts = 6
		set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetRatio = 5*sec, budget.free, budget.share
		w, l := newWorld(t, set, 40), ledger{}
		rnd := rand.New(rand.NewPCG(3, 9))
		for range 4000 {
			switch rnd.IntN(40) {
			case 0:
				w.wait(time.Duration(rnd.IntN(12000)) * ms) // longer than the span, at times
			case 1, 2, 3, 4:
				w.now += time.Duration(rnd.IntN(900)) * ms
			}
			w.request("safe", fmt.Sprint("g", w.id))
			l.taken = append(l.taken, w.now)
			for attempt := 0; len(find[Send](w.last)) == 1; attempt++ {
				if attempt > 0 {
					l.check(t, w.now, &set)
				}
				result := OK
				if rnd.IntN(2) == 0 {
					result = Rejected
				}
				s := w.sent()
				w.feed(AttemptEnded{ID: s.ID, Attempt: attempt, Server: s.Server, Result: result,
					Answered: result == OK})
			}
		}
		spans := float64(w.now-100*sec) / float64(set.RetryBudgetWindow)
		least := (spans*budget.free + 4000*budget.share) / 4
		if got := float64(len(l.further)); got < least {
			t.Errorf("%+v: %v further attempts, %.0f at least were wanted", budget, got, least)
		}
		if kept := len(w.b.admitted.buckets) + len(w.b.retries.buckets); kept > 2*maxWindowBuckets {
			t.Errorf("%d moments kept", kept)
		}
	}
}

// A connection that comes up late carries nothing: not behind the grace of a server that may begin to drain
// meanwhile, or that drains and takes a stray, nor behind the window in which repeats are known.
func TestLateConnectionsHaveABound(t *testing.T) {
	set := settings()
	set.Classes[1].DedupWindow, set.Classes[1].DedupScope = 400*ms, DedupScopeAll
	w := newWorld(t, set, 4)
	w.request("safe", "")
	if s := w.sent(); s.ConnectTimeout <= 0 || s.ConnectTimeout >= set.DrainGrace {
		t.Errorf("to a server in service: %+v", s)
	}

	id, first := w.request("keyed", ""), w.sent()
	w.now += 150 * ms
	w.feed(AttemptEnded{ID: id, Server: first.Server, Result: Reset})
	if s := w.sent(); s.ConnectTimeout != 250*ms {
		t.Errorf("a repeat 150 ms into a window of 400 ms: %+v", s)
	}

	// A repeat of what never ran has no window.
	id, first = w.request("keyed", ""), w.sent()
	w.now += 150 * ms
	w.feed(AttemptEnded{ID: id, Server: first.Server, Result: Rejected})
	if s := w.sent(); s.ConnectTimeout <= 250*ms {
		t.Errorf("a repeat of what never ran: %+v", s)
	}

	w.b.refreshTable()
	holder := w.b.tableServers[0]
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: holder.ID, State: Draining}}})
	w.now += 300 * ms
	w.feed(Request{ID: 900, Class: "safe", MidFlow: true, OwnerKnown: true, Owner: holder.ID, Timeout: sec})
	if s := w.sent(); s.Server != holder.ID || s.ConnectTimeout <= 0 || s.ConnectTimeout >= 200*ms {
		t.Errorf("a stray to a server that has drained for 300 of 500 ms: %+v", s)
	}
}
