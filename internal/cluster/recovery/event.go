package recovery

import "time"

// Server is the part of an endpoint list's entry that a Recovery needs.
type Server struct {
	ID        string
	StartedAt time.Duration // Unix time of the latest start; 0 or less means unknown, which counts as long ago
}

// PeerState is the state of one instance: the content of this instance's disk, or the state that a peer reports.
type PeerState struct {
	Version   int64  // version of the endpoint list; 0 or less means that the instance holds no list
	Hash      uint64 // hash of the list's entries without start times; two instances that hold the same list have the same hash
	Servers   []Server
	UpdatedAt time.Duration // Unix time at which the list was stored or received, by the clock of its holder
	Uptime    time.Duration // how long the peer has served; 0 for the disk and for a peer that is recovering itself
}

// Event is an input of Recovery.Handle. Its concrete types are Startup, PeerReport, DiscoveryUpdate and Tick.
type Event interface{ event() }

// Startup is the start of this instance, with the state on its disk.
type Startup struct{ Disk PeerState }

// PeerReport is the answer of a peer to a request for its state. It replaces an earlier report of the same peer.
type PeerReport struct {
	Peer  string
	Clock time.Duration // Unix time of the peer's clock when it answered
	State PeerState
}

// DiscoveryUpdate is discovery's first answer. It ends the use of provisional lists.
type DiscoveryUpdate struct{}

// Tick marks the passage of time. It leads to a decision once Settings.PeerTimeout has passed.
type Tick struct{}

func (Startup) event()         {}
func (PeerReport) event()      {}
func (DiscoveryUpdate) event() {}
func (Tick) event()            {}
