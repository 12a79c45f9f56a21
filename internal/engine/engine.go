// Package engine is the core of a gateway. It brings together what clients ask for, what becomes of attempts at
// servers, what discovery lists and what the balancer decides.
//
// An Engine is a state machine without I/O and without a clock. Handle takes one typed event, Expire fires the timers
// that are due, and Next is when Expire has something to do; all times are durations on one clock that never runs
// backwards. The engine notifies the balancer of what happened and carries out its actions by calls on Client,
// Backend and LoadPoller. It knows neither sockets nor a wire protocol, so that frontends of several protocols share
// one engine.
//
// One goroutine owns an Engine with all its state and makes all calls on it, as package eventloop does. Ready alone
// may be called by any goroutine. The engine calls its clients, backend and poller on the owner's goroutine: these
// calls must not block, and must not call the engine back. What follows from them comes as later events.
//
// Each lifecycle has a file of its own: client.go, request.go, attempt.go, migration.go, endpoint.go, maintenance.go,
// polls.go, latency.go, adopted.go and shutdown.go.
package engine

import (
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
	"example.org/milletvane/internal/timerqueue"
)

// minAnswerGrace is the shortest time after a request's deadline until its answer is overdue: the balancer, whose
// timers are set for the deadline itself, always has its turn first.
const minAnswerGrace = 5 * time.Millisecond

// Engine runs a gateway's core. See the package comment for which goroutine may call it.
type Engine struct {
	options  Options
	balancer *balancer.Balancer
	backend  Backend
	poller   LoadPoller

	ready atomic.Bool // all else belongs to the owner's goroutine

	now           time.Duration
	timers        timerqueue.Queue[timer]
	pendingEvents []balancer.Event // that the balancer is to handle, in this order

	requests    requestTable
	endpoints   endpointTable
	maintenance maintenanceSet
	adopted     adoptedConnections
	shutdown    shutdownState
	statistics  statistics
}

// New returns an engine that decides by a balancer, starts attempts with a backend and, where the options allow it,
// asks servers for their load with a poller.
func New(options Options, decider *balancer.Balancer, backend Backend, poller LoadPoller) *Engine {
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.New(options.Classes)
	}
	options.AnswerGrace = max(options.AnswerGrace, minAnswerGrace)
	return &Engine{
		options:     options,
		balancer:    decider,
		backend:     backend,
		poller:      poller,
		requests:    newRequestTable(options.MaxSockets, options.Classes),
		endpoints:   newEndpointTable(),
		maintenance: maintenanceSet{},
		adopted:     newAdoptedConnections(),
	}
}

// Start sets the regular timers. It comes before the first event.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	e.setTimer(sweepInterval, timer{kind: sweepTimer})
	e.setTimer(statisticsInterval, timer{kind: statisticsTimer})
	if e.options.ReadyTimeout > 0 {
		e.setTimer(e.options.ReadyTimeout, timer{kind: readyTimer})
	}
}

// Ready reports whether the gateway takes requests: an endpoint list has been received, or Options.ReadyTimeout has
// passed without one. In the latter case requests are rejected with advice when to come again, but a platform that
// never sees the gateway ready would take it for dead. Any goroutine may call it.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Ended reports whether the shutdown is complete. Nothing is done by Expire after that.
func (e *Engine) Ended() bool { return e.shutdown.stage == stopped }

// onReadyTimeout has a gateway without an endpoint list call itself ready.
func (e *Engine) onReadyTimeout() {
	if e.endpoints.received {
		return
	}
	e.options.Logger.Warn("ready without an endpoint list", "timeout", e.options.ReadyTimeout)
	e.ready.Store(true)
}
