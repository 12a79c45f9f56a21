package balancer

// This file is the gateway's memory: what it knows of servers and requests, and the sums over them. It
// decides nothing.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Balancer is one gateway's decision maker. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	classes map[string]int
	aim     time.Duration // shortest message aim; 0: none stated

	now     time.Duration
	actions []Action
	started bool
	began   time.Duration // the first event
	random  uint64

	servers map[ServerID]*server
	order   []*server // every server ever listed, by id
	listed  bool      // a list has come
	table   table
	stale   bool // the list has changed since the table was filled
	shares  []share
	members []*server // the servers of the table's shares
	weight  float64   // the sum of their capacities
	past    []pastTable

	requests map[RequestID]*request
	waiting  []*request // held for want of a list, in order of arrival

	sum        loadSum        // of all connections and attempts
	held       int            // connections and attempts
	groups     map[string]int // the same by group
	tenants    map[string]int
	tenantHeld []float64       // the same by tenant
	loads      []ewma          // known loads by class
	anyLoad    ewma            // and all together
	bears      ewma            // connections that a warm server's reports say it bears, for a weight of 1
	taken      slidingWindow   // requests
	further    slidingWindow   // attempts beyond each request's first
	came       decayingCounter // requests
	stood      decayingCounter // set-ups
	failed     decayingCounter // set-ups that timed out or ended in an error
	forgotAt   time.Duration   // when the last look for servers to forget was
	shedding   bool            // as last logged
	shed       float64         // level of what the fleet sheds
	pressure   float64         // part of the connections that are on slow servers
	soundAt    time.Duration   // when a server was last asked for room for moves
}

// leastWeight stands for the sum of capacities where no server is in the table, as before any placement.
const minTotalWeight = 1e-9

type pastTable struct {
	table   table
	members []*server
	until   time.Duration
}

type server struct {
	Server
	told    time.Duration // when it was learned that it drains or is gone
	drained bool          // listed as draining since its start
	doubted time.Duration // called gone since then, which is not believed yet; 0: not in doubt
	proven  bool          // and yet it had a good connection then or since
	open    []*request    // connections and attempts here
	pending int           // of these, attempts not yet open
	sum     loadSum
	groups  map[string]int // connections by group

	strikes     decayingCounter
	ejections   int
	ejected     time.Duration // until then; 0: not ejected
	probation   bool          // back from ejection; one attempt at a time until one stands
	pausedUntil time.Duration // takes nothing new before
	delay       time.Duration // of messages, as last told
	delayAt     time.Duration
	moves       float64 // moves allowed and not yet made
	limit       float64 // load that it is held able to bear from here; 0: not known
	cutAt       time.Duration

	load     float64       // as last reported
	reportAt time.Duration // 0: never
	each     float64       // load of one connection, by that report
	askedAt  time.Duration // 0: never
	sent     int           // attempts since the last report

	coldTried decayingCounter // lookups that came by it while it was cold
	coldAt    time.Duration   // when a connection was last sent to it on a cold server's budget
	tryAt     time.Duration   // back by hand and untried: tried from then on; 0: nothing to try
}

type request struct {
	Request
	class    int
	hash     uint64 // of what places it
	client   uint64 // of what tells its client from the others of its group
	deadline time.Duration

	heldUntil time.Duration // 0: never held
	asked     []*server     // whose reports it waits for
	asks      int           // rounds in which servers were asked for it
	attempts  int
	tried     []ServerID
	server    *server // of the attempt that is out or open
	sent      time.Duration
	opened    bool
	over      bool // answered, or the client is gone
	load      float64
	// The first attempt that may have run, for keyed and unsafe classes.
	mayHaveRun bool
	ranOn      *server
	ranAt      time.Duration
}

// loadSum adds up loads.
type loadSum struct {
	known   float64
	unknown []int // connections of unknown load, by class
}

func (s *loadSum) add(class int, load float64, sign int) {
	if load > 0 {
		s.known += float64(sign) * load
	} else {
		s.unknown[class] += sign
	}
}

// ewma is a moving average.
type ewma struct{ value, weight float64 }

func (m *ewma) add(v float64) {
	m.weight = min(m.weight+1, 50)
	m.value += (v - m.value) / m.weight
}

// decayingCounter is a sum that halves in evidenceHalf.
type decayingCounter struct {
	sum float64
	at  time.Duration
}

func (f *decayingCounter) value(now time.Duration) float64 {
	if f.sum == 0 {
		return 0
	}
	return f.sum * math.Exp2(-float64(now-f.at)/float64(evidenceHalfLife))
}

func (f *decayingCounter) add(now time.Duration, v float64) float64 {
	f.sum, f.at = f.value(now)+v, now
	return f.sum
}

// slidingWindow counts what happened within the last span. Moments closer than a windowPart of the span are kept
// as one tally, so that memory is bounded.
type slidingWindow struct {
	length    time.Duration
	inclusive bool     // what is a span old counts still, and a tally leaves with its last moment, not its first
	buckets   []bucket // in order of time
	total     int
}

type bucket struct {
	first, last time.Duration // at: when it leaves the window, less the span
	count       int
}

const maxWindowBuckets = 4096

func (w *slidingWindow) add(now time.Duration) {
	w.trim(now)
	w.total++
	if n := len(w.buckets); n > 0 && now-w.buckets[n-1].first <= w.length/maxWindowBuckets {
		last := &w.buckets[n-1]
		last.count++
		if w.inclusive {
			last.last = now
		}
		return
	}
	w.buckets = append(w.buckets, bucket{now, now, 1})
}

func (w *slidingWindow) count(now time.Duration) int {
	w.trim(now)
	return w.total
}

// trim forgets what has left the window.
func (w *slidingWindow) trim(now time.Duration) {
	until := now - w.length
	if w.inclusive {
		until--
	}
	for len(w.buckets) > 0 && w.buckets[0].last <= until {
		w.total -= w.buckets[0].count
		w.buckets = w.buckets[1:]
	}
}

// remove takes back one that was counted at a time.
func (w *slidingWindow) remove(at time.Duration) {
	for i := range w.buckets {
		if u := &w.buckets[i]; u.first <= at && at <= u.first+w.length/maxWindowBuckets && u.count > 0 {
			u.count--
			w.total--
			return
		}
	}
}

// New returns a Balancer, or an error that names the setting it cannot work with.
func New(set Settings) (*Balancer, error) {
	b := &Balancer{
		set: set, random: set.Seed,
		classes: map[string]int{}, servers: map[ServerID]*server{}, requests: map[RequestID]*request{},
		weight: minTotalWeight,
	}
	b.set.Gateways = max(set.Gateways, 1)
	b.set.MaxAttempts = max(set.MaxAttempts, 1)
	if set.ColdOverloadDuration == 0 {
		b.set.ColdOverloadDuration = time.Second
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"Park", float64(set.FlowRetention)}, {"DrainGrace", float64(set.DrainGrace)},
		{"ColdTime", float64(set.WarmupDuration)}, {"TipTime", float64(set.ColdOverloadDuration)},
		{"TipMultiple", set.ColdOverloadFactor}, {"MaxRetryAfter", float64(set.MaxRetryAfter)},
		{"BudgetSpan", float64(set.RetryBudgetWindow)}, {"BudgetFree", set.RetryBudgetMin},
		{"BudgetShare", set.RetryBudgetRatio}, {"OverShareWorth", set.OverQuotaWeightFactor},
	} {
		if !(f.value >= 0) || math.IsInf(f.value, 1) {
			return nil, fmt.Errorf("rules: %s is %v, not a figure of 0 or more", f.name, f.value)
		}
	}
	span, _, _ := b.budget()
	b.taken, b.further = slidingWindow{length: span}, slidingWindow{length: span, inclusive: true}
	b.set.Classes = slices.Clone(set.Classes)
	for i, c := range b.set.Classes {
		if _, twice := b.classes[c.Name]; twice {
			return nil, fmt.Errorf("rules: class %q is given twice", c.Name)
		}
		if c.SetupLatencyObjective < 0 || c.Timeout < 0 || c.DedupWindow < 0 ||
			c.MessageLatencyObjective < 0 || c.PriorityWeight < 0 {
			return nil, fmt.Errorf("rules: class %q has a negative figure", c.Name)
		}
		b.classes[c.Name] = i
		if c.MessageLatencyObjective > 0 && (b.aim == 0 || c.MessageLatencyObjective < b.aim) {
			b.aim = c.MessageLatencyObjective
		}
	}
	// What no class describes is handled as the strictest kind.
	b.set.Classes = append(b.set.Classes, Class{Idempotency: NonIdempotent})
	for i := range b.set.Classes {
		if c := &b.set.Classes[i]; c.PriorityWeight == 0 {
			c.PriorityWeight = 1
		}
	}
	b.sum.unknown = make([]int, len(b.set.Classes))
	b.loads = make([]ewma, len(b.set.Classes))
	b.groups = map[string]int{}
	b.tenants, b.tenantHeld = map[string]int{}, make([]float64, len(set.Tenants))
	for i, t := range set.Tenants {
		b.tenants[t.Name] = i
	}
	return b, nil
}

// IsEjected reports whether a server is out of use by the rules' own choice.
func (b *Balancer) IsEjected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && s.ejected > 0
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) { b.act(Log{fmt.Sprintf(format, args...)}) }

func byID(a, b *server) int { return cmp.Compare(a.ID, b.ID) }

func (b *Balancer) newRequest(ev Request) *request {
	class, ok := b.classes[ev.Class]
	if !ok {
		class = len(b.set.Classes) - 1
	}
	r := &request{Request: ev, class: class, load: ev.Load, deadline: b.now + ev.Timeout}
	r.hash, r.client = hashes(ev)
	b.requests[ev.ID] = r
	return r
}

// chance is a number in [0, 1) that every gateway computes alike for a client and a server, or for the
// client alone. Where a share of one connection is to be taken, it decides which clients those are.
func (r *request) chance(of ServerID) float64 {
	return fraction(mix(r.client, uint64(of)))
}

func (b *Balancer) attach(r *request, s *server) {
	r.server = s
	s.open = append(s.open, r)
	s.groups[r.Group]++
	b.groups[r.Group]++
	b.held++
	s.pending++
	s.sent++
	b.count(r, 1)
}

// doubts is the number of servers in doubt.
func (b *Balancer) doubts() (n int) {
	for _, s := range b.order {
		if s.doubted > 0 {
			n++
		}
	}
	return n
}

func (b *Balancer) detach(r *request) {
	s := r.server
	if s == nil {
		return
	}
	b.count(r, -1)
	b.held--
	for _, groups := range []map[string]int{b.groups, s.groups} {
		if groups[r.Group]--; groups[r.Group] == 0 {
			delete(groups, r.Group)
		}
	}
	if i := slices.Index(s.open, r); i >= 0 {
		s.open = slices.Delete(s.open, i, i+1)
	}
	if !r.opened {
		s.pending--
	}
	if len(s.open) == 0 {
		s.sum.known = 0
	}
	r.server = nil
}

func (b *Balancer) count(r *request, sign int) {
	if t, ok := b.tenants[r.Tenant]; ok {
		b.tenantHeld[t] += float64(sign)
	}
	r.server.sum.add(r.class, r.load, sign)
	b.sum.add(r.class, r.load, sign)
}

func (b *Balancer) end(r *request) {
	r.over = true
	if r.server == nil {
		delete(b.requests, r.ID)
	}
}

// rand is the gateway's own random number in [0, 1), for jitter.
func (b *Balancer) rand() float64 {
	b.random = mix(b.random, keySeed)
	return fraction(b.random)
}

// fraction maps a hash to [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

func (b *Balancer) loadOf(s *server) float64 { return b.load(&s.sum) }

func (b *Balancer) totalLoad() float64 { return b.load(&b.sum) }

func (b *Balancer) load(s *loadSum) float64 {
	load := s.known
	for c, n := range s.unknown {
		if n > 0 {
			load += float64(n) * b.loadOfClass(c)
		}
	}
	return max(load, 0)
}

func (b *Balancer) learnLoad(class int, load float64) {
	b.loads[class].add(load)
	b.anyLoad.add(load)
}

func (b *Balancer) onLoad(ev LoadChanged) {
	r := b.requests[ev.ID]
	if r == nil || !(ev.Load > 0) {
		return
	}
	b.learnLoad(r.class, ev.Load)
	if r.server != nil {
		b.count(r, -1)
		r.load = ev.Load
		b.count(r, 1)
	}
}

// onCarried takes in a connection that is older than this gateway.
func (b *Balancer) onCarried(ev AdoptedConnection) {
	s := b.servers[ev.Server]
	if s == nil || b.requests[ev.ID] != nil {
		return
	}
	r := b.newRequest(ev.Request)
	r.attempts, r.opened = 1, true
	b.attach(r, s)
	s.pending--
}

// loadWith is the load that a server would report with one connection more.
func (b *Balancer) loadWith(s *server) float64 { return s.load + float64(s.sent+1)*s.each }

// unheard reports whether a server was asked and has not told yet.
func (b *Balancer) unheard(s *server) bool { return s.reportAt < s.askedAt }

// toldOf reports whether a server's own word of its load is young enough to place by.
func (b *Balancer) toldOf(s *server) bool { return s.reportAt > 0 && b.now-s.reportAt <= loadReportTTL }

func (b *Balancer) update(e Server) {
	if !(e.Capacity > 0) || math.IsInf(e.Capacity, 1) {
		e.Capacity = 1
	}
	s := b.servers[e.ID]
	if s == nil {
		s = &server{Server: e, sum: loadSum{unknown: make([]int, len(b.set.Classes))},
			groups: map[string]int{}, told: b.now}
		if e.State != Removed { // one first heard of as gone was never there to be in doubt
			s.State = Ready
		}
		b.servers[e.ID] = s
		i, _ := slices.BinarySearchFunc(b.order, s, byID)
		b.order = slices.Insert(b.order, i, s)
	} else if e.Started > s.Started {
		b.renew(s) // a restart: what was known of the old process is void
	}
	state := e.State
	e.State = s.State
	if e.Zone == "" {
		e.Zone = s.Zone
	}
	s.Server = e
	b.setState(s, state)
}

// renew forgets what was learned of a server's process.
func (b *Balancer) renew(s *server) {
	s.drained, s.strikes, s.ejected, s.ejections, s.probation = false, decayingCounter{}, 0, 0, false
	s.limit, s.pausedUntil = 0, 0
}

// fullConnections guesses how many connections a server bears warm, from the reports of warm ones, or else
// from what they hold: that is all they bear where the fleet is full, and too few where it is not.
func (b *Balancer) fullConnections(s *server) float64 {
	if b.bears.weight > 0 {
		return max(b.bears.value*s.Capacity, minWarmConnections)
	}
	held, weight := 0.0, 1e-9
	for _, o := range b.members {
		if b.coldAge(o) == 1 {
			held += float64(len(o.open))
			weight += o.Capacity
		}
	}
	return max(held*float64(b.set.Gateways)/weight*s.Capacity, minWarmConnections)
}

// forget drops servers that are long gone and hold nothing, so that a fleet whose machines get new ids does
// not grow the memory. One in doubt that nothing was sent to for that long is taken for gone.
func (b *Balancer) forget() {
	if b.now-b.forgotAt < removedServerRetention/10 {
		return
	}
	b.forgotAt = b.now
	b.order = slices.DeleteFunc(b.order, func(s *server) bool {
		if s.doubted > 0 && len(s.open) == 0 && b.now-s.doubted > removedServerRetention {
			b.confirmGone(s)
		}
		old := s.State == Removed && len(s.open) == 0 && b.now-s.told > max(removedServerRetention, b.set.FlowRetention)
		if old {
			delete(b.servers, s.ID)
		}
		return old
	})
}

// hashes are what places a request, of the group or else the client, and what tells its client from others.
func hashes(ev Request) (place, client uint64) {
	client = mix(uint64(ev.ID), keySeed) // without a key there is nothing to agree on
	if ev.Key != "" {
		client = hashKey(ev.Key)
	}
	if ev.Group == "" {
		return client, client
	}
	place = hashKey(ev.Group)
	if ev.Key == "" {
		client = place
	}
	return place, client
}

// unit is the load of one mean connection.
func (b *Balancer) unit() float64 {
	if b.anyLoad.weight > 0 {
		return b.anyLoad.value
	}
	return 1
}

// loadOfClass is the load of one connection of a class, where its own is not known.
func (b *Balancer) loadOfClass(c int) float64 {
	if b.loads[c].weight > 0 {
		return b.loads[c].value
	}
	return b.unit()
}
