package balancer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// fate is what the test holds of one request, on its own account.
type fate struct {
	Request
	deadline time.Duration
	out      *Send
	attempts int
	open     bool
	ranOn    []Server
	ranAt    time.Duration
	over     bool
}

// drill drives a Balancer with random events and checks the four rules as they show at one gateway.
type drill struct {
	t      *testing.T
	rnd    *rand.Rand
	set    Settings
	b      *Balancer
	now    time.Duration
	list   map[ServerID]Server
	told   map[ServerID]time.Duration
	fates  []*fate
	byID   map[RequestID]*fate
	timers []time.Duration
	refs   []int64
	log    []string
	cold   map[ServerID][]time.Duration
	ledger ledger

	drained map[ServerID]bool // where gone is advice: listed as draining since its start
}

// ledger recounts the budget of further attempts from all that was ever taken and sent.
type ledger struct{ taken, further []time.Duration }

// check counts a further attempt and holds the span that ends with it to the budget.
func (l *ledger) check(t *testing.T, now time.Duration, set *Settings) {
	t.Helper()
	l.further = append(l.further, now)
	if set.RetryBudgetWindow == 0 {
		return
	}
	taken, further := 0, 0
	for _, at := range l.taken {
		if at > now-set.RetryBudgetWindow {
			taken++
		}
	}
	for _, at := range l.further {
		if at >= now-set.RetryBudgetWindow {
			further++
		}
	}
	if allowed := set.RetryBudgetMin + set.RetryBudgetRatio*float64(taken); float64(further) > allowed {
		t.Fatalf("%v: %d further attempts, %v are allowed for %d requests", now, further, allowed, taken)
	}
}

func (d *drill) feed(ev Event) {
	for _, a := range d.b.Handle(d.now, ev) {
		d.log = append(d.log, fmt.Sprintf("%v %+v", d.now, a))
		d.check(a)
	}
	// What is given up on is answered by the event that gave it up.
	for _, f := range d.fates {
		if f.out == nil && !f.over {
			d.t.Fatalf("%v: after %+v request %d has neither an attempt nor an answer", d.now, ev, f.ID)
		}
	}
}

func (d *drill) answered(id RequestID) *fate {
	f := d.byID[id]
	if f == nil || f.over {
		d.t.Fatalf("a final answer for request %d, which is not owed one", id)
	}
	if f.out != nil {
		d.t.Fatalf("request %d is answered while an attempt is out", id)
	}
	if f.deadline+answerGrace < d.now {
		d.t.Fatalf("request %d is answered %v late", id, d.now-f.deadline)
	}
	f.over = true
	return f
}

func (d *drill) check(a Action) {
	switch a := a.(type) {
	case Send:
		f := d.byID[a.ID]
		if f == nil || f.over {
			d.t.Fatalf("a send for request %d, which is over", a.ID)
		}
		if f.out != nil {
			d.t.Fatalf("two attempts of request %d at once", a.ID)
		}
		s, known := d.list[a.Server]
		if !known {
			d.t.Fatalf("a send to server %d, which no list named", a.Server)
		}
		bound := s.State != Ready
		if d.set.RemovalIsAdvisory {
			bound = d.drained[a.Server]
		}
		if bound && d.now-d.told[a.Server] > d.set.DrainGrace {
			d.t.Fatalf("a send to server %d, %v after it was told to be in state %v", a.Server,
				d.now-d.told[a.Server], s.State)
		}
		class := d.set.Classes[d.b.classIndex[f.Class]]
		if len(f.ranOn) > 0 {
			switch {
			case class.Idempotency == NonIdempotent:
				d.t.Fatalf("unsafe request %d is sent again", a.ID)
			case class.Idempotency == WithIdempotencyKey &&
				(f.ranOn[0].Cell != s.Cell || d.now-f.ranAt > class.DedupWindow):
				d.t.Fatalf("keyed request %d is sent outside its cell or window", a.ID)
			}
		}
		if f.attempts++; f.attempts > d.set.MaxAttempts {
			d.t.Fatalf("attempt %d of request %d", f.attempts, a.ID)
		}
		if f.attempts > 1 {
			d.ledger.check(d.t, d.now, &d.set)
		}
		if age := d.now - s.Started; s.Started > 0 &&
			age < d.set.WarmupDuration && s.State == Ready && !f.MidFlow {
			d.cold[a.Server] = append(d.cold[a.Server], d.now)
			d.checkCold(a.Server, age)
		}
		f.out = &a
	case Reject:
		if a.RetryAfter < 0 || a.RetryAfter > d.set.MaxRetryAfter {
			d.t.Fatalf("request %d is told to come back after %v", a.ID, a.RetryAfter)
		}
		f := d.answered(a.ID)
		class := d.set.Classes[d.b.classIndex[f.Class]]
		if len(f.ranOn) > 0 && class.Idempotency != Idempotent &&
			(class.Idempotency == NonIdempotent || class.DedupScope != DedupScopeAll) {
			d.t.Fatalf("request %d is refused though it may have run", a.ID)
		}
	case Fail:
		d.answered(a.ID)
	case Migrate:
		f := d.byID[a.ID]
		if f == nil || f.over || !f.open {
			d.t.Fatalf("a move of request %d, which has no open connection", a.ID)
		}
		f.over = true
	case SetTimer:
		d.timers = append(d.timers, d.now+a.After)
		d.refs = append(d.refs, a.Ref)
	}
}

// tipTime is the time over which a cold server's budget is held.
const tipTime = 2 * sec

// answerGrace is how long past its deadline a time-out may still be answered.
const answerGrace = 16 * ms

// checkCold holds a cold server's connections from this gateway to its part of the budget, with the most
// that any server can be held to bear: every connection of the drill.
func (d *drill) checkCold(id ServerID, age time.Duration) {
	n := 0
	for _, at := range d.cold[id] {
		if d.now-at <= tipTime {
			n++
		}
	}
	most := 0
	for _, s := range d.b.sortedServers {
		most = max(most, len(s.inFlight))
	}
	full := max(float64(most*d.set.Gateways)*4, minWarmConnections*float64(d.set.Gateways))
	allowed := d.set.ColdOverloadFactor * full * tipTime.Seconds() / d.set.WarmupDuration.Seconds() /
		float64(d.set.Gateways)
	if float64(n) > allowed+3 { // under one connection chance decides; another test holds the sum
		d.t.Fatalf("%d connections in %v to server %d, %v old; %.1f allowed",
			n, tipTime, id, age, allowed)
	}
}

func (d *drill) outcome(f *fate, result Result) {
	s := d.list[f.out.Server]
	ev := AttemptEnded{ID: f.ID, Attempt: f.attempts - 1, Server: f.out.Server, Result: result}
	ev.Answered = f.over || f.open || result == OK
	if !result.NeverRan() {
		if len(f.ranOn) == 0 {
			f.ranAt = d.now
		}
		f.ranOn = append(f.ranOn, s)
	}
	f.out, f.open = nil, false
	f.over = f.over || ev.Answered
	d.feed(ev)
}

func (d *drill) step(id RequestID) {
	d.now += time.Duration(d.rnd.IntN(13)) * ms
	for i := 0; i < len(d.timers); i++ {
		if d.timers[i] <= d.now {
			ref := d.refs[i]
			d.timers[i], d.refs[i] = d.timers[len(d.timers)-1], d.refs[len(d.refs)-1]
			d.timers, d.refs = d.timers[:len(d.timers)-1], d.refs[:len(d.refs)-1]
			d.feed(TimerFired{Ref: ref})
			i = -1
		}
	}
	for _, f := range d.fates { // time-outs, deadlines
		if f.out != nil && !f.open && d.now >= f.deadline {
			d.outcome(f, TimedOut)
		}
		if f.out == nil && !f.over && d.now > f.deadline+answerGrace {
			d.t.Fatalf("request %d has no answer, deadline was %v ago", f.ID, d.now-f.deadline)
		}
	}
	d.fates = slices.DeleteFunc(d.fates, func(f *fate) bool { return f.over && f.out == nil })
	if d.rnd.IntN(4) > 0 {
		class := d.set.Classes[d.rnd.IntN(len(d.set.Classes))]
		f := &fate{Request: Request{ID: id, Class: class.Name, Key: fmt.Sprint(d.rnd.IntN(50)),
			Group: fmt.Sprint("g", d.rnd.IntN(8)), Timeout: time.Duration(200+d.rnd.IntN(1800)) * ms,
			MidFlow: d.rnd.IntN(9) == 0}}
		f.deadline = d.now + f.Timeout
		d.fates, d.byID[id] = append(d.fates, f), f
		d.ledger.taken = append(d.ledger.taken, d.now)
		d.feed(f.Request)
	}
	if n := len(d.fates); n > 0 {
		d.stir(d.fates[max(0, n-1-d.rnd.IntN(40))])
	}
	if d.rnd.IntN(60) == 0 {
		d.relist()
	}
}

// stir makes something happen to a request.
func (d *drill) stir(f *fate) {
	switch dice := d.rnd.IntN(12); {
	case f.out != nil && !f.open && dice < 6:
		f.open = true
		d.feed(AttemptEstablished{ID: f.ID, Attempt: f.attempts - 1, Server: f.out.Server, Elapsed: 9 * ms})
	case f.out != nil && dice < 9:
		d.outcome(f,
			[]Result{OK, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled}[d.rnd.IntN(7)])
	case f.out != nil && f.open && dice == 9:
		delay := time.Duration(d.rnd.IntN(3000)) * ms
		d.feed(MessageDelay{ID: f.ID, Server: f.out.Server, Delay: delay})
	case f.out != nil && dice == 10:
		d.feed(LoadChanged{ID: f.ID, Load: float64(1 + d.rnd.IntN(5000))})
	case dice == 11 && !f.over:
		f.over = true
		d.feed(ClientDisconnected{ID: f.ID})
	}
}

// relist changes the list, or fails to.
func (d *drill) relist() {
	if d.rnd.IntN(4) == 0 {
		d.feed(EndpointList{Mode: ListDelta})
		return
	}
	id := ServerID(100 + d.rnd.IntN(7))
	s := Server{ID: id, Cell: int(id) % 2, Capacity: 1, State: ServerState(d.rnd.IntN(3))}
	if s.State == Ready && d.rnd.IntN(2) == 0 {
		s.Started = d.now
		delete(d.cold, id)
	} else {
		s.Started = d.list[id].Started
	}
	if d.set.RemovalIsAdvisory {
		if s.Started > d.list[id].Started {
			d.drained[id] = false
		}
		if s.State == Draining && !d.drained[id] {
			d.drained[id], d.told[id] = true, d.now
		}
	} else if s.State != Ready && d.list[id].State == Ready {
		d.told[id] = d.now
	}
	d.list[id] = s
	d.feed(EndpointList{Mode: ListDelta, Servers: []Server{s}})
}

func run(t *testing.T, seed uint64, steps int) []string {
	set := settings()
	set.MaxRetryAfter = sec
	set.Seed = seed
	set.RemovalIsAdvisory = seed%3 == 0
	switch seed % 4 { // one with none, some free alone, a share alone, both
	case 1:
		set.RetryBudgetWindow, set.RetryBudgetMin = 2*sec, 3
	case 2:
		set.RetryBudgetWindow, set.RetryBudgetRatio = 700*ms, 0.15
	case 3:
		set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetRatio = 3*sec, 2, 0.05
	}
	d := &drill{
		t: t, rnd: rand.New(rand.NewPCG(seed, 7)), set: set, b: mustNew(t, set), now: 50 * sec,
		list: map[ServerID]Server{}, told: map[ServerID]time.Duration{}, byID: map[RequestID]*fate{},
		cold: map[ServerID][]time.Duration{}, drained: map[ServerID]bool{},
	}
	var list []Server
	for i := range 7 {
		s := Server{ID: ServerID(100 + i), Cell: i % 2, Capacity: 1}
		list = append(list, s)
		d.list[s.ID] = s
	}
	d.feed(EndpointList{Mode: ListCached, Servers: list})
	for i := range steps {
		d.step(RequestID(i + 1))
	}
	return d.log
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, seed, 3000) })
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	first := run(t, 99, 1500)
	if len(first) < 1000 {
		t.Fatalf("only %d actions", len(first))
	}
	if !reflect.DeepEqual(first, run(t, 99, 1500)) {
		t.Error("the same events gave other actions")
	}
}

// Gateways that are fed the same lists, however odd, place a fresh key alike and never at a server that no
// list named: duplicates, unknown ids, drains of servers never ready, empty and old lists among them.
func TestGatewaysFedOddListsAgree(t *testing.T) {
	for seed := range uint64(12) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		set := settings()
		set.RemovalIsAdvisory = seed%2 == 0
		var gateways []*Balancer
		for i := range uint64(3) {
			set.Seed = seed*10 + i
			gateways = append(gateways, mustNew(t, set))
		}
		named := map[ServerID]bool{}
		past := []EndpointList{{Mode: ListComplete}}
		now := 50 * sec
		for i := range 300 {
			now += time.Duration(rnd.IntN(3000)) * ms
			list := EndpointList{Mode: ListMode(rnd.IntN(3))}
			for range rnd.IntN(9) {
				s := Server{ID: ServerID(100 + rnd.IntN(9)), State: ServerState(rnd.IntN(3))}
				if rnd.IntN(3) == 0 {
					s.Started = now - time.Duration(rnd.IntN(60))*sec
				}
				list.Servers = append(list.Servers, s)
			}
			if rnd.IntN(8) == 0 {
				list = past[rnd.IntN(len(past))]
			}
			past = append(past, list)
			for _, s := range list.Servers {
				named[s.ID] = true
			}
			req := Request{ID: RequestID(i + 1), Class: "safe", Key: fmt.Sprint("k", i), Timeout: sec}
			var first []Action
			for g, b := range gateways {
				b.Handle(now, list)
				sends := []Action{}
				for _, a := range b.Handle(now, req) {
					if s, ok := a.(Send); ok {
						sends = append(sends, s)
						if !named[s.Server] {
							t.Fatalf("sent to %d, which no list named", s.Server)
						}
						b.Handle(now, AttemptEnded{ID: s.ID, Server: s.Server, Result: OK, Answered: true})
					}
				}
				if g == 0 {
					first = sends
				} else if !reflect.DeepEqual(first, sends) {
					t.Fatalf("list %d: gateway %d sends %+v, the first %+v", i, g, sends, first)
				}
			}
		}
	}
}
