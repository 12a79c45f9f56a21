package recovery

import "time"

// Server is an entry of an endpoint list, as far as instances have to agree on it.
type Server struct {
	ID        string
	StartedAt time.Duration // Unix time of the latest start; 0 or less: long ago
}

// PeerState is the state that one instance holds: the content of the own disk, or what a peer reports.
type PeerState struct {
	Version   int64  // of the endpoint list; 0 or less: it holds none
	Hash      uint64 // of the list's entries without start times: equal for two instances that hold the same list
	Servers   []Server
	UpdatedAt time.Duration // when the list was stored or received, by the clock of its holder
	Uptime    time.Duration // how long the peer has served; 0 for the disk and for a peer that is recovering itself
}

// Event is an input of Recovery.Handle. The concrete types are Startup, PeerReport, DiscoveryUpdate and Tick.
type Event interface{ event() }

// Startup is the start of the instance, with what its disk holds.
type Startup struct{ Disk PeerState }

// PeerReport is the answer of a peer. It replaces an earlier one of the same peer.
type PeerReport struct {
	Peer  string
	Clock time.Duration // Unix time of the peer's clock when it answered
	State PeerState
}

// DiscoveryUpdate says that discovery has answered: provisional lists are of no more use.
type DiscoveryUpdate struct{}

// Tick lets time pass, so that a decision is taken when the peers' time is up.
type Tick struct{}

func (Startup) event()         {}
func (PeerReport) event()      {}
func (DiscoveryUpdate) event() {}
func (Tick) event()            {}
