// Package frontend is the NATS client protocol towards clients: sessions that stay while their node changes, and requests that
// are answered once. It decides nothing that the rules decide: where a session stands and where a request goes comes from
// the engine.
package frontend

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// Engine is what the front needs of the engine.
type Engine interface {
	Post(engine.Event)
}

// Frontend accepts NATS clients on one address.
type Frontend struct {
	engine   Engine
	backend  *backend.Backend
	current  atomic.Pointer[operator.NATS]
	logger   *slog.Logger
	listener *reactor.Listener
	name     string
	id       string
	host     string
	port     int

	payload  atomic.Int64 // the least of the settings' and the nodes'
	clients  atomic.Uint64
	leaving  atomic.Bool
	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// Listen opens the address and takes connections from then on.
func Listen(name string, n operator.NATS, e Engine, b *backend.Backend, g *reactor.Group, logger *slog.Logger) (*Frontend, error) {
	f := &Frontend{engine: e, backend: b, logger: logger, name: name,
		id: "GW" + strconv.FormatUint(rand.Uint64(), 36), sessions: map[*Session]struct{}{}}
	f.current.Store(&n)
	f.payload.Store(int64(n.MaxPayload))
	var err error
	if f.listener, err = g.Listen(n.Listen, 0, func(func()) reactor.Handler { return &Session{front: f} }); err != nil {
		return nil, fmt.Errorf("nats: %w", err)
	}
	return f, nil
}

func (f *Frontend) settings() *operator.NATS { return f.current.Load() }

// SetSettings goes over to new settings for all that comes from now on. The address stays.
func (f *Frontend) SetSettings(n *operator.NATS) {
	f.current.Store(n)
	f.payload.Store(int64(n.MaxPayload)) // nodes lower it again as sessions are set up
}

// Addr is the address that is listened on.
func (f *Frontend) Addr() string { return f.listener.Addr() }

// Close stops accepting.
func (f *Frontend) Close() { f.listener.Close() }

// Shutdown tells all clients that this gateway is going, and ends each session once what it has under way is over.
func (f *Frontend) Shutdown() {
	if f.leaving.Swap(true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sessions {
		s.conn.Do(s.leave)
	}
}

// SessionCount is the number of clients.
func (f *Frontend) SessionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}

// info is the gateway's own INFO. It names no other address: a client stays with its gateway.
func (f *Frontend) info(id uint64) []byte {
	return codec.AppendJSON(nil, "INFO", codec.ServerInfo{
		ID: f.id, Name: f.name, Version: "2.10.0", Go: runtime.Version(), Host: "0.0.0.0", Port: 4222, Headers: true,
		MaxPayload: int(f.payload.Load()), Proto: 1, ClientID: id, LameDuck: f.leaving.Load(),
	})
}

// lower takes in what a node says of its payloads.
func (f *Frontend) lower(payload int) {
	for {
		now := f.payload.Load()
		if payload <= 0 || int64(payload) >= now || f.payload.CompareAndSwap(now, int64(payload)) {
			return
		}
	}
}
