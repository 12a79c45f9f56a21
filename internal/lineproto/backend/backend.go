// Package backend is the platform's line protocol towards servers. It dials a server for an attempt, sends the client's
// opening line, reads the reply and, once the connection is established, relays the server's lines to the client. It also
// polls servers for their load.
//
// A Backend's methods are called by the engine's goroutine. Each attempt's connection is driven by a loop of the
// reactor.Group, the one that its client's connection has.
package backend

import (
	"sync/atomic"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

// Client is what an attempt needs of a client's connection, besides what the engine does. Conn may be called by any
// goroutine; the other methods are called by the loop of the attempt's connection.
type Client interface {
	engine.Client
	// Conn is the client's connection.
	Conn() *reactor.Conn
	// Forward appends the pieces of the opening line, with the timeout given.
	Forward(parts [][]byte, timeout time.Duration) [][]byte
	// Established sends the server's first line to the client and has the client's lines forwarded to the server from
	// then on. It returns false if the client has disconnected.
	Established(firstLine []byte, server *ServerConn) bool
	// Relay sends bytes from the server, whose connection is left unread while the client doesn't read.
	Relay(from *reactor.Conn, b []byte)
	// ServerEnded ends the client's connection after its server's has ended; with reset the client sees a reset.
	ServerEnded(reset bool)
}

// Poster takes events for the engine.
type Poster interface {
	Post(engine.Event)
	TryPost(engine.Event) // may drop the event
}

// Backend implements engine.Backend and engine.LoadPoller.
type Backend struct {
	options Options
	events  Poster
	conns   *reactor.Group
	pollers map[balancer.ServerID]*loadPoller // the engine's goroutine alone uses it

	pollConns *pollConns
}

// Options configure a Backend.
type Options struct {
	ConnectTimeout time.Duration // 0: bounded by the attempt's own timeouts alone
	ReportsLoad    bool          // post ConnectionLoad for each LOAD line
	MeasuresDelay  bool          // post MessageAnswered for answers to the client's lines
	Forwarded      *atomic.Int64 // counts attempts whose opening line was written completely; nil: not counted
}

// New returns a Backend. Connect has to be called before its other methods.
func New(o Options) *Backend {
	if o.Forwarded == nil {
		o.Forwarded = new(atomic.Int64)
	}
	return &Backend{options: o, pollers: map[balancer.ServerID]*loadPoller{}, pollConns: newPollConns()}
}

// Connect sets where events go and which loops drive the connections.
func (b *Backend) Connect(events Poster, conns *reactor.Group) {
	b.events, b.conns = events, conns
	if conns != nil {
		b.pollConns.descriptors = conns
	}
}

// Send implements engine.Backend. It doesn't block.
func (b *Backend) Send(a engine.Attempt) engine.ActiveAttempt {
	s := &ServerConn{backend: b, attempt: a, client: a.Client.(Client)}
	timeout := b.connectTimeout(a)
	s.Start(func() *reactor.Conn { return b.conns.Dial(a.Addr, timeout, s, s.client.Conn()) })
	return s
}

// connectTimeout is the shortest of the timeouts that bound the dial.
func (b *Backend) connectTimeout(a engine.Attempt) time.Duration {
	timeout := a.Timeout
	for _, t := range []time.Duration{b.options.ConnectTimeout, a.ConnectTimeout} {
		if t > 0 {
			timeout = min(timeout, t)
		}
	}
	return timeout
}
