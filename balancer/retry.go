package balancer

import "time"

const (
	// defaultRetryBudgetWindow, defaultRetryBudgetMin and maxRetryBudgetRatio are the retry budget if the
	// settings state none: in this time so many retries are allowed in any case, and this part of the
	// requests more. A stated ratio never exceeds that either.
	defaultRetryBudgetWindow = 10 * time.Second
	defaultRetryBudgetMin    = 10.0
	maxRetryBudgetRatio      = 0.2

	// usableDrainGraceTenths is the part of the DrainGrace, in tenths, in which sends to a draining server
	// still start.
	usableDrainGraceTenths = 9

	// defaultSetupObjectiveDivisor is the part of a request's time-out, as 1 / defaultSetupObjectiveDivisor,
	// that an attempt has if its class states no objective.
	defaultSetupObjectiveDivisor = 3
)

// dispatch disposes of a request that has no attempt in flight: it is sent, waits, or gets its final answer.
func (b *Balancer) dispatch(r *request) {
	if !b.mayAttempt(r) {
		b.answer(r)
		return
	}
	s := b.place(r)
	if s == nil {
		if len(r.polledServers) == 0 {
			b.waitOrAnswer(r)
		}
		return
	}
	b.send(r, s)
}

// mayAttempt reports whether a request may have a further attempt, at whatever server.
func (b *Balancer) mayAttempt(r *request) bool {
	switch {
	case r.mayHaveRun && b.class(r).Idempotency == NonIdempotent,
		b.now >= r.deadline-answerMargin,
		r.attempts >= b.settings.MaxAttempts,
		r.attempts > 0 && !b.hasRetryBudget(),
		b.isShedByFleet(r):
		return false
	}
	return true
}

func (b *Balancer) send(r *request, s *server) {
	if r.attempts > 0 {
		b.retryWindow.add(b.now)
	}
	b.attach(r, s)
	r.attempts++
	r.sentAt = b.now
	r.triedServers = append(r.triedServers, s.ID)
	b.emit(Send{ID: r.ID, Server: s.ID, Timeout: b.attemptTimeout(r), ConnectTimeout: b.connectTimeout(r, s)})
}

// answer gives the final answer: a rejection if the class's idempotency allows it, else a failure. Its
// Retry-After is drawn from the second half of MaxRetryAfter, so that rejected clients do not come back
// together.
func (b *Balancer) answer(r *request) {
	if b.mayReject(r) {
		retryAfter := time.Duration((1 - b.random()/2) * float64(b.settings.MaxRetryAfter))
		b.emit(Reject{ID: r.ID, RetryAfter: retryAfter, ShedByFleet: b.isShedByFleet(r)})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.finish(r)
}

// mayReject reports whether a retry of the request by its client is harmless, at whatever server.
func (b *Balancer) mayReject(r *request) bool {
	c := b.class(r)
	return !r.mayHaveRun || c.Idempotency == Idempotent ||
		c.Idempotency == WithIdempotencyKey && c.DedupScope == DedupScopeAll
}

// isEligible reports whether the list and the class's idempotency allow an attempt at a server.
func (b *Balancer) isEligible(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	c := b.class(r)
	if !r.mayHaveRun || c.Idempotency == Idempotent {
		return true
	}
	if c.Idempotency == NonIdempotent || b.now-r.firstRanAt >= c.DedupWindow {
		return false
	}
	switch c.DedupScope {
	case DedupScopeZone:
		return s.Zone == r.firstRanOn.Zone
	case DedupScopeCell:
		return s.Cell == r.firstRanOn.Cell
	}
	return true
}

// attemptTimeout is the time that the present attempt has: all in which a set-up meets its objective, or for
// the last attempt all that is left. One that is given up sooner was measured to be work lost at servers that
// are busy with the set-ups of others.
func (b *Balancer) attemptTimeout(r *request) time.Duration {
	remaining := r.deadline - b.now
	if r.attempts >= b.settings.MaxAttempts {
		return remaining
	}
	objective := b.class(r).SetupLatencyObjective
	if objective == 0 {
		objective = r.Timeout / defaultSetupObjectiveDivisor
	}
	return min(objective, remaining)
}

// connectTimeout bounds the time until an attempt's connection is established; 0 is no bound. This prevents
// late connections: to a server that drains by then, or drains now and takes mid-flow requests, or after the
// window in which repeats of a request with an idempotency key are discarded.
func (b *Balancer) connectTimeout(r *request, s *server) time.Duration {
	timeout := b.usableDrainGrace()
	if s.State != Ready {
		timeout -= b.now - s.unavailableSince
	}
	if c := b.class(r); r.mayHaveRun && c.Idempotency == WithIdempotencyKey {
		if left := r.firstRanAt + c.DedupWindow - b.now; timeout == 0 || left < timeout {
			timeout = left
		}
	}
	return timeout
}

// usableDrainGrace is how long sends to a server may start after it has begun to drain.
func (b *Balancer) usableDrainGrace() time.Duration {
	return b.settings.DrainGrace * usableDrainGraceTenths / 10
}

// retryBudget limits the retries of a time window.
type retryBudget struct {
	window time.Duration
	min    float64 // retries that are allowed in any case
	ratio  float64 // further retries for each request
}

// retryBudget is the stated retry budget, except for a ratio above the balancer's own, or the balancer's own.
func (b *Balancer) retryBudget() retryBudget {
	if b.settings.RetryBudgetWindow > 0 {
		return retryBudget{
			window: b.settings.RetryBudgetWindow,
			min:    b.settings.RetryBudgetMin,
			ratio:  min(b.settings.RetryBudgetRatio, maxRetryBudgetRatio),
		}
	}
	return retryBudget{defaultRetryBudgetWindow, defaultRetryBudgetMin, maxRetryBudgetRatio}
}

// hasRetryBudget reports whether the retry budget covers one more retry. This protects from faults that hit
// many and would multiply the load; a stated budget is also kept in any window that ends with a retry. It
// costs if many servers are down and most first attempts fail.
func (b *Balancer) hasRetryBudget() bool {
	budget := b.retryBudget()
	return float64(b.retryWindow.count(b.now)+1) <=
		budget.min+budget.ratio*float64(b.requestWindow.count(b.now))
}

func (b *Balancer) onAttemptEstablished(ev AttemptEstablished) {
	r := b.requestForAttempt(ev.ID, ev.Attempt, ev.Server)
	if r == nil || r.established {
		return
	}
	s := r.server
	r.established = true
	s.pendingAttempts--
	b.recentEstablished.add(b.now, 1)
	s.failureScore.sum /= 2
	s.onProbation, s.confirmedAlive = false, true
}

func (b *Balancer) onAttemptEnded(ev AttemptEnded) {
	r := b.requestForAttempt(ev.ID, ev.Attempt, ev.Server)
	if r == nil {
		return
	}
	s, held, established := r.server, len(r.server.inFlight), r.established
	b.detach(r)
	r.established = false
	if !ev.Result.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.firstRanOn, r.firstRanAt = true, s, r.sentAt
	}
	b.scoreResult(s, ev.Result, established, held)
	if ev.Result == NotSent && ev.Attempt > 0 {
		b.retryWindow.remove(r.sentAt)
	}
	if ev.Answered || r.finished {
		b.finish(r)
		return
	}
	b.dispatch(r)
}

// requestForAttempt returns the request whose present attempt an event concerns, or nil if it is late or
// unknown.
func (b *Balancer) requestForAttempt(id RequestID, attempt int, server ServerID) *request {
	r := b.requests[id]
	if r == nil || r.server == nil || r.server.ID != server || attempt != r.attempts-1 {
		return nil
	}
	return r
}
