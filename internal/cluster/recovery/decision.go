package recovery

import (
	"fmt"
	"slices"
	"time"
)

// Source is the origin of the endpoint list that a Decision selects.
type Source int

// Sources of an endpoint list.
const (
	FromNone      Source = iota // no list is used until discovery answers
	FromDisk                    // the provisional list on this instance's disk
	FromPeers                   // a provisional list that peers hold
	FromDiscovery               // discovery has answered, and its list is used
)

// String returns the source as it appears in logs.
func (s Source) String() string {
	switch s {
	case FromNone:
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

// Decision selects an endpoint list and states how to use it. A Recovery returns one decision, and a further one each time
// that a later report changes the choice before discovery answers.
type Decision struct {
	Source  Source
	Peers   []string // if Source is FromPeers: the peers that hold the list; the caller uses the entries of any one of them
	Version int64    // version of the provisional list
	Hash    uint64   // hash of the provisional list, as in PeerState
	// Excluded holds the IDs of servers that the disk's list contains and a peer's newer list lacks. It is empty if two
	// instances agree on a list. Excluded servers must not receive requests. At most half of the list is excluded, so that
	// one faulty peer can't exclude all servers.
	Excluded []string
	// StartTimes holds start times by server ID, in Unix time. A server's start time is the one on this instance's disk or,
	// if later, the second-latest one that peers report. It replaces an earlier start time in the list.
	StartTimes map[string]time.Duration
	// ColdStart reports whether, as far as is known, all instances have lost power. Servers of a provisional list may then
	// have started since it was stored, so the caller treats each as started now until discovery answers.
	ColdStart bool
	// Isolated reports whether no peer has answered.
	Isolated bool
	// Warnings holds the inconsistencies found so far. PeerClockSkew appears once for each peer, with the largest offset;
	// ConflictingLists appears for the maxConflictWarnings versions found last. Later decisions share the slice, so it must
	// not be changed.
	Warnings []Warning
}

// selectsSameList reports whether two decisions select the same list and use it in the same way.
func (d Decision) selectsSameList(other Decision) bool {
	return d.Source == other.Source && d.Version == other.Version && d.Hash == other.Hash &&
		d.ColdStart == other.ColdStart && slices.Equal(d.Excluded, other.Excluded)
}

// Warning is an inconsistency that an operator should look into. Its concrete types are ClockBehindDisk, PeerClockSkew and
// ConflictingLists, which are comparable.
type Warning interface{ warning() }

// ClockBehindDisk warns that the time of the last write to the disk is ahead of the local clock by more than
// Settings.MaxClockSkew: the clock has jumped back, or was ahead when the disk was written.
type ClockBehindDisk struct {
	Offset time.Duration // time on the disk minus the local time
}

// PeerClockSkew warns that the clock of a peer differs from the local clock by more than Settings.MaxClockSkew.
type PeerClockSkew struct {
	Peer   string
	Offset time.Duration // peer's time minus the local time; negative if the peer's clock is behind
}

// ConflictingLists warns that instances hold different lists of the same version.
type ConflictingLists struct {
	Version int64
}

func (ClockBehindDisk) warning()  {}
func (PeerClockSkew) warning()    {}
func (ConflictingLists) warning() {}
