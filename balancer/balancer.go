// Package balancer makes the decisions of a gateway that balances long-lived connections. Its interface,
// that is settings, events and actions, is api.go; the lookup table is maglev.go; all else that decides
// is in this file.
//
// Every gateway builds the same Maglev table from the server list and places a connection at the entry
// of its key's hash, so gateways agree without shared state. Each exception is a further lookup in the
// same table. A Balancer does no I/O, reads no clock, starts no goroutine and keeps no global state: the
// same events give the same actions.
package balancer

import (
	"log/slog"
	"math"
	"slices"
	"time"
)

// The constants. None comes from a deployment; where a figure was measured, docs/design.md has it.
const (
	sweepInterval    = 250 * time.Millisecond // between looks at what has come due
	firstListTimeout = 500 * time.Millisecond // a request waits this long for the first list
	answerMargin     = 20 * time.Millisecond  // but is answered this long before its deadline
	drainGraceTenths = 9                      // tenths of the drain grace in which strays are still sent
	maxLookups       = 160                    // in a search for an alternate: more cost more than they find,
	maxNearLookups   = 8                      // and in a group's, that it stays together, or for a cold server
	maxPastTables    = 2                      // tables kept for strays

	loadBoundRatio     = 0.5 // a server takes this share over its part of the load before keys overflow,
	loadBoundSlack     = 4.0 // and this many mean connections more
	slowRatioThreshold = 0.3 // times the part that a request may fill: pressure from which some are refused
	reconnectSpread    = 4   // entries after its own that a client returns over
	minLimitRatio      = 0.5 // part of a limit that the least worthy may fill

	messageDelayTTL     = 2500 * time.Millisecond // word of slow messages holds this long; it comes once a second
	rejectedPause       = time.Second             // a server that turned a connection away gets none this long
	limitCutRatio       = 0.85                    // to this part of its load a slow server's limit falls, or lower
	minLimitCutRatio    = 0.5                     // with the growth of its delay, and to this at the least
	limitCutInterval    = time.Second             // at most, so that one word is not counted for each connection
	limitGrowthDelay    = 1500 * time.Millisecond // a limit grows when this long nothing spoke against it,
	limitGrowthRatio    = 0.1                     // by this share a second
	limitDropFactor     = 4.0                     // and is forgotten at this multiple of a fair part of the load
	targetUtilization   = 0.7                     // reported load at which a server is well used,
	highUtilization     = 0.8                     // from which its limit falls to that,
	lowUtilization      = 0.6                     // and under which it rises to that,
	maxUtilization      = 0.85                    // up to which a server is given more,
	minUtilization      = 0.1                     // as if this had been reported at the least
	groupPriorRatio     = 0.05                    // of all connections that a group is guessed to have,
	groupPriorWeight    = 2.0                     // a guess that weighs as much as this many connections seen
	newGroupCost        = 4.0                     // mean connections that a new group is taken to cost a server
	movedGroupCost      = 2 * newGroupCost        // the same, shared by its members, where moves rank connections
	migrationRatio      = 1.0                     // of a slow server's connections a second, where all have room,
	minMigratable       = 5.0                     // or of this many: a few are moved soon
	groupMigrationRatio = 0.8                     // part of the choice whom to move that all of a group share
	maxSetupRatio       = 1.5                     // set-ups tried for each that stands; what is over is shed

	evidenceHalfLife     = 3 * time.Second // evidence halves in this time
	ejectionScore        = 1.0             // and ejects a server here; strikes are in weighOutcome
	baseEjectionDuration = 5 * time.Second // the first ejection; each that follows doubles it,
	maxEjectionDoublings = 2               // this often
	maxEjectionRatio     = 0.5             // where a larger share looks bad, the cause is shared: trust the list

	defaultRetryBudgetWindow = 10 * time.Second // where no budget of further attempts is stated, in this span
	defaultRetryBudgetMin    = 10.0             // so many are allowed in any case,
	maxRetryBudgetRatio      = 0.2              // and for each request taken so many more; never more than this

	warmupBudgetRatio     = 0.6 // part of a cold server's budget that is used
	minWarmupArrivalRatio = 0.1 // part of the requests that are counted on at one server at the least
	warmupSpacingRatio    = 0.5 // of the time between two of a gateway's connections to one, two are this far apart
	minWarmConnections    = 6.0 // connections that a server is held to bear at least

	loadReportTTL    = time.Second            // a report is placed by for so long
	loadPollTimeout  = 100 * time.Millisecond // and is waited for so long
	maxPolledServers = 2                      // servers are asked at once for a request,
	maxPollRounds    = 3                      // and so often

	reinstatementSpread = time.Second // a server back by hand is first tried within this, each gateway at its time
	evacuationRatio     = 0.5         // of its connections leave a server that is out by hand, at each look

	removedServerRetention = 10 * time.Minute // a server gone so long is forgotten
)

const sweepTimer, oneShotTimer = 1, 2 // of timers

// Handle takes one event and returns what to do, valid until the next call. Time never runs backwards.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now = max(b.now, now)
	b.actions = b.actions[:0]
	if !b.started {
		b.started = true
		b.startedAt = b.now
		b.act(SetTimer{After: sweepInterval, Ref: sweepTimer})
	}
	switch ev := ev.(type) {
	case EndpointList:
		b.onEndpointList(ev)
	case Request:
		b.onRequest(ev)
	case AdoptedConnection:
		b.onAdoptedConnection(ev)
	case AttemptEstablished:
		b.onAttemptEstablished(ev)
	case LoadChanged:
		b.onLoadChanged(ev)
	case MessageDelay:
		if s := b.servers[ev.Server]; s != nil {
			b.onMessageDelay(s, ev.Delay)
		}
	case LoadReport:
		if s := b.servers[ev.Server]; s != nil {
			b.onLoadReport(s, ev)
			b.dispatchWaiting()
		}
	case ServerReinstated:
		if s := b.servers[ev.Server]; s != nil {
			b.resetHealth(s)
			s.trialAt = b.now + time.Duration(b.random()*float64(reinstatementSpread))
		}
	case FleetShedLevel:
		b.fleetShedLevel = ev.Level
	case Shutdown:
		b.capDeadlines(ev.Deadline)
	case AttemptEnded:
		b.onAttemptEnded(ev)
	case ClientDisconnected:
		b.onClientDisconnected(ev.ID)
	case TimerFired:
		b.onTimerFired(ev)
	}
	return b.actions
}

// The list.

func (b *Balancer) onEndpointList(ev EndpointList) {
	doubts := b.suspectedRemovals()
	if ev.Mode != ListDelta {
		listed := make(map[ServerID]bool, len(ev.Servers))
		for _, e := range ev.Servers {
			listed[e.ID] = true
		}
		for _, s := range b.sortedServers {
			if !listed[s.ID] {
				b.setState(s, Removed)
			}
		}
	}
	for _, e := range ev.Servers {
		b.updateServer(e)
	}
	if n := b.suspectedRemovals(); n > doubts {
		b.log("removals suspected", slog.Int("servers", n-doubts))
	}
	b.hasList = b.hasList || ev.Mode == ListComplete || len(ev.Servers) > 0
	b.tableIsStale = true
	b.dispatchWaiting()
}

// setState follows the list. Where only draining binds, a server that is called gone, or left out, is in
// doubt: it keeps its slots, since its own connections and outcomes tell more. One good outcome and it serves
// as before; until then one attempt at a time may try it, and the first failure confirms the list, as does an
// ejection at that time. It guards against lists that are wrong, empty or old, and spares the table a second
// change when the true one comes. It costs an attempt where a server is gone and no connection told of it. A
// drain binds until a new start, whatever an old list says later.
func (b *Balancer) setState(s *server, state ServerState) {
	if b.settings.RemovalIsAdvisory {
		switch {
		case s.hasDrained && state == Ready:
			return
		case state == Removed && s.State == Ready && s.ejectedUntil == 0:
			if s.removalSuspectedAt == 0 {
				s.removalSuspectedAt, s.confirmedAlive = b.now, len(s.inFlight) > s.pendingAttempts
			}
			return
		}
	}
	if state != Ready && s.State == Ready || b.settings.RemovalIsAdvisory && state == Draining && !s.hasDrained {
		s.unavailableSince = b.now
	}
	s.hasDrained = s.hasDrained && state != Ready || state == Draining
	s.State, s.removalSuspectedAt = state, 0
}

// confirmRemoval takes a server in doubt for gone.
func (b *Balancer) confirmRemoval(s *server) {
	s.State, s.unavailableSince, s.removalSuspectedAt, b.tableIsStale = Removed, b.now, 0, true
	b.log("removal confirmed", serverAttr(s))
}

// refreshTable fills the table anew from the ready servers where the list has changed since, and keeps the one
// before for strays. It waits for the next placement, since most changes of a list come in a run and a
// gateway among many places few connections between them.
func (b *Balancer) refreshTable() {
	if !b.tableIsStale {
		return
	}
	b.tableIsStale = false
	var shares []weightedServer
	var members []*server
	weight := 0.0
	for _, s := range b.sortedServers {
		if s.State == Ready {
			shares = append(shares, weightedServer{s.ID, s.Capacity})
			members = append(members, s)
			weight += s.Capacity
		}
	}
	if slices.Equal(shares, b.tableWeights) {
		return // nothing that the table depends on has changed
	}
	if b.table != nil && b.settings.FlowRetention > 0 {
		b.pastTables = append(b.pastTables, pastTable{b.table, b.tableServers, b.now + b.settings.FlowRetention})
		if len(b.pastTables) > maxPastTables {
			b.pastTables = slices.Delete(b.pastTables, 0, len(b.pastTables)-maxPastTables)
		}
	}
	b.table, b.tableWeights, b.tableServers, b.totalWeight = buildTable(shares), shares, members, max(weight, minTotalWeight)
}

// Cold servers.

// warmupProgress is how much of its warm-up a server has behind it: 1 is warm.
func (b *Balancer) warmupProgress(s *server) float64 {
	if s.Started <= 0 || b.now-s.Started >= b.settings.WarmupDuration {
		return 1
	}
	return max(float64(b.now-s.Started)/float64(b.settings.WarmupDuration), 0)
}

// admitToWarmingServer reports whether a cold server's budget allows one more connection. It guards against gateways
// that together push a fresh server over. The budget is a multiple of what fills the server over its warm-up,
// at any age; a gateway's chance to use it is its part over the rate at which it tries, so that the sum keeps
// to it however many gateways there are and however seldom each comes by. It could hurt where much of the
// fleet is cold and little else has room.
func (b *Balancer) admitToWarmingServer(r *request, s *server) bool {
	rate := warmupBudgetRatio * max(b.settings.ColdOverloadFactor, 1) * b.warmConnections(s) /
		b.settings.WarmupDuration.Seconds() / float64(b.settings.Gateways)
	share := max(maxNearLookups*s.Capacity/b.totalWeight, minWarmupArrivalRatio) // more where one group is most of all
	tries := max(b.arrivalRate()*share, s.warmupLookups.value(b.now)*math.Ln2/evidenceHalfLife.Seconds())
	s.warmupLookups.add(b.now, 1)
	// in a burst the rate is learned too late
	apart := min(warmupSpacingRatio/rate, b.settings.ColdOverloadDuration.Seconds())
	if (b.now-s.warmupSentAt).Seconds() < apart || fraction(mix(uint64(r.ID), uint64(s.ID))) >= rate/tries {
		return false
	}
	s.warmupSentAt = b.now
	return true
}

// arrivalRate is how many requests come a second, of late. As many more are counted as make a burst, in which
// each gateway has one request and knows of no other, spend no more than a cold server bears in TipTime.
func (b *Balancer) arrivalRate() float64 {
	span := evidenceHalfLife.Seconds() / math.Ln2
	more := max(warmupBudgetRatio*span/b.settings.ColdOverloadDuration.Seconds()-1, 0)
	age := max(b.now-b.startedAt, evidenceHalfLife/30)
	seen := 1 - math.Exp2(-float64(age)/float64(evidenceHalfLife)) // of the span, by a young process
	came := b.recentRequests.value(b.now)
	return max(came/seen, came+more) / span
}

// Requests.

func (b *Balancer) onRequest(ev Request) {
	if b.requests[ev.ID] != nil {
		return
	}
	b.admitted.add(b.now)
	b.recentRequests.add(b.now, 1)
	if class, ok := b.classIndex[ev.Class]; ok && ev.Load > 0 {
		b.observeLoad(class, ev.Load)
	}
	b.dispatch(b.newRequest(ev))
}

// dispatch places a request that has no attempt out: a send, a place among the waiting, or its final answer.
func (b *Balancer) dispatch(r *request) {
	hopeless := r.mayHaveRun && b.settings.Classes[r.classIndex].Idempotency == NonIdempotent
	if hopeless || b.now >= r.deadline-answerMargin || r.attempts >= b.settings.MaxAttempts ||
		r.attempts > 0 && !b.hasRetryBudget() || b.isShedByFleet(r) {
		b.answer(r)
		return
	}
	s := b.place(r)
	if s == nil {
		if len(r.polled) == 0 {
			b.waitOrAnswer(r)
		}
		return
	}
	if r.attempts > 0 {
		b.retries.add(b.now)
	}
	b.attach(r, s)
	r.attempts++
	r.sentAt = b.now
	r.triedServers = append(r.triedServers, s.ID)
	b.act(Send{ID: r.ID, Server: s.ID, Timeout: b.attemptTimeout(r), ConnectTimeout: b.connectTimeout(r, s)})
}

// connectTimeout bounds the time until an attempt is under way. It guards against connections that come up late: to a
// server that drains by then, or drains now and takes strays, or behind the window of a keyed request.
func (b *Balancer) connectTimeout(r *request, s *server) time.Duration {
	most := b.settings.DrainGrace * drainGraceTenths / 10
	if s.State != Ready {
		most -= b.now - s.unavailableSince
	}
	c := b.settings.Classes[r.classIndex]
	if left := r.firstRanAt + c.DedupWindow - b.now; r.mayHaveRun && c.Idempotency == WithIdempotencyKey &&
		(most == 0 || left < most) {
		most = left
	}
	return most
}

// isShedByFleet reports whether the fleet sheds a request. Which clients of the rank at the cut those are is alike
// at every gateway: one who comes again elsewhere is answered alike. What a server holds is never shed.
func (b *Balancer) isShedByFleet(r *request) bool {
	return !r.MidFlow && r.clientFraction(2) < b.fleetShedLevel-float64(r.Priority)
}

// hasRetryBudget reports whether the budget covers one more attempt beyond a request's first. It guards against
// faults that hit many and would multiply the load; where a budget is stated it also keeps to that, in any
// span that ends with an attempt. It could hurt where many servers are down and most first attempts fail.
func (b *Balancer) hasRetryBudget() bool {
	_, free, share := b.retryBudget()
	return float64(b.retries.count(b.now)+1) <= free+share*float64(b.admitted.count(b.now))
}

// retryBudget is that of further attempts: the stated one, but for a share above the module's own, or its own.
func (b *Balancer) retryBudget() (span time.Duration, free, share float64) {
	if b.settings.RetryBudgetWindow > 0 {
		return b.settings.RetryBudgetWindow, b.settings.RetryBudgetMin, min(b.settings.RetryBudgetRatio, maxRetryBudgetRatio)
	}
	return defaultRetryBudgetWindow, defaultRetryBudgetMin, maxRetryBudgetRatio
}

// capDeadlines gives no request that waits longer than until the program's end.
func (b *Balancer) capDeadlines(by time.Duration) {
	for _, r := range b.requests {
		r.deadline, r.waitUntil = min(r.deadline, by), min(r.waitUntil, by-answerMargin)
	}
	b.act(SetTimer{After: max(by-answerMargin-b.now, 0), Ref: oneShotTimer})
}

// waitOrAnswer disposes of a request that no server may take now. Only the first list is waited for: what
// else keeps a request out lasts longer than a client should wait for word of it.
func (b *Balancer) waitOrAnswer(r *request) {
	if b.hasList || r.waitUntil > 0 && b.now >= r.waitUntil {
		b.answer(r)
		return
	}
	b.waiting = append(b.waiting, r)
	if r.waitUntil == 0 {
		wait := max(min(firstListTimeout, r.deadline-answerMargin-b.now), 0)
		r.waitUntil = b.now + wait
		b.act(SetTimer{After: wait, Ref: oneShotTimer})
	}
}

// dispatchWaiting looks again at the held requests.
func (b *Balancer) dispatchWaiting() {
	held := b.waiting
	b.waiting = nil
	for _, r := range held {
		switch {
		case r.finished:
		case b.now < r.waitUntil && slices.ContainsFunc(r.polled, b.awaitsReport):
			b.waiting = append(b.waiting, r)
		default:
			r.polled = nil
			b.dispatch(r)
		}
	}
}

// Reports.

// pollForRequest has servers asked for their load on behalf of a request, which waits for that.
func (b *Balancer) pollForRequest(r *request, of []*server) {
	r.polled, r.waitUntil = of, b.now+loadPollTimeout
	r.pollRounds++
	for _, s := range of {
		if b.now-s.polledAt > loadPollTimeout || s.polledAt == 0 {
			s.polledAt = b.now
			b.act(PollLoad{Server: s.ID})
		}
	}
	b.waiting = append(b.waiting, r)
	b.act(SetTimer{After: loadPollTimeout, Ref: oneShotTimer})
}

// needsPoll reports whether nothing is known of a server's load, and it is to be asked before it is sent to.
func (b *Balancer) needsPoll(s *server) bool {
	return b.settings.CanPollLoad && s.ejectedUntil == 0 && b.warmupProgress(s) == 1 && !b.hasFreshReport(s) &&
		(s.polledAt == 0 || b.now-s.polledAt > loadReportTTL)
}

// loadRank ranks a server by its own word; one that says nothing comes last. One that was not asked serves
// where all that were are full: a refusal was measured to cost more.
func (b *Balancer) loadRank(s *server) float64 {
	switch load := b.projectedUtilization(s); {
	case !b.settings.CanPollLoad || b.needsPoll(s) || b.warmupProgress(s) < 1 || b.hasFreshReport(s) && load <= lowUtilization:
		return 0
	case b.hasFreshReport(s):
		return load
	}
	return 4
}

// answer gives the final answer: a refusal where the class's effect allows it, else a failure. Clients are
// told to come back spread over the second half of the time that they follow.
func (b *Balancer) answer(r *request) {
	c := b.settings.Classes[r.classIndex]
	if !r.mayHaveRun || c.Idempotency == Idempotent ||
		c.Idempotency == WithIdempotencyKey && c.DedupScope == DedupScopeAll {
		after := time.Duration((1 - b.random()/2) * float64(b.settings.MaxRetryAfter))
		b.act(Reject{ID: r.ID, RetryAfter: after, ShedByFleet: b.isShedByFleet(r)})
	} else {
		b.act(Fail{ID: r.ID})
	}
	b.finish(r)
}

// attemptTimeout is the time that the next attempt has: all in which a set-up is worth its full price. One that is
// given up sooner was measured to be work lost at servers that are busy with the set-ups of others.
func (b *Balancer) attemptTimeout(r *request) time.Duration {
	left := r.deadline - b.now
	if r.attempts >= b.settings.MaxAttempts {
		return left
	}
	aim := b.settings.Classes[r.classIndex].SetupLatencyObjective
	if aim == 0 {
		aim = r.Timeout / 3
	}
	return min(aim, left)
}

func (b *Balancer) onAttemptEstablished(ev AttemptEstablished) {
	r := b.requests[ev.ID]
	if r == nil || r.server == nil || r.server.ID != ev.Server || r.established || ev.Attempt != r.attempts-1 {
		return
	}
	r.established = true
	r.server.pendingAttempts--
	b.recentEstablished.add(b.now, 1)
	r.server.failureScore.sum /= 2
	r.server.onProbation, r.server.confirmedAlive = false, true
}

func (b *Balancer) onAttemptEnded(ev AttemptEnded) {
	r := b.requests[ev.ID]
	if r == nil || r.server == nil || r.server.ID != ev.Server || ev.Attempt != r.attempts-1 {
		return
	}
	s, held, opened := r.server, len(r.server.inFlight), r.established
	b.detach(r)
	r.established = false
	if !ev.Result.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.firstRanOn, r.firstRanAt = true, s, r.sentAt
	}
	b.scoreResult(s, ev.Result, opened, held)
	if ev.Result == NotSent && ev.Attempt > 0 { // it was never made
		b.retries.remove(r.sentAt)
	}
	switch {
	case ev.Answered || r.finished:
		b.finish(r)
	default:
		b.dispatch(r)
	}
}

func (b *Balancer) onClientDisconnected(id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// Placement.

// place finds the server for a request's next attempt: the ordinary path's entry, or the first alternate
// against which nothing speaks. Where something speaks against each, the least bad one serves, but never
// one without room or a cold one without budget; nil where none may be used, and the request is refused.
//
// Some are refused also while a good part of this gateway's own connections is on slow servers, the more the
// larger that part is and the less they earn. What a gateway holds is a sample of the fleet, so this
// guards against a jam of which each gateway sees little: clients that break off and return keep it up. It
// holds against any overload, and could hurt where a few slow servers hold most of what it has.
//
// The bound on a server's part of the load guards against hot groups, and holds against any uneven draw
// of keys. It could hurt a group that is better kept whole, since each part costs the server it goes to.
func (b *Balancer) place(r *request) *server {
	b.refreshTable()
	if r.MidFlow && r.attempts == 0 {
		if s := b.midFlowServer(r); s != nil {
			return s
		}
	}
	if b.table == nil {
		return nil
	}
	if s := b.trialServer(r); s != nil {
		return s
	}
	first := int(r.clientFraction(0) * b.groupShards(r))
	if e := b.lookup(r, first); r.MidFlow && r.attempts == 0 && b.needsPoll(e) && b.isEligible(r, e) {
		return e // it loads whoever holds it already, and no report tells who that is
	}
	unit := b.meanLoad()
	part := (1 + loadBoundRatio) * (b.totalLoad() + unit) / b.totalWeight
	keep := b.limitRatio(r)
	if r.clientFraction(1) < b.shedRatio() {
		return nil
	}
	shed := r.clientFraction(1) < (b.slowRatio-slowRatioThreshold*keep)/(1-slowRatioThreshold*keep)
	var best *server
	var ask []*server
	least := math.Inf(1)
	if r.Reconnecting && !b.isKnownHealthy(b.lookup(r, first)) {
		first += 1 + int(mix(uint64(r.ID), keySeed)%reconnectSpread)
	}
	most := maxLookups
	if shed || r.Group != "" {
		most = maxNearLookups
	}
	for i := range most + 1 {
		j := i - 1
		if i == 0 { // its own part of the group; then the others and their alternates
			j = first
		}
		s := b.lookup(r, j)
		if !b.isEligible(r, s) || shed && b.warmupProgress(s) == 1 {
			continue // what is shed for the load of warm servers may still fit a cold one's budget
		}
		bad := 0.0
		if slices.Contains(r.triedServers, s.ID) {
			bad += 4
		}
		if s.ejectedUntil > 0 {
			bad += 8
		}
		if (s.onProbation || s.removalSuspectedAt > 0 && !s.confirmedAlive) && s.pendingAttempts > 0 { // let one stand first
			bad += 2
		}
		cost := r.clientFraction(s.ID) * unit
		if r.Group != "" && s.groupConnections[r.Group] == 0 { // do not spread scarce room over many groups
			cost += newGroupCost * unit
		}
		if r.pollRounds < maxPollRounds && b.needsPoll(s) {
			if len(ask) < maxPolledServers && !slices.Contains(ask, s) {
				ask = append(ask, s)
			}
			continue
		}
		if len(ask) > 0 || !b.hasCapacity(s, cost, keep) {
			continue
		}
		bad += b.loadRank(s)
		if b.serverLoad(s)+unit > part*s.Capacity+loadBoundSlack*unit {
			bad++
		}
		if b.warmupProgress(s) < 1 {
			if bad < 2 && i <= maxNearLookups && b.admitToWarmingServer(r, s) {
				return s
			}
			continue
		}
		if bad == 0 {
			return s
		}
		if bad < least {
			best, least = s, bad
		}
	}
	if len(ask) > 0 {
		b.pollForRequest(r, ask)
		return nil
	}
	return best
}

// trialServer is a server that staff put back and nothing has gone to since. One connection tells them and us
// that it serves, where a cold server's budget would have them wait; each gateway begins at another time, so
// that together they stay within what the server bears.
func (b *Balancer) trialServer(r *request) *server {
	if r.attempts > 0 || r.MidFlow {
		return nil
	}
	for _, s := range b.tableServers {
		if s.trialAt > 0 && b.now >= s.trialAt && s.State == Ready {
			s.trialAt = 0
			return s
		}
	}
	return nil
}

// shedRatio is the part of requests that is shed since too few set-ups stand, wherever they are tried. It
// guards against a jam of what all set-ups share, as a store: asked for more than it can do it serves none
// in time, and the clients' return keeps that up. While it sheds, nothing is moved, as each move is a
// set-up, and no server's limit is cut for a time-out. It holds for any failure of set-ups that ejections do
// not end. It could hurt where a gateway reaches few servers, until the others are ejected.
func (b *Balancer) shedRatio() float64 {
	if b.recentFailures.sum == 0 {
		return 0
	}
	stood := b.recentEstablished.value(b.now)
	tried := stood + b.recentFailures.value(b.now)
	return (tried - maxSetupRatio*(stood+1)) / (tried + 1)
}

// lookup is the server of a request's j-th lookup: 0 is the ordinary path.
func (b *Balancer) lookup(r *request, j int) *server {
	return b.tableServers[b.table.at(r.placementHash, j)]
}

// groupShards is over how many entries a group is spread: as many as its members need, of a server's bound each.
// It guards against a hot group that no gateway sees whole, as each holds a few of its members; how many
// there are in all is inferred from those held here, and from a guess as long as few connections are. It
// could hurt where a group is taken for larger than it is, since each part costs the server it goes to.
func (b *Balancer) groupShards(r *request) float64 {
	if r.Group == "" {
		return 1
	}
	held := float64(b.connections)
	fleet := (held + 1) * float64(b.settings.Gateways)
	share := (float64(b.groupConnections[r.Group]) + groupPriorWeight*groupPriorRatio) / (held + groupPriorWeight)
	bound := (1+loadBoundRatio)*fleet/float64(len(b.tableServers)) + loadBoundSlack
	return max(share*fleet/bound, 1)
}

// isKnownHealthy reports whether this gateway has connections at a server and nothing speaks against it.
func (b *Balancer) isKnownHealthy(s *server) bool {
	return len(s.inFlight) > s.pendingAttempts && s.ejectedUntil == 0 && b.now >= s.pausedUntil
}

// limitRatio is the part of a server's limit that a request may fill: all for what earns most for its
// load, less for the rest. It guards against overload in which room goes to whoever asks first; as the
// least worthy keep a part, none starves. It could hurt where loads are not known, as worth alone ranks
// then.
func (b *Balancer) limitRatio(r *request) float64 {
	top := 0.0
	for c := range b.settings.Classes[:len(b.settings.Classes)-1] {
		top = max(top, b.settings.Classes[c].PriorityWeight/b.classLoad(c))
	}
	worth := b.priorityPerLoad(r)
	return minLimitRatio + (1-minLimitRatio)*min(worth/max(top, 1e-12), 1)
}

// midFlowServer is the server that is known to hold a stray, or a guess while a past table is in force: the one
// where the ordinary path put its key then, also if that drains, within the grace. It guards against a reset
// where gateways and servers change together. It could miss a connection that an alternate took.
func (b *Balancer) midFlowServer(r *request) *server {
	if s := b.servers[r.Owner]; r.OwnerKnown && s != nil && b.acceptsMidFlow(s) {
		return s
	}
	for _, p := range b.pastTables {
		if b.now > p.expiresAt {
			continue
		}
		s := p.servers[p.table.at(r.placementHash, 0)]
		if b.warmupProgress(s) == 1 && b.acceptsMidFlow(s) {
			return s
		}
	}
	return nil
}

func (b *Balancer) acceptsMidFlow(s *server) bool {
	return s.State == Ready || s.State == Draining && b.now-s.unavailableSince < b.settings.DrainGrace*drainGraceTenths/10
}

// isEligible reports whether the list and the class's effect allow an attempt at a server.
func (b *Balancer) isEligible(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	c := b.settings.Classes[r.classIndex]
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

// Health.

// onMessageDelay takes word of slow messages. Work piles up where a server is asked for more than it can do, so
// the growth of the delay tells how far over that is.
func (b *Balancer) onMessageDelay(s *server, delay time.Duration) {
	last, since := s.messageDelay, b.now-s.messageDelayAt
	if since > messageDelayTTL {
		last = 0
	}
	s.messageDelay, s.messageDelayAt = delay, b.now
	switch {
	case delay <= b.messageObjective/3: // the word that it is over
		s.pausedUntil = 0
	case last > 0 && delay < last: // it drains at this load
		b.lowerLoadLimit(s, 1, messageDelayTTL)
	case last > 0 && since > 0:
		b.lowerLoadLimit(s, limitCutRatio/(1+float64(delay-last)/float64(since)), messageDelayTTL)
	default:
		b.lowerLoadLimit(s, limitCutRatio, messageDelayTTL)
	}
}

// onLoadReport takes a server's word of its load. Its limit follows, to the load from here at which it would
// be well used, were all gateways to send it more or less alike.
//
// It guards against placing on until messages are slow, and against a limit that was cut at a bad moment
// and kept long after, as limits grow slowly by themselves: a server at a sixth of its power was seen kept
// out for ten seconds while clients were refused. It holds for whatever takes a server's power. It could
// hurt where reports are wrong by more than lies between reportRoom and reportOver.
func (b *Balancer) onLoadReport(s *server, ev LoadReport) {
	load := ev.Utilization
	s.utilization, s.reportedAt, s.sentSinceReport, s.connectionUtilization = load, b.now, 0, 0
	if ev.Connections > 0 && load > minUtilization {
		s.connectionUtilization = load / ev.Connections
		if b.warmupProgress(s) == 1 {
			b.connectionCapacity.add(1 / s.connectionUtilization / s.Capacity)
		}
	}
	least := b.meanLoad() / float64(b.settings.Gateways)
	switch {
	case load > highUtilization:
		limit := max(b.serverLoad(s)*targetUtilization/load, least)
		if s.loadLimit == 0 || limit < s.loadLimit {
			s.loadLimit, s.limitLoweredAt = limit, b.now
		}
	case load < lowUtilization && s.loadLimit > 0:
		s.loadLimit = max(s.loadLimit, (b.serverLoad(s)+least)*targetUtilization/max(load, minUtilization))
	}
}

// lowerLoadLimit lowers the load that a server is held able to bear, once a second at most, and gives it nothing
// new for a while.
//
// It guards against overload that feeds itself: a server with work piled up serves none in time, drops
// connections, and their return is more work. It holds for whatever takes a server's power: a hang, a
// slow spell, a neighbour on the machine, a hot group, too few servers. It could hurt where slowness
// passes by itself within a second, since the limit grows back more slowly than it falls.
func (b *Balancer) lowerLoadLimit(s *server, factor float64, hold time.Duration) {
	s.pausedUntil = max(s.pausedUntil, b.now+hold)
	if s.loadLimit == 0 || b.now-s.limitLoweredAt >= limitCutInterval {
		load := b.serverLoad(s)
		if s.loadLimit > 0 {
			load = min(load, s.loadLimit)
		}
		// Where a gateway holds few of a server's connections, it hears of few chances to cut.
		factor = max(factor-(1-factor)/float64(max(len(s.inFlight), 1)), minLimitCutRatio)
		s.loadLimit, s.limitLoweredAt = max(load*factor, b.meanLoad()/float64(b.settings.Gateways)), b.now
	}
}

// hasCapacity reports whether a server can take another connection of the given load within a part of its
// limit. One that holds nothing from here takes one in any case, as nothing more is heard of it otherwise and
// a limit that no new group fits in would keep it out for minutes where connections are few.
func (b *Balancer) hasCapacity(s *server, load, part float64) bool {
	if b.settings.CanPollLoad && b.hasFreshReport(s) {
		return b.projectedUtilization(s) <= maxUtilization
	}
	return s.loadLimit == 0 || b.now >= s.pausedUntil &&
		(b.serverLoad(s)+load <= part*s.loadLimit || len(s.inFlight) == 0 && b.now-s.limitLoweredAt > limitGrowthDelay)
}

// growLoadLimit lets a limit grow while nothing speaks against it, and forgets one that no longer binds.
func (b *Balancer) growLoadLimit(s *server) {
	if b.now-s.limitLoweredAt <= limitGrowthDelay {
		return
	}
	fair := b.totalLoad() * s.Capacity / b.totalWeight
	s.loadLimit += limitGrowthRatio * max(s.loadLimit, fair, b.meanLoad()/float64(b.settings.Gateways)) * sweepInterval.Seconds()
	if s.loadLimit > limitDropFactor*fair+2*loadBoundSlack*b.meanLoad() {
		s.loadLimit = 0
	}
}

// scoreResult weighs an outcome against a server and, with enough evidence, ejects it: it is the last
// resort for a set time. It guards against servers that are down or answer nothing before the list knows,
// and holds for any fault of one server. A fault of something shared blames no one: where more than
// maxEjected look bad, the list is trusted. It could hurt where that share is truly down, as keys then go on
// to them.
func (b *Balancer) scoreResult(s *server, result Result, opened bool, held int) {
	strike := 0.0
	switch result {
	case OK, Cancelled, NotSent:
		return
	case Rejected:
		b.lowerLoadLimit(s, 1, rejectedPause)
		strike = 0.25
	case ConnectFailed:
		strike = 1
	case TimedOut, Errored: // work piles up there, or nothing answers
		b.recentFailures.add(b.now, 1)
		if b.shedRatio() <= 0 {
			b.lowerLoadLimit(s, limitCutRatio, 0)
		}
		strike = 0.5
	case Reset:
		strike = 0.5
		if opened { // one of many may be shed; all of them mean that the process is gone
			strike = 2 / float64(1+held)
		}
	}
	if s.onProbation || s.removalSuspectedAt > 0 && !s.confirmedAlive && result != Rejected {
		strike = ejectionScore
	}
	if s.failureScore.add(b.now, strike) < ejectionScore || s.ejectedUntil > 0 || s.State != Ready {
		return
	}
	ready, bad := 0.0, 0.0
	for _, o := range b.sortedServers {
		if o.State == Ready {
			ready++
			if o.ejectedUntil > 0 || o.failureScore.value(b.now) > ejectionScore/2 {
				bad++
			}
		}
	}
	if bad > maxEjectionRatio*ready {
		return
	}
	if s.removalSuspectedAt > 0 { // the list was right
		b.confirmRemoval(s)
		return
	}
	s.ejectedUntil = b.now + baseEjectionDuration<<min(s.ejections, maxEjectionDoublings)
	s.ejections++
	s.failureScore, s.onProbation = decayingCounter{}, false
	b.log("outlier ejected", serverAttr(s), slog.String("reason", result.String()),
		slog.Duration("duration", s.ejectedUntil-b.now))
}

// Time.

func (b *Balancer) onTimerFired(ev TimerFired) {
	if ev.Ref == sweepTimer {
		b.act(SetTimer{After: sweepInterval, Ref: sweepTimer})
		slow := 0
		for _, s := range b.sortedServers {
			if b.now < s.pausedUntil {
				slow += len(s.inFlight)
			}
			if s.ejectedUntil > 0 && b.now >= s.ejectedUntil {
				s.ejectedUntil, s.onProbation = 0, true
				b.log("outlier ejection ended", serverAttr(s))
			}
			if s.loadLimit > 0 {
				b.growLoadLimit(s)
			}
			b.migrateFrom(s)
		}
		b.evictEndpoints()
		b.slowRatio = float64(slow) / float64(max(b.connections, 1))
		b.logShedding()
	}
	b.dispatchWaiting()
}

// logShedding logs when this gateway starts and stops to shed.
func (b *Balancer) logShedding() {
	shedding := b.slowRatio > slowRatioThreshold || b.shedRatio() > 0
	if shedding == b.isShedding {
		return
	}
	b.isShedding = shedding
	message := "load shedding stopped"
	if shedding {
		message = "load shedding started"
	}
	b.log(message, slog.Float64("slow_ratio", roundTo(b.slowRatio, 100)),
		slog.Float64("recent_failures", roundTo(b.recentFailures.value(b.now), 10)))
}

// roundTo rounds a value for the log to a part of 1.
func roundTo(value, part float64) float64 { return math.Round(value*part) / part }

// migrateFrom moves connections off a server whose messages miss every aim, a share a second, by the part of
// the fleet that has room, the ones that earn least for their load first. It guards against servers that
// hang or slow with their connections on them, and lets an overloaded one drain. It could hurt where all
// are overloaded: with no room elsewhere a move is a reconnect for nothing, hence the pace.
func (b *Balancer) migrateFrom(s *server) {
	if s.Evacuate && s.State == Draining && b.shedRatio() <= 0 {
		b.evacuate(s)
		return
	}
	if s.messageDelay < b.messageObjective || b.now >= s.pausedUntil || s.State != Ready || b.shedRatio() > 0 {
		s.migrationCredit = 0
		return
	}
	b.sampleCapacity()
	s.migrationCredit += migrationRatio * b.freeCapacityRatio() * max(float64(len(s.inFlight)+1), minMigratable) * sweepInterval.Seconds()
	for ; s.migrationCredit >= 1; s.migrationCredit-- {
		var pick *request
		for _, r := range s.inFlight {
			if r.established && !r.finished && !b.isShedByFleet(r) && (pick == nil || b.priorityPerLoad(r) < b.priorityPerLoad(pick)) {
				pick = r
			}
		}
		if pick == nil || b.serverLoad(s)-(1-pick.migrationOrder(s))*b.meanLoad() <= s.loadLimit {
			break
		}
		b.act(Migrate{ID: pick.ID})
		pick.finished = true
	}
}

// migrationOrder is the chance that decides which connections are the last to be moved off a server, alike at every
// gateway. A group's members go together, as what it costs the server is paid until the last has gone.
func (r *request) migrationOrder(s *server) float64 {
	return groupMigrationRatio*fraction(mix(r.placementHash, uint64(s.ID))) + (1-groupMigrationRatio)*r.clientFraction(s.ID)
}

// freeCapacityRatio is the part of the table's weight that can take more, of servers that told their loads if they can.
func (b *Balancer) freeCapacityRatio() float64 {
	free, all := 0.0, 0.0
	for _, s := range b.tableServers {
		if b.settings.CanPollLoad && !b.hasFreshReport(s) {
			continue
		}
		all += s.Capacity
		if b.hasCapacity(s, 0, 1) {
			free += s.Capacity
		}
	}
	return free / max(all, 1e-9)
}

// sampleCapacity asks one server a look whose load is not known, while clients are to be moved: a gateway that holds
// few connections hears of the servers that hold them alone, and would find no room while others stand idle.
func (b *Balancer) sampleCapacity() {
	b.refreshTable()
	s := b.tableServers[int(b.random()*float64(len(b.tableServers)))]
	if b.settings.CanPollLoad && b.sampledAt < b.now && !b.hasFreshReport(s) && b.now-s.polledAt > loadReportTTL {
		b.sampledAt, s.polledAt = b.now, b.now
		b.act(PollLoad{Server: s.ID})
	}
}

// evacuate moves the connections off a server that staff took out, a part of them at each look while others have
// room. It guards against the cut that each would suffer when the server is restarted.
func (b *Balancer) evacuate(s *server) {
	n := int(math.Ceil(evacuationRatio * b.freeCapacityRatio() * float64(len(s.inFlight))))
	for _, r := range s.inFlight {
		if n > 0 && r.established && !r.finished {
			b.act(Migrate{ID: r.ID})
			r.finished = true
			n--
		}
	}
}

// priorityPerLoad is what a connection earns for its load.
func (b *Balancer) priorityPerLoad(r *request) float64 {
	load := r.load
	if load == 0 {
		load = b.classLoad(r.classIndex)
	}
	worth := b.settings.Classes[r.classIndex].PriorityWeight
	if t, ok := b.tenantIndex[r.Tenant]; ok && b.settings.OverQuotaWeightFactor > 0 {
		if q := b.settings.Tenants[t].ConnectionQuota; q > 0 && b.tenantConnections[t]*float64(b.settings.Gateways) >= q {
			worth *= b.settings.OverQuotaWeightFactor
		}
	}
	if r.Group != "" && r.server != nil {
		load += movedGroupCost * b.meanLoad() / float64(r.server.groupConnections[r.Group])
	}
	return worth / load
}
