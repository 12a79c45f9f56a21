package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// overloadWindow is the time over which the warm-up budget of a server is checked.
	overloadWindow = 2 * sec

	// answerTolerance is how long after its deadline a request may still be answered.
	answerTolerance = 16 * ms
)

// requestModel is a driver's record of a request, which is kept independently of the Balancer.
type requestModel struct {
	Request
	deadline      time.Duration
	pending       *Send // the attempt that has not ended, or nil
	attempts      int
	isEstablished bool
	isDone        bool          // it is answered or migrated, or its client has disconnected
	ranOn         []Server      // servers that may have processed an attempt
	ranAt         time.Duration // when the first such attempt ended
}

// driver feeds a Balancer random events and checks the invariants of its actions at one gateway: it sends
// only to available servers, respects idempotency and the retry and warm-up budgets, and answers each request
// once and in time.
type driver struct {
	t        *testing.T
	random   *rand.Rand
	settings Settings
	balancer *Balancer
	now      time.Duration
	log      []string // all actions with their times

	servers          map[ServerID]Server // as last listed
	unavailableSince map[ServerID]time.Duration
	hasDrained       map[ServerID]bool // listed as draining since its start; used only if removal is advisory

	unfinished []*requestModel
	requests   map[RequestID]*requestModel

	timersAt  []time.Duration
	timerRefs []int64

	warmupSends map[ServerID][]time.Duration
	retryBudget retryBudgetAudit
}

// newDriver returns a driver of a Balancer with seven servers. The seed decides whether removal is advisory,
// and which retry budget applies.
func newDriver(t *testing.T, seed uint64) *driver {
	t.Helper()
	settings := testSettings()
	settings.MaxRetryAfter = sec
	settings.Seed = seed
	settings.RemovalIsAdvisory = seed%3 == 0
	switch seed % 4 {
	case 1:
		settings.RetryBudgetWindow, settings.RetryBudgetMin = 2*sec, 3
	case 2:
		settings.RetryBudgetWindow, settings.RetryBudgetRatio = 700*ms, 0.15
	case 3:
		settings.RetryBudgetWindow, settings.RetryBudgetMin, settings.RetryBudgetRatio = 3*sec, 2, 0.05
	}
	d := &driver{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), settings: settings,
		balancer: newBalancer(t, settings), now: 50 * sec,
		servers: map[ServerID]Server{}, unavailableSince: map[ServerID]time.Duration{},
		hasDrained: map[ServerID]bool{}, requests: map[RequestID]*requestModel{},
		warmupSends: map[ServerID][]time.Duration{},
	}
	var list []Server
	for i := range 7 {
		s := Server{ID: ServerID(100 + i), Cell: i % 2, Capacity: 1}
		list = append(list, s)
		d.servers[s.ID] = s
	}
	d.feed(EndpointList{Mode: ListCached, Servers: list})
	return d
}

// feed passes an event to the Balancer and checks the actions that it returns.
func (d *driver) feed(ev Event) {
	d.t.Helper()
	for _, a := range d.balancer.Handle(d.now, ev) {
		d.log = append(d.log, fmt.Sprintf("%v %+v", d.now, a))
		d.check(a)
	}
	// The event that ends the last attempt of a request must also answer the request.
	for _, r := range d.unfinished {
		if r.pending == nil && !r.isDone {
			d.t.Fatalf("%v: after %+v, request %d has no pending attempt and no answer", d.now, ev, r.ID)
		}
	}
}

func (d *driver) check(a Action) {
	d.t.Helper()
	switch a := a.(type) {
	case Send:
		d.checkSend(a)
	case Reject:
		d.checkReject(a)
	case Fail:
		d.recordAnswer(a.ID)
	case Migrate:
		r := d.requests[a.ID]
		if r == nil || r.isDone || !r.isEstablished {
			d.t.Fatalf("migrated request %d, which has no established connection", a.ID)
		}
		r.isDone = true
	case SetTimer:
		d.timersAt = append(d.timersAt, d.now+a.After)
		d.timerRefs = append(d.timerRefs, a.Ref)
	}
}

func (d *driver) checkSend(a Send) {
	d.t.Helper()
	r := d.requests[a.ID]
	if r == nil || r.isDone {
		d.t.Fatalf("sent request %d, which is done or unknown", a.ID)
	}
	if r.pending != nil {
		d.t.Fatalf("sent request %d while its previous attempt is pending", a.ID)
	}
	s, isListed := d.servers[a.Server]
	if !isListed {
		d.t.Fatalf("sent to server %d, which has never been listed", a.Server)
	}
	d.checkAvailable(s)
	d.checkIdempotency(r, s)
	if r.attempts++; r.attempts > d.settings.MaxAttempts {
		d.t.Fatalf("sent attempt %d of request %d, which exceeds MaxAttempts", r.attempts, a.ID)
	}
	if r.attempts > 1 {
		d.retryBudget.addRetry(d.t, d.now, &d.settings)
	}
	age := d.now - s.Started
	if s.Started > 0 && age < d.settings.WarmupDuration && s.State == Ready && !r.MidFlow {
		d.warmupSends[a.Server] = append(d.warmupSends[a.Server], d.now)
		d.checkWarmupBudget(a.Server, age)
	}
	r.pending = &a
}

// checkAvailable fails the test if a server has been unavailable for longer than the drain grace.
func (d *driver) checkAvailable(s Server) {
	d.t.Helper()
	isUnavailable := s.State != Ready
	if d.settings.RemovalIsAdvisory {
		isUnavailable = d.hasDrained[s.ID]
	}
	if since := d.now - d.unavailableSince[s.ID]; isUnavailable && since > d.settings.DrainGrace {
		d.t.Fatalf("sent to server %d, %v after it became unavailable (state %v)", s.ID, since, s.State)
	}
}

// checkIdempotency fails the test if a request may already have run and must not be retried at a server.
func (d *driver) checkIdempotency(r *requestModel, s Server) {
	d.t.Helper()
	if len(r.ranOn) == 0 {
		return
	}
	switch class := d.class(r); class.Idempotency {
	case NonIdempotent:
		d.t.Fatalf("retried non-idempotent request %d, which may have run", r.ID)
	case WithIdempotencyKey:
		if r.ranOn[0].Cell != s.Cell || d.now-r.ranAt > class.DedupWindow {
			d.t.Fatalf("retried request %d with an idempotency key outside its dedup scope or window", r.ID)
		}
	}
}

// checkWarmupBudget fails the test if this gateway's sends to a server that is warming up exceed its share of
// the warm-up budget. The budget is calculated from the largest number of connections at any server.
func (d *driver) checkWarmupBudget(id ServerID, age time.Duration) {
	d.t.Helper()
	sent := 0
	for _, at := range d.warmupSends[id] {
		if d.now-at <= overloadWindow {
			sent++
		}
	}
	connections := 0
	for _, s := range d.balancer.sortedServers {
		connections = max(connections, len(s.inFlight))
	}
	gateways := float64(d.settings.Gateways)
	capacity := max(float64(connections*d.settings.Gateways)*4, minWarmConnections*gateways)
	allowed := d.settings.ColdOverloadFactor * capacity * overloadWindow.Seconds() /
		d.settings.WarmupDuration.Seconds() / gateways
	// A share below one connection is met only on average; TestWholeFleetStaysWithinWarmupBudget checks the
	// sum over all gateways.
	if float64(sent) > allowed+3 {
		d.t.Fatalf("sent %d connections in %v to server %d, %v after its start; want at most %.1f + 3",
			sent, overloadWindow, id, age, allowed)
	}
}

func (d *driver) checkReject(a Reject) {
	d.t.Helper()
	if a.RetryAfter < 0 || a.RetryAfter > d.settings.MaxRetryAfter {
		d.t.Fatalf("rejected request %d with RetryAfter %v, want 0 to MaxRetryAfter", a.ID, a.RetryAfter)
	}
	r := d.recordAnswer(a.ID)
	class := d.class(r)
	isSafe := class.Idempotency == Idempotent ||
		class.Idempotency == WithIdempotencyKey && class.DedupScope == DedupScopeAll
	if len(r.ranOn) > 0 && !isSafe {
		d.t.Fatalf("rejected request %d, which may have run and is not safe to retry", a.ID)
	}
}

// recordAnswer records the final answer to a request and checks that the answer is due and in time.
func (d *driver) recordAnswer(id RequestID) *requestModel {
	d.t.Helper()
	r := d.requests[id]
	if r == nil || r.isDone {
		d.t.Fatalf("answered request %d, which is done or unknown", id)
	}
	if r.pending != nil {
		d.t.Fatalf("answered request %d while an attempt is pending", id)
	}
	if r.deadline+answerTolerance < d.now {
		d.t.Fatalf("answered request %d %v after its deadline", id, d.now-r.deadline)
	}
	r.isDone = true
	return r
}

func (d *driver) class(r *requestModel) Class {
	return d.settings.Classes[d.balancer.classIndex[r.Class]]
}

// endAttempt ends a request's pending attempt.
func (d *driver) endAttempt(r *requestModel, result Result) {
	d.t.Helper()
	server := r.pending.Server
	isAnswered := r.isDone || r.isEstablished || result == OK
	if !result.NeverRan() {
		if len(r.ranOn) == 0 {
			r.ranAt = d.now
		}
		r.ranOn = append(r.ranOn, d.servers[server])
	}
	r.pending, r.isEstablished, r.isDone = nil, false, isAnswered
	d.feed(AttemptEnded{
		ID: r.ID, Attempt: r.attempts - 1, Server: server, Result: result, Answered: isAnswered,
	})
}

// step advances the time, and then feeds a new request, an event of an existing request and a list, each with
// some probability.
func (d *driver) step(id RequestID) {
	d.t.Helper()
	d.now += time.Duration(d.random.IntN(13)) * ms
	d.fireTimers()
	d.endLateAttempts()
	d.unfinished = slices.DeleteFunc(d.unfinished, func(r *requestModel) bool {
		return r.isDone && r.pending == nil
	})
	if d.random.IntN(4) > 0 {
		d.request(id)
	}
	if n := len(d.unfinished); n > 0 {
		d.feedRequestEvent(d.unfinished[max(0, n-1-d.random.IntN(40))])
	}
	if d.random.IntN(60) == 0 {
		d.changeList()
	}
}

func (d *driver) fireTimers() {
	d.t.Helper()
	for i := 0; i < len(d.timersAt); i++ {
		if d.timersAt[i] > d.now {
			continue
		}
		ref, last := d.timerRefs[i], len(d.timersAt)-1
		d.timersAt[i], d.timerRefs[i] = d.timersAt[last], d.timerRefs[last]
		d.timersAt, d.timerRefs = d.timersAt[:last], d.timerRefs[:last]
		d.feed(TimerFired{Ref: ref})
		i = -1
	}
}

// endLateAttempts ends attempts as timed out at the deadlines of their requests. It fails the test if a
// request without an attempt has no answer in time.
func (d *driver) endLateAttempts() {
	d.t.Helper()
	for _, r := range d.unfinished {
		if r.pending != nil && !r.isEstablished && d.now >= r.deadline {
			d.endAttempt(r, TimedOut)
		}
		if r.pending == nil && !r.isDone && d.now > r.deadline+answerTolerance {
			d.t.Fatalf("request %d has no answer %v after its deadline", r.ID, d.now-r.deadline)
		}
	}
}

func (d *driver) request(id RequestID) {
	d.t.Helper()
	class := d.settings.Classes[d.random.IntN(len(d.settings.Classes))]
	r := &requestModel{Request: Request{
		ID: id, Class: class.Name, Key: strconv.Itoa(d.random.IntN(50)),
		Group: fmt.Sprint("g", d.random.IntN(8)), Timeout: time.Duration(200+d.random.IntN(1800)) * ms,
		MidFlow: d.random.IntN(9) == 0,
	}}
	r.deadline = d.now + r.Timeout
	d.unfinished, d.requests[id] = append(d.unfinished, r), r
	d.retryBudget.admitted = append(d.retryBudget.admitted, d.now)
	d.feed(r.Request)
}

// feedRequestEvent feeds a random event of a request, or none.
func (d *driver) feedRequestEvent(r *requestModel) {
	d.t.Helper()
	switch dice := d.random.IntN(12); {
	case r.pending != nil && !r.isEstablished && dice < 6:
		r.isEstablished = true
		d.feed(AttemptEstablished{
			ID: r.ID, Attempt: r.attempts - 1, Server: r.pending.Server, Elapsed: 9 * ms,
		})
	case r.pending != nil && dice < 9:
		results := []Result{OK, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled}
		d.endAttempt(r, results[d.random.IntN(len(results))])
	case r.pending != nil && r.isEstablished && dice == 9:
		delay := time.Duration(d.random.IntN(3000)) * ms
		d.feed(MessageDelay{ID: r.ID, Server: r.pending.Server, Delay: delay})
	case r.pending != nil && dice == 10:
		d.feed(LoadChanged{ID: r.ID, Load: float64(1 + d.random.IntN(5000))})
	case dice == 11 && !r.isDone:
		r.isDone = true
		d.feed(ClientDisconnected{ID: r.ID})
	}
}

// changeList feeds a list that changes the state of a server, or a list without changes.
func (d *driver) changeList() {
	d.t.Helper()
	if d.random.IntN(4) == 0 {
		d.feed(EndpointList{Mode: ListDelta})
		return
	}
	id := ServerID(100 + d.random.IntN(7))
	before := d.servers[id]
	s := Server{ID: id, Cell: int(id) % 2, Capacity: 1, State: ServerState(d.random.IntN(3))}
	if s.State == Ready && d.random.IntN(2) == 0 {
		s.Started = d.now
		delete(d.warmupSends, id)
	} else {
		s.Started = before.Started
	}
	if d.settings.RemovalIsAdvisory {
		if s.Started > before.Started {
			d.hasDrained[id] = false
		}
		if s.State == Draining && !d.hasDrained[id] {
			d.hasDrained[id], d.unavailableSince[id] = true, d.now
		}
	} else if s.State != Ready && before.State == Ready {
		d.unavailableSince[id] = d.now
	}
	d.servers[id] = s
	d.feed(EndpointList{Mode: ListDelta, Servers: []Server{s}})
}

// runRandomEvents feeds a Balancer random events and returns its actions as text.
func runRandomEvents(t *testing.T, seed uint64, steps int) []string {
	t.Helper()
	d := newDriver(t, seed)
	for i := range steps {
		d.step(RequestID(i + 1))
	}
	return d.log
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomEvents(t, seed, 3000) })
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	first := runRandomEvents(t, 99, 1500)
	if len(first) < 1000 {
		t.Fatalf("got %d actions, want at least 1000", len(first))
	}
	if diff := cmp.Diff(first, runRandomEvents(t, 99, 1500)); diff != "" {
		t.Errorf("the same events gave different actions (-first +second):\n%s", diff)
	}
}
