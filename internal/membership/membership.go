// Package membership lets the instances of a fleet know one another and exchange small messages: who is alive, in which
// incarnation, and what each sends. Delay, loss, duplicates, reordering and links that are cut in one direction are the
// normal case. Nothing waits for a peer: what a link can't take is dropped and counted.
//
// Gossip is the Transport over sockets; package simnet has one in simulated time. Both embed an Endpoint, which decides
// what of the traffic is accepted and does no I/O. Methods of a Transport may be called from any goroutine. Incarnations
// keeps the number of an instance's last start on a disk.
package membership

// State is what is known of whether a member runs.
type State int

// States of a member.
const (
	Alive State = iota
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Member is an instance of the fleet, this one or another.
type Member struct {
	Name        string
	Incarnation uint64 // of its last start that is known; each start has a higher one
	State       State
}

// Message is a message from another instance.
type Message struct {
	From        string
	Incarnation uint64 // of the sender; never lower than any seen from it before
	Payload     []byte // owned by the receiver
}

// Transport sends messages to peers. Its methods may be called from any goroutine, and none waits for a peer.
type Transport interface {
	// Send queues a message for a peer. It may arrive late, twice, in another order, or never.
	Send(to string, payload []byte)
	// Members returns all known members, this instance among them, by name.
	Members() []Member
	// Counts returns what became of messages, by peer. Malformed packets are counted under the empty name.
	Counts() map[string]Counts
	// Close ends the transport without telling the others, as a crash of the process does.
	Close() error
}

// Counts are numbers of messages to and from one peer.
type Counts struct {
	Sent      uint64 // passed to the network
	Dropped   uint64 // not sent: over the link's bounds, too long, or to an unknown or dead peer
	Received  uint64
	Stale     uint64 // from an earlier incarnation of the peer, and ignored
	Malformed uint64 // that did not decode
}
