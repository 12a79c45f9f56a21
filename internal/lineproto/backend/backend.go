// Package backend implements the server side of the platform's line protocol. For each attempt it dials a server, sends the
// client's opening line and reads the reply. Once the connection is established, it relays the server's lines to the
// client. It also polls servers for their load.
//
// The engine's goroutine calls a Backend's methods. Each attempt's connection is driven by a loop of the reactor.Group: the
// loop of the client's connection.
package backend

import (
	"sync/atomic"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

// Client is the part of a client's connection that an attempt uses, in addition to what the engine uses. Any goroutine may
// call Conn. The loop of the attempt's connection calls the other methods.
type Client interface {
	engine.Client
	// Conn returns the client's connection.
	Conn() *reactor.Conn
	// Forward returns parts with the pieces of the client's opening line appended, and sends nothing. In the pieces, the
	// given timeout replaces the one that the client stated.
	Forward(parts [][]byte, timeout time.Duration) [][]byte
	// Established sends the server's first line to the client and passes the client's lines to the server from then on.
	// It returns false if the client has disconnected.
	Established(firstLine []byte, server *ServerConn) bool
	// Relay sends bytes from the server to the client. The server's connection is paused while too many bytes are pending
	// for the client.
	Relay(from *reactor.Conn, b []byte)
	// ServerEnded closes the client's connection after the server's has ended. If reset is true, the client sees a
	// connection reset.
	ServerEnded(reset bool)
}

// EventSink accepts events for the engine.
type EventSink interface {
	Post(engine.Event)
	TryPost(engine.Event) // may drop the event instead of queueing it
}

// Backend implements engine.Backend and engine.LoadPoller.
type Backend struct {
	options Options
	events  EventSink
	group   *reactor.Group
	pollers map[balancer.ServerID]*loadPoller // only the engine's goroutine uses it

	pollConns *pollConns
}

// Options holds the settings of a Backend.
type Options struct {
	ConnectTimeout time.Duration // zero means that only the attempt's own timeouts limit the dial
	ReportsLoad    bool          // post ConnectionLoadChanged for each LOAD line
	MeasuresDelay  bool          // post MessageAnswered for answers to the client's lines
	Forwarded      *atomic.Int64 // counts attempts whose opening line was written completely; may be nil
}

// New returns a Backend. Connect must be called before its other methods.
func New(o Options) *Backend {
	if o.Forwarded == nil {
		o.Forwarded = new(atomic.Int64)
	}
	return &Backend{options: o, pollers: map[balancer.ServerID]*loadPoller{}, pollConns: newPollConns()}
}

// Connect sets the receiver of events and the group whose loops drive the connections. group may be nil if only load polls
// are used.
func (b *Backend) Connect(events EventSink, group *reactor.Group) {
	b.events, b.group = events, group
	if group != nil {
		b.pollConns.descriptors = group
	}
}

// Send implements engine.Backend: it starts an attempt. It doesn't block.
func (b *Backend) Send(a engine.Attempt) engine.ActiveAttempt {
	s := &ServerConn{backend: b, attempt: a, client: a.Client.(Client)}
	timeout := b.connectTimeout(a)
	s.Start(func() *reactor.Conn { return b.group.Dial(a.Addr, timeout, s, s.client.Conn()) })
	return s
}

// connectTimeout returns the shortest of the timeouts that limit the dial.
func (b *Backend) connectTimeout(a engine.Attempt) time.Duration {
	timeout := a.Timeout
	for _, t := range []time.Duration{b.options.ConnectTimeout, a.ConnectTimeout} {
		if t > 0 {
			timeout = min(timeout, t)
		}
	}
	return timeout
}
