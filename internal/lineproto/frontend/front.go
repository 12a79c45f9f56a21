// Package frontend is the platform's line protocol towards clients: it accepts them, reads their opening lines
// and relays their lines once a server has taken them.
package frontend

import (
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

// Engine is what the front needs of the engine.
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
}

// unseenMost is how many connections may be accepted that the engine has not seen yet. The others wait in the kernel's queue,
// where they take no descriptor from those whose requests are under way.
const maxUnseen = 16

// Listen opens the address and takes connections from then on.
func Listen(addr string, e Engine, g *reactor.Group) (*Listener, error) {
	f := &Listener{engine: e, conns: g}
	var err error
	f.listener, err = g.Listen(addr, maxUnseen, f.accept)
	return f, err
}

// ListenFD takes connections from a listening socket that was passed on and is shared; see reactor.Group.ListenFD.
func ListenFD(fd int, addr string, e Engine, g *reactor.Group) (*Listener, error) {
	f := &Listener{engine: e, conns: g, shared: true}
	var err error
	f.listener, err = g.ListenFD(fd, addr, maxUnseen, f.accept)
	return f, err
}

func (f *Listener) accept(done func()) reactor.Handler { return &Conn{front: f, done: done} }

// Addr is the address that is listened on.
func (f *Listener) Addr() string { return f.listener.Addr() }

// Close stops accepting.
func (f *Listener) Close() { f.listener.Close() }

// Shutdown answers all whom the engine, which has ended, will not answer: those that it has not seen, and those that wait in
// the kernel's queue, unless another process has them.
func (f *Listener) Shutdown() {
	if f.shared {
		f.Close()
	} else {
		f.listener.Drain()
	}
	f.conns.Each(func(h reactor.Handler) {
		if c, ok := h.(*Conn); ok {
			c.RejectWaiting()
		}
	})
}
