// Package frontend is the NATS client protocol towards clients: sessions that stay while they migrate from one node to
// another, and requests that are replied to once. It makes no load-balancing decision: the engine says at which node a
// session is established and to which node a request goes.
//
// A Frontend may be used by any goroutine. Each Session is owned by the reactor loop of its client's connection; what other
// goroutines ask of it, among them the engine, is posted to that loop.
package frontend

import (
	"fmt"
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

// Engine is what a Frontend needs of the engine.
type Engine interface {
	Post(engine.Event)
}

// Frontend accepts NATS clients at one address.
type Frontend struct {
	engine   Engine
	backend  *backend.Backend
	current  atomic.Pointer[operator.NATS]
	listener *reactor.Listener
	name     string
	id       string

	maxPayload   atomic.Int64 // the smallest of the settings' and the nodes'
	lastID       atomic.Uint64
	shuttingDown atomic.Bool

	mu       sync.Mutex // protects sessions
	sessions map[*Session]struct{}
}

// Listen opens the listener and accepts connections until Close.
func Listen(name string, settings operator.NATS, e Engine, b *backend.Backend, g *reactor.Group) (*Frontend, error) {
	f := &Frontend{
		engine: e, backend: b, name: name,
		id: "GW" + strconv.FormatUint(rand.Uint64(), 36), sessions: map[*Session]struct{}{},
	}
	f.SetSettings(&settings)
	listener, err := g.Listen(settings.Listen, 0, func(func()) reactor.Handler { return &Session{frontend: f} })
	if err != nil {
		return nil, fmt.Errorf("nats: %w", err)
	}
	f.listener = listener
	return f, nil
}

func (f *Frontend) settings() *operator.NATS { return f.current.Load() }

// SetSettings replaces the settings, which apply to everything that happens afterwards. The listener's address stays.
func (f *Frontend) SetSettings(n *operator.NATS) {
	f.current.Store(n)
	f.maxPayload.Store(int64(n.MaxPayload)) // nodes lower it again as sessions are set up
}

// Addr returns the address of the listener.
func (f *Frontend) Addr() string { return f.listener.Addr() }

// Close stops accepting connections. The sessions stay.
func (f *Frontend) Close() { f.listener.Close() }

// Shutdown starts the graceful shutdown of all sessions: their clients receive an INFO with lame duck mode, and each session
// is closed when its requests have been replied to. It does not wait for that.
func (f *Frontend) Shutdown() {
	if f.shuttingDown.Swap(true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sessions {
		s.conn.Do(s.shutdown)
	}
}

// SessionCount returns the number of sessions.
func (f *Frontend) SessionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}

func (f *Frontend) add(s *Session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sessions[s] = struct{}{}
}

func (f *Frontend) remove(s *Session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sessions, s)
}

// infoFrame is the INFO of the gateway. It lists no other address, as a client is to stay with its gateway.
func (f *Frontend) infoFrame(clientID uint64) []byte {
	return codec.AppendJSON(nil, "INFO", codec.ServerInfo{
		ID: f.id, Name: f.name, Version: "2.10.0", Go: runtime.Version(), Host: "0.0.0.0", Port: 4222, Headers: true,
		MaxPayload: int(f.maxPayload.Load()), Proto: 1, ClientID: clientID, LameDuck: f.shuttingDown.Load(),
	})
}

// lowerMaxPayload applies the maximum payload of a node, which is not known if it is not positive.
func (f *Frontend) lowerMaxPayload(payload int) {
	for {
		lowest := f.maxPayload.Load()
		if payload <= 0 || int64(payload) >= lowest || f.maxPayload.CompareAndSwap(lowest, int64(payload)) {
			return
		}
	}
}
