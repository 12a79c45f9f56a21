// Package frontend is the platform's line protocol towards clients. It accepts connections, reads their opening lines for
// the engine and relays lines between client and server once a server has accepted the request.
//
// Each connection's state belongs to its Conn. The reactor calls its Handler methods on the connection's loop; the engine
// calls its engine.Client methods from its own goroutine, and these don't block.
package frontend

import (
	"sync/atomic"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

// Engine is what the frontend needs of the engine.
type Engine interface {
	Post(engine.Event)
	Ready() bool
}

// Listener accepts clients on one address.
type Listener struct {
	engine   Engine
	conns    *reactor.Group
	listener *reactor.Listener
	shared   bool // other processes accept on the socket too
	stopped  atomic.Bool
}

// maxUnseen is how many accepted connections may be unknown to the engine yet. Further ones wait in the kernel's accept
// queue, where they use no descriptor that requests under way need.
const maxUnseen = 16

// Listen opens the address and accepts connections from then on.
func Listen(addr string, e Engine, g *reactor.Group) (*Listener, error) {
	l := &Listener{engine: e, conns: g}
	var err error
	l.listener, err = g.Listen(addr, maxUnseen, l.accept)
	return l, err
}

// ListenFD accepts connections from an inherited listening socket that is shared with another process; see
// reactor.Group.ListenFD.
func ListenFD(fd int, addr string, e Engine, g *reactor.Group) (*Listener, error) {
	l := &Listener{engine: e, conns: g, shared: true}
	var err error
	l.listener, err = g.ListenFD(fd, addr, maxUnseen, l.accept)
	return l, err
}

func (l *Listener) accept(done func()) reactor.Handler {
	return &Conn{listener: l, onSeen: done}
}

// Addr is the address that is listened on.
func (l *Listener) Addr() string { return l.listener.Addr() }

// Close stops accepting. Accepted connections stay open.
func (l *Listener) Close() { l.listener.Close() }

// Shutdown rejects all clients that the engine, which has ended, will not answer: those that it has not seen, and those in
// the kernel's accept queue unless another process accepts from it.
func (l *Listener) Shutdown() {
	l.stopped.Store(true)
	if l.shared {
		l.Close()
	} else {
		l.listener.Drain()
	}
	l.conns.Each(func(h reactor.Handler) {
		if c, ok := h.(*Conn); ok {
			c.RejectWaiting()
		}
	})
}
