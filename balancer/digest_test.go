package balancer_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// The digests keep the decisions as they are. Each stream draws settings, a fleet and its faults from a seed,
// feeds a Balancer through its exported interface, and reacts to its actions as servers and clients would.
// The digest of a stream covers every field of every action, of the snapshots taken in between and of the
// answers to which servers are ejected; times and floats are exact. Of a log line it covers that it came, but
// not its text.
const (
	digestStreams   = 360
	streamsPerGroup = 10
	digestSteps     = 300
)

var (
	digestFile    = filepath.Join("testdata", "digests.txt")
	updateDigests = flag.Bool("update-digests", false, "record the digests anew")
)

func TestActionsMatchTheRecordedDigests(t *testing.T) {
	digests := make([]string, digestStreams)
	coverages := make([]coverage, digestStreams)
	t.Run("streams", func(t *testing.T) {
		want := recordedDigests(t)
		for first := 0; first < digestStreams; first += streamsPerGroup {
			t.Run(strconv.Itoa(first), func(t *testing.T) {
				t.Parallel()
				for seed := first; seed < first+streamsPerGroup; seed++ {
					digests[seed], coverages[seed] = runStream(t, uint64(seed))
					if !*updateDigests && digests[seed] != want[seed] {
						t.Errorf("stream %d has digest %s, recorded is %s", seed, digests[seed], want[seed])
					}
				}
			})
		}
	})
	total := coverage{}
	for _, c := range coverages {
		for what, n := range c {
			total[what] += n
		}
	}
	for _, what := range mustOccur {
		if total[what] == 0 {
			t.Errorf("no stream shows: %s", what)
		}
	}
	t.Logf("occurred in all streams together: %v", total)
	if *updateDigests && !t.Failed() {
		if err := os.WriteFile(digestFile, []byte(strings.Join(digests, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// recordedDigests reads the expected digests, one line for each stream.
func recordedDigests(t *testing.T) []string {
	t.Helper()
	if *updateDigests {
		return nil
	}
	text, err := os.ReadFile(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(text))
	if len(lines) != digestStreams {
		t.Fatalf("%s holds %d digests, want %d", digestFile, len(lines), digestStreams)
	}
	return lines
}

// coverage counts what occurred in a stream.
type coverage map[string]int

// mustOccur lists what all streams together have to show for the digests to mean anything.
var mustOccur = []string{
	"list of changes", "complete list", "cached list", "request", "adopted connection", "established",
	"load changed", "message delay", "load report", "fleet load shedding", "ended", "client disconnected",
	"server reinstated", "shutdown", "timer fired",
	"send", "reject", "reject for fleet load shedding", "reject with advice", "fail", "migrate",
	"poll load", "set timer", "log line",
	"ok", "errored", "full", "timed out", "connect failed", "reset", "cancelled", "never sent",
	"retry", "retry after an attempt that may have run", "send to a server that is warming up",
	"send without establish limit", "send of a mid-flow request", "send to a draining server",
	"server ejected", "limit learned", "server capacity learned", "server paused", "repeated ejection",
	"restored snapshot", "migrate off a drained server", "reject while waiting for the first list",
	"migrate for slow messages", "poll load on a timer", "forgotten server",
}

// condition is how a server of a stream fares.
type condition int

const (
	healthy condition = iota
	crashed
	hanging
	slow
	full
	failing
	conditions
)

// host is a server of a stream: what the list says of it and how it fares.
type host struct {
	balancer.Server
	condition condition
	others    float64 // load by other gateways, as a part of what it can do
	capacity  float64 // connections from this gateway that make up its whole load
	delay     time.Duration
}

// connection is an attempt that has not ended.
type connection struct {
	request     balancer.Request
	attempt     int
	server      balancer.ServerID
	established bool
	left        bool // its client disconnected, or it is to migrate
}

// reaction is something that the world does in answer, later.
type reaction struct {
	at  time.Duration
	run func()
}

// stream drives one Balancer.
type stream struct {
	t        *testing.T
	rnd      *rand.Rand
	settings balancer.Settings
	balancer *balancer.Balancer
	now      time.Duration

	hosts       []*host
	hostByID    map[balancer.ServerID]*host
	nextHost    balancer.ServerID
	listed      bool
	pastLists   []balancer.EndpointList
	nextRequest balancer.RequestID
	requests    map[balancer.RequestID]balancer.Request
	attempts    map[balancer.RequestID]int
	mayHaveRun  map[balancer.RequestID]bool
	live        []*connection // in order of their sends
	reactions   []reaction    // by time
	jammed      bool          // what all set-ups share answers nothing
	groups      int
	faults      int       // in a hundred steps
	usual       condition // that half of the faults bring
	flaky       bool      // every other attempt is rejected
	pace        time.Duration
	grain       time.Duration // times are multiples of it, so that in some streams many are equal; 0: any

	hash     hash.Hash
	buffer   []byte
	coverage coverage
}

func runStream(t *testing.T, seed uint64) (digest string, c coverage) {
	t.Helper()
	s := &stream{
		t: t, rnd: rand.New(rand.NewPCG(seed, 31)), now: time.Hour, hash: sha256.New(), coverage: coverage{},
		hostByID: map[balancer.ServerID]*host{}, nextHost: 100,
		requests: map[balancer.RequestID]balancer.Request{},
		attempts: map[balancer.RequestID]int{}, mayHaveRun: map[balancer.RequestID]bool{},
	}
	s.grain = []time.Duration{0, 1, 10, 50}[s.rnd.IntN(4)] * time.Millisecond
	s.settings = s.drawSettings()
	s.balancer = s.newBalancer()
	s.drawFleet()
	s.start()
	half := digestSteps / 2
	for step := range digestSteps {
		s.wait(time.Duration(s.rnd.ExpFloat64() * float64(s.pace)).Truncate(s.grain))
		s.step()
		if step == half && s.oneIn(2) {
			s.restart()
		}
		if step%10 == 0 {
			s.observe()
		}
		if step == digestSteps-60 {
			s.lastQuarter()
		}
	}
	s.observe()
	return hex.EncodeToString(s.hash.Sum(nil)[:8]), s.coverage
}

func (s *stream) oneIn(n int) bool { return s.rnd.IntN(n) == 0 }

// upTo is a time up to most, which is above 0.
func (s *stream) upTo(most time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(most)))
}

// Settings.

func (s *stream) drawSettings() balancer.Settings {
	rnd := s.rnd
	pick := func(values ...time.Duration) time.Duration { return values[rnd.IntN(len(values))] }
	figure := func(values ...float64) float64 { return values[rnd.IntN(len(values))] }
	set := balancer.Settings{
		Seed: rnd.Uint64(), Gateways: []int{0, 1, 2, 3, 10, 80, 300}[rnd.IntN(7)],
		MaxAttempts:        []int{0, 2, 3, 5}[rnd.IntN(4)],
		FlowRetention:      pick(0, 2*time.Second, 10*time.Second, 11*time.Minute),
		DrainGrace:         pick(0, 500*time.Millisecond, 2*time.Second),
		WarmupDuration:     pick(0, 3*time.Second, 8*time.Second, 20*time.Second),
		ColdOverloadFactor: figure(0, 2, 4.5), ColdOverloadDuration: pick(0, 2*time.Second),
		RemovalIsAdvisory: s.oneIn(2), MaxRetryAfter: pick(0, time.Second, 3*time.Second),
		CanPollLoad:           s.oneIn(2),
		OverQuotaWeightFactor: figure(0, 0.2, 0.7),
	}
	if s.oneIn(2) {
		set.RetryBudgetWindow = pick(time.Second, 5*time.Second)
		set.RetryBudgetMin, set.RetryBudgetRatio = figure(0, 3, 8), figure(0.05, 0.1, 0.6)
	}
	set.Classes = []balancer.Class{
		{
			Name: "idempotent", Idempotency: balancer.Idempotent, PriorityWeight: figure(0, 1, 3),
			SetupLatencyObjective:   pick(0, 150*time.Millisecond),
			MessageLatencyObjective: pick(0, 60*time.Millisecond, 90*time.Millisecond),
		},
		{
			Name: "with key", Idempotency: balancer.WithIdempotencyKey,
			DedupScope: balancer.DedupScope(rnd.IntN(3)), PriorityWeight: figure(1, 8),
			DedupWindow:           pick(time.Second, 10*time.Second),
			SetupLatencyObjective: pick(0, 100*time.Millisecond),
		},
		{
			Name: "non-idempotent", Idempotency: balancer.NonIdempotent,
			PriorityWeight: figure(0, 0.5, 2), Timeout: time.Second,
		},
		{
			Name: "with key everywhere", Idempotency: balancer.WithIdempotencyKey,
			DedupScope: balancer.DedupScopeAll, PriorityWeight: 1,
			DedupWindow:             pick(700*time.Millisecond, 4*time.Second),
			MessageLatencyObjective: pick(0, 45*time.Millisecond, 120*time.Millisecond),
		},
	}
	if s.oneIn(2) {
		set.Tenants = []balancer.Tenant{
			{Name: "small", ConnectionQuota: figure(2, 20)},
			{Name: "large", ConnectionQuota: 500},
			{Name: "free"},
		}
	}
	return set
}

func (s *stream) newBalancer() *balancer.Balancer {
	s.t.Helper()
	b, err := balancer.New(s.settings)
	if err != nil {
		s.t.Fatal(err)
	}
	return b
}

// The fleet.

func (s *stream) drawFleet() {
	s.groups = []int{0, 1, 3, 12, 60}[s.rnd.IntN(5)]
	s.faults = []int{1, 4, 12, 25}[s.rnd.IntN(4)]
	s.usual, s.flaky = condition(s.rnd.IntN(int(conditions))), s.oneIn(4)
	s.pace = []time.Duration{2, 8, 25, 70}[s.rnd.IntN(4)] * time.Millisecond
	for range []int{1, 2, 4, 7, 12, 25}[s.rnd.IntN(6)] {
		s.addHost()
	}
	if s.oneIn(2) { // a fleet of which a part has just been started
		for _, h := range s.hosts {
			if !s.oneIn(3) {
				h.Started = s.now - s.upTo(5*time.Second)
			}
		}
	}
}

func (s *stream) addHost() *host {
	h := &host{
		Server: balancer.Server{
			ID: s.nextHost, Zone: fmt.Sprint("zone ", s.rnd.IntN(2)), Cell: s.rnd.IntN(3),
			Capacity: []float64{1, 1, 1, 0, 0.3, 2.5}[s.rnd.IntN(6)],
		},
		others:   s.rnd.Float64() * 0.7,
		capacity: 5 + 60*s.rnd.Float64(),
	}
	s.nextHost += balancer.ServerID(1 + s.rnd.IntN(5))
	s.hosts = append(s.hosts, h)
	s.hostByID[h.ID] = h
	return h
}

// start feeds the first list, for some streams only after requests that have to wait for it.
func (s *stream) start() {
	mode := balancer.ListMode(s.rnd.IntN(3))
	if s.oneIn(4) {
		for range 1 + s.rnd.IntN(6) {
			s.sendRequest(s.drawRequest())
			s.wait(s.upTo(200 * time.Millisecond))
		}
	}
	s.feedList(mode, s.entries())
	s.listed = true
	if s.oneIn(6) { // a group whose members come at once
		s.burst(20 + s.rnd.IntN(60))
	}
}

func (s *stream) entries() []balancer.Server {
	var list []balancer.Server
	for _, h := range s.hosts {
		list = append(list, h.Server)
	}
	return list
}

func (s *stream) feedList(mode balancer.ListMode, servers []balancer.Server) {
	list := balancer.EndpointList{Mode: mode, Servers: servers}
	if len(s.pastLists) < 6 {
		s.pastLists = append(s.pastLists, list)
	}
	s.feed([]string{"list of changes", "complete list", "cached list"}[mode], list)
}

// Time and events.

// wait lets time pass: timers fire and the world reacts.
func (s *stream) wait(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.reactions) == 0 || s.reactions[0].at > end {
			s.now = max(s.now, end)
			return
		}
		next := s.reactions[0]
		s.reactions = s.reactions[1:]
		s.now = max(s.now, next.at)
		next.run()
	}
}

// later has the world react after a time, behind what is due at the same time already.
func (s *stream) later(d time.Duration, run func()) {
	at := s.now + d
	i, _ := slices.BinarySearchFunc(s.reactions, at, func(r reaction, at time.Duration) int {
		if r.at <= at {
			return -1
		}
		return 1
	})
	s.reactions = slices.Insert(s.reactions, i, reaction{at, run})
}

func (s *stream) feed(what string, event balancer.Event) {
	s.coverage[what]++
	s.add(0, uint64(s.now))
	actions := slices.Clone(s.balancer.Handle(s.now, event))
	for _, a := range actions {
		s.digest(a)
	}
	for _, a := range actions {
		s.react(a, what)
	}
}

// add adds a record of a kind to the digest.
func (s *stream) add(kind byte, fields ...uint64) {
	s.buffer = append(s.buffer[:0], kind)
	for _, f := range fields {
		s.buffer = binary.LittleEndian.AppendUint64(s.buffer, f)
	}
	s.hash.Write(s.buffer)
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (s *stream) digest(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		s.add(1, uint64(a.ID), uint64(a.Server), uint64(a.Timeout), uint64(a.ConnectTimeout))
	case balancer.Reject:
		s.add(2, uint64(a.ID), uint64(a.RetryAfter), bit(a.ShedByFleet))
	case balancer.Fail:
		s.add(3, uint64(a.ID))
	case balancer.Migrate:
		s.add(4, uint64(a.ID))
	case balancer.PollLoad:
		s.add(5, uint64(a.Server))
	case balancer.SetTimer:
		s.add(6, uint64(a.After), uint64(a.Ref))
	case balancer.Log:
		s.add(7)
	default:
		s.t.Errorf("an action of a kind that the digest does not know: %T", a)
	}
}

// observe adds the snapshot and the ejected servers to the digest.
func (s *stream) observe() {
	for _, h := range s.hosts {
		s.add(8, uint64(h.ID), bit(s.balancer.IsEjected(h.ID)))
		if s.balancer.IsEjected(h.ID) {
			s.coverage["server ejected"]++
		}
	}
	s.digestSnapshot(s.balancer.Snapshot())
}

func (s *stream) digestSnapshot(l balancer.Snapshot) {
	mean := func(m balancer.WeightedMean) { s.add(9, math.Float64bits(m.Value), math.Float64bits(m.Weight)) }
	mean(l.MeanLoad)
	mean(l.ConnectionCapacity)
	if l.ConnectionCapacity.Weight > 0 {
		s.coverage["server capacity learned"]++
	}
	for _, m := range l.ClassLoads {
		mean(m)
	}
	present := map[balancer.ServerID]bool{}
	for _, k := range l.Servers {
		present[k.ID] = true
		s.add(10, uint64(k.ID), uint64(k.Started), math.Float64bits(k.LoadLimit), uint64(k.LimitLoweredAt),
			uint64(k.PausedUntil), uint64(k.EjectedUntil), uint64(k.Ejections),
			math.Float64bits(k.FailureScore),
			uint64(k.FailureScoreAt))
		if k.LoadLimit > 0 {
			s.coverage["limit learned"]++
		}
		if k.PausedUntil > s.now {
			s.coverage["server paused"]++
		}
		if k.Ejections > 1 {
			s.coverage["repeated ejection"]++
		}
	}
	for _, h := range s.hosts {
		if h.State == balancer.Removed && !present[h.ID] {
			s.coverage["forgotten server"]++
		}
	}
}

// Reactions to actions.

func (s *stream) react(a balancer.Action, cause string) {
	switch a := a.(type) {
	case balancer.Send:
		s.coverage["send"]++
		s.onSend(a)
	case balancer.Reject:
		s.coverage["reject"]++
		s.onReject(a)
	case balancer.Fail:
		s.coverage["fail"]++
	case balancer.Migrate:
		s.coverage["migrate"]++
		s.onMigrate(a)
	case balancer.PollLoad:
		s.coverage["poll load"]++
		if cause == "timer fired" {
			s.coverage["poll load on a timer"]++
		}
		if !s.oneIn(5) {
			s.later(s.upTo(130*time.Millisecond), func() { s.reportLoad(a.Server) })
		}
	case balancer.SetTimer:
		s.coverage["set timer"]++
		after := max(a.After, 0)
		if s.oneIn(4) {
			after += s.upTo(30 * time.Millisecond)
		}
		asked := s.balancer
		s.later(after, func() {
			if s.balancer == asked {
				s.feed("timer fired", balancer.TimerFired{Ref: a.Ref})
			}
		})
	case balancer.Log:
		s.coverage["log line"]++
	}
}

func (s *stream) onReject(a balancer.Reject) {
	if a.ShedByFleet {
		s.coverage["reject for fleet load shedding"]++
	}
	if a.RetryAfter > 0 {
		s.coverage["reject with advice"]++
	}
	if !s.listed {
		s.coverage["reject while waiting for the first list"]++
	}
	if r := s.requests[a.ID]; s.oneIn(4) {
		s.later(a.RetryAfter+s.upTo(time.Second), func() { s.comeAgain(r) })
	}
}

// comeAgain sends a client's next request, of the same key and group.
func (s *stream) comeAgain(r balancer.Request) {
	s.nextRequest++
	r.ID, r.Reconnecting, r.MidFlow, r.OwnerKnown = s.nextRequest, !s.oneIn(4), false, false
	s.sendRequest(r)
}

func (s *stream) onMigrate(a balancer.Migrate) {
	i := slices.IndexFunc(s.live, func(c *connection) bool { return c.request.ID == a.ID })
	if i < 0 {
		return // a connection adopted from a process before, of which this driver lost sight
	}
	c := s.live[i]
	if h := s.hostByID[c.server]; h.State == balancer.Draining {
		s.coverage["migrate off a drained server"]++
	} else {
		s.coverage["migrate for slow messages"]++
	}
	c.left = true
	s.later(s.upTo(200*time.Millisecond), func() { s.end(c, balancer.OK, true) })
	if !s.oneIn(8) {
		s.later(s.upTo(700*time.Millisecond), func() { s.comeAgain(c.request) })
	}
}

// onSend starts an attempt and draws how it goes on.
func (s *stream) onSend(a balancer.Send) {
	r, h := s.requests[a.ID], s.hostByID[a.Server]
	c := &connection{request: r, attempt: s.attempts[a.ID], server: a.Server}
	s.attempts[a.ID]++
	s.live = append(s.live, c)
	s.coverSend(a, c, h)

	setUp := s.upTo(60 * time.Millisecond)
	limit := a.Timeout
	if limit == 0 {
		limit = time.Second
	}
	fail := func(after time.Duration, result balancer.Result) {
		s.later(after, func() { s.end(c, result, false) })
	}
	fate := h.condition
	if fate != healthy && fate != crashed && s.oneIn(4) {
		fate = healthy
	}
	switch {
	case s.jammed || fate == hanging:
		fail(limit, balancer.TimedOut)
	case fate == crashed:
		fail(setUp, balancer.ConnectFailed)
	case fate == full, s.flaky && s.oneIn(2):
		fail(setUp, balancer.Rejected)
	case fate == failing:
		fail(setUp, []balancer.Result{balancer.Errored, balancer.Reset}[s.rnd.IntN(2)])
	case s.oneIn(60):
		fail(0, balancer.NotSent)
	case s.rnd.IntN(60) == 0:
		fail(setUp, balancer.Cancelled)
	case s.oneIn(25):
		fail(setUp, balancer.Errored)
	case setUp > limit:
		fail(limit, balancer.TimedOut)
	case s.oneIn(30) && a.ConnectTimeout > 0: // stands too late to carry anything
		fail(a.ConnectTimeout, balancer.NotSent)
	case s.oneIn(12): // a short answer
		s.later(setUp, func() { s.end(c, balancer.OK, true) })
	default:
		s.later(setUp, func() { s.establish(c) })
	}
}

func (s *stream) coverSend(a balancer.Send, c *connection, h *host) {
	if c.attempt > 0 {
		s.coverage["retry"]++
		if s.mayHaveRun[a.ID] {
			s.coverage["retry after an attempt that may have run"]++
		}
	}
	if h.Started > 0 && s.now-h.Started < s.settings.WarmupDuration {
		s.coverage["send to a server that is warming up"]++
	}
	if a.ConnectTimeout == 0 {
		s.coverage["send without establish limit"]++
	}
	if c.request.MidFlow {
		s.coverage["send of a mid-flow request"]++
	}
	if h.State == balancer.Draining {
		s.coverage["send to a draining server"]++
	}
}

func (s *stream) establish(c *connection) {
	if !slices.Contains(s.live, c) {
		return
	}
	c.established = true
	s.feed("established", balancer.AttemptEstablished{
		ID: c.request.ID, Attempt: c.attempt, Server: c.server,
		Elapsed: s.upTo(90 * time.Millisecond),
	})
	life := s.upTo([]time.Duration{300 * time.Millisecond, 5 * time.Second, 40 * time.Second}[s.rnd.IntN(3)])
	s.later(life, func() {
		result := balancer.OK
		switch s.rnd.IntN(12) {
		case 0:
			result = balancer.Reset
		case 1:
			result = balancer.Cancelled
		case 2:
			result = balancer.Errored
		}
		s.end(c, result, !s.oneIn(10))
	})
}

// end ends an attempt that has not ended yet.
func (s *stream) end(c *connection, result balancer.Result, answered bool) {
	i := slices.Index(s.live, c)
	if i < 0 {
		return
	}
	s.live = slices.Delete(s.live, i, i+1)
	s.coverage[[...]string{
		"ok", "errored", "full", "timed out", "connect failed", "reset", "cancelled",
		"never sent",
	}[result]]++
	if !result.NeverRan() {
		s.mayHaveRun[c.request.ID] = true
	}
	s.feed("ended", balancer.AttemptEnded{
		ID: c.request.ID, Attempt: c.attempt,
		Server: c.server, Result: result,
		Elapsed: s.upTo(300 * time.Millisecond), Answered: answered || c.left,
	})
}

// What the world does by itself.

func (s *stream) step() {
	if s.rnd.IntN(100) < s.faults {
		s.fault()
		return
	}
	switch dice := s.rnd.IntN(100); {
	case dice < 42:
		s.sendRequest(s.drawRequest())
	case dice < 46:
		s.sendRequest(s.drawMidFlow())
	case dice < 47:
		s.burst(5 + s.rnd.IntN(30))
	case dice < 60:
		s.delayMessage()
	case dice < 68:
		s.changeLoad()
	case dice < 72:
		s.disconnect()
	case dice < 78:
		s.endOne()
	case dice < 84:
		s.reportLoad(s.anyHost().ID)
	case dice < 89:
		s.changeList()
	case dice < 90:
		s.feed("fleet load shedding",
			balancer.FleetShedLevel{Level: []float64{0, 0, 0.3, 1, 1.4}[s.rnd.IntN(5)]})
	case dice < 92:
		s.reinstate(s.anyHost())
	case dice < 93:
		s.jammed = !s.jammed && s.oneIn(2)
	default:
		s.oddEvent()
	}
}

func (s *stream) anyHost() *host { return s.hosts[s.rnd.IntN(len(s.hosts))] }

// anyLive is a live connection that satisfies a condition, or nil.
func (s *stream) anyLive(is func(*connection) bool) *connection {
	var all []*connection
	for _, c := range s.live {
		if !c.left && is(c) {
			all = append(all, c)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[s.rnd.IntN(len(all))]
}

func isEstablished(c *connection) bool { return c.established }

func (s *stream) drawRequest() balancer.Request {
	s.nextRequest++
	class := []string{
		"idempotent", "idempotent", "idempotent", "with key", "non-idempotent",
		"with key everywhere", "not in the settings",
	}[s.rnd.IntN(7)]
	r := balancer.Request{
		ID: s.nextRequest, Class: class,
		Timeout: 50*time.Millisecond +
			s.upTo([]time.Duration{150 * time.Millisecond, 3 * time.Second}[s.rnd.IntN(2)]),
		Priority: s.rnd.IntN(3), Reconnecting: s.oneIn(5),
		Tenant: []string{"", "small", "large", "free"}[s.rnd.IntN(4)],
	}
	if !s.oneIn(8) {
		r.Key = fmt.Sprint("client ", s.rnd.IntN(400))
	}
	if s.groups > 0 && !s.oneIn(6) { // a few are much larger than the rest
		r.Group = fmt.Sprint("group ", s.rnd.IntN(s.rnd.IntN(s.groups)+1))
	}
	if s.oneIn(3) {
		r.Load = 200 + 3000*s.rnd.Float64()
	}
	return r
}

// drawMidFlow is a request of which some server holds the connection already.
func (s *stream) drawMidFlow() balancer.Request {
	r := s.drawRequest()
	r.MidFlow = true
	if s.oneIn(2) {
		r.OwnerKnown, r.Owner = true, s.anyHost().ID
	}
	return r
}

func (s *stream) sendRequest(r balancer.Request) {
	s.requests[r.ID] = r
	s.feed("request", r)
}

func (s *stream) burst(n int) {
	group := s.drawRequest().Group
	for range n {
		r := s.drawRequest()
		r.Group, r.Reconnecting = group, !s.oneIn(3)
		s.sendRequest(r)
	}
}

func (s *stream) delayMessage() {
	c := s.anyLive(isEstablished)
	if c == nil {
		return
	}
	h := s.hostByID[c.server]
	if h.condition == slow && !s.oneIn(6) {
		h.delay += s.upTo(400 * time.Millisecond)
	} else {
		h.delay = s.upTo(50 * time.Millisecond)
	}
	s.feed("message delay", balancer.MessageDelay{ID: c.request.ID, Server: c.server, Delay: h.delay})
}

func (s *stream) changeLoad() {
	if c := s.anyLive(isEstablished); c != nil {
		s.feed("load changed", balancer.LoadChanged{ID: c.request.ID, Load: 100 + 5000*s.rnd.Float64()})
	}
}

func (s *stream) disconnect() {
	c := s.anyLive(func(*connection) bool { return true })
	if c == nil {
		return
	}
	c.left = true
	s.feed("client disconnected", balancer.ClientDisconnected{ID: c.request.ID})
	s.later(s.upTo(50*time.Millisecond), func() { s.end(c, balancer.Cancelled, true) })
}

func (s *stream) endOne() {
	if c := s.anyLive(isEstablished); c != nil {
		s.end(c,
			[]balancer.Result{
				balancer.OK, balancer.OK, balancer.Cancelled, balancer.Reset,
			}[s.rnd.IntN(4)], true)
	}
}

// reportLoad feeds what a server says of its load, with all gateways' connections unless it does not say.
func (s *stream) reportLoad(id balancer.ServerID) {
	h := s.hostByID[id]
	held := 0
	for _, c := range s.live {
		if c.server == id {
			held++
		}
	}
	report := balancer.LoadReport{Server: id, Utilization: h.others + float64(held)/h.capacity}
	if h.condition == slow {
		report.Utilization += 0.5
	}
	if !s.oneIn(4) {
		report.Connections = math.Floor(h.others*h.capacity) + float64(held*max(s.settings.Gateways, 1))
	}
	h.others = max(0, min(h.others+0.3*(s.rnd.Float64()-0.5), 1.2))
	s.feed("load report", report)
}

// Faults.

// fault changes how a server fares.
func (s *stream) fault() {
	h := s.anyHost()
	if h.condition = s.usual; s.oneIn(2) {
		h.condition = condition(s.rnd.IntN(int(conditions)))
	}
	switch h.condition {
	case crashed:
		s.resetAll(h, time.Millisecond+s.upTo(300*time.Millisecond))
	case slow:
		s.slowDown(h, 3+s.rnd.IntN(6))
	}
	s.later(s.upTo(15*time.Second), func() { h.condition = healthy })
}

// resetAll breaks a server's connections within a time.
func (s *stream) resetAll(h *host, within time.Duration) {
	for _, c := range s.live {
		if c.server == h.ID {
			s.later(s.upTo(within), func() { s.end(c, balancer.Reset, c.established) })
		}
	}
}

// slowDown has some connections of a server tell of messages that take longer and longer.
func (s *stream) slowDown(h *host, times int) {
	if times == 0 || h.condition != slow {
		return
	}
	h.delay += 30*time.Millisecond + s.upTo(500*time.Millisecond)
	told := 0
	for _, c := range slices.Clone(s.live) {
		if c.server == h.ID && c.established && told < 3 {
			told++
			s.feed("message delay", balancer.MessageDelay{ID: c.request.ID, Server: h.ID, Delay: h.delay})
		}
	}
	if s.oneIn(3) {
		s.reportLoad(h.ID)
	}
	s.later(500*time.Millisecond+s.upTo(600*time.Millisecond), func() { s.slowDown(h, times-1) })
}

// changeList feeds a list that differs from the last, or one that is old or wrong.
func (s *stream) changeList() {
	h := s.anyHost()
	switch s.rnd.IntN(12) {
	case 0:
		h = s.addHost()
	case 1, 2:
		h.State, h.Evacuate = balancer.Draining, s.oneIn(2)
		defer s.midFlowAfter(h)
	case 3:
		h.State = balancer.Removed
		defer s.midFlowAfter(h)
		s.resetAll(h, time.Second)
	case 4, 5, 6:
		h.State, h.Evacuate = balancer.Ready, false
	case 7:
		s.reboot(h)
	case 8:
		h.Capacity = []float64{0, -1, 0.5, 3, math.NaN(), math.Inf(1)}[s.rnd.IntN(6)]
	case 9: // nothing new
		s.feedList(balancer.ListDelta, nil)
		return
	case 10: // an old list, or an empty one
		old := s.pastLists[s.rnd.IntN(len(s.pastLists))]
		s.feedList(
			[]balancer.ListMode{balancer.ListComplete, balancer.ListCached}[s.rnd.IntN(2)], old.Servers)
		return
	case 11:
		s.feedList(balancer.ListComplete, s.entries())
		return
	}
	if s.oneIn(5) {
		s.feedList(balancer.ListComplete, s.entries())
		return
	}
	s.feedList(balancer.ListDelta, []balancer.Server{h.Server})
}

// midFlowAfter sends requests of a server that has just left the table, around the times up to which it may
// still be sent some.
func (s *stream) midFlowAfter(h *host) {
	s.sendRequest(s.drawRequest()) // the table is filled by the next placement
	times := []time.Duration{s.settings.FlowRetention}
	for range 3 {
		times = append(times, s.upTo(s.settings.DrainGrace+100*time.Millisecond))
	}
	for _, after := range times {
		if after > time.Minute {
			continue
		}
		s.later(after, func() {
			r := s.drawRequest()
			r.MidFlow, r.OwnerKnown, r.Owner = true, s.oneIn(2), h.ID
			s.sendRequest(r)
		})
	}
}

// reboot restarts a server's process.
func (s *stream) reboot(h *host) {
	h.Started, h.State, h.Evacuate, h.condition = s.now, balancer.Ready, false, healthy
	s.resetAll(h, 100*time.Millisecond)
}

// reinstate has staff put a server back into use, for some after a restart.
func (s *stream) reinstate(h *host) {
	s.feed("server reinstated", balancer.ServerReinstated{Server: h.ID})
	if s.oneIn(2) {
		s.reboot(h)
		s.feedList(balancer.ListDelta, []balancer.Server{h.Server})
	}
}

// oddEvent feeds what comes late, twice, or of what is not known.
func (s *stream) oddEvent() {
	known := balancer.RequestID(1 + s.rnd.IntN(int(s.nextRequest)+1))
	unknown := s.nextRequest + 1000
	server := s.anyHost().ID
	switch s.rnd.IntN(9) {
	case 0:
		if c := s.anyLive(isEstablished); c != nil {
			s.feed("request", c.request)
		}
	case 1:
		s.feed("established",
			balancer.AttemptEstablished{ID: known, Attempt: s.rnd.IntN(3), Server: server + 50})
	case 2:
		s.feed("ended", balancer.AttemptEnded{ID: known, Attempt: 7, Server: server, Result: balancer.Reset})
	case 3:
		s.feed("client disconnected", balancer.ClientDisconnected{ID: unknown})
	case 4:
		s.feed("timer fired", balancer.TimerFired{Ref: 77})
	case 5:
		s.feed("load changed", balancer.LoadChanged{ID: unknown, Load: 5})
	case 6:
		s.feed("message delay", balancer.MessageDelay{ID: unknown, Server: 1, Delay: time.Second})
	case 7:
		s.feed("load report", balancer.LoadReport{Server: 1, Utilization: 1})
	case 8:
		s.feed("server reinstated", balancer.ServerReinstated{Server: 1})
	}
}

// Restarts of the gateway.

// restart hands what the Balancer has learned and its open connections to a second one, for some streams with
// figures that no Balancer gives.
func (s *stream) restart() {
	s.coverage["restored snapshot"]++
	snapshot := s.balancer.Snapshot()
	s.digestSnapshot(snapshot)
	if s.oneIn(4) {
		s.spoil(&snapshot)
	}
	s.settings.Seed++
	s.balancer = s.newBalancer()
	s.feedList([]balancer.ListMode{balancer.ListComplete, balancer.ListCached}[s.rnd.IntN(2)], s.entries())
	s.balancer.Restore(s.now, snapshot)
	s.digestSnapshot(s.balancer.Snapshot())
	inherited := s.live
	s.live = nil
	for _, c := range inherited {
		if !c.established || s.oneIn(6) {
			continue
		}
		c.attempt, s.attempts[c.request.ID] = 0, 1
		s.live = append(s.live, c)
		s.feed("adopted connection", balancer.AdoptedConnection{Request: c.request, Server: c.server})
		life := s.upTo(20 * time.Second)
		s.later(life, func() { s.end(c, balancer.OK, true) })
	}
	s.feed("adopted connection",
		balancer.AdoptedConnection{Request: balancer.Request{ID: s.nextRequest + 5000}, Server: 1})
}

// spoil puts figures into a snapshot that have to be passed over or bounded.
func (s *stream) spoil(l *balancer.Snapshot) {
	l.MeanLoad.Value = math.NaN()
	l.ConnectionCapacity.Weight = 1e9
	if s.oneIn(2) {
		l.ClassLoads = l.ClassLoads[1:]
	}
	for i := range l.Servers {
		k := &l.Servers[i]
		switch s.rnd.IntN(6) {
		case 0:
			k.LoadLimit = math.Inf(1)
		case 1:
			k.LoadLimit, k.LimitLoweredAt = -3, s.now+time.Hour
		case 2:
			k.PausedUntil, k.EjectedUntil, k.Ejections = s.now+time.Hour, s.now+time.Hour, -4
		case 3:
			k.Started++
		case 4:
			k.FailureScore, k.FailureScoreAt = 0.9, s.now+time.Minute
		}
	}
}

// lastQuarter does near a stream's end what changes all that follows: a shutdown, or a long silence after
// which servers that are gone may be forgotten.
func (s *stream) lastQuarter() {
	switch s.rnd.IntN(6) {
	case 0:
		s.feed("shutdown", balancer.Shutdown{Deadline: s.now + s.upTo(time.Second)})
	case 1, 2:
		for _, h := range s.hosts[:(len(s.hosts)+1)/2] {
			h.State = balancer.Removed
		}
		s.feedList(balancer.ListDelta, s.entries())
		s.wait(8 * time.Second)
		s.now += 9*time.Minute + s.upTo(time.Minute)
		s.wait(time.Second) // the timers are late, and all else that was due
		s.now += 70*time.Second + s.upTo(time.Minute)
		s.wait(time.Second)
	}
}
