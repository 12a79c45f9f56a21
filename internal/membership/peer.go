// Package membership has instances know of one another and talk: who is there, in which of its lives, and small messages between
// them. Delay, loss, doubles, other orders and links cut one way are the normal case. Nothing here waits for a peer: what a
// link can't take is dropped and counted.
package membership

import (
	"sync"
	"time"
)

// State is what is known of a member.
type State int

const (
	Alive State = iota
	Suspect
	Gone
)

func (s State) String() string { return [...]string{"alive", "suspect", "gone"}[s] }

// Member is another instance, or this one.
type Member struct {
	Name        string
	Incarnation uint64 // of the life that it is in; each start has a higher one
	State       State
}

// Message is what came from another instance.
type Message struct {
	From        string
	Incarnation uint64 // of the sender when it sent this; never lower than any seen from it
	Payload     []byte
}

// Transport carries messages. Its methods may be called from any goroutine, and none waits for a peer.
type Transport interface {
	// Send hands a message over for one peer. It may come late, twice, in another order, or never.
	Send(to string, body []byte)
	// Members are all that are known, this instance among them, by name.
	Members() []Member
	// Counts tells what became of messages, by peer.
	Counts() map[string]Counts
	// Close ends it without a word to the others, as a stop of the process does.
	Close() error
}

// Counts are of one link, both ways.
type Counts struct {
	Sent     uint64 // messages that were handed to the network
	Dropped  uint64 // that the link's bounds did not take
	Received uint64
	Old      uint64 // that came from an earlier life of the peer, and were not looked at
	Bad      uint64 // that were no messages
}

// Options are what a transport goes by.
type Options struct {
	Name        string
	Incarnation uint64
	// OnMessage is called for each message, one at a time, and must not wait. A message is its own from then on.
	OnMessage func(Message)
	// BumpIncarnation is called where a peer remembers a later life of this instance than the one that it is in: the disk under its
	// name is older than what others saw. It returns the incarnation to go on with, durable by then. nil: none is taken.
	BumpIncarnation func(above uint64) (uint64, error)
	// BytesPerSecond bounds what is sent to one peer, and QueueMost what waits for it, in messages. 0: 64 KiB, 64.
	BytesPerSecond int
	QueueMost      int
}

const (
	bytesPerSecond = 64 << 10
	queueMost      = 64
	// BodyMost bounds a message, so that it fits a datagram with all that goes around it.
	MaxBodyBytes = 1100
)

func (o Options) withDefaults() Options {
	if o.BytesPerSecond <= 0 {
		o.BytesPerSecond = bytesPerSecond
	}
	if o.QueueMost <= 0 {
		o.QueueMost = queueMost
	}
	return o
}

// Endpoint is what all transports share: it knows the lives of peers, and what of what comes is to be looked at. It does no
// I/O and reads no clock.
type Endpoint struct {
	opts Options

	mu     sync.Mutex
	own    uint64
	lives  map[string]uint64 // the latest incarnation seen of each peer
	counts map[string]*Counts
}

// NewEndpoint returns an Endpoint.
func NewEndpoint(opts Options) *Endpoint {
	return &Endpoint{opts: opts.withDefaults(), own: opts.Incarnation, lives: map[string]uint64{}, counts: map[string]*Counts{}}
}

// Options are those that it was made with, and defaults for what they leave out.
func (e *Endpoint) Options() Options { return e.opts }

// Incarnation is this instance's.
func (e *Endpoint) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own
}

func (e *Endpoint) count(peer string) *Counts {
	c := e.counts[peer]
	if c == nil {
		c = &Counts{}
		e.counts[peer] = c
	}
	return c
}

// Counts implements Transport.
func (e *Endpoint) Counts() map[string]Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[string]Counts, len(e.counts))
	for name, c := range e.counts {
		all[name] = *c
	}
	return all
}

// Sent and Dropped count what became of a message to a peer.
func (e *Endpoint) Sent(to string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count(to).Sent++
}

// Dropped counts a message that a link's bounds did not take.
func (e *Endpoint) Dropped(to string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count(to).Dropped++
}

// Seen takes note of a peer's life, as its membership or a message tells it, and reports whether it is the latest.
func (e *Endpoint) Seen(name string, incarnation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation < e.lives[name] {
		return false
	}
	e.lives[name] = incarnation
	return true
}

// Life is the latest incarnation seen of a peer; 0: none was.
func (e *Endpoint) Life(name string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lives[name]
}

// Wrap is a message as it goes over the network.
func (e *Endpoint) Wrap(body []byte) []byte {
	return encode(kindMessage, e.opts.Name, e.Incarnation(), body)
}

// Take looks at what came from the network and hands messages over. Where it answers, reply goes to the peer named.
func (e *Endpoint) Take(packet []byte) (to string, reply []byte) {
	kind, from, incarnation, body, ok := decode(packet)
	if !ok || from == e.opts.Name {
		e.mu.Lock()
		e.count("").Bad++
		e.mu.Unlock()
		return "", nil
	}
	if kind == kindRemembered {
		e.remembered(incarnation)
		return "", nil
	}
	if !e.Seen(from, incarnation) {
		e.mu.Lock()
		e.count(from).Old++
		life := e.lives[from]
		e.mu.Unlock()
		// The peer may not know of its later life: it is told. One that does has sent this long ago, and looks away.
		return from, encode(kindRemembered, e.opts.Name, life, nil)
	}
	e.mu.Lock()
	e.count(from).Received++
	e.mu.Unlock()
	if e.opts.OnMessage != nil {
		e.opts.OnMessage(Message{From: from, Incarnation: incarnation, Payload: body})
	}
	return "", nil
}

// remembered hears that a peer remembers a life of this instance.
func (e *Endpoint) remembered(life uint64) {
	if life <= e.Incarnation() || e.opts.BumpIncarnation == nil {
		return
	}
	raised, err := e.opts.BumpIncarnation(life)
	if err != nil || raised <= life {
		return // it goes on unheard, and is told again
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own = max(e.own, raised)
}

// Pace is the time that a message of so many bytes takes at a link's bound.
func (o Options) Pace(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(o.BytesPerSecond) * float64(time.Second))
}
