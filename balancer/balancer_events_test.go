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
	// overloadWindow is the time over which the budget of a server that is warming up is held.
	overloadWindow = 2 * sec

	// answerTolerance is how long past its deadline a request may still be answered.
	answerTolerance = 16 * ms
)

// drivenRequest is what a driver knows of a request, apart from the Balancer.
type drivenRequest struct {
	Request
	deadline      time.Duration
	pending       *Send // the attempt that has not ended; nil: none
	attempts      int
	isEstablished bool
	isDone        bool     // answered, migrated, or its client disconnected
	ranOn         []Server // servers at which attempts may have run
	ranAt         time.Duration
}

// driver feeds a Balancer random events and checks its actions against what must hold at one gateway: sends
// to available servers alone, idempotency, the budgets, and one answer in time for each request.
type driver struct {
	t        *testing.T
	random   *rand.Rand
	settings Settings
	balancer *Balancer
	now      time.Duration
	log      []string // of all actions

	servers          map[ServerID]Server // as last listed
	unavailableSince map[ServerID]time.Duration
	hasDrained       map[ServerID]bool // listed as draining since its start; where removal is advisory

	unfinished []*drivenRequest
	requests   map[RequestID]*drivenRequest

	timersAt  []time.Duration
	timerRefs []int64

	warmupSends map[ServerID][]time.Duration
	retryBudget retryBudgetAudit
}

// newDriver returns a driver of a Balancer with seven servers. Seeds differ in what binds: removal, and the
// retry budget's minimum and ratio.
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
		hasDrained: map[ServerID]bool{}, requests: map[RequestID]*drivenRequest{},
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

// feed has the Balancer handle an event, and checks its actions.
func (d *driver) feed(ev Event) {
	d.t.Helper()
	for _, a := range d.balancer.Handle(d.now, ev) {
		d.log = append(d.log, fmt.Sprintf("%v %+v", d.now, a))
		d.check(a)
	}
	// A request without further attempts is answered by the event that ended the last one.
	for _, r := range d.unfinished {
		if r.pending == nil && !r.isDone {
			d.t.Fatalf("%v: after %+v request %d has neither an attempt nor an answer", d.now, ev, r.ID)
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
		d.answer(a.ID)
	case Migrate:
		r := d.requests[a.ID]
		if r == nil || r.isDone || !r.isEstablished {
			d.t.Fatalf("request %d is migrated, which has no established connection", a.ID)
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
		d.t.Fatalf("request %d is sent, which is done or unknown", a.ID)
	}
	if r.pending != nil {
		d.t.Fatalf("two attempts of request %d at once", a.ID)
	}
	s, isListed := d.servers[a.Server]
	if !isListed {
		d.t.Fatalf("sent to server %d, which no list named", a.Server)
	}
	d.checkAvailable(s)
	d.checkIdempotency(r, s)
	if r.attempts++; r.attempts > d.settings.MaxAttempts {
		d.t.Fatalf("attempt %d of request %d", r.attempts, a.ID)
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
		d.t.Fatalf("sent to server %d, %v after it was listed in state %v", s.ID, since, s.State)
	}
}

// checkIdempotency fails the test if a request that may have run must not be sent to a server.
func (d *driver) checkIdempotency(r *drivenRequest, s Server) {
	d.t.Helper()
	if len(r.ranOn) == 0 {
		return
	}
	switch class := d.class(r); class.Idempotency {
	case NonIdempotent:
		d.t.Fatalf("non-idempotent request %d is retried", r.ID)
	case WithIdempotencyKey:
		if r.ranOn[0].Cell != s.Cell || d.now-r.ranAt > class.DedupWindow {
			d.t.Fatalf("request %d with a key is retried outside its dedup scope or window", r.ID)
		}
	}
}

// checkWarmupBudget holds the sends of this gateway to a server that is warming up to its part of the budget,
// which is reckoned from the most connections that any server has.
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
	// Below one connection chance decides; TestWholeFleetStaysWithinWarmupBudget holds the sum of gateways.
	if float64(sent) > allowed+3 {
		d.t.Fatalf("%d connections in %v to server %d, %v after its start; %.1f allowed",
			sent, overloadWindow, id, age, allowed)
	}
}

func (d *driver) checkReject(a Reject) {
	d.t.Helper()
	if a.RetryAfter < 0 || a.RetryAfter > d.settings.MaxRetryAfter {
		d.t.Fatalf("request %d is rejected with RetryAfter %v", a.ID, a.RetryAfter)
	}
	r := d.answer(a.ID)
	class := d.class(r)
	isSafe := class.Idempotency == Idempotent ||
		class.Idempotency == WithIdempotencyKey && class.DedupScope == DedupScopeAll
	if len(r.ranOn) > 0 && !isSafe {
		d.t.Fatalf("request %d is rejected though it may have run", a.ID)
	}
}

// answer notes a final answer to a request.
func (d *driver) answer(id RequestID) *drivenRequest {
	d.t.Helper()
	r := d.requests[id]
	if r == nil || r.isDone {
		d.t.Fatalf("request %d is answered, which is done or unknown", id)
	}
	if r.pending != nil {
		d.t.Fatalf("request %d is answered while an attempt is pending", id)
	}
	if r.deadline+answerTolerance < d.now {
		d.t.Fatalf("request %d is answered %v late", id, d.now-r.deadline)
	}
	r.isDone = true
	return r
}

func (d *driver) class(r *drivenRequest) Class {
	return d.settings.Classes[d.balancer.classIndex[r.Class]]
}

// endAttempt ends a request's pending attempt.
func (d *driver) endAttempt(r *drivenRequest, result Result) {
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

// step lets some time pass, and has a request come in, or something happen to one or to the list.
func (d *driver) step(id RequestID) {
	d.t.Helper()
	d.now += time.Duration(d.random.IntN(13)) * ms
	d.fireTimers()
	d.endLateAttempts()
	d.unfinished = slices.DeleteFunc(d.unfinished, func(r *drivenRequest) bool {
		return r.isDone && r.pending == nil
	})
	if d.random.IntN(4) > 0 {
		d.request(id)
	}
	if n := len(d.unfinished); n > 0 {
		d.disturb(d.unfinished[max(0, n-1-d.random.IntN(40))])
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

// endLateAttempts times attempts out at the deadlines of their requests.
func (d *driver) endLateAttempts() {
	d.t.Helper()
	for _, r := range d.unfinished {
		if r.pending != nil && !r.isEstablished && d.now >= r.deadline {
			d.endAttempt(r, TimedOut)
		}
		if r.pending == nil && !r.isDone && d.now > r.deadline+answerTolerance {
			d.t.Fatalf("request %d has no answer, its deadline was %v ago", r.ID, d.now-r.deadline)
		}
	}
}

func (d *driver) request(id RequestID) {
	d.t.Helper()
	class := d.settings.Classes[d.random.IntN(len(d.settings.Classes))]
	r := &drivenRequest{Request: Request{
		ID: id, Class: class.Name, Key: strconv.Itoa(d.random.IntN(50)),
		Group: fmt.Sprint("g", d.random.IntN(8)), Timeout: time.Duration(200+d.random.IntN(1800)) * ms,
		MidFlow: d.random.IntN(9) == 0,
	}}
	r.deadline = d.now + r.Timeout
	d.unfinished, d.requests[id] = append(d.unfinished, r), r
	d.retryBudget.admitted = append(d.retryBudget.admitted, d.now)
	d.feed(r.Request)
}

// disturb has something happen to a request, or nothing.
func (d *driver) disturb(r *drivenRequest) {
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

// changeList changes the state of a server, or sends a list without changes.
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

// drive plays random events and returns all actions.
func drive(t *testing.T, seed uint64, steps int) []string {
	t.Helper()
	d := newDriver(t, seed)
	for i := range steps {
		d.step(RequestID(i + 1))
	}
	return d.log
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { drive(t, seed, 3000) })
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	first := drive(t, 99, 1500)
	if len(first) < 1000 {
		t.Fatalf("only %d actions", len(first))
	}
	if diff := cmp.Diff(first, drive(t, 99, 1500)); diff != "" {
		t.Errorf("the same events gave other actions:\n%s", diff)
	}
}
