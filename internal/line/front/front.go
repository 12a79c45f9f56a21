// Package front is the platform's line protocol towards clients: it accepts them, reads their opening lines
// and relays their lines once a server has taken them.
package front

import (
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

// Engine is what the front needs of the engine.
type Engine interface {
	Post(engine.Event)
	Ready() bool
}

// Front accepts clients on one address.
type Front struct {
	engine   Engine
	listener *reactor.Listener
}

// Listen opens the address and takes connections from then on.
func Listen(addr string, e Engine, g *reactor.Group) (*Front, error) {
	f := &Front{engine: e}
	var err error
	f.listener, err = g.Listen(addr, f.accept)
	return f, err
}

// Take takes connections from a listening socket that was passed on and is shared; see reactor.Group.Take.
func Take(fd int, addr string, e Engine, g *reactor.Group) (*Front, error) {
	f := &Front{engine: e}
	var err error
	f.listener, err = g.Take(fd, addr, f.accept)
	return f, err
}

func (f *Front) accept() reactor.Handler { return &Conn{front: f} }

// Addr is the address that is listened on.
func (f *Front) Addr() string { return f.listener.Addr() }

// Close stops accepting.
func (f *Front) Close() { f.listener.Close() }
