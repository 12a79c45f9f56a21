// Package recovery decides which endpoint list a gateway uses between its start and discovery's first answer: the one
// on its own disk, one that its peers hold, or none yet.
//
// A [Recovery] is a pure state machine: it turns events into decisions, does no I/O and reads no clock. It is not safe for
// concurrent use: it belongs to one goroutine, or to callers that hold a lock. Package internal/cluster does the I/O.
//
// The recovered data is trusted to different degrees:
//
//   - Start times of servers are taken from the disk, because a start that was observed did happen.
//   - The endpoint list with its weights is provisional until discovery confirms it.
//   - Loads, open connections, unspent warm-up budgets and the liveness of servers are never restored, because they belong
//     to the previous incarnation.
//
// A single peer that reports wrong data does not change the decision while two other peers agree on correct data.
package recovery

import (
	"slices"
	"time"
)

// maxConflictWarnings is the number of versions for which a ConflictingLists warning is kept.
const maxConflictWarnings = 16

// Settings configures a Recovery.
type Settings struct {
	Name           string        // name of this instance
	Peers          []string      // names of the other configured instances
	PeerTimeout    time.Duration // how long a start waits for the peers' reports
	WarmupDuration time.Duration // how long a server is warming up after its start
	MaxClockSkew   time.Duration // largest accepted difference between the clocks of two instances
}

// Recovery decides which endpoint list one instance uses during one start.
type Recovery struct {
	settings          Settings
	startedAt         time.Duration // Unix time
	disk              PeerState
	reports           map[string]PeerReport // the latest of each peer, by its name
	decided           bool                  // a decision has been returned
	discoveryAnswered bool
	lastDecision      Decision // the latest decision; valid if decided is set
	warnings          []Warning
}

// New returns a Recovery that expects a Startup as its first event.
func New(settings Settings) *Recovery {
	return &Recovery{settings: settings, reports: map[string]PeerReport{}}
}

// Handle processes an event that occurred at now, in Unix time. It returns a decision and true if the event leads to the
// first decision, or to a decision that selects another list than the last one or uses the list differently. Otherwise it
// returns false. It ignores reports from instances that are not configured, and every event after a DiscoveryUpdate.
func (r *Recovery) Handle(now time.Duration, event Event) (Decision, bool) {
	if r.discoveryAnswered {
		return Decision{}, false
	}
	switch event := event.(type) {
	case Startup:
		r.handleStartup(now, event)
	case PeerReport:
		if !r.isPeer(event.Peer) {
			return Decision{}, false
		}
		r.handleReport(now, event)
	case DiscoveryUpdate:
		r.discoveryAnswered = true
		return r.newDecision(now, selection{source: FromDiscovery}), true
	}
	if !r.decided && !r.isReady(now) {
		return Decision{}, false
	}
	d := r.newDecision(now, r.selectList())
	if r.decided && d.selectsSameList(r.lastDecision) {
		return Decision{}, false
	}
	r.decided, r.lastDecision = true, d
	return d, true
}

func (r *Recovery) isPeer(name string) bool {
	return name != r.settings.Name && slices.Contains(r.settings.Peers, name)
}

func (r *Recovery) handleStartup(now time.Duration, event Startup) {
	r.startedAt, r.disk = now, event.Disk
	if r.disk.UpdatedAt > now+r.settings.MaxClockSkew {
		r.warn(ClockBehindDisk{Offset: r.disk.UpdatedAt - now})
	}
}

func (r *Recovery) handleReport(now time.Duration, report PeerReport) {
	offset := report.Clock - now
	if offset > r.settings.MaxClockSkew || offset < -r.settings.MaxClockSkew {
		r.warnOfClockSkew(PeerClockSkew{Peer: report.Peer, Offset: offset})
	}
	r.reports[report.Peer] = report
}

// isReady reports whether a decision can be taken: all peers have answered, or Settings.PeerTimeout has passed.
func (r *Recovery) isReady(now time.Duration) bool {
	return len(r.reports) >= len(r.settings.Peers) || now >= r.startedAt+r.settings.PeerTimeout
}

func (r *Recovery) newDecision(now time.Duration, s selection) Decision {
	return Decision{
		Source:     s.source,
		Peers:      s.peers,
		Version:    s.version,
		Hash:       s.hash,
		Excluded:   s.excluded,
		StartTimes: r.startTimes(now),
		ColdStart:  r.isColdStart(),
		Isolated:   len(r.reports) == 0,
		Warnings:   r.warnings,
	}
}

// warn adds a warning to all further decisions, unless the same warning has been added before.
func (r *Recovery) warn(w Warning) {
	if !slices.Contains(r.warnings, w) {
		r.warnings = append(r.warnings, w)
	}
}

// warnOfClockSkew adds a warning and keeps only the one with the largest offset for each peer: the offset differs from report
// to report because the network delay does, and the peer's clock may change.
func (r *Recovery) warnOfClockSkew(w PeerClockSkew) {
	i := slices.IndexFunc(r.warnings, func(other Warning) bool {
		skew, ok := other.(PeerClockSkew)
		return ok && skew.Peer == w.Peer
	})
	if i < 0 {
		r.warn(w)
		return
	}
	if w.Offset.Abs() > r.warnings[i].(PeerClockSkew).Offset.Abs() {
		r.warnings = slices.Clone(r.warnings) // earlier decisions share the slice
		r.warnings[i] = w
	}
}

// warnOfConflict adds a warning and keeps only the maxConflictWarnings warnings of this type that were added last.
func (r *Recovery) warnOfConflict(w ConflictingLists) {
	if slices.Contains(r.warnings, Warning(w)) {
		return
	}
	isConflict := func(other Warning) bool { _, ok := other.(ConflictingLists); return ok }
	count := 0
	for _, other := range r.warnings {
		if isConflict(other) {
			count++
		}
	}
	if count >= maxConflictWarnings {
		oldest := slices.IndexFunc(r.warnings, isConflict)
		r.warnings = slices.Delete(slices.Clone(r.warnings), oldest, oldest+1) // earlier decisions share the slice
	}
	r.warn(w)
}
