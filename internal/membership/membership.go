// Package membership tracks which instances of a fleet are alive, in which incarnation, and lets them exchange small
// messages. It expects messages to be delayed, lost, duplicated and reordered, and links to be cut in one direction. No call
// waits for a peer: messages that exceed the limits of a link are dropped and counted.
//
// Gossip is the Transport over sockets; package simnet has one in simulated time. Both embed an Endpoint, which does no I/O
// and decides which packets are accepted. The methods of a Gossip may be called from any goroutine. Incarnations stores the
// number of an instance's last start.
package membership

// State says whether a member is thought to be running.
type State int

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Member is an instance of the fleet, this one or another.
type Member struct {
	Name        string
	Incarnation uint64 // the highest known incarnation; each start of an instance has a higher one
	State       State
}

// Message is a message from another instance.
type Message struct {
	From        string
	Incarnation uint64 // incarnation of the sender; never lower than one seen from it before
	Payload     []byte // the receiver may keep and change it
}

// Transport sends messages to peers. No method waits for a peer. Unless the implementation says otherwise, the methods may be
// called from any goroutine.
type Transport interface {
	// Send queues a message for a peer. The message may arrive late, twice, in another order, or never.
	Send(to string, payload []byte)
	// Members returns all known members, including this instance, sorted by name.
	Members() []Member
	// Counts returns the message counts by name of the peer. Malformed packets are counted under the empty name.
	Counts() map[string]Counts
	// Close closes the transport without notifying the peers, as a crash of the process would.
	Close() error
}

// Counts holds the numbers of messages sent to and received from one peer.
type Counts struct {
	Sent      uint64 // passed to the network
	Dropped   uint64 // not sent: over the link's limits, too long, or to an unknown or dead peer
	Received  uint64 // accepted
	Stale     uint64 // ignored, because they are from an earlier incarnation of the peer
	Malformed uint64 // packets that failed to decode
}
