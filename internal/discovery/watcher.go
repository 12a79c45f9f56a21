// Package discovery keeps the endpoint list of a gateway up to date. A [Watcher] polls the discovery service, or an agent on
// the same machine, over HTTP. It performs one poll at a time, as package refresh schedules them, and passes each list to its
// handler as an event of the engine.
//
// The goroutine that calls Run owns the watcher's state, and Run returns only after everything that it started has ended. While
// Run runs, other goroutines may call only SetAddr. The functions on lists are pure.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/operr"
)

// Watcher polls for the endpoint list while Run runs.
type Watcher struct {
	logger    *slog.Logger
	handler   func(engine.Event)
	client    *client
	scheduler *refresh.Scheduler
	now       func() time.Duration

	mu     sync.Mutex         // guards addr and cancel, which SetAddr uses while Run runs
	addr   string             // address of the service
	cancel context.CancelFunc // cancels the current poll and the delay before it; nil before the first poll

	// Only Run's goroutine uses these fields.
	polledAddr  string // address of the current poll
	staleLogged bool   // set once it is logged that the held list is stale, until the next list arrives
}

// New returns a Watcher of the service at addr, which has the form host:port. The function now is a monotonic clock.
func New(addr string, settings refresh.Settings, now func() time.Duration, logger *slog.Logger) *Watcher {
	return &Watcher{
		logger:     logger,
		client:     newClient(dialTCP),
		scheduler:  refresh.New(settings),
		now:        now,
		addr:       addr,
		polledAddr: addr,
	}
}

// SetHandler sets the function that Run's goroutine calls with each list. It must be called before Run.
func (w *Watcher) SetHandler(handler func(engine.Event)) { w.handler = handler }

// SetAddr changes the address of the service. Any goroutine may call it. A poll of the old address is canceled, and the new
// address is polled immediately for the complete list, so that no change between the two is lost.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr && w.cancel != nil {
		w.cancel()
	}
	w.addr = addr
}

// Run polls until ctx is done. The parameter known is the list that is held already, or nil if there is none.
func (w *Watcher) Run(ctx context.Context, known *EndpointList) {
	defer w.client.closeIdleConnections()
	poll := w.firstPoll(known)
	for ctx.Err() == nil {
		pollCtx, cancel, addrChanged := w.beginPoll(ctx)
		if addrChanged {
			w.client.closeIdleConnections()
			poll = w.scheduler.Handle(w.now(), refresh.Start{})
		}
		list, err := w.client.poll(pollCtx, w.polledAddr, poll)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, context.Canceled) || w.addrChanged() {
			continue // the outcome of a poll of an old address is ignored
		}
		if err != nil {
			poll = w.handlePollFailure(err)
		} else {
			poll = w.handleList(list)
		}
	}
}

func (w *Watcher) firstPoll(known *EndpointList) refresh.Poll {
	start := refresh.Start{}
	if known != nil && len(known.Endpoints) > 0 {
		start = refresh.Start{HasList: true, Version: known.Version}
	}
	return w.scheduler.Handle(w.now(), start)
}

// beginPoll returns the context of the next poll, its cancel function, and whether the service's address has changed since the
// last poll.
func (w *Watcher) beginPoll(ctx context.Context) (_ context.Context, cancel context.CancelFunc, addrChanged bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	addrChanged = w.addr != w.polledAddr
	w.polledAddr = w.addr
	ctx, w.cancel = context.WithCancel(ctx)
	return ctx, w.cancel, addrChanged
}

// addrChanged reports whether the service's address has changed since the current poll began.
func (w *Watcher) addrChanged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr != w.polledAddr
}

// handleList passes a list to the handler if it may be applied, and returns the next poll.
func (w *Watcher) handleList(list *EndpointList) refresh.Poll {
	if w.staleLogged {
		w.staleLogged = false
		w.logger.Info("endpoint list no longer stale", "version", list.Version, "addr", w.polledAddr)
	}
	if w.scheduler.Accepts(list.Version, list.Complete) {
		w.handler(list.EngineList(list.mode()))
		if list.Complete || len(list.Endpoints) > 0 {
			w.logger.Info("endpoint list updated", "version", list.Version, "endpoints", len(list.Endpoints),
				"complete", list.Complete)
		}
	} else {
		w.logger.Warn("endpoint list rejected", "version", list.Version, "complete", list.Complete, "addr", w.polledAddr,
			"reason", "older than the list held, or changes without a list to apply them to")
	}
	return w.scheduler.Handle(w.now(), refresh.ListReceived{Version: list.Version, Complete: list.Complete})
}

// mode returns the mode in which the engine applies a received list.
func (l *EndpointList) mode() balancer.ListMode {
	if l.Complete {
		return balancer.ListComplete
	}
	return balancer.ListDelta
}

// handlePollFailure logs a poll that failed with err, and returns the next poll.
func (w *Watcher) handlePollFailure(err error) refresh.Poll {
	var next refresh.Poll
	if errors.Is(err, ErrTimeout) {
		w.client.closeIdleConnections()
		next = w.scheduler.Handle(w.now(), refresh.TimedOut{})
	} else {
		next = w.scheduler.Handle(w.now(), refresh.Failed{})
	}
	w.logFailure(next, err)
	return next
}

// logFailure logs a failed poll and, once per outage, that the list has become stale.
func (w *Watcher) logFailure(next refresh.Poll, err error) {
	fields := []any{"addr", w.polledAddr, "err", err, "retry_in", next.Delay}
	if operrError := operr.Find(err); operrError != nil {
		fields = append(fields, "remedy", operrError.Remedy())
	}
	w.logger.Warn("endpoint list poll failed", fields...)
	if now := w.now(); !w.staleLogged && next.StaleAt > 0 && now >= next.StaleAt {
		w.staleLogged = true
		w.logger.Error("endpoint list stale", "age", w.scheduler.Age(now), "addr", w.polledAddr)
	}
}
