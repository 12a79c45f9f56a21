package membership

import "sync"

// Endpoint is the part that all transports share: it tracks the incarnations of peers, decides which packets are accepted,
// and counts. It does no I/O and reads no clock.
type Endpoint struct {
	opts Options

	mu           sync.Mutex
	own          uint64            // this instance's incarnation
	incarnations map[string]uint64 // the latest seen of each peer
	counts       map[string]*Counts
}

// NewEndpoint returns an Endpoint.
func NewEndpoint(opts Options) *Endpoint {
	return &Endpoint{
		opts:         opts.withDefaults(),
		own:          opts.Incarnation,
		incarnations: map[string]uint64{},
		counts:       map[string]*Counts{},
	}
}

// Options returns the options that the endpoint was created with, and defaults for what they leave out.
func (e *Endpoint) Options() Options { return e.opts }

// Incarnation is this instance's incarnation.
func (e *Endpoint) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own
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

// countsOf returns the counts of a peer, to be changed. e.mu is held.
func (e *Endpoint) countsOf(peer string) *Counts {
	c := e.counts[peer]
	if c == nil {
		c = &Counts{}
		e.counts[peer] = c
	}
	return c
}

// CountSent counts a packet that was passed to the network.
func (e *Endpoint) CountSent(to string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countsOf(to).Sent++
}

// CountDropped counts a packet that was not sent.
func (e *Endpoint) CountDropped(to string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countsOf(to).Dropped++
}

// ObserveIncarnation records a peer's incarnation, from a message or from its metadata, and reports whether it is the latest.
func (e *Endpoint) ObserveIncarnation(peer string, incarnation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation < e.incarnations[peer] {
		return false
	}
	e.incarnations[peer] = incarnation
	return true
}

// PeerIncarnation is the latest incarnation seen of a peer; 0: none was.
func (e *Endpoint) PeerIncarnation(peer string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnations[peer]
}

// EncodeMessage returns the packet that carries a message.
func (e *Endpoint) EncodeMessage(payload []byte) []byte {
	return packet{kind: kindMessage, from: e.opts.Name, incarnation: e.Incarnation(), payload: payload}.encode()
}

// HandlePacket decodes a packet from the network and passes a message on to Options.OnMessage. Where the packet has to be
// answered, reply is the packet to send to the peer named; otherwise it is nil.
func (e *Endpoint) HandlePacket(b []byte) (to string, reply []byte) {
	p, ok := decodePacket(b)
	if !ok || p.from == e.opts.Name {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.countsOf("").Malformed++
		return "", nil
	}
	if p.kind == kindKnownIncarnation {
		e.adoptKnownIncarnation(p.incarnation)
		return "", nil
	}
	if !e.ObserveIncarnation(p.from, p.incarnation) {
		return p.from, e.rejectStale(p.from)
	}
	e.mu.Lock()
	e.countsOf(p.from).Received++
	e.mu.Unlock()
	if e.opts.OnMessage != nil {
		e.opts.OnMessage(Message{From: p.from, Incarnation: p.incarnation, Payload: p.payload})
	}
	return "", nil
}

// rejectStale counts a message of an earlier incarnation and returns the answer, which names the latest one: the peer may
// not know of it. A peer that does sent the message long ago, and ignores the answer.
func (e *Endpoint) rejectStale(peer string) (reply []byte) {
	e.mu.Lock()
	e.countsOf(peer).Stale++
	latest := e.incarnations[peer]
	e.mu.Unlock()
	return packet{kind: kindKnownIncarnation, from: e.opts.Name, incarnation: latest}.encode()
}

// adoptKnownIncarnation moves this instance beyond an incarnation of it that a peer knows.
func (e *Endpoint) adoptKnownIncarnation(known uint64) {
	if known <= e.Incarnation() || e.opts.BumpIncarnation == nil {
		return
	}
	bumped, err := e.opts.BumpIncarnation(known)
	if err != nil || bumped <= known {
		return // its messages stay stale, and the next one is answered again
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own = max(e.own, bumped)
}
