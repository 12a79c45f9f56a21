// Package engine is the core of a gateway. One goroutine owns the rules, the table of connections and all
// deadlines; it takes typed events from the fronts, the attempts and discovery, shows them to the rules and
// carries out what these decide. It knows neither sockets nor lines, so that a second front can share it.
package engine

import (
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
	"example.org/milletvane/internal/slotmap"
	"example.org/milletvane/internal/timerqueue"
)

const (
	// A connection that asks for nothing is closed after this. Clients send their line at once, and those that
	// do not are owed an end within 3 s.
	openingFor = 2500 * time.Millisecond
	carriedFor = 40 * time.Second // an attempt to take up a connection from before the run
	// A server that returns no line for this long has lost its clients. They are owed an end 7 s after the last
	// thing that came, and send a line every 2 s, so that the first without return is up to 2 s younger.
	silentFor  = 4 * time.Second
	moveWithin = time.Second            // a client is told MOVE, or else cut off
	tickEvery  = 250 * time.Millisecond // between looks at open connections
	delayTold  = time.Second            // between words of slow messages at one server
	leastSlack = 5 * time.Millisecond   // the rules have their chance to answer before the guard does
	quietFor   = time.Second            // after Stop, clients may come this long though none is left
	sampleFor  = 2500 * time.Millisecond
	statsEvery = 10 * time.Second
)

type dueKind uint8

const (
	dueWake dueKind = iota
	dueAttempt
	dueAnswer
	dueOpening
	dueMove
	dueTick
	dueStats
	dueReady
	dueClosing
	dueEnd
)

type due struct {
	kind dueKind
	id   slotmap.Handle
	ref  int64
}

// Engine runs a gateway's core.
type Engine struct {
	opts    Options
	rules   *balancer.Balancer
	backend Backend
	prober  LoadPoller

	ready atomic.Bool

	now       time.Duration
	requests  *slotmap.Map[*request]
	named     map[string]slotmap.Handle // requests by their clients' names for them
	openings  int                       // of the requests, those that have asked for nothing
	classes   map[string]bool
	deadlines timerqueue.Queue[due]
	servers   map[balancer.ServerID]*server
	names     map[string]balancer.ServerID
	banned    map[string]bool           // names of servers that are out by hand, listed or not
	unnamed   metrics.ClassCounters     // for what the settings do not name; nobody reads it
	listed    bool                      // a list has come
	version   int64                     // of the list
	heirs     map[string]slotmap.Handle // connections of the process before, by their clients' names for them
	came      map[string]bool           // of these, those whose packets have come here
	queue     []balancer.Event          // outcomes that follow at once from actions
	stage     stage
	stoppedAt time.Duration
	answerBy  time.Duration // what waits at the stop is answered by then

	inheritedAt time.Duration // when the process before was last heard of
	counts      counts

	toldNoList bool // since the last regular line
}

// counts are what the log's regular line tells.
type counts struct{ taken, up, refused, failed, rejected, closed, moved, left, ended int }

// New returns an engine that starts attempts with backend and, where Options allow it, asks for loads with prober.
func New(opts Options, decider *balancer.Balancer, backend Backend, prober LoadPoller) *Engine {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.New(opts.Classes)
	}
	opts.AnswerGrace = max(opts.AnswerGrace, leastSlack)
	classes := make(map[string]bool, len(opts.Classes))
	for _, c := range opts.Classes {
		classes[c] = true
	}
	return &Engine{
		opts: opts, classes: classes, named: map[string]slotmap.Handle{}, rules: decider, backend: backend, prober: prober,
		requests: slotmap.New[*request](opts.MaxSockets),
		servers:  map[balancer.ServerID]*server{}, names: map[string]balancer.ServerID{}, banned: map[string]bool{},
		heirs: map[string]slotmap.Handle{}, came: map[string]bool{},
	}
}

// Ready reports whether requests are taken: a list of servers has come, or none in the time that the start has for it. Who
// has no list then refuses, with word of when to come again; a gateway that never says that it is ready is taken for dead.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Ended reports whether the end that Stop began is over.
func (e *Engine) Ended() bool { return e.stage == ended }

// Start sets the regular looks going.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	e.deadlines.Add(now+tickEvery, due{kind: dueTick})
	e.deadlines.Add(now+statsEvery, due{kind: dueStats})
	if within := e.opts.ReadyTimeout; within > 0 {
		e.deadlines.Add(now+within, due{kind: dueReady})
	}
}

// Handle takes one event.
func (e *Engine) Handle(now time.Duration, ev Event) {
	e.now = max(e.now, now)
	switch ev := ev.(type) {
	case ClientConnected:
		e.onAccepted(ev.Client)
		if ev.Done != nil {
			ev.Done()
		}
	case ClientActive:
		if r := e.of(ev.Client); r != nil && r.phase == opening {
			e.rearm(&r.answer, e.now+openingFor, due{kind: dueOpening, id: r.id})
		}
	case RequestReceived:
		e.onArrived(ev)
	case UnaryRequestReceived:
		e.onAsked(ev)
	case ServerDraining:
		if r, ok := e.requests.Get(ev.RequestID); ok {
			e.onLeaving(r.server)
		}
	case ClientDisconnected:
		e.onLeft(ev.Client)
	case ProtocolViolated:
		if r := e.of(ev.Client); r != nil {
			e.counts.rejected++
			if r.phase == waiting {
				r.class.Aborted.Add(1)
			}
			e.drop(r)
		}
	case AttemptEstablished:
		e.onUp(ev)
	case AttemptEnded:
		e.onEnded(ev)
	case ConnectionLoad:
		if r, ok := e.requests.Get(ev.RequestID); ok {
			r.load = ev.Load
			e.tell(balancer.LoadChanged{ID: balancer.RequestID(ev.RequestID), Load: ev.Load})
		}
	case MessageAnswered:
		if r, ok := e.requests.Get(ev.RequestID); ok {
			if s := e.servers[r.server]; s != nil {
				s.meter.line, s.meter.lineAt, s.meter.lineOf = ev.Delay, e.now, r.id
			}
		}
	case LoadReported:
		if s := e.servers[ev.Server]; s != nil {
			s.meter.report(e.now, ev.Report)
			if ev.Report.HasUtilization {
				e.tell(balancer.LoadReport{Server: ev.Server, Utilization: ev.Report.Utilization, Connections: ev.Report.Connections})
			}
		}
	case EndpointList:
		e.onList(ev)
	case StateRequested:
		e.onTell(ev)
	case PredecessorState:
		e.onInherit(ev)
	case MaintenanceChanged:
		e.onBanned(ev)
	case FleetShedLevel:
		e.tell(balancer.FleetShedLevel{Level: ev.Level})
	case Shutdown:
		e.onStop()
	}
}

// Expire carries out what has come due.
func (e *Engine) Expire(now time.Duration) {
	e.now = max(e.now, now)
	for e.stage != ended {
		d, ok := e.deadlines.PopExpired(e.now)
		if !ok {
			return
		}
		r, _ := e.requests.Get(d.id)
		switch d.kind {
		case dueWake:
			e.tell(balancer.TimerFired{Ref: d.ref})
		case dueAttempt:
			if r != nil {
				e.onTimeout(r)
			}
		case dueAnswer:
			if r != nil && r.phase == waiting {
				e.onOverdue(r)
			}
		case dueOpening:
			if r != nil && r.phase == opening {
				e.close(r)
			}
		case dueMove:
			// Its server stopped within a line, behind which it was to be told.
			if r != nil && r.phase == leaving {
				r.client.Close()
				e.free(r)
			}
		case dueTick:
			e.deadlines.Add(e.now+tickEvery, due{kind: dueTick})
			e.look()
			e.countServers()
			e.lookInherited()
			if e.stage > serving && e.requests.Len() == 0 && e.now-e.stoppedAt >= quietFor {
				e.end()
			}
		case dueStats:
			e.deadlines.Add(e.now+statsEvery, due{kind: dueStats})
			e.logStats()
			e.toldNoList = false
		case dueReady:
			if !e.listed {
				e.opts.Logger.Warn("ready without a list: none came, requests are refused until one does", "after", e.opts.ReadyTimeout)
				e.ready.Store(true)
			}
		case dueClosing:
			e.onClosing()
		case dueEnd:
			e.end()
		}
	}
}

// Next is when Expire has something to do; ok is false where nothing is to come.
func (e *Engine) Next() (at time.Duration, ok bool) { return e.deadlines.Next() }
