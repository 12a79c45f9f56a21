package membership

import "sync"

// Endpoint is the part that all transports share. It tracks the incarnations of peers, decides which packets are accepted,
// and counts them. It does no I/O and reads no clock. Its methods may be called from any goroutine.
type Endpoint struct {
	opts Options

	mu               sync.Mutex
	ownIncarnation   uint64            // incarnation of this instance
	peerIncarnations map[string]uint64 // latest incarnation seen of each peer
	counts           map[string]*Counts
}

// NewEndpoint returns an Endpoint with the given options.
func NewEndpoint(opts Options) *Endpoint {
	return &Endpoint{
		opts:             opts.withDefaults(),
		ownIncarnation:   opts.Incarnation,
		peerIncarnations: map[string]uint64{},
		counts:           map[string]*Counts{},
	}
}

// Options returns the options that the endpoint was created with, with defaults for limits that were not set.
func (e *Endpoint) Options() Options { return e.opts }

// Incarnation returns the current incarnation of this instance.
func (e *Endpoint) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownIncarnation
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

// countsOf returns the counts of a peer for the caller to change. It creates them if they are missing. The caller holds e.mu.
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

// ObserveIncarnation records the incarnation of a peer from a message or the peer's metadata, and returns true. If a later
// incarnation of the peer is known, it records nothing and returns false.
func (e *Endpoint) ObserveIncarnation(peer string, incarnation uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation < e.peerIncarnations[peer] {
		return false
	}
	e.peerIncarnations[peer] = incarnation
	return true
}

// PeerIncarnation returns the latest incarnation seen of a peer. Zero means none was seen.
func (e *Endpoint) PeerIncarnation(peer string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerIncarnations[peer]
}

// EncodeMessage returns the packet that carries a message.
func (e *Endpoint) EncodeMessage(payload []byte) []byte {
	return packet{kind: kindMessage, from: e.opts.Name, incarnation: e.Incarnation(), payload: payload}.encode()
}

// HandlePacket decodes a packet from the network and passes an accepted message to Options.OnMessage. If the packet requires
// a reply, HandlePacket returns the reply and the name of the peer to send it to; otherwise reply is nil.
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

// rejectStale counts a message from an earlier incarnation of a peer. It returns a reply with the latest known incarnation of the
// peer, because the peer may not know it. If the peer already has that incarnation, the message was an old one, and the peer
// ignores the reply.
func (e *Endpoint) rejectStale(peer string) (reply []byte) {
	e.mu.Lock()
	e.countsOf(peer).Stale++
	latest := e.peerIncarnations[peer]
	e.mu.Unlock()
	return packet{kind: kindKnownIncarnation, from: e.opts.Name, incarnation: latest}.encode()
}

// adoptKnownIncarnation raises the incarnation of this instance above one that a peer knows.
func (e *Endpoint) adoptKnownIncarnation(known uint64) {
	if known <= e.Incarnation() || e.opts.BumpIncarnation == nil {
		return
	}
	bumped, err := e.opts.BumpIncarnation(known)
	if err != nil || bumped <= known {
		return // messages stay stale, and the peer's reply to the next one leads here again
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownIncarnation = max(e.ownIncarnation, bumped)
}
