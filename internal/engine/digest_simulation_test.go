package engine_test

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/metrics"
)

const (
	stepsPerSeed            = 160
	serversDrawn            = 8
	prioritiesDrawn         = 4
	startOfClock            = 1000 * time.Hour
	shutdownTimeLimit       = 30 * time.Second // by then an engine that was stopped has ended
	predecessorRefreshDelay = 2500 * time.Millisecond

	// With so many sockets the table of connections never fills up; see predecessor.
	socketsForManyFlows = 64
	manyFlows           = 8
	fewFlows            = 2
)

var failures = []balancer.Result{
	balancer.Errored, balancer.Rejected, balancer.TimedOut,
	balancer.ConnectFailed, balancer.ConnectFailed, balancer.Reset,
}

// simulation draws what surrounds an engine, and records what the engine does to it. All of it runs in one goroutine
// on a clock of its own.
type simulation struct {
	t                *testing.T
	random           *rand.Rand
	transcript       *transcript
	engine           *engine.Engine
	options          engine.Options
	priorityCounters *metrics.PriorityCounters
	log              *logRecorder

	now       time.Duration
	reactions []reaction // in order of time
	sequence  int

	clients        []*client
	attempts       []*attempt
	servers        []listedServer
	predecessor    predecessor
	nextClient     int
	nextRequest    int
	isShuttingDown bool

	isListed       bool // discovery lists servers in this seed
	reportsBacklog bool // servers report the work that waits at them
}

// reaction is something that the surroundings do at a time.
type reaction struct {
	at       time.Duration
	sequence int
	run      func()
}

// listedServer is a server as discovery would list it now.
type listedServer struct {
	id       int
	state    balancer.ServerState
	started  time.Duration
	capacity float64
	addr     int
	load     float64 // that it reports
}

// predecessor is the predecessor process, whose connections the engine takes over. The engine gives these up in the
// order of a map, and with that its slots, whose order decides all that follows. So that this is no matter of chance,
// the simulation takes at most one connection at a time out of the predecessor's state, and repeats the state before
// it would be given up as old. Only at the end of a seed, where nothing depends on the order any more, all are given
// up at once.
type predecessor struct {
	flows    []engine.Flow
	snapshot balancer.Snapshot
	isKnown  bool
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := &simulation{
		t:          t,
		random:     rand.New(rand.NewPCG(seed, 0x6d696c6c6574)),
		transcript: newTranscript(),
		now:        startOfClock,
	}
	s.log = &logRecorder{transcript: s.transcript, counts: map[slog.Level]int{}}
	s.isListed, s.reportsBacklog = !s.oneIn(12), s.oneIn(4)
	s.drawServers()
	settings := s.drawSettings()
	policy, err := balancer.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	s.options = s.drawOptions(settings)
	s.engine = engine.New(s.options, policy, s, s)
	return s
}

func (s *simulation) drawServers() {
	for i := range serversDrawn {
		s.servers = append(s.servers, listedServer{id: i + 1, state: balancer.Removed})
		if i < 1+s.random.IntN(serversDrawn) {
			s.servers[i].state = balancer.Ready
		}
		s.servers[i].started = s.drawStart()
		s.servers[i].capacity = pick(s, 0, 0, 1, 2, 0.5)
		s.servers[i].load = s.drawLoad()
	}
}

func (s *simulation) drawLoad() float64 {
	return pick(s, 0.1, 0.3, 0.55, 0.65, 0.9, 1.02, 1.06, 1.06, 1.3)
}

func (s *simulation) drawStart() time.Duration {
	return pick(s, 0, 0, s.now, s.now-s.between(0, 20*time.Second), s.now-time.Hour)
}

func (s *simulation) drawSettings() balancer.Settings {
	return balancer.Settings{
		Seed:     s.random.Uint64(),
		Gateways: 1 + s.random.IntN(4),
		Classes: []balancer.Class{
			{
				Name: "interactive", Idempotency: balancer.Idempotent, PriorityWeight: 4,
				SetupLatencyObjective: 300 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond,
			},
			{
				Name: "bulk", Idempotency: balancer.WithIdempotencyKey,
				DedupScope:  pick(s, balancer.DedupScopeAll, balancer.DedupScopeZone, balancer.DedupScopeCell),
				DedupWindow: s.between(100*time.Millisecond, 2*time.Second), Timeout: pick(s, 0, 2*time.Second),
			},
			{Name: "strict", Idempotency: balancer.NonIdempotent, PriorityWeight: 2},
		},
		Tenants: []balancer.Tenant{
			{Name: "tenant-1", ConnectionQuota: pick(s, 0.0, 2, 20)},
			{Name: "tenant-2"},
		},
		OverQuotaWeightFactor: pick(s, 0, 0.25),
		MaxAttempts:           1 + s.random.IntN(4),
		FlowRetention:         pick(s, 0, 2*time.Second, 6*time.Second),
		DrainGrace:            pick(s, 0, 500*time.Millisecond, 2*time.Second),
		WarmupDuration:        pick(s, 0, 0, 10*time.Second),
		ColdOverloadFactor:    pick(s, 0, 1.5),
		ColdOverloadDuration:  pick(s, 0, time.Second),
		RemovalIsAdvisory:     s.oneIn(3),
		RetryBudgetWindow:     pick(s, 0, 0, 5*time.Second),
		RetryBudgetMin:        pick(s, 2.0, 20),
		RetryBudgetRatio:      pick(s, 0.1, 0.2),
		MaxRetryAfter:         pick(s, 0, 2*time.Second),
		CanPollLoad:           s.oneIn(2),
	}
}

func (s *simulation) drawOptions(settings balancer.Settings) engine.Options {
	o := engine.Options{
		MaxSockets:                pick(s, 2, 3, 5, 10, 24, socketsForManyFlows, socketsForManyFlows, 100),
		MaxIdleClients:            pick(s, 0, 0, 1, 3, 12),
		RetryAfter:                pick(s, 0, 700*time.Millisecond),
		DefaultTimeout:            s.between(100*time.Millisecond, 4*time.Second),
		AnswerGrace:               pick(s, 0, 5*time.Millisecond, 16*time.Millisecond, 100*time.Millisecond),
		FlowRetention:             settings.FlowRetention,
		ConnectionsOutliveGateway: s.oneIn(2),
		ReportsMessageDelay:       !s.oneIn(4),
		MessageLatencyObjective:   pick(s, 0, 60*time.Millisecond, 60*time.Millisecond, 300*time.Millisecond),
		CanPollLoad:               !s.oneIn(4),
		ReadyTimeout:              pick(s, 0, 500*time.Millisecond, 3*time.Second),
		AnswerTimeout:             pick(s, 0, 500*time.Millisecond, 1500*time.Millisecond, 3300*time.Millisecond),
		DrainTimeout:              pick(s, 500*time.Millisecond, 3500*time.Millisecond, 8*time.Second),
		Logger:                    slog.New(s.log),
		Trace:                     s.oneIn(3),
	}
	if !s.oneIn(4) {
		o.Classes = []string{"interactive", "bulk", "strict"}
	}
	o.Metrics = metrics.New(o.Classes)
	if s.oneIn(2) {
		s.priorityCounters = metrics.NewPriorityCounters(prioritiesDrawn)
		o.PriorityCounters = s.priorityCounters
	}
	if s.oneIn(2) {
		o.PriorityOf = func(class, tenant string) int { return (len(class) + len(tenant)) % prioritiesDrawn }
	}
	return o
}

// run takes an engine from its start to its end.
func (s *simulation) run() {
	s.engine.Start(s.now)
	s.step("start")
	if s.isListed && !s.oneIn(4) {
		s.list(balancer.ListCached)
	}
	shutdownAt := stepsPerSeed - 1 - s.random.IntN(stepsPerSeed/3)
	hasArrivalsInShutdown := s.oneIn(2)
	for i := 0; i < stepsPerSeed && !s.engine.Ended(); i++ {
		if i == shutdownAt && hasArrivalsInShutdown {
			s.shutDown()
		}
		s.advance(s.drawPause())
		s.drawEvent()()
	}
	if !s.isShuttingDown {
		s.letPredecessorExpire()
		s.shutDown()
	}
	s.advance(shutdownTimeLimit)
	if !s.engine.Ended() {
		s.t.Errorf("not ended %v after the stop", shutdownTimeLimit)
	}
	s.advance(time.Second) // nothing may come of it
	s.recordFigures()
}

// letPredecessorExpire lets all connections of the predecessor process be given up at once.
func (s *simulation) letPredecessorExpire() {
	s.predecessor.flows = nil
	s.reactions = nil
	s.advance(max(s.options.FlowRetention, 3*time.Second) + time.Second)
	s.requestState()
}

func (s *simulation) drawPause() time.Duration {
	if s.oneIn(60) {
		return s.between(time.Second, 4*time.Second)
	}
	return s.between(0, pick(s, 0, 2*time.Millisecond, 40*time.Millisecond, 40*time.Millisecond, 250*time.Millisecond))
}

// drawEvent draws what happens next.
func (s *simulation) drawEvent() func() {
	draws := []struct {
		weight int
		run    func()
	}{
		{24, func() { s.arrive(s.accept()) }},
		{6, func() { s.accept() }},
		{6, s.arriveLate},
		{10, s.askUnary},
		{3, s.useClient},
		{8, func() { s.withClient(s.leave) }},
		{2, s.reject},
		{2, s.serverLeaving},
		{4, s.load},
		{5, s.answered},
		{3, func() { s.report(balancer.ServerID(1 + s.random.IntN(serversDrawn+1))) }},
		{6, s.changeServer},
		{2, func() { s.list(pick(s, balancer.ListComplete, balancer.ListComplete, balancer.ListCached)) }},
		{2, s.requestState},
		{3, s.inherit},
		{3, s.changeMaintenance},
		{1, s.changeShedLevel},
		{4, s.stale},
	}
	total := 0
	for _, d := range draws {
		total += d.weight
	}
	n := s.random.IntN(total)
	for _, d := range draws {
		if n -= d.weight; n < 0 {
			return d.run
		}
	}
	panic("unreachable: the weights add up to the total")
}

// Time.

// after plans a reaction. Those of one moment happen in the order in which they were planned.
func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	r := reaction{at: s.now + d, sequence: s.sequence, run: run}
	i, _ := slices.BinarySearchFunc(s.reactions, r, func(a, b reaction) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
	})
	s.reactions = slices.Insert(s.reactions, i, r)
}

// advance lets time go by: reactions happen at their times, and timers as the engine asks for them, or now and then all
// at once and late.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	isLate := s.oneIn(12)
	for {
		at, ok := s.engine.Next()
		hasTimer := ok && at <= end && !isLate && !s.engine.Ended()
		hasReaction := len(s.reactions) > 0 && s.reactions[0].at <= end
		switch {
		case hasTimer && (!hasReaction || at <= s.reactions[0].at):
			s.now = max(s.now, at)
			s.expire()
		case hasReaction:
			r := s.reactions[0]
			s.reactions = s.reactions[1:]
			s.now = max(s.now, r.at)
			r.run()
		default:
			s.now = end
			s.expire()
			return
		}
	}
}

func (s *simulation) expire() {
	s.engine.Expire(s.now)
	s.step("expire")
}

// handle gives the engine an event, now and then with a time that is a little old.
func (s *simulation) handle(name string, event engine.Event) {
	now := s.now
	if s.oneIn(50) {
		now -= 3 * time.Millisecond
	}
	s.engine.Handle(now, event)
	s.step(name)
}

// step records the calls of one step, and how the engine stands after it.
func (s *simulation) step(event string) {
	next, hasNext := s.engine.Next()
	f := s.options.Metrics
	s.transcript.step(event, field{"now", s.now}, field{"next", next}, field{"has next", hasNext},
		field{"ready", s.engine.Ready()}, field{"ended", s.engine.Ended()}, field{"outstanding", f.Outstanding.Load()},
		field{"discovered", f.Discovered.Load()}, field{"ejected", f.Ejected.Load()})
}

// recordFigures ends a transcript.
func (s *simulation) recordFigures() {
	for _, class := range []string{"interactive", "bulk", "strict"} {
		c := s.options.Metrics.Class(class)
		s.transcript.call("class", field{"name", class}, field{"succeeded", c.Succeeded.Load()},
			field{"declined", c.Declined.Load()}, field{"aborted", c.Aborted.Load()})
	}
	if s.priorityCounters != nil {
		counts := s.priorityCounters.TakeCounts()
		asked, refused, cut := counts.Offered, counts.Rejected, counts.Shed
		for priority := range prioritiesDrawn {
			s.transcript.call("rank", field{"number", priority}, field{"asked", int64(asked[priority])},
				field{"refused", int64(refused[priority])}, field{"cut", int64(cut[priority])})
		}
	}
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		s.transcript.call("log", field{"level", int(level)}, field{"records", s.log.counts[level]})
	}
	s.transcript.step("over")
}

// Chance.

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) oneIn(n int) bool { return s.random.IntN(n) == 0 }

func pick[T any](s *simulation, values ...T) T { return values[s.random.IntN(len(values))] }
