package balancer

// This file is the gateway's memory: what it knows of servers and requests, and the sums over them. It
// decides nothing.

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"
)

// Balancer is one gateway's decision maker. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	classIndex       map[string]int
	messageObjective time.Duration // shortest message aim; 0: none stated

	now         time.Duration
	actions     []Action
	started     bool
	startedAt   time.Duration // the first event
	randomState uint64

	servers       map[ServerID]*server
	sortedServers []*server // every server ever listed, by id
	hasList       bool      // a list has come
	table         table
	tableIsStale  bool // the list has changed since the table was filled
	tableWeights  []weightedServer
	tableServers  []*server // the servers of the table's shares
	totalWeight   float64   // the sum of their capacities
	pastTables    []pastTable

	requests map[RequestID]*request
	waiting  []*request // held for want of a list, in order of arrival

	load               loadSum        // of all connections and attempts
	connections        int            // connections and attempts
	groupConnections   map[string]int // the same by group
	tenantIndex        map[string]int
	tenantConnections  []float64       // the same by tenant
	classLoads         []ewma          // known loads by class
	overallLoad        ewma            // and all together
	connectionCapacity ewma            // connections that a warm server's reports say it bears, for a weight of 1
	admitted           slidingWindow   // requests
	retries            slidingWindow   // attempts beyond each request's first
	recentRequests     decayingCounter // requests
	recentEstablished  decayingCounter // set-ups
	recentFailures     decayingCounter // set-ups that timed out or ended in an error
	evictedAt          time.Duration   // when the last look for servers to forget was
	isShedding         bool            // as last logged
	fleetShedLevel     float64         // level of what the fleet sheds
	slowRatio          float64         // part of the connections that are on slow servers
	sampledAt          time.Duration   // when a server was last asked for room for moves
}

// leastWeight stands for the sum of capacities where no server is in the table, as before any placement.
const minTotalWeight = 1e-9

type pastTable struct {
	table     table
	servers   []*server
	expiresAt time.Duration
}

type server struct {
	Server
	unavailableSince   time.Duration // when it was learned that it drains or is gone
	hasDrained         bool          // listed as draining since its start
	removalSuspectedAt time.Duration // called gone since then, which is not believed yet; 0: not in doubt
	confirmedAlive     bool          // and yet it had a good connection then or since
	inFlight           []*request    // connections and attempts here
	pendingAttempts    int           // of these, attempts not yet open
	load               loadSum
	groupConnections   map[string]int // connections by group

	failureScore    decayingCounter
	ejections       int
	ejectedUntil    time.Duration // until then; 0: not ejected
	onProbation     bool          // back from ejection; one attempt at a time until one stands
	pausedUntil     time.Duration // takes nothing new before
	messageDelay    time.Duration // of messages, as last told
	messageDelayAt  time.Duration
	migrationCredit float64 // moves allowed and not yet made
	loadLimit       float64 // load that it is held able to bear from here; 0: not known
	limitLoweredAt  time.Duration

	utilization           float64       // as last reported
	reportedAt            time.Duration // 0: never
	connectionUtilization float64       // load of one connection, by that report
	polledAt              time.Duration // 0: never
	sentSinceReport       int           // attempts since the last report

	warmupLookups decayingCounter // lookups that came by it while it was cold
	warmupSentAt  time.Duration   // when a connection was last sent to it on a cold server's budget
	trialAt       time.Duration   // back by hand and untried: tried from then on; 0: nothing to try
}

type request struct {
	Request
	classIndex    int
	placementHash uint64 // of what places it
	clientHash    uint64 // of what tells its client from the others of its group
	deadline      time.Duration

	waitUntil    time.Duration // 0: never held
	polled       []*server     // whose reports it waits for
	pollRounds   int           // rounds in which servers were asked for it
	attempts     int
	triedServers []ServerID
	server       *server // of the attempt that is out or open
	sentAt       time.Duration
	established  bool
	finished     bool // answered, or the client is gone
	load         float64
	// The first attempt that may have run, for keyed and unsafe classes.
	mayHaveRun bool
	firstRanOn *server
	firstRanAt time.Duration
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
		settings: set, randomState: set.Seed,
		classIndex: map[string]int{}, servers: map[ServerID]*server{}, requests: map[RequestID]*request{},
		totalWeight: minTotalWeight,
	}
	b.settings.Gateways = max(set.Gateways, 1)
	b.settings.MaxAttempts = max(set.MaxAttempts, 1)
	if set.ColdOverloadDuration == 0 {
		b.settings.ColdOverloadDuration = time.Second
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
	span, _, _ := b.retryBudget()
	b.admitted, b.retries = slidingWindow{length: span}, slidingWindow{length: span, inclusive: true}
	b.settings.Classes = slices.Clone(set.Classes)
	for i, c := range b.settings.Classes {
		if _, twice := b.classIndex[c.Name]; twice {
			return nil, fmt.Errorf("rules: class %q is given twice", c.Name)
		}
		if c.SetupLatencyObjective < 0 || c.Timeout < 0 || c.DedupWindow < 0 ||
			c.MessageLatencyObjective < 0 || c.PriorityWeight < 0 {
			return nil, fmt.Errorf("rules: class %q has a negative figure", c.Name)
		}
		b.classIndex[c.Name] = i
		if c.MessageLatencyObjective > 0 && (b.messageObjective == 0 || c.MessageLatencyObjective < b.messageObjective) {
			b.messageObjective = c.MessageLatencyObjective
		}
	}
	// What no class describes is handled as the strictest kind.
	b.settings.Classes = append(b.settings.Classes, Class{Idempotency: NonIdempotent})
	for i := range b.settings.Classes {
		if c := &b.settings.Classes[i]; c.PriorityWeight == 0 {
			c.PriorityWeight = 1
		}
	}
	b.load.unknown = make([]int, len(b.settings.Classes))
	b.classLoads = make([]ewma, len(b.settings.Classes))
	b.groupConnections = map[string]int{}
	b.tenantIndex, b.tenantConnections = map[string]int{}, make([]float64, len(set.Tenants))
	for i, t := range set.Tenants {
		b.tenantIndex[t.Name] = i
	}
	return b, nil
}

// IsEjected reports whether a server is out of use by the rules' own choice.
func (b *Balancer) IsEjected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && s.ejectedUntil > 0
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(message string, attrs ...slog.Attr) { b.act(Log{message, attrs}) }

func serverAttr(s *server) slog.Attr { return slog.Uint64("server", uint64(s.ID)) }

func compareServerIDs(a, b *server) int { return cmp.Compare(a.ID, b.ID) }

func (b *Balancer) newRequest(ev Request) *request {
	class, ok := b.classIndex[ev.Class]
	if !ok {
		class = len(b.settings.Classes) - 1
	}
	r := &request{Request: ev, classIndex: class, load: ev.Load, deadline: b.now + ev.Timeout}
	r.placementHash, r.clientHash = requestHashes(ev)
	b.requests[ev.ID] = r
	return r
}

// clientFraction is a number in [0, 1) that every gateway computes alike for a client and a server, or for the
// client alone. Where a share of one connection is to be taken, it decides which clients those are.
func (r *request) clientFraction(of ServerID) float64 {
	return fraction(mix(r.clientHash, uint64(of)))
}

func (b *Balancer) attach(r *request, s *server) {
	r.server = s
	s.inFlight = append(s.inFlight, r)
	s.groupConnections[r.Group]++
	b.groupConnections[r.Group]++
	b.connections++
	s.pendingAttempts++
	s.sentSinceReport++
	b.addLoad(r, 1)
}

// suspectedRemovals is the number of servers in doubt.
func (b *Balancer) suspectedRemovals() (n int) {
	for _, s := range b.sortedServers {
		if s.removalSuspectedAt > 0 {
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
	b.addLoad(r, -1)
	b.connections--
	for _, groups := range []map[string]int{b.groupConnections, s.groupConnections} {
		if groups[r.Group]--; groups[r.Group] == 0 {
			delete(groups, r.Group)
		}
	}
	if i := slices.Index(s.inFlight, r); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if !r.established {
		s.pendingAttempts--
	}
	if len(s.inFlight) == 0 {
		s.load.known = 0
	}
	r.server = nil
}

func (b *Balancer) addLoad(r *request, sign int) {
	if t, ok := b.tenantIndex[r.Tenant]; ok {
		b.tenantConnections[t] += float64(sign)
	}
	r.server.load.add(r.classIndex, r.load, sign)
	b.load.add(r.classIndex, r.load, sign)
}

func (b *Balancer) finish(r *request) {
	r.finished = true
	if r.server == nil {
		delete(b.requests, r.ID)
	}
}

// random is the gateway's own random number in [0, 1), for jitter.
func (b *Balancer) random() float64 {
	b.randomState = mix(b.randomState, keySeed)
	return fraction(b.randomState)
}

// fraction maps a hash to [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

func (b *Balancer) serverLoad(s *server) float64 { return b.estimateLoad(&s.load) }

func (b *Balancer) totalLoad() float64 { return b.estimateLoad(&b.load) }

func (b *Balancer) estimateLoad(s *loadSum) float64 {
	load := s.known
	for c, n := range s.unknown {
		if n > 0 {
			load += float64(n) * b.classLoad(c)
		}
	}
	return max(load, 0)
}

func (b *Balancer) observeLoad(class int, load float64) {
	b.classLoads[class].add(load)
	b.overallLoad.add(load)
}

func (b *Balancer) onLoadChanged(ev LoadChanged) {
	r := b.requests[ev.ID]
	if r == nil || !(ev.Load > 0) {
		return
	}
	b.observeLoad(r.classIndex, ev.Load)
	if r.server != nil {
		b.addLoad(r, -1)
		r.load = ev.Load
		b.addLoad(r, 1)
	}
}

// onAdoptedConnection takes in a connection that is older than this gateway.
func (b *Balancer) onAdoptedConnection(ev AdoptedConnection) {
	s := b.servers[ev.Server]
	if s == nil || b.requests[ev.ID] != nil {
		return
	}
	r := b.newRequest(ev.Request)
	r.attempts, r.established = 1, true
	b.attach(r, s)
	s.pendingAttempts--
}

// projectedUtilization is the load that a server would report with one connection more.
func (b *Balancer) projectedUtilization(s *server) float64 {
	return s.utilization + float64(s.sentSinceReport+1)*s.connectionUtilization
}

// awaitsReport reports whether a server was asked and has not told yet.
func (b *Balancer) awaitsReport(s *server) bool { return s.reportedAt < s.polledAt }

// hasFreshReport reports whether a server's own word of its load is young enough to place by.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= loadReportTTL
}

func (b *Balancer) updateServer(e Server) {
	if !(e.Capacity > 0) || math.IsInf(e.Capacity, 1) {
		e.Capacity = 1
	}
	s := b.servers[e.ID]
	if s == nil {
		s = &server{Server: e, load: loadSum{unknown: make([]int, len(b.settings.Classes))},
			groupConnections: map[string]int{}, unavailableSince: b.now}
		if e.State != Removed { // one first heard of as gone was never there to be in doubt
			s.State = Ready
		}
		b.servers[e.ID] = s
		i, _ := slices.BinarySearchFunc(b.sortedServers, s, compareServerIDs)
		b.sortedServers = slices.Insert(b.sortedServers, i, s)
	} else if e.Started > s.Started {
		b.resetHealth(s) // a restart: what was known of the old process is void
	}
	state := e.State
	e.State = s.State
	if e.Zone == "" {
		e.Zone = s.Zone
	}
	s.Server = e
	b.setState(s, state)
}

// resetHealth forgets what was learned of a server's process.
func (b *Balancer) resetHealth(s *server) {
	s.hasDrained, s.failureScore, s.ejectedUntil, s.ejections, s.onProbation = false, decayingCounter{}, 0, 0, false
	s.loadLimit, s.pausedUntil = 0, 0
}

// warmConnections guesses how many connections a server bears warm, from the reports of warm ones, or else
// from what they hold: that is all they bear where the fleet is full, and too few where it is not.
func (b *Balancer) warmConnections(s *server) float64 {
	if b.connectionCapacity.weight > 0 {
		return max(b.connectionCapacity.value*s.Capacity, minWarmConnections)
	}
	held, weight := 0.0, 1e-9
	for _, o := range b.tableServers {
		if b.warmupProgress(o) == 1 {
			held += float64(len(o.inFlight))
			weight += o.Capacity
		}
	}
	return max(held*float64(b.settings.Gateways)/weight*s.Capacity, minWarmConnections)
}

// evictEndpoints drops servers that are long gone and hold nothing, so that a fleet whose machines get new ids does
// not grow the memory. One in doubt that nothing was sent to for that long is taken for gone.
func (b *Balancer) evictEndpoints() {
	if b.now-b.evictedAt < removedServerRetention/10 {
		return
	}
	b.evictedAt = b.now
	b.sortedServers = slices.DeleteFunc(b.sortedServers, func(s *server) bool {
		if s.removalSuspectedAt > 0 && len(s.inFlight) == 0 && b.now-s.removalSuspectedAt > removedServerRetention {
			b.confirmRemoval(s)
		}
		old := s.State == Removed && len(s.inFlight) == 0 && b.now-s.unavailableSince > max(removedServerRetention, b.settings.FlowRetention)
		if old {
			delete(b.servers, s.ID)
		}
		return old
	})
}

// requestHashes are what places a request, of the group or else the client, and what tells its client from others.
func requestHashes(ev Request) (place, client uint64) {
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

// meanLoad is the load of one mean connection.
func (b *Balancer) meanLoad() float64 {
	if b.overallLoad.weight > 0 {
		return b.overallLoad.value
	}
	return 1
}

// classLoad is the load of one connection of a class, where its own is not known.
func (b *Balancer) classLoad(c int) float64 {
	if b.classLoads[c].weight > 0 {
		return b.classLoads[c].value
	}
	return b.meanLoad()
}
