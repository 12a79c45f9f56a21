// Package backend implements the client side of the NATS client protocol, towards the nodes. It sets up the connections of
// sessions to nodes, forwards the frames of the nodes to the sessions, and sends requests.
//
// A Backend may be used by any goroutine. All state of a session or of a connection is owned by the reactor loop of the
// client's connection. The methods of SessionClient and RequestClient are called on that loop, and those of NodeConn and
// LoopState must be called on it.
package backend

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// EventSink accepts events for the engine.
type EventSink interface {
	Post(engine.Event)
}

// Options holds the options of a Backend. The operator settings of the same names describe them in full.
type Options struct {
	ConnectTimeout    time.Duration // maximum duration of a dial; zero means that only the other timeouts apply
	NodePort          int           // port at which nodes accept NATS clients; zero means the port in the endpoint list
	Limits            codec.Limits  // limits of the frames that nodes send
	PingInterval      time.Duration // time between health checks of a connection
	MaxSharedConns    int           // maximum number of shared connections on each loop
	Name              string        // name of the gateway; part of the inbox subjects of requests
	ForwardedAttempts *atomic.Int64 // counts attempts whose request was sent or queued for the node; nil means not counted
}

// Backend starts the attempts of sessions and of requests. It implements engine.Backend.
type Backend struct {
	currentOptions atomic.Pointer[Options]
	events         EventSink
	conns          *reactor.Group
	loops          loopStates
}

// New returns a Backend with the given options. Connect must be called before Send.
func New(o Options) *Backend {
	b := &Backend{}
	b.SetOptions(o)
	return b
}

// SetOptions replaces the options. The new options apply to everything that starts afterwards.
func (b *Backend) SetOptions(o Options) { b.currentOptions.Store(&o) }

func (b *Backend) options() *Options { return b.currentOptions.Load() }

// Connect sets the receiver of events and the reactor group whose loops own the connections.
func (b *Backend) Connect(events EventSink, conns *reactor.Group) { b.events, b.conns = events, conns }

// Limits returns the limits of the frames that nodes send.
func (b *Backend) Limits() codec.Limits { return b.options().Limits }

// Handles reports whether the client of an attempt uses this protocol.
func (b *Backend) Handles(a engine.Attempt) bool {
	switch a.Client.(type) {
	case SessionClient, RequestClient:
		return true
	}
	return false
}

// Send implements engine.Backend. It does not block.
func (b *Backend) Send(a engine.Attempt) engine.ActiveAttempt {
	if client, ok := a.Client.(RequestClient); ok {
		r := &RequestAttempt{backend: b, attempt: a, client: client, startedAt: time.Now()}
		client.Conn().Post(r.start)
		return r
	}
	return b.dial(a, a.Client.(SessionClient))
}

// connectTimeout returns the shortest of timeout, attemptConnectTimeout and the option ConnectTimeout. A zero
// attemptConnectTimeout or a zero option means no such limit.
func (b *Backend) connectTimeout(timeout, attemptConnectTimeout time.Duration) time.Duration {
	for _, t := range []time.Duration{b.options().ConnectTimeout, attemptConnectTimeout} {
		if t > 0 {
			timeout = min(timeout, t)
		}
	}
	return timeout
}

// isPastConnectTimeout reports whether an attempt of the given age is older than its connect timeout. If so, it must not send
// anything new to its server, because the server may have been draining for longer than the drain grace.
func isPastConnectTimeout(a *engine.Attempt, age time.Duration) bool {
	return a.ConnectTimeout > 0 && age > a.ConnectTimeout
}

// addr returns the address at which a node accepts NATS clients. listed is its address in the endpoint list.
func (b *Backend) addr(listed string) string {
	port := b.options().NodePort
	if port == 0 {
		return listed
	}
	host, _, err := net.SplitHostPort(listed)
	if err != nil {
		return listed
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// countForwarded counts an attempt whose request was sent or queued for the node.
func (b *Backend) countForwarded() {
	if n := b.options().ForwardedAttempts; n != nil {
		n.Add(1)
	}
}

func (b *Backend) postAttemptEnded(a *engine.Attempt, result balancer.Result) {
	b.events.Post(engine.AttemptEnded{RequestID: a.RequestID, Number: a.Number, Result: result})
}
