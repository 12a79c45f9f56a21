package balancer

import "time"

const (
	// defaultRetryBudgetWindow, defaultRetryBudgetMin and maxRetryBudgetRatio are the retry budget if the
	// settings give none: within each window, defaultRetryBudgetMin retries are always allowed, plus
	// maxRetryBudgetRatio for each request. maxRetryBudgetRatio also caps a ratio from the settings.
	defaultRetryBudgetWindow = 10 * time.Second
	defaultRetryBudgetMin    = 10.0
	maxRetryBudgetRatio      = 0.2

	// usableDrainGraceTenths is the share of the DrainGrace, in tenths, during which sends to a draining
	// server may still start.
	usableDrainGraceTenths = 9

	// defaultSetupObjectiveDivisor gives the set-up latency objective of a class that states none: the
	// timeout of the request divided by this value.
	defaultSetupObjectiveDivisor = 3
)

// dispatch handles a request that has no attempt in flight: it sends the request, makes it wait, or gives its
// final answer.
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

// mayAttempt reports whether a request may have another attempt at any server.
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

// answer gives a request its final answer: a rejection if mayReject allows it, a failure otherwise. The
// Retry-After of a rejection is random between half of MaxRetryAfter and all of it, so that rejected clients
// do not return at the same time.
func (b *Balancer) answer(r *request) {
	if b.mayReject(r) {
		retryAfter := time.Duration((1 - b.random()/2) * float64(b.settings.MaxRetryAfter))
		b.emit(Reject{ID: r.ID, RetryAfter: retryAfter, ShedByFleet: b.isShedByFleet(r)})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.finish(r)
}

// mayReject reports whether the client may safely retry the request, whichever server gets the retry.
func (b *Balancer) mayReject(r *request) bool {
	c := b.class(r)
	return !r.mayHaveRun || c.Idempotency == Idempotent ||
		c.Idempotency == WithIdempotencyKey && c.DedupScope == DedupScopeAll
}

// isEligible reports whether the endpoint list and the idempotency of the request's class allow an attempt at
// a server.
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

// attemptTimeout returns the timeout of the current attempt: the set-up latency objective or, for the last
// attempt, all the time that is left. It never exceeds the time that is left. A shorter timeout wastes work:
// a server that is busy with other set-ups has already spent work on an attempt that is abandoned earlier,
// and that work is lost.
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

// connectTimeout returns the bound on the time until an attempt's connection is established. Zero means no
// bound. It prevents connections that are established too late: to a server that has started to drain since,
// to a draining server that still takes mid-flow requests, or after the window in which repeats of a request
// with an idempotency key are discarded.
func (b *Balancer) connectTimeout(r *request, s *server) time.Duration {
	timeout := b.usableDrainGrace()
	if s.State != Ready {
		timeout -= b.now - s.unavailableSince
	}
	if c := b.class(r); r.mayHaveRun && c.Idempotency == WithIdempotencyKey {
		if remaining := r.firstRanAt + c.DedupWindow - b.now; timeout == 0 || remaining < timeout {
			timeout = remaining
		}
	}
	return timeout
}

// usableDrainGrace returns the time after the start of a server's drain during which sends to the server may
// still start.
func (b *Balancer) usableDrainGrace() time.Duration {
	return b.settings.DrainGrace * usableDrainGraceTenths / 10
}

// retryBudget limits the retries within a time window.
type retryBudget struct {
	window time.Duration
	min    float64 // retries that are always allowed
	ratio  float64 // additional retries for each request
}

// retryBudget returns the retry budget from the settings, with its ratio capped at maxRetryBudgetRatio, or
// the default budget if the settings give none.
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

// hasRetryBudget reports whether the retry budget allows one more retry. The budget protects from faults that
// affect many requests, whose retries would multiply the load. A budget from the settings holds for every
// window that ends with a retry, not only on average. The cost is that requests stay unretried if many
// servers are down and most first attempts fail.
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
	s, inFlight, established := r.server, len(r.server.inFlight), r.established
	b.detach(r)
	r.established = false
	if !ev.Result.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.firstRanOn, r.firstRanAt = true, s, r.sentAt
	}
	b.scoreResult(s, ev.Result, established, inFlight)
	if ev.Result == NotSent && ev.Attempt > 0 {
		b.retryWindow.remove(r.sentAt)
	}
	if ev.Answered || r.finished {
		b.finish(r)
		return
	}
	b.dispatch(r)
}

// requestForAttempt returns the request whose current attempt an event refers to, or nil if the event is late
// or the request is unknown.
func (b *Balancer) requestForAttempt(id RequestID, attempt int, server ServerID) *request {
	r := b.requests[id]
	if r == nil || r.server == nil || r.server.ID != server || attempt != r.attempts-1 {
		return nil
	}
	return r
}
