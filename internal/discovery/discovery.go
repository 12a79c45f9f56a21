// Package discovery keeps a watch on the list of servers: one HTTP call after another, as listclock decides.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/engine"
)

const (
	// connectIn is the time for a connection. A call's own time runs from when it stands, as its wait does.
	connectIn = time.Second
	bodyMost  = 8 << 20
	path      = "/catalog/members"
)

var (
	errTooLong = errors.New("the list is too long")
	errSilent  = errors.New("no answer in the time that the call had")
)

// Watcher keeps the list of servers up to date while Run runs.
type Watcher struct {
	logger *slog.Logger
	post   func(engine.Event)
	client *http.Client
	clock  *refresh.Scheduler
	now    func() time.Duration
	dialer func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex         // guards what follows: SetAddr and the end of the program cut a waiting call
	addr string             // of the service
	cut  context.CancelFunc // of the call that is out, or of the pause before it; nil: none was yet

	// Run's goroutine alone uses these.
	asked   string // the address that the last call went to
	overdue bool   // the log has said that the list is
}

// New returns a Watcher of the service at addr. now never runs backwards.
func New(addr string, set refresh.Settings, now func() time.Duration, logger *slog.Logger) *Watcher {
	w := &Watcher{addr: addr, asked: addr, logger: logger, now: now, clock: refresh.New(set),
		dialer: (&net.Dialer{Timeout: connectIn}).DialContext}
	// One connection of its own, kept between calls; no proxy of the environment's stands between.
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:     w.dial,
		MaxConnsPerHost: 1, MaxResponseHeaderBytes: 16 << 10, DisableCompression: true,
	}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return w
}

func (w *Watcher) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return w.dialer(ctx, network, addr)
}

// begin is the first call, with the list as last held.
func (w *Watcher) begin(known *EndpointList) refresh.Poll {
	start := refresh.Start{}
	if known != nil && len(known.Endpoints) > 0 {
		start = refresh.Start{HasList: true, Version: known.Version}
	}
	return w.clock.Handle(w.now(), start)
}

// SetHandler sets where lists go before Run.
func (w *Watcher) SetHandler(post func(engine.Event)) { w.post = post }

// SetAddr names the service's new address. A call at the old one ends now, and the new one is asked at once for
// the whole list: no news of the old one is waited for, nor is a change lost between the two.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr && w.cut != nil {
		w.cut()
	}
	w.addr = addr
}

// turn returns the context of the next call and the pause before it, and whether the service has moved since the last.
func (w *Watcher) turn(ctx context.Context) (_ context.Context, cut context.CancelFunc, moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	moved, w.asked = w.addr != w.asked, w.addr
	ctx, w.cut = context.WithCancel(ctx)
	return ctx, w.cut, moved
}

// current reports whether the address that was asked is still the service's.
func (w *Watcher) current() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr == w.asked
}

// Run makes one call after another until ctx is done. known is the list as last held; nil: none.
func (w *Watcher) Run(ctx context.Context, known *EndpointList) {
	defer w.client.CloseIdleConnections()
	call := w.begin(known)
	for ctx.Err() == nil {
		turn, cut, moved := w.turn(ctx)
		if moved {
			w.client.CloseIdleConnections()
			call = w.clock.Handle(w.now(), refresh.Start{})
		}
		m, err := w.carryOut(turn, call)
		cut()
		if ctx.Err() != nil {
			return
		}
		if w.current() && !errors.Is(err, context.Canceled) { // whatever came of a call at an old address is not to be gone by
			call = w.take(call, m, err)
		}
	}
}

// take passes on what came of a call and returns the next one.
func (w *Watcher) take(call refresh.Poll, m *EndpointList, err error) refresh.Poll {
	if err != nil {
		var next refresh.Poll
		if errors.Is(err, errSilent) {
			w.client.CloseIdleConnections()
			next = w.clock.Handle(w.now(), refresh.TimedOut{})
		} else {
			next = w.clock.Handle(w.now(), refresh.Failed{})
		}
		w.complain(next, err)
		return next
	}
	if w.overdue {
		w.overdue = false
		w.logger.Info("list told again", "addr", w.asked, "version", m.Version)
	}
	mode := balancer.ListDelta
	if m.Complete {
		mode = balancer.ListComplete
	}
	if m.Complete || len(m.Endpoints) > 0 {
		w.logger.Info("list", "version", m.Version, "full", m.Complete, "servers", len(m.Endpoints))
	}
	if w.clock.Accepts(m.Version, m.Complete) {
		w.post(m.EngineList(mode))
	} else {
		w.logger.Warn("list not taken: it is older than the one held, or changes to another", "addr", w.asked, "version", m.Version)
	}
	return w.clock.Handle(w.now(), refresh.ListReceived{Version: m.Version, Complete: m.Complete})
}

// complain logs a call that brought nothing, and once for each outage that news may count as told which are not here.
func (w *Watcher) complain(next refresh.Poll, err error) {
	w.logger.Warn("list not told", "addr", w.asked, "err", err, "again_in", next.Delay)
	if !w.overdue && next.StaleAt > 0 && w.now() >= next.StaleAt {
		w.overdue = true
		w.logger.Error("list overdue: what changed counts as told and is not here, the list as held is gone by", "addr", w.asked)
	}
}

// carryOut makes a call after its pause.
func (w *Watcher) carryOut(ctx context.Context, call refresh.Poll) (*EndpointList, error) {
	if call.Delay > 0 {
		t := time.NewTimer(call.Delay)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-t.C:
		}
	}
	ctx, silent := context.WithCancelCause(ctx)
	defer silent(nil)
	within := time.AfterFunc(connectIn+call.Timeout, func() { silent(errSilent) })
	defer within.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { within.Reset(call.Timeout) },
	})
	m, err := w.ask(ctx, call)
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return nil, errSilent
	}
	return m, err
}

// ask asks once: for what is new, or for the whole list.
func (w *Watcher) ask(ctx context.Context, call refresh.Poll) (*EndpointList, error) {
	target := "http://" + w.asked + path
	if !call.Complete {
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, call.AfterVersion, call.Wait.Milliseconds())
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Accept", "application/json")
	a, err := w.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, bodyMost+1))
	switch {
	case err != nil:
		return nil, err
	case a.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d", a.StatusCode)
	case len(body) > bodyMost:
		return nil, errTooLong
	}
	return Parse(body)
}
