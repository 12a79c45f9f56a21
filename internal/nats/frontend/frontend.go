// Package frontend implements the server side of the NATS client protocol, towards the clients. It serves sessions, which
// keep the client's connection while they migrate from one node to another, and requests, which receive one reply each. The
// package makes no load-balancing decision: the engine chooses the node of each session and of each request.
//
// A Frontend may be used by any goroutine. Each Session is owned by the reactor loop of its client's connection. Calls from
// other goroutines, such as those of the engine, are posted to that loop.
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
	"example.org/milletvane/internal/metrics"
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// Engine accepts the events of a Frontend.
type Engine interface {
	Post(engine.Event)
}

// Options holds what a Frontend needs. All of it is required.
type Options struct {
	Name     string // name of the gateway; clients and nodes see it
	Settings operator.NATS
	Engine   Engine
	Backend  *backend.Backend
	Dropped  *metrics.DroppedMessages // counts the messages that are not passed on to connected clients
}

// Frontend accepts connections of NATS clients at one address and holds their sessions.
type Frontend struct {
	engine          Engine
	backend         *backend.Backend
	currentSettings atomic.Pointer[operator.NATS]
	listener        *reactor.Listener
	name            string
	id              string
	dropped         *metrics.DroppedMessages

	maxPayload   atomic.Int64 // in bytes; the minimum of the configured limit and the limits of the nodes
	lastID       atomic.Uint64
	shuttingDown atomic.Bool

	mu       sync.Mutex // protects sessions
	sessions map[*Session]struct{}
}

// Listen opens the listener and returns a Frontend that accepts connections until Close is called. The error is that of the
// listener.
func Listen(o Options, g *reactor.Group) (*Frontend, error) {
	f := &Frontend{
		engine: o.Engine, backend: o.Backend, name: o.Name, dropped: o.Dropped,
		id: "GW" + strconv.FormatUint(rand.Uint64(), 36), sessions: map[*Session]struct{}{},
	}
	f.SetSettings(&o.Settings)
	listener, err := g.Listen(o.Settings.Listen, 0, func(func()) reactor.Handler { return &Session{frontend: f} })
	if err != nil {
		return nil, fmt.Errorf("nats: %w", err)
	}
	f.listener = listener
	return f, nil
}

func (f *Frontend) settings() *operator.NATS { return f.currentSettings.Load() }

// SetSettings replaces the settings. The new settings apply to everything that happens afterwards, except that the address of
// the listener does not change.
func (f *Frontend) SetSettings(n *operator.NATS) {
	f.currentSettings.Store(n)
	f.maxPayload.Store(int64(n.MaxPayload)) // INFO frames of nodes lower it again when sessions are set up
}

// Addr returns the address of the listener.
func (f *Frontend) Addr() string { return f.listener.Addr() }

// Close stops accepting connections. Existing sessions continue.
func (f *Frontend) Close() { f.listener.Close() }

// Shutdown starts the graceful shutdown of all sessions and returns without waiting for it. Each client receives an INFO frame
// that announces lame duck mode. A session is closed once its requests have ended and its node has delivered all queued
// messages.
func (f *Frontend) Shutdown() {
	if f.shuttingDown.Swap(true) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sessions {
		s.conn.Post(s.shutdown)
	}
}

// SessionCount returns the number of open sessions.
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

// infoFrame returns the INFO frame of the gateway. The frame lists no other addresses, because a client must stay with its
// gateway.
func (f *Frontend) infoFrame(clientID uint64) []byte {
	return codec.AppendJSON(nil, "INFO", codec.ServerInfo{
		ID: f.id, Name: f.name, Version: "2.10.0", Go: runtime.Version(), Host: "0.0.0.0", Port: 4222, Headers: true,
		MaxPayload: int(f.maxPayload.Load()), Proto: 1, ClientID: clientID, LameDuck: f.shuttingDown.Load(),
	})
}

// lowerMaxPayload lowers the maximum payload to that of a node, in bytes. It does nothing if the node's maximum is not lower,
// or is not positive and thus unknown.
func (f *Frontend) lowerMaxPayload(payload int) {
	for {
		lowestPayload := f.maxPayload.Load()
		if payload <= 0 || int64(payload) >= lowestPayload || f.maxPayload.CompareAndSwap(lowestPayload, int64(payload)) {
			return
		}
	}
}
