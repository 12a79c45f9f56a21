// Package discovery keeps the endpoint list of a gateway up to date. A [Watcher] polls the discovery service, or an agent on
// the same machine, over HTTP, one poll after another as package refresh schedules them, and passes each list on as an event
// of the engine.
//
// The goroutine that calls Run owns the watcher's state and waits for all that it does; only SetAddr may be called by others
// meanwhile. The functions on lists are pure.
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
	addr   string             // of the service
	cancel context.CancelFunc // ends the current poll and the delay before it; nil: there was none yet

	// Only Run's goroutine uses these.
	polledAddr string // which the current poll goes to
	isStale    bool   // the log says so of the list that is held
}

// New returns a Watcher of the service at addr, as host:port. now is a monotonic clock.
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

// SetHandler sets what is called with each list, from Run's goroutine. It is to be called before Run.
func (w *Watcher) SetHandler(handler func(engine.Event)) { w.handler = handler }

// SetAddr changes the service's address; any goroutine may call it. A poll of the old address is canceled, and the new one
// is polled at once for the complete list, so that no change is lost between the two.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr && w.cancel != nil {
		w.cancel()
	}
	w.addr = addr
}

// Run polls until ctx is done. known is the list that is held already; nil: none.
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
			continue // the outcome at an old address is not used
		}
		if err != nil {
			poll = w.pollFailed(err)
		} else {
			poll = w.listReceived(list)
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

// beginPoll returns the context of the next poll, and whether the service's address has changed since the last.
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

// listReceived passes a list on if it may be applied, and returns the next poll.
func (w *Watcher) listReceived(list *EndpointList) refresh.Poll {
	if w.isStale {
		w.isStale = false
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

// mode is how the engine is to apply a list received.
func (l *EndpointList) mode() balancer.ListMode {
	if l.Complete {
		return balancer.ListComplete
	}
	return balancer.ListDelta
}

// pollFailed returns the next poll after one that brought no list.
func (w *Watcher) pollFailed(err error) refresh.Poll {
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

// logFailure logs a failed poll and, once for each outage, that the list has become stale.
func (w *Watcher) logFailure(next refresh.Poll, err error) {
	fields := []any{"addr", w.polledAddr, "err", err, "retry_in", next.Delay}
	if explained := operr.Of(err); explained != nil {
		fields = append(fields, "remedy", explained.Remedy())
	}
	w.logger.Warn("endpoint list poll failed", fields...)
	if now := w.now(); !w.isStale && next.StaleAt > 0 && now >= next.StaleAt {
		w.isStale = true
		w.logger.Error("endpoint list stale", "age", w.scheduler.Age(now), "addr", w.polledAddr)
	}
}
