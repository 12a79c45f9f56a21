// Package backend is the NATS client protocol towards nodes: it sets sessions up, carries their frames, and sends requests.
// What it calls of a session it calls on the session's loop.
package backend

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// Poster takes events for the engine.
type Poster interface {
	Post(engine.Event)
}

// Options are what a Backend goes by. Operator settings of the same names say more.
type Options struct {
	ConnectTimeout time.Duration // 0: as long as the attempt has
	NodePort       int           // 0: the listed one
	Limits         codec.Limits
	PingInterval   time.Duration
	MaxSharedConns int
	Name           string        // the gateway's, in the inboxes of requests
	Forwards       *atomic.Int64 // counts attempts handed whole to the kernel, or to what waits for the node; nil: nobody reads it
}

// Backend starts attempts for sessions and requests.
type Backend struct {
	current atomic.Pointer[Options]
	events  Poster
	conns   *reactor.Group
	hubs    hubs
}

// New returns a Backend. Connect comes before the first Send.
func New(o Options) *Backend {
	b := &Backend{}
	b.SetOptions(o)
	return b
}

// SetOptions goes over to new options for what is sent from now on.
func (b *Backend) SetOptions(o Options) { b.current.Store(&o) }

func (b *Backend) options() *Options { return b.current.Load() }

// Connect sets where events go and which loops carry the connections.
func (b *Backend) Connect(events Poster, conns *reactor.Group) { b.events, b.conns = events, conns }

// forwarded counts an attempt.
func (b *Backend) forwarded() {
	if n := b.options().Forwards; n != nil {
		n.Add(1)
	}
}

// Limits bound the frames of nodes.
func (b *Backend) Limits() codec.Limits { return b.options().Limits }

// Handles reports whether an attempt is one of this protocol's.
func (b *Backend) Handles(a engine.Attempt) bool {
	switch a.Client.(type) {
	case SessionClient, RequestClient:
		return true
	}
	return false
}

// Send implements engine.Backend. It does not wait.
func (b *Backend) Send(a engine.Attempt) engine.ActiveAttempt {
	if asker, ok := a.Client.(RequestClient); ok {
		t := &RequestAttempt{backend: b, attempt: a, asker: asker}
		asker.Conn().Do(t.start)
		return t
	}
	return b.dial(a, a.Client.(SessionClient))
}

// addr is where a node speaks NATS.
func (b *Backend) addr(listed string) string {
	if b.options().NodePort == 0 {
		return listed
	}
	host, _, err := net.SplitHostPort(listed)
	if err != nil {
		return listed
	}
	return net.JoinHostPort(host, strconv.Itoa(b.options().NodePort))
}
