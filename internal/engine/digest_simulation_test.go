package engine_test

import (
	"cmp"
	"fmt"
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
	stepsPerSeed  = 160
	serversDrawn  = 8
	ranksDrawn    = 4
	startOfClock  = 1000 * time.Hour
	stopTimeLimit = 30 * time.Second // by then an engine that was stopped has ended
	refreshBefore = 2500 * time.Millisecond

	// With so many sockets the table of connections never fills up; see predecessor.
	socketsForManyFlows = 64
	manyFlows           = 8
	fewFlows            = 2
)

var failures = []balancer.Result{balancer.Errored, balancer.Rejected, balancer.TimedOut, balancer.ConnectFailed, balancer.ConnectFailed, balancer.Reset}

// simulation draws what surrounds an engine, and records what the engine does to it. All of it runs in one goroutine on a
// clock of its own.
type simulation struct {
	t          *testing.T
	random     *rand.Rand
	transcript *transcript
	engine     *engine.Engine
	options    engine.Options
	tiers      *metrics.PriorityCounters
	log        *logRecorder

	now       time.Duration
	reactions []reaction // in order of time
	sequence  int

	clients     []*client
	attempts    []*attempt
	servers     []listedServer
	predecessor predecessor
	nextClient  int
	nextRequest int
	isStopping  bool

	isListed     bool // discovery lists servers in this seed
	tellsBacklog bool // servers report the work that waits at them
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

// predecessor is the process before, whose connections the engine takes over. The engine gives these up in the order of a
// map, and with that its slots, whose order decides all that follows. So that this is no matter of chance, the simulation
// takes at most one connection at a time out of the predecessor's state, and repeats the state before it would be given
// up as old. Only at the end of a seed, where nothing depends on the order any more, all are given up at once.
type predecessor struct {
	flows   []engine.Flow
	learned balancer.Snapshot
	isKnown bool
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0x6d696c6c6574)), transcript: newTranscript(), now: startOfClock}
	s.log = &logRecorder{transcript: s.transcript, counts: map[slog.Level]int{}}
	s.isListed, s.tellsBacklog = !s.oneIn(12), s.oneIn(4)
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
			{Name: "interactive", Idempotency: balancer.Idempotent, PriorityWeight: 4, SetupLatencyObjective: 300 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond},
			{Name: "bulk", Idempotency: balancer.WithIdempotencyKey, DedupScope: pick(s, balancer.DedupScopeAll, balancer.DedupScopeZone, balancer.DedupScopeCell),
				DedupWindow: s.between(100*time.Millisecond, 2*time.Second), Timeout: pick(s, 0, 2*time.Second)},
			{Name: "strict", Idempotency: balancer.NonIdempotent, PriorityWeight: 2},
		},
		Tenants:               []balancer.Tenant{{Name: "tenant-1", ConnectionQuota: pick(s, 0.0, 2, 20)}, {Name: "tenant-2"}},
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
		s.tiers = metrics.NewPriorityCounters(ranksDrawn)
		o.PriorityCounters = s.tiers
	}
	if s.oneIn(2) {
		o.PriorityOf = func(class, tenant string) int { return (len(class) + len(tenant)) % ranksDrawn }
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
	stopAt := stepsPerSeed - 1 - s.random.IntN(stepsPerSeed/3)
	stopsWithArrivals := s.oneIn(2)
	for i := 0; i < stepsPerSeed && !s.engine.Ended(); i++ {
		if i == stopAt && stopsWithArrivals {
			s.stop()
		}
		s.advance(s.drawPause())
		s.drawEvent()()
	}
	if !s.isStopping {
		s.letPredecessorExpire()
		s.stop()
	}
	s.advance(stopTimeLimit)
	if !s.engine.Ended() {
		s.t.Errorf("not ended %v after the stop", stopTimeLimit)
	}
	s.advance(time.Second) // nothing may come of it
	s.recordFigures()
}

// letPredecessorExpire lets all connections of the process before be given up at once.
func (s *simulation) letPredecessorExpire() {
	s.predecessor.flows = nil
	s.reactions = nil
	s.advance(max(s.options.FlowRetention, 3*time.Second) + time.Second)
	s.tell()
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
		{10, s.ask},
		{3, s.alive},
		{8, func() { s.withClient(s.leave) }},
		{2, s.reject},
		{2, s.serverLeaving},
		{4, s.load},
		{5, s.answered},
		{3, func() { s.report(balancer.ServerID(1 + s.random.IntN(serversDrawn+1))) }},
		{6, s.changeServer},
		{2, func() { s.list(pick(s, balancer.ListComplete, balancer.ListComplete, balancer.ListCached)) }},
		{2, s.tell},
		{3, s.inherit},
		{3, s.ban},
		{1, s.shed},
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
	if s.tiers != nil {
		counts := s.tiers.TakeCounts()
		asked, refused, cut := counts.Offered, counts.Rejected, counts.Shed
		for rank := range ranksDrawn {
			s.transcript.call("rank", field{"number", rank}, field{"asked", int64(asked[rank])},
				field{"refused", int64(refused[rank])}, field{"cut", int64(cut[rank])})
		}
	}
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		s.transcript.call("log", field{"level", int(level)}, field{"records", s.log.counts[level]})
	}
	s.transcript.step("over")
}

// Clients.

func (s *simulation) newClient() *client {
	s.nextClient++
	if s.oneIn(3) {
		m := &movableClient{client{simulation: s, number: s.nextClient}}
		m.self = m
		s.clients = append(s.clients, &m.client)
		return &m.client
	}
	c := &client{simulation: s, number: s.nextClient}
	c.self = c
	s.clients = append(s.clients, c)
	return c
}

func (s *simulation) accept() *client {
	c := s.newClient()
	event := engine.ClientConnected{Client: c.self}
	if s.oneIn(2) {
		event.Done = func() { s.transcript.call("done", field{"client", c.number}) }
	}
	s.handle("accepted", event)
	return c
}

func (s *simulation) arrive(c *client) {
	if c.gone && !s.oneIn(4) { // a line may cross the close
		return
	}
	c.hasRequest = true
	s.handle("arrived", engine.RequestReceived{Client: c.self, Request: s.drawRequest()})
}

// arriveLate brings the request of a client that was accepted some time ago, or seldom a second one.
func (s *simulation) arriveLate() {
	s.withClient(func(c *client) {
		if !c.hasRequest || s.oneIn(6) {
			s.arrive(c)
		}
	})
}

func (s *simulation) ask() {
	c := s.newClient()
	c.hasRequest, c.answerOnly = true, true
	s.handle("asked", engine.UnaryRequestReceived{Client: c.self, Request: s.drawRequest()})
}

func (s *simulation) alive() {
	s.withClient(func(c *client) { s.handle("alive", engine.ClientActive{Client: c.self}) })
}

func (s *simulation) leave(c *client) {
	c.gone = true
	s.handle("left", engine.ClientDisconnected{Client: c.self})
}

func (s *simulation) reject() {
	s.withClient(func(c *client) {
		c.gone = true
		s.handle("rejected", engine.ProtocolViolated{Client: c.self})
	})
}

// withClient draws one of the clients that are there, if there is one. One that has gone is drawn seldom.
func (s *simulation) withClient(use func(*client)) {
	if !s.oneIn(30) {
		s.clients = slices.DeleteFunc(s.clients, func(c *client) bool { return c.gone })
	}
	if len(s.clients) > 0 {
		use(s.clients[s.random.IntN(len(s.clients))])
	}
}

func (s *simulation) drawRequest() engine.Request {
	s.nextRequest++
	q := engine.Request{
		ID:           pick(s, "", fmt.Sprint("request-", s.nextRequest), fmt.Sprint("request-", max(1, s.nextRequest-s.random.IntN(12)))),
		Class:        pick(s, "interactive", "interactive", "bulk", "bulk", "strict"),
		Tenant:       pick(s, "", "tenant-1", "tenant-2"),
		Key:          fmt.Sprint("key-", s.random.IntN(40)),
		Group:        pick(s, "", "", fmt.Sprint("group-", s.random.IntN(4))),
		Timeout:      pick(s, 0, time.Millisecond, 30*time.Millisecond, 300*time.Millisecond, time.Second, 3*time.Second, 10*time.Second),
		Load:         pick(s, 0.0, 0, 50, 200, 1000, 20000), // whole numbers: sums of them are exact in any order
		Reconnecting: s.oneIn(7),
		MidFlow:      s.oneIn(10),
	}
	switch s.random.IntN(30) {
	case 0, 1:
		q.Class = "unlisted class"
	case 2:
		q.Key = ""
	case 3, 4:
		q.Owner = s.serverName(1 + s.random.IntN(serversDrawn+1))
	}
	if flows := s.predecessor.flows; len(flows) > 0 && (q.MidFlow || s.oneIn(10)) {
		q.ID = flows[s.random.IntN(len(flows))].ID
		q.MidFlow = !s.oneIn(5)
	}
	return q
}

// Attempts.

// establish has an attempt's connection stand. The event may come a little later than that.
func (s *simulation) establish(a *attempt) {
	if a.abandoned {
		return
	}
	a.established = true
	elapsed := s.now - a.sentAt
	s.after(s.drawCrossing(), func() {
		s.handle("up", engine.AttemptEstablished{RequestID: a.sent.RequestID, Number: a.sent.Number, Elapsed: elapsed})
		s.after(s.between(100*time.Millisecond, 12*time.Second), func() { s.endEstablished(a) })
		if s.oneIn(3) {
			s.after(s.between(0, 3*time.Second), func() { a.waitingFrom = s.now })
		}
	})
}

// drawCrossing is how long an event is on its way.
func (s *simulation) drawCrossing() time.Duration {
	return pick(s, 0, 0, 0, 0, 5*time.Millisecond, 80*time.Millisecond, time.Second, 2*time.Second)
}

// end ends an attempt that is out.
func (s *simulation) end(a *attempt, result balancer.Result) {
	if a.abandoned || a.ended {
		return
	}
	a.ended = true
	s.after(s.drawCrossing(), func() { s.handleEnded(a, result) })
}

func (s *simulation) endEstablished(a *attempt) {
	a.ended = true
	s.handleEnded(a, pick(s, balancer.OK, balancer.OK, balancer.Reset, balancer.Cancelled, balancer.Errored))
}

func (s *simulation) handleEnded(a *attempt, result balancer.Result) {
	s.handle("ended", engine.AttemptEnded{RequestID: a.sent.RequestID, Number: a.sent.Number, Result: result})
}

// withEstablished draws one of the latest attempts that are established, if there is one.
func (s *simulation) withEstablished(use func(*attempt)) {
	var established []*attempt
	for _, a := range s.attempts[max(0, len(s.attempts)-60):] {
		if a.established && !a.ended {
			established = append(established, a)
		}
	}
	if len(established) > 0 {
		use(established[s.random.IntN(len(established))])
	}
}

func (s *simulation) serverLeaving() {
	s.withEstablished(func(a *attempt) { s.handle("leaving", engine.ServerDraining{RequestID: a.sent.RequestID}) })
}

func (s *simulation) load() {
	s.withEstablished(func(a *attempt) {
		s.handle("load", engine.ConnectionLoad{RequestID: a.sent.RequestID, Load: float64(s.random.IntN(5000))})
	})
}

func (s *simulation) answered() {
	s.withEstablished(func(a *attempt) {
		a.waitingFrom = 0
		s.handle("answered", engine.MessageAnswered{RequestID: a.sent.RequestID, Delay: pick(s,
			s.between(0, 30*time.Millisecond), s.between(0, 30*time.Millisecond), s.between(0, 400*time.Millisecond))})
	})
}

// stale brings an event of an attempt that may be long over.
func (s *simulation) stale() {
	if len(s.attempts) == 0 {
		return
	}
	a := s.attempts[s.random.IntN(len(s.attempts))]
	number := a.sent.Number + s.random.IntN(2)
	switch s.random.IntN(4) {
	case 0:
		if a.established || a.abandoned {
			s.handle("up", engine.AttemptEstablished{RequestID: a.sent.RequestID, Number: number})
		}
	case 1:
		a.ended = true
		s.handle("ended", engine.AttemptEnded{RequestID: a.sent.RequestID, Number: number, Result: balancer.Reset})
	case 2:
		s.handle("load", engine.ConnectionLoad{RequestID: a.sent.RequestID, Load: 7})
	case 3:
		s.handle("answered", engine.MessageAnswered{RequestID: a.sent.RequestID, Delay: time.Second})
	}
}

// Servers.

func (s *simulation) serverName(id int) string { return fmt.Sprint("server-", id) }

func (s *simulation) entry(l listedServer) engine.Server {
	return engine.Server{Name: s.serverName(l.id), Addr: fmt.Sprintf("addr-%d-%d", l.id, l.addr), Server: balancer.Server{
		ID: balancer.ServerID(l.id), Zone: fmt.Sprint("zone-", l.id%2), Cell: l.id % 3, State: l.state, Capacity: l.capacity,
		Started: l.started,
	}}
}

// list brings a whole list: those that are gone may be listed as such, or left out.
func (s *simulation) list(mode balancer.ListMode) {
	event := engine.EndpointList{Mode: mode, Version: int64(s.random.IntN(50))}
	if !s.oneIn(8) {
		for _, l := range s.servers {
			if l.state != balancer.Removed && !s.oneIn(10) || l.state == balancer.Removed && s.oneIn(4) {
				event.Servers = append(event.Servers, s.entry(l))
			}
		}
	}
	s.handleList(event)
}

func (s *simulation) handleList(event engine.EndpointList) {
	if s.isListed {
		s.handle("list", event)
	}
}

// changeServer changes one or two servers and lists what has changed.
func (s *simulation) changeServer() {
	event := engine.EndpointList{Mode: balancer.ListDelta}
	for range 1 + s.random.IntN(2) {
		l := &s.servers[s.random.IntN(serversDrawn)]
		switch s.random.IntN(6) {
		case 0, 1, 2:
			l.state = balancer.Ready
		case 3:
			l.state = balancer.Draining
		case 4:
			l.state = balancer.Removed
		case 5:
			l.started, l.addr = s.drawStart(), s.random.IntN(5)
		}
		event.Servers = append(event.Servers, s.entry(*l))
	}
	if s.oneIn(10) { // another server under a number that is taken
		twin := s.entry(s.servers[s.random.IntN(serversDrawn)])
		twin.Name = "twin"
		event.Servers = append(event.Servers, twin)
	}
	s.handleList(event)
}

// report brings a server's report of its load, which changes now and then.
func (s *simulation) report(server balancer.ServerID) {
	report := engine.LoadReport{Utilization: s.drawLoad(), HasUtilization: !s.oneIn(10)}
	if i := int(server) - 1; i < len(s.servers) {
		if s.oneIn(25) {
			s.servers[i].load = s.drawLoad()
		}
		report.Utilization = s.servers[i].load
	}
	if s.oneIn(2) {
		report.Connections = float64(s.random.IntN(60))
	}
	if s.tellsBacklog && s.oneIn(2) {
		report.Backlog, report.HasBacklog = s.between(0, 200*time.Millisecond), true
	}
	s.handle("probed", engine.LoadReported{Server: server, Report: report})
}

func (s *simulation) ban() {
	id := 1 + s.random.IntN(serversDrawn+1)
	event := engine.MaintenanceChanged{Name: s.serverName(id), InMaintenance: s.oneIn(2)}
	if !s.oneIn(3) {
		event.Done = func() { s.transcript.call("done", field{"banned", id}) }
	}
	s.handle("banned", event)
	if event.InMaintenance {
		s.after(s.between(0, 3*time.Second), func() {
			s.handle("banned", engine.MaintenanceChanged{Name: s.serverName(id)})
		})
	}
}

func (s *simulation) shed() {
	s.handle("shed", engine.FleetShedLevel{Level: pick(s, 0, 0, 0.5, 1.25)})
}

// Processes.

func (s *simulation) stop() {
	s.isStopping = true
	s.handle("stop", engine.Shutdown{})
	if s.oneIn(3) {
		s.handle("stop", engine.Shutdown{}) // it is told once
	}
}

// tell asks for the state, and records each field of it.
func (s *simulation) tell() {
	s.handle("tell", engine.StateRequested{Deliver: func(state engine.State) {
		s.predecessor.learned = state.Balancer
		s.transcript.call("state", field{"version", state.Version})
		for _, e := range state.Servers {
			s.transcript.call("state server", field{"name", e.Name}, field{"addr", e.Addr}, field{"id", int(e.ID)}, field{"zone", e.Zone},
				field{"cell", e.Cell}, field{"state", int(e.State)}, field{"capacity", e.Capacity}, field{"started", e.Started},
				field{"clear", e.Evacuate})
		}
		for _, f := range state.Flows {
			s.transcript.call("state flow", field{"id", f.ID}, field{"class", f.Class}, field{"key", f.Key}, field{"group", f.Group},
				field{"server", f.Server}, field{"load", f.Load})
		}
		s.recordLearned(state.Balancer)
	}})
}

func (s *simulation) recordLearned(l balancer.Snapshot) {
	s.transcript.call("learned", field{"load", l.MeanLoad.Value}, field{"weight", l.MeanLoad.Weight}, field{"bears", l.ConnectionCapacity.Value},
		field{"weight", l.ConnectionCapacity.Weight})
	for _, c := range l.ClassLoads {
		s.transcript.call("learned class", field{"load", c.Value}, field{"weight", c.Weight})
	}
	for _, k := range l.Servers {
		s.transcript.call("learned server", field{"id", int(k.ID)}, field{"started", k.Started}, field{"limit", k.LoadLimit},
			field{"cut at", k.LimitLoweredAt}, field{"paused until", k.PausedUntil}, field{"ejected", k.EjectedUntil},
			field{"ejections", k.Ejections}, field{"strikes", k.FailureScore}, field{"strikes at", k.FailureScoreAt})
	}
}

// inherit brings the state of the process before: at first with all its connections, then with one less now and then.
func (s *simulation) inherit() {
	p := &s.predecessor
	event := engine.PredecessorState{First: !p.isKnown}
	if !p.isKnown {
		s.drawFlows()
		event.State.Balancer = p.learned
	} else if len(p.flows) > 0 && s.oneIn(2) {
		i := s.random.IntN(len(p.flows))
		p.flows = slices.Delete(slices.Clone(p.flows), i, i+1)
	}
	s.handleInherit(event)
	if event.First {
		s.refreshPredecessor()
	}
}

func (s *simulation) drawFlows() {
	p := &s.predecessor
	p.isKnown = true
	most := fewFlows
	if s.options.MaxSockets >= socketsForManyFlows {
		most = manyFlows
	}
	for i := range 1 + s.random.IntN(most) {
		p.flows = append(p.flows, engine.Flow{
			ID: fmt.Sprint("flow-", i), Class: pick(s, "interactive", "bulk"), Key: fmt.Sprint("key-", s.random.IntN(40)),
			Group: pick(s, "", "group-1"), Server: s.serverName(1 + s.random.IntN(serversDrawn)), Load: pick(s, 0.0, 300),
		})
	}
	if len(p.flows) > 0 && s.oneIn(10) {
		p.flows[0].ID = ""
	}
}

func (s *simulation) handleInherit(event engine.PredecessorState) {
	event.State.Flows = slices.Clone(s.predecessor.flows)
	s.handle("inherit", event)
}

// refreshPredecessor repeats the state of the process before while it has more than one connection.
func (s *simulation) refreshPredecessor() {
	s.after(refreshBefore, func() {
		if len(s.predecessor.flows) > 1 {
			s.handleInherit(engine.PredecessorState{})
			s.refreshPredecessor()
		}
	})
}

// Chance.

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) oneIn(n int) bool { return s.random.IntN(n) == 0 }

func pick[T any](s *simulation, values ...T) T { return values[s.random.IntN(len(values))] }
