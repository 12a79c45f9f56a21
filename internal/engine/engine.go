// Package engine implements the core of a gateway: a state machine that tracks client requests, attempts at servers and
// the endpoint list, and executes the decisions of the balancer.
//
// An Engine performs no I/O and reads no clock. Handle processes one typed event, Expire fires the timers that are due,
// and Next returns the time at which the next timer is due. All times are durations on one monotonic clock. The engine
// notifies the balancer of every event and executes the actions that the balancer returns through Client, Backend and
// LoadPoller. It depends on neither sockets nor a wire protocol, so that the frontends of several protocols share one
// engine.
//
// One goroutine owns an Engine with all its state and makes all calls on it, as package eventloop does. Only Ready may
// be called by any goroutine. The engine calls its clients, backend and poller on the owner's goroutine. These calls
// must not block and must not call the engine back: they report their results as later events.
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

// minAnswerGrace is the minimum of Options.AnswerGrace. The balancer sets its timers for the deadline itself, so that it
// always answers a request before the engine considers the answer overdue.
const minAnswerGrace = 5 * time.Millisecond

// Engine is the core of a gateway. The package comment says which goroutine may call it.
type Engine struct {
	options  Options
	balancer *balancer.Balancer
	backend  Backend
	poller   LoadPoller

	ready atomic.Bool // the only field that other goroutines may access

	now           time.Duration
	timers        timerqueue.Queue[timer]
	pendingEvents []balancer.Event // queue of events that the balancer has yet to handle

	requests    requestTable
	endpoints   endpointTable
	maintenance maintenanceSet
	adopted     adoptedConnections
	shutdown    shutdownState
	statistics  statistics
}

// New returns an Engine that executes the decisions of a balancer, starts attempts with a backend and, if polling is
// enabled, polls servers for their load with a poller.
func New(options Options, lb *balancer.Balancer, backend Backend, poller LoadPoller) *Engine {
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.New(options.Classes)
	}
	options.AnswerGrace = max(options.AnswerGrace, minAnswerGrace)
	return &Engine{
		options:     options,
		balancer:    lb,
		backend:     backend,
		poller:      poller,
		requests:    newRequestTable(options.MaxSockets, options.Classes),
		endpoints:   newEndpointTable(),
		maintenance: maintenanceSet{},
		adopted:     newAdoptedConnections(),
	}
}

// Start sets the periodic timers. It must be called once, before the first event.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	e.setTimer(sweepInterval, timer{kind: sweepTimer})
	e.setTimer(statisticsInterval, timer{kind: statisticsTimer})
	if e.options.ReadyTimeout > 0 {
		e.setTimer(e.options.ReadyTimeout, timer{kind: readyTimer})
	}
}

// Ready reports whether the gateway accepts requests: it has received an endpoint list, or Options.ReadyTimeout has
// passed without one. In the latter case the gateway rejects requests with a retry delay, but it still reports itself
// ready, because the platform considers a gateway dead that never becomes ready. Any goroutine may call Ready.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Ended reports whether the shutdown is complete. Expire does nothing after that.
func (e *Engine) Ended() bool { return e.shutdown.stage == stopped }

// onReadyTimeout makes a gateway ready that has not received an endpoint list.
func (e *Engine) onReadyTimeout() {
	if e.endpoints.listReceived {
		return
	}
	e.options.Logger.Warn("ready without an endpoint list", "timeout", e.options.ReadyTimeout)
	e.ready.Store(true)
}
