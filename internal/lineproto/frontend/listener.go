// Package frontend implements the client side of the platform's line protocol. It accepts connections, passes their opening
// lines to the engine, and relays lines between client and server once a server has accepted the request.
//
// Each connection's state is held by its Conn. The reactor calls the Handler methods on the connection's loop. The engine
// calls the engine.Client methods on its own goroutine; they don't block.
package frontend

import (
	"sync/atomic"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

// Engine is the part of the engine that the frontend uses.
type Engine interface {
	Post(engine.Event)
	Ready() bool
}

// Listener accepts clients on one address.
type Listener struct {
	engine   Engine
	group    *reactor.Group
	listener *reactor.Listener
	shared   bool        // another process accepts from the same socket
	stopped  atomic.Bool // Shutdown was called: new connections are rejected
}

// maxUnseen is how many accepted connections the engine may not know yet. Further ones wait in the kernel's accept queue,
// where they don't use up descriptors that running requests need.
const maxUnseen = 16

// Listen listens on the address and accepts connections from then on.
func Listen(addr string, e Engine, g *reactor.Group) (*Listener, error) {
	l := &Listener{engine: e, group: g}
	var err error
	l.listener, err = g.Listen(addr, maxUnseen, l.accept)
	return l, err
}

// ListenFD accepts connections on an inherited listening socket that is shared with another process; see
// reactor.Group.ListenFD.
func ListenFD(fd int, addr string, e Engine, g *reactor.Group) (*Listener, error) {
	l := &Listener{engine: e, group: g, shared: true}
	var err error
	l.listener, err = g.ListenFD(fd, addr, maxUnseen, l.accept)
	return l, err
}

func (l *Listener) accept(done func()) reactor.Handler {
	return &Conn{listener: l, onSeen: done}
}

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() string { return l.listener.Addr() }

// Close stops accepting. Accepted connections stay open.
func (l *Listener) Close() { l.listener.Close() }

// Shutdown must be called after the engine has ended. It closes the listener and rejects all clients that the engine can no
// longer answer: those that the engine does not know, those that wait for a server, and those in the kernel's accept queue.
// If another process accepts from the same queue, the clients in the queue are left to that process.
func (l *Listener) Shutdown() {
	l.stopped.Store(true)
	if l.shared {
		l.Close()
	} else {
		l.listener.Drain()
	}
	l.group.ForEachHandler(func(h reactor.Handler) {
		if c, ok := h.(*Conn); ok {
			c.rejectWaiting()
		}
	})
}
