// Package backend is the NATS client protocol towards the nodes: it sets up the connections of sessions, forwards their
// frames, and sends requests.
//
// A Backend may be used by any goroutine. Everything that belongs to a session or to a connection is owned by the reactor
// loop of the client's connection: SessionClient and RequestClient are called on that loop, and the methods of NodeConn and
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

// Poster accepts events for the engine.
type Poster interface {
	Post(engine.Event)
}

// Options configure a Backend. The operator settings of the same names describe them in full.
type Options struct {
	ConnectTimeout time.Duration // 0: the timeout of the attempt
	NodePort       int           // 0: the port in the endpoint list
	Limits         codec.Limits  // of frames of nodes
	PingInterval   time.Duration
	MaxSharedConns int           // on each loop
	Name           string        // of the gateway, in the inboxes of requests
	Forwards       *atomic.Int64 // counts attempts whose request was sent or queued for the node; nil: not counted
}

// Backend starts the attempts of sessions and requests.
type Backend struct {
	current atomic.Pointer[Options]
	events  Poster
	conns   *reactor.Group
	loops   loopStates
}

// New returns a Backend. Connect must be called before Send.
func New(o Options) *Backend {
	b := &Backend{}
	b.SetOptions(o)
	return b
}

// SetOptions replaces the options, which apply to everything that starts afterwards.
func (b *Backend) SetOptions(o Options) { b.current.Store(&o) }

func (b *Backend) options() *Options { return b.current.Load() }

// Connect sets the receiver of events and the loops for the connections.
func (b *Backend) Connect(events Poster, conns *reactor.Group) { b.events, b.conns = events, conns }

// Limits returns the limits of frames of nodes.
func (b *Backend) Limits() codec.Limits { return b.options().Limits }

// Handles reports whether an attempt belongs to this protocol.
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
		client.Conn().Do(r.start)
		return r
	}
	return b.dial(a, a.Client.(SessionClient))
}

// connectTimeout is the shortest of the timeouts that bound a dial; 0 is none.
func (b *Backend) connectTimeout(limit, attemptLimit time.Duration) time.Duration {
	for _, t := range []time.Duration{b.options().ConnectTimeout, attemptLimit} {
		if t > 0 {
			limit = min(limit, t)
		}
	}
	return limit
}

// isTooLate reports whether an attempt may send nothing any more that its server does not have, at an age: its server may
// have drained for longer than the grace.
func isTooLate(a *engine.Attempt, age time.Duration) bool {
	return a.ConnectTimeout > 0 && age > a.ConnectTimeout
}

// addr is the address at which a node accepts NATS clients.
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

// countForwarded counts an attempt whose request was sent.
func (b *Backend) countForwarded() {
	if n := b.options().Forwards; n != nil {
		n.Add(1)
	}
}

func (b *Backend) postAttemptEnded(a *engine.Attempt, result balancer.Result) {
	b.events.Post(engine.AttemptEnded{RequestID: a.RequestID, Number: a.Number, Result: result})
}
