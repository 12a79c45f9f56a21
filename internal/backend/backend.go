// Package backend carries requests to servers: it dials, sends the opening line, reads the answer and, once
// the connection is up, relays the server's lines to the client.
package backend

import (
	"time"

	"github.com/cloudwego/netpoll"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/netconn"
	"example.org/milletvane/rules"
)

// Client is what an attempt needs of a client's connection, beyond what the engine does.
type Client interface {
	engine.Client
	// Forward appends the pieces of the opening line, with the time that the attempt is given.
	Forward(parts [][]byte, wait time.Duration) [][]byte
	// Open passes the server's first line on and ties the client's lines to the link from then on. It
	// returns false where the client is gone.
	Open(first []byte, l *Link) bool
	// Relay passes on bytes from the server.
	Relay(b []byte)
	// End ends the client's connection, as its server's ended.
	End(reset bool)
}

// Poster takes events for the engine.
type Poster interface {
	Post(engine.Event)
	Offer(engine.Event) // may be dropped
}

// Backend implements engine.Backend and engine.Prober.
type Backend struct {
	events         Poster
	connectTimeout time.Duration
	tellsLoad      bool
	tellsDelay     bool
	probes         map[rules.ServerID]*probe // the engine's goroutine alone uses it
}

// Options are what a Backend goes by.
type Options struct {
	ConnectTimeout time.Duration // 0: as long as the attempt has
	TellsLoad      bool
	TellsDelay     bool
}

// New returns a Backend. Connect sets where its events go before the first Send.
func New(o Options) *Backend {
	return &Backend{connectTimeout: o.ConnectTimeout, tellsLoad: o.TellsLoad, tellsDelay: o.TellsDelay,
		probes: map[rules.ServerID]*probe{}}
}

// Connect sets where events go.
func (b *Backend) Connect(events Poster) { b.events = events }

// Send implements engine.Backend. It does not wait: dialing has a goroutine of its own, one for each attempt
// that is not up.
func (b *Backend) Send(a engine.Attempt) engine.Link {
	l := &Link{backend: b, attempt: a, client: a.Client.(Client), started: time.Now()}
	go l.dial()
	return l
}

func (l *Link) dial() {
	wait := l.attempt.Wait
	if t := l.backend.connectTimeout; t > 0 {
		wait = min(wait, t)
	}
	nc, err := netpoll.DialConnection("tcp", l.attempt.Addr, wait)
	if err != nil {
		l.finish(rules.ConnectFailed)
		return
	}
	conn := netconn.New(nc)
	if !l.begin(conn) {
		conn.Close()
		return
	}
	conn.AddCloseCallback(l.onClose)
	left := l.attempt.Wait - time.Since(l.started)
	parts := l.client.Forward(make([][]byte, 0, 3), left)
	conn.SetOnRequest(l.onRequest)
	err = conn.Send(parts...)
	// What breaks before the last byte is written never ran; what breaks after may have.
	if err != nil {
		l.finish(rules.ConnectFailed)
		return
	}
	if l.wrote() || !conn.IsActive() {
		// It ended while the line was being written, or before netpoll knew whom to tell.
		l.finish(rules.Reset)
	}
}
