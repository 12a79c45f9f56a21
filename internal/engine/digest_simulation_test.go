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
	serverCount             = 8
	priorityCount           = 4
	clockStart              = 1000 * time.Hour
	shutdownTimeLimit       = 30 * time.Second // an engine must end within this time after its shutdown
	predecessorRefreshDelay = 2500 * time.Millisecond

	// With at least socketsForManyFlows sockets the table of requests never fills up, so that the predecessor process may
	// have up to manyFlows connections. With fewer sockets it has up to fewFlows. See type predecessor.
	socketsForManyFlows = 64
	manyFlows           = 8
	fewFlows            = 2
)

var failures = []balancer.Result{
	balancer.Errored, balancer.Rejected, balancer.TimedOut,
	balancer.ConnectFailed, balancer.ConnectFailed, balancer.Reset,
}

// simulation simulates the randomly drawn environment of an engine and records the calls that the engine makes to it. It
// runs in one goroutine on a simulated clock.
type simulation struct {
	t                *testing.T
	random           *rand.Rand
	transcript       *transcript
	engine           *engine.Engine
	options          engine.Options
	priorityCounters *metrics.PriorityCounters
	log              *logRecorder

	now       time.Duration
	scheduled []scheduledAction // sorted by time
	sequence  int

	clients        []*client
	attempts       []*attempt
	servers        []listedServer
	predecessor    predecessor
	nextClient     int
	nextRequest    int
	isShuttingDown bool

	hasDiscovery   bool // whether discovery sends endpoint lists with this seed
	reportsBacklog bool // whether servers report their backlog
}

// scheduledAction is an action of the environment that is scheduled for a time.
type scheduledAction struct {
	at       time.Duration
	sequence int
	run      func()
}

// listedServer is the current state of a server, which discovery lists.
type listedServer struct {
	id       int
	state    balancer.ServerState
	started  time.Duration
	capacity float64
	addr     int
	load     float64 // reported utilization
}

// predecessor simulates the predecessor process, whose connections the engine adopts. The engine releases them in the
// random order of a map, and the order in which their slots become free affects all that follows. To keep runs
// reproducible, the simulation removes at most one connection at a time from the predecessor's state, and repeats the
// state before the engine would release its connections as expired. Only at the end of a seed, when nothing depends on
// the order any more, does the engine release all of them at once.
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
		now:        clockStart,
	}
	s.log = &logRecorder{transcript: s.transcript, counts: map[slog.Level]int{}}
	s.hasDiscovery, s.reportsBacklog = !s.oneIn(12), s.oneIn(4)
	s.drawServers()
	settings := s.drawSettings()
	lb, err := balancer.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	s.options = s.drawOptions(settings)
	s.engine = engine.New(s.options, lb, s, s)
	return s
}

func (s *simulation) drawServers() {
	for i := range serverCount {
		s.servers = append(s.servers, listedServer{id: i + 1, state: balancer.Removed})
		if i < 1+s.random.IntN(serverCount) {
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
	return pick(s, 0, 0, s.now, s.now-s.durationBetween(0, 20*time.Second), s.now-time.Hour)
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
				DedupWindow: s.durationBetween(100*time.Millisecond, 2*time.Second), Timeout: pick(s, 0, 2*time.Second),
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
		DefaultTimeout:            s.durationBetween(100*time.Millisecond, 4*time.Second),
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
		s.priorityCounters = metrics.NewPriorityCounters(priorityCount)
		o.PriorityCounters = s.priorityCounters
	}
	if s.oneIn(2) {
		o.PriorityOf = func(class, tenant string) int { return (len(class) + len(tenant)) % priorityCount }
	}
	return o
}

// run simulates an engine from its start to its end.
func (s *simulation) run() {
	s.engine.Start(s.now)
	s.step("start")
	if s.hasDiscovery && !s.oneIn(4) {
		s.sendFullList(balancer.ListCached)
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
		s.t.Errorf("the engine has not ended %v after its shutdown", shutdownTimeLimit)
	}
	s.advance(time.Second) // an engine that has ended does nothing
	s.recordMetrics()
}

// letPredecessorExpire advances the clock until the engine has released all connections of the predecessor process.
func (s *simulation) letPredecessorExpire() {
	s.predecessor.flows = nil
	s.scheduled = nil
	s.advance(max(s.options.FlowRetention, 3*time.Second) + time.Second)
	s.requestState()
}

func (s *simulation) drawPause() time.Duration {
	if s.oneIn(60) {
		return s.durationBetween(time.Second, 4*time.Second)
	}
	return s.durationBetween(0, pick(s, 0, 2*time.Millisecond, 40*time.Millisecond, 40*time.Millisecond, 250*time.Millisecond))
}

// drawEvent draws the next event and returns the function that sends it.
func (s *simulation) drawEvent() func() {
	draws := []struct {
		weight int
		run    func()
	}{
		{24, func() { s.sendRequest(s.connectClient()) }},
		{6, func() { s.connectClient() }},
		{6, s.sendLateRequest},
		{10, s.sendUnaryRequest},
		{3, s.reportClientActive},
		{8, func() { s.withClient(s.disconnect) }},
		{2, s.violateProtocol},
		{2, s.announceDrain},
		{4, s.reportConnectionLoad},
		{5, s.answerMessage},
		{3, func() { s.reportLoad(balancer.ServerID(1 + s.random.IntN(serverCount+1))) }},
		{6, s.changeServer},
		{2, func() { s.sendFullList(pick(s, balancer.ListComplete, balancer.ListComplete, balancer.ListCached)) }},
		{2, s.requestState},
		{3, s.sendPredecessorState},
		{3, s.changeMaintenance},
		{1, s.changeShedLevel},
		{4, s.sendStaleEvent},
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

// Simulated time.

// schedule schedules an action. Actions with the same time run in the order in which they were scheduled.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.sequence++
	r := scheduledAction{at: s.now + d, sequence: s.sequence, run: run}
	i, _ := slices.BinarySearchFunc(s.scheduled, r, func(a, b scheduledAction) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
	})
	s.scheduled = slices.Insert(s.scheduled, i, r)
}

// advance advances the clock by d. It runs scheduled actions at their times. It fires the timers of the engine at their times, or
// occasionally all late and at once.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	isLate := s.oneIn(12)
	for {
		at, ok := s.engine.Next()
		hasTimer := ok && at <= end && !isLate && !s.engine.Ended()
		hasReaction := len(s.scheduled) > 0 && s.scheduled[0].at <= end
		switch {
		case hasTimer && (!hasReaction || at <= s.scheduled[0].at):
			s.now = max(s.now, at)
			s.expire()
		case hasReaction:
			r := s.scheduled[0]
			s.scheduled = s.scheduled[1:]
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

// handle passes an event to the engine, occasionally with a time that is slightly in the past.
func (s *simulation) handle(name string, event engine.Event) {
	now := s.now
	if s.oneIn(50) {
		now -= 3 * time.Millisecond
	}
	s.engine.Handle(now, event)
	s.step(name)
}

// step records the calls of one step and the state of the engine after it.
func (s *simulation) step(event string) {
	next, hasNext := s.engine.Next()
	registry := s.options.Metrics
	s.transcript.step(event, field{"now", s.now}, field{"next", next}, field{"has next", hasNext},
		field{"ready", s.engine.Ready()}, field{"ended", s.engine.Ended()}, field{"outstanding", registry.Outstanding.Load()},
		field{"discovered", registry.DiscoveredServers.Load()}, field{"ejected", registry.EjectedServers.Load()})
}

// recordMetrics records the metrics and the log counts, which end a transcript.
func (s *simulation) recordMetrics() {
	for _, class := range []string{"interactive", "bulk", "strict"} {
		c := s.options.Metrics.Class(class)
		s.transcript.call("class", field{"name", class}, field{"succeeded", c.Succeeded.Load()},
			field{"declined", c.Declined.Load()}, field{"aborted", c.Aborted.Load()})
	}
	if s.priorityCounters != nil {
		counts := s.priorityCounters.TakeCounts()
		offered, rejected, shed := counts.Offered, counts.Rejected, counts.Shed
		for priority := range priorityCount {
			s.transcript.call("rank", field{"number", priority}, field{"asked", int64(offered[priority])},
				field{"refused", int64(rejected[priority])}, field{"cut", int64(shed[priority])})
		}
	}
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		s.transcript.call("log", field{"level", int(level)}, field{"records", s.log.counts[level]})
	}
	s.transcript.step("over")
}

// Random choices.

func (s *simulation) durationBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) oneIn(n int) bool { return s.random.IntN(n) == 0 }

func pick[T any](s *simulation, values ...T) T { return values[s.random.IntN(len(values))] }
