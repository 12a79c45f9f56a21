// Package discovery keeps a watch on the list of servers: one HTTP call after another, each of which waits for news.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/rules"
)

const (
	waitFor  = 10 * time.Second // a call waits this long for news
	answerIn = 1500 * time.Millisecond
	// answerIn is the time for an answer beyond the wait. News that the call should have brought counts as told 2 s after
	// its wait has ended, so a call that says nothing for longer has failed.
	connectIn = time.Second
	bodyMost  = 8 << 20
	path      = "/catalog/members"
)

var errTooLong = errors.New("the list is too long")

// Watcher implements engine.Lister.
type Watcher struct {
	logger *slog.Logger
	post   func(engine.Event)
	client *http.Client
	kick   chan struct{}

	mu   sync.Mutex         // guards what follows: SetAddr and the end of the program cut a waiting call
	addr string             // of the service
	cut  context.CancelFunc // of the call that is out; nil: none was yet

	// Run's goroutine alone uses these.
	asked   string // the address that the last call went to
	version int64
	have    bool // a list of that address is held
}

// New returns a Watcher of the service at addr. known is the list as last held; nil: none.
func New(addr string, known *Members, logger *slog.Logger) *Watcher {
	w := &Watcher{addr: addr, asked: addr, logger: logger, kick: make(chan struct{}, 1)}
	// One connection of its own, kept between calls; no proxy of the environment's stands between.
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: connectIn}).DialContext,
		MaxConnsPerHost: 1, MaxResponseHeaderBytes: 16 << 10, DisableCompression: true,
	}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	if known != nil && len(known.Servers) > 0 {
		w.version, w.have = known.Version, true
	}
	return w
}

// Connect sets where lists go before Run.
func (w *Watcher) Connect(post func(engine.Event)) { w.post = post }

// Watch implements engine.Lister.
func (w *Watcher) Watch() {
	select {
	case w.kick <- struct{}{}:
	default: // one is asked for already
	}
}

// SetAddr names the service's new address. A call at the old one ends now, and the new one is asked at once for
// the whole list: no news of the old one is waited for, nor is a change lost between the two.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	moved := addr != w.addr
	w.addr = addr
	w.mu.Unlock()
	if moved {
		w.close()
		w.Watch()
	}
}

// current is the service's address now.
func (w *Watcher) current() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Run carries watches out until ctx is done. When one fails it says so and waits to be asked again, as the
// rules decide when that is.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.kick:
		}
		for ctx.Err() == nil {
			m, err := w.call(ctx)
			if ctx.Err() != nil {
				return
			}
			if w.current() != w.asked {
				continue // whatever came of a call at the old address is not to be gone by
			}
			if err != nil {
				select { // what was asked for before this failure is no wish to call again at once
				case <-w.kick:
				default:
				}
				w.logger.Warn("list not told", "addr", w.asked, "err", err)
				w.post(engine.List{Mode: rules.Failed})
				break
			}
			mode := rules.Changes
			if m.Full {
				mode = rules.Complete
			}
			if m.Full || len(m.Servers) > 0 {
				w.logger.Info("list", "version", m.Version, "full", m.Full, "servers", len(m.Servers))
			}
			w.version, w.have = m.Version, true
			w.post(m.List(mode))
		}
	}
}

// close ends the call that is out, if any.
func (w *Watcher) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut != nil {
		w.cut()
	}
}

// begin returns the next call's context and address. Another address gives no list to go on from.
func (w *Watcher) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addr != w.asked {
		w.asked, w.have = w.addr, false
		w.client.CloseIdleConnections()
	}
	ctx, w.cut = context.WithCancel(ctx)
	return ctx, w.cut
}

// call asks once: for what is new, or where no list is held for the whole of it.
func (w *Watcher) call(ctx context.Context) (*Members, error) {
	ctx, cut := w.begin(ctx)
	defer cut()
	target, within := "http://"+w.asked+path, connectIn+answerIn
	if w.have {
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, w.version, waitFor.Milliseconds())
		within += waitFor
	}
	ctx, end := context.WithTimeout(ctx, within)
	defer end()
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
