// Package recovery decides which endpoint list a gateway uses between its start and discovery's first answer: the one
// on its own disk, one that its peers hold, or none yet.
//
// It is a pure state machine: events in, decisions out, no I/O and no clock. A Recovery belongs to one goroutine, or to
// callers that hold a lock; the package internal/cluster does the I/O.
//
// What is recovered, and how far it is trusted:
//
//   - start times of servers are taken from disk, since a start that was observed did happen;
//   - the endpoint list with its weights is provisional until discovery confirms it;
//   - loads, open connections, unspent budgets of cold servers and the liveness of servers are never restored: they
//     belong to the previous incarnation.
//
// A single peer that reports wrong data changes nothing beside two correct ones.
package recovery

import (
	"slices"
	"time"
)

// maxConflictWarnings bounds the versions of which a warning is kept that there are different lists.
const maxConflictWarnings = 16

// Settings configure a Recovery.
type Settings struct {
	Name           string        // of this instance
	Peers          []string      // names of the other configured instances
	PeerTimeout    time.Duration // how long a start waits for the peers' reports
	WarmupDuration time.Duration // how long a server is cold after its start
	MaxClockSkew   time.Duration // how far the clocks of two instances may differ
}

// Recovery decides for one start of one instance.
type Recovery struct {
	settings  Settings
	startedAt time.Duration
	disk      PeerState
	reports   map[string]PeerReport // the latest of each peer
	decided   bool
	confirmed bool     // discovery has answered
	last      Decision // valid once decided
	warnings  []Warning
}

// New returns a Recovery that waits for its Startup.
func New(settings Settings) *Recovery {
	return &Recovery{settings: settings, reports: map[string]PeerReport{}}
}

// Handle processes an event that occurred at now, in Unix time. It returns a decision and true where the event led to the
// first decision or changed it, and false otherwise. Reports from instances that are not configured are ignored, as is
// everything after a DiscoveryUpdate.
func (r *Recovery) Handle(now time.Duration, event Event) (Decision, bool) {
	if r.confirmed {
		return Decision{}, false
	}
	switch event := event.(type) {
	case Startup:
		r.start(now, event)
	case PeerReport:
		if !r.isPeer(event.Peer) {
			return Decision{}, false
		}
		r.receive(now, event)
	case DiscoveryUpdate:
		r.confirmed = true
		return r.decide(now, selection{source: FromDiscovery}), true
	}
	if !r.decided && !r.isReady(now) {
		return Decision{}, false
	}
	d := r.decide(now, r.selectList())
	if r.decided && d.selectsSameList(r.last) {
		return Decision{}, false
	}
	r.decided, r.last = true, d
	return d, true
}

func (r *Recovery) isPeer(name string) bool {
	return name != r.settings.Name && slices.Contains(r.settings.Peers, name)
}

func (r *Recovery) start(now time.Duration, event Startup) {
	r.startedAt, r.disk = now, event.Disk
	if r.disk.UpdatedAt > now+r.settings.MaxClockSkew {
		r.warn(ClockBehindDisk{Offset: r.disk.UpdatedAt - now})
	}
}

func (r *Recovery) receive(now time.Duration, report PeerReport) {
	offset := report.Clock - now
	if offset > r.settings.MaxClockSkew || offset < -r.settings.MaxClockSkew {
		r.warnOfClockSkew(PeerClockSkew{Peer: report.Peer, Offset: offset})
	}
	r.reports[report.Peer] = report
}

// isReady reports whether all peers have answered or the time for it is up.
func (r *Recovery) isReady(now time.Duration) bool {
	return len(r.reports) >= len(r.settings.Peers) || now >= r.startedAt+r.settings.PeerTimeout
}

func (r *Recovery) decide(now time.Duration, s selection) Decision {
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

// warn adds a warning to those of all further decisions, once.
func (r *Recovery) warn(w Warning) {
	if !slices.Contains(r.warnings, w) {
		r.warnings = append(r.warnings, w)
	}
}

// warnOfClockSkew keeps one warning for each peer, that with the largest offset: a peer's reports differ by their delays, and
// its clock may change.
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
		r.warnings = slices.Clone(r.warnings) // decisions share it
		r.warnings[i] = w
	}
}

// warnOfConflict keeps the warnings of the latest maxConflictWarnings versions.
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
		r.warnings = slices.Delete(slices.Clone(r.warnings), oldest, oldest+1) // decisions share it
	}
	r.warn(w)
}
