// Package backend carries requests to servers: it dials, sends the opening line, reads the answer and, once
// the connection is up, relays the server's lines to the client.
package backend

import (
	"sync/atomic"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

// Client is what an attempt needs of a client's connection, beyond what the engine does.
type Client interface {
	engine.Client
	// Conn is the client's connection.
	Conn() *reactor.Conn
	// Forward appends the pieces of the opening line, with the time that the attempt is given.
	Forward(parts [][]byte, wait time.Duration) [][]byte
	// Established passes the server's first line on and ties the client's lines to the link from then on. It
	// returns false where the client is gone.
	Established(first []byte, l *Link) bool
	// Relay passes on bytes from the server, whose connection is left unread while the client does not read.
	Relay(from *reactor.Conn, b []byte)
	// ServerEnded ends the client's connection, as its server's ended.
	ServerEnded(reset bool)
}

// Poster takes events for the engine.
type Poster interface {
	Post(engine.Event)
	TryPost(engine.Event) // may be dropped
}

// Backend implements engine.Backend and engine.LoadPoller.
type Backend struct {
	options Options
	events  Poster
	conns   *reactor.Group
	probes  map[balancer.ServerID]*probe // the engine's goroutine alone uses it
}

// Options are what a Backend goes by.
type Options struct {
	ConnectTimeout time.Duration // 0: as long as the attempt has
	ReportsLoad    bool
	MeasuresDelay  bool
	Forwarded      *atomic.Int64 // counts attempts written whole; nil: nobody reads it
}

// New returns a Backend. Connect comes before the first Send.
func New(o Options) *Backend {
	if o.Forwarded == nil {
		o.Forwarded = new(atomic.Int64)
	}
	return &Backend{options: o, probes: map[balancer.ServerID]*probe{}}
}

// Connect sets where events go and which loops carry the connections.
func (b *Backend) Connect(events Poster, conns *reactor.Group) { b.events, b.conns = events, conns }

// Send implements engine.Backend. It does not wait.
func (b *Backend) Send(a engine.Attempt) engine.ActiveAttempt {
	l := &Link{backend: b, attempt: a, client: a.Client.(Client)}
	within := a.Timeout
	for _, t := range []time.Duration{b.options.ConnectTimeout, a.ConnectTimeout} {
		if t > 0 {
			within = min(within, t)
		}
	}
	l.Start(func() *reactor.Conn { return b.conns.Dial(a.Addr, within, l, l.client.Conn()) })
	return l
}
