package recovery

import (
	"fmt"
	"slices"
	"time"
)

// Source says where the endpoint list of a Decision comes from.
type Source int

// Sources of an endpoint list.
const (
	FromNowhere   Source = iota // there is no list until discovery answers
	FromDisk                    // a provisional list: the one on the own disk
	FromPeers                   // a provisional list that peers hold
	FromDiscovery               // discovery has answered
)

// String returns the source as it is logged.
func (s Source) String() string {
	switch s {
	case FromNowhere:
		return "none"
	case FromDisk:
		return "disk"
	case FromPeers:
		return "peers"
	case FromDiscovery:
		return "discovery"
	default:
		return fmt.Sprintf("Source(%d)", int(s))
	}
}

// Decision says which endpoint list to use and how. It is taken once, and again where later reports change the choice
// before discovery answers.
type Decision struct {
	Source  Source
	Peers   []string // with FromPeers, the peers that hold the list: its entries are to be taken from one of them
	Version int64    // of a provisional list
	Hash    uint64   // of a provisional list, as in PeerState
	// Excluded are the IDs of servers of the disk's list that a peer with a newer list does not hold, where no two
	// instances agree on a list. They must not receive requests. At most half of the list is excluded, so that one
	// faulty peer can't take all of it away.
	Excluded []string
	// StartTimes are the latest start times of servers by ID, as more than one instance or the own disk observed them.
	// They replace earlier ones of the list.
	StartTimes map[string]time.Duration
	// ColdStart says that, as far as is known, all instances have lost power. Servers of a provisional list may have
	// started since it was stored, so each has to be treated as started now until discovery answers.
	ColdStart bool
	// Isolated says that no peer has answered.
	Isolated bool
	// Warnings are the inconsistencies found so far: of each peer's clock the largest offset, and of conflicting lists those
	// of the latest versions. The slice is shared with later decisions and must not be changed.
	Warnings []Warning
}

// selectsSameList reports whether two decisions have the same list used in the same way.
func (d Decision) selectsSameList(other Decision) bool {
	return d.Source == other.Source && d.Version == other.Version && d.Hash == other.Hash &&
		d.ColdStart == other.ColdStart && slices.Equal(d.Excluded, other.Excluded)
}

// Warning is an inconsistency that an operator should look at. The concrete types, which are comparable, are
// ClockBehindDisk, PeerClockSkew and ConflictingLists.
type Warning interface{ warning() }

// ClockBehindDisk says that the disk was last written later than the local clock shows: the clock jumped back, or was
// ahead when the disk was written.
type ClockBehindDisk struct {
	Offset time.Duration // by which the disk is ahead
}

// PeerClockSkew says that the clock of a peer differs from the local one by more than Settings.MaxClockSkew.
type PeerClockSkew struct {
	Peer   string
	Offset time.Duration // of the peer's clock; below 0 where it is late
}

// ConflictingLists says that instances hold different lists of the same version.
type ConflictingLists struct {
	Version int64
}

func (ClockBehindDisk) warning()  {}
func (PeerClockSkew) warning()    {}
func (ConflictingLists) warning() {}
