// Package front is the platform's line protocol towards clients: it accepts them, reads their opening lines
// and relays their lines once a server has taken them.
package front

import (
	"context"
	"log"
	"time"

	"github.com/cloudwego/netpoll"

	"example.org/milletvane/internal/engine"
)

// Engine is what the front needs of the engine.
type Engine interface {
	Post(engine.Event)
	Ready() bool
}

// Front accepts clients on one address.
type Front struct {
	engine   Engine
	listener netpoll.Listener
	loop     netpoll.EventLoop
	logger   *log.Logger
}

type connKey struct{}

// Listen opens the address. Connections are taken from Serve on.
func Listen(addr string, e Engine, logger *log.Logger) (*Front, error) {
	l, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &Front{engine: e, listener: l, logger: logger}
	f.loop, err = netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			ctx.Value(connKey{}).(*Conn).onRequest()
			return nil
		},
		netpoll.WithOnPrepare(func(c netpoll.Connection) context.Context {
			return context.WithValue(context.Background(), connKey{}, f.accept(c))
		}),
	)
	if err != nil {
		l.Close()
		return nil, err
	}
	return f, nil
}

// Addr is the address that is listened on.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Serve accepts clients until Close.
func (f *Front) Serve() error { return f.loop.Serve(f.listener) }

// Close stops accepting and ends what is left.
func (f *Front) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	f.loop.Shutdown(ctx)
}
