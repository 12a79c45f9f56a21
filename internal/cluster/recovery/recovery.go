// Package recovery decides what a gateway goes by after a start: its own disk, what its peers tell, or nothing yet. Events
// in, a decision out; it does no I/O and reads no clock.
//
// Trusted from disk: the incarnation, and the starts of servers, as a start that was seen has been. A hint until discovery
// confirms it: the list with its weights. Never taken over: loads, open connections, what of a cold server's budget is
// unspent, and who is alive: these are facts of the life that is over.
package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Settings are what a decision goes by.
type Settings struct {
	Name           string        // this instance's
	Peers          []string      // the others that the configuration names
	PeerTimeout    time.Duration // for their answers; then it goes on without those that are missing
	WarmupDuration time.Duration // a server that started is cold for this long
	MaxClockSkew   time.Duration // clocks of two instances may differ by this
}

// Server is an entry of a list, as far as instances have to agree on it.
type Server struct {
	ID        string
	StartedAt time.Duration // in Unix time; 0: long ago
}

// PeerState is what one instance holds: its own disk's content, or a peer's answer.
type PeerState struct {
	Version   int64  // of the list; 0: it holds none
	Hash      uint64 // of its entries without their starts: two that hold the same list have the same
	Servers   []Server
	UpdatedAt time.Duration // when the list was stored, or told, by its holder's clock
	Uptime    time.Duration // for how long the peer has served; 0 in the disk's voice, and in that of one who recovers as well
}

// Event is what happened. The concrete types are those below.
type Event interface{ event() }

type (
	// Startup is the start, with what the disk holds.
	Startup struct{ Disk PeerState }
	// PeerReport is a peer's answer; a later one of the same peer takes its place.
	PeerReport struct {
		Peer  string
		Clock time.Duration // the peer's, when it answered
		State PeerState
	}
	// DiscoveryUpdate says that discovery has told a list: hints are of no more use.
	DiscoveryUpdate struct{}
	// Tick lets time go by.
	Tick struct{}
)

func (Startup) event()         {}
func (PeerReport) event()      {}
func (DiscoveryUpdate) event() {}
func (Tick) event()            {}

// Source says whose list is gone by.
type Source int

const (
	FromNowhere   Source = iota // no list until discovery tells one
	FromDisk                    // a hint
	FromPeers                   // a hint that more than one of them tells
	FromDiscovery               // no hint
)

func (s Source) String() string {
	return [...]string{"nothing", "own disk", "peers", "discovery"}[s]
}

// Decision is taken once, and again where later answers change it before discovery tells a list.
type Decision struct {
	Source  Source
	Peers   []string // peers that hold the list, where it is OfPeers: the entries are to be had from them
	Version int64
	Hash    uint64
	// Excluded are servers of the own disk's list that a peer with a newer one does not hold, where no two voices agree. They
	// are not to be sent to. Half of the list at the most: one that lies takes no more than that away.
	Excluded []string
	// StartTimes are those of servers, by id, as more than one voice or the own disk tells them. They go over the list's.
	StartTimes map[string]time.Duration
	// ColdStart says that power was lost, as far as is known: no peer has served on. Servers of a hint may have started
	// since it was stored, so each is taken to have started now until discovery tells.
	ColdStart bool
	Isolated  bool // no peer answered: no part of a budget but the own one is used
	// Warnings name what did not fit: clocks that jumped, lists that contradict one another.
	Warnings []string
}

// Recovery decides for one start.
type Recovery struct {
	set     Settings
	began   time.Duration
	disk    PeerState
	peers   map[string]PeerReport
	decided bool
	over    bool     // discovery has told
	last    Decision // that was taken
	skewed  []string
}

// New returns a Recovery.
func New(set Settings) *Recovery { return &Recovery{set: set, peers: map[string]PeerReport{}} }

// Handle takes an event; ok is true with a decision that is new. now is Unix time.
func (r *Recovery) Handle(now time.Duration, ev Event) (d Decision, ok bool) {
	if r.over {
		return d, false
	}
	confirmed := false
	switch ev := ev.(type) {
	case Startup:
		r.began, r.disk = now, ev.Disk
		if r.disk.UpdatedAt > now+r.set.MaxClockSkew {
			r.warn("the clock is %v before the time at which the disk was last written: it jumped back, or the disk's ran ahead", r.disk.UpdatedAt-now)
		}
	case PeerReport:
		if ev.Peer == r.set.Name || !slices.Contains(r.set.Peers, ev.Peer) {
			return d, false
		}
		if off := ev.Clock - now; off > r.set.MaxClockSkew || off < -r.set.MaxClockSkew {
			r.warn("the clock of %s differs by %v", ev.Peer, off)
		}
		r.peers[ev.Peer] = ev
	case DiscoveryUpdate:
		confirmed = true
	}
	if !r.decided && !confirmed && len(r.peers) < len(r.set.Peers) && now < r.began+r.set.PeerTimeout {
		return d, false
	}
	d = r.decide(now, confirmed)
	if r.over = confirmed; r.decided && !confirmed && d.same(r.last) {
		return Decision{}, false
	}
	r.decided, r.last = true, d
	return d, true
}

// same reports whether two decisions have the same list gone by in the same way.
func (d Decision) same(o Decision) bool {
	return d.Source == o.Source && d.Version == o.Version && d.Hash == o.Hash && d.ColdStart == o.ColdStart && slices.Equal(d.Excluded, o.Excluded)
}

func (r *Recovery) warn(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(r.skewed, text) {
		r.skewed = append(r.skewed, text)
	}
}

func (r *Recovery) decide(now time.Duration, confirmed bool) Decision {
	d := Decision{Isolated: len(r.peers) == 0, ColdStart: !r.servedOn()}
	d.StartTimes = r.starts(now)
	if confirmed {
		d.Source = FromDiscovery
	} else {
		r.list(&d)
	}
	d.Warnings = r.skewed
	return d
}

// servedOn reports whether power was not lost, but this instance alone started: half or more of the peers that answer have
// served for longer than servers are cold. One that lies by itself changes nothing from three answers on.
func (r *Recovery) servedOn() bool {
	served := 0
	for _, t := range r.peers {
		if t.State.Uptime > r.set.WarmupDuration {
			served++
		}
	}
	return len(r.peers) > 0 && 2*served >= len(r.peers) && (served > 1 || len(r.peers) == 1)
}

// held is a list, with those who hold it.
type held struct {
	version int64
	hash    uint64
	own     bool
	peers   []string
}

// list chooses the newest list that two voices hold alike. Where no two agree the own disk's is gone by, and a peer's only
// where the disk holds none and nobody contradicts it: one that lies can't bring in a list of its own.
func (r *Recovery) list(d *Decision) {
	var lists []*held
	add := func(v PeerState, peer string) {
		if v.Version <= 0 {
			return
		}
		var l *held
		for _, other := range lists {
			if other.version == v.Version && other.hash == v.Hash {
				l = other
			}
		}
		if l == nil {
			l = &held{version: v.Version, hash: v.Hash}
			lists = append(lists, l)
		}
		if peer == "" {
			l.own = true
		} else {
			l.peers = append(l.peers, peer)
		}
	}
	add(r.disk, "")
	for _, name := range r.names() {
		add(r.peers[name].State, name)
	}
	slices.SortStableFunc(lists, func(a, b *held) int { return cmp.Compare(b.version, a.version) })
	for i, l := range lists {
		for _, other := range lists[i+1:] {
			if other.version == l.version {
				r.warn("version %d of the list is told in two forms", l.version)
			}
		}
	}
	for _, l := range lists {
		if len(l.peers) > 1 || l.own && len(l.peers) > 0 || l.own && r.newestAgreed(lists) == nil ||
			len(lists) == 1 && r.disk.Version == 0 {
			d.Version, d.Hash = l.version, l.hash
			if d.Source = FromPeers; l.own {
				d.Source = FromDisk
			} else {
				d.Peers = l.peers
			}
			if l.own && len(l.peers) == 0 {
				d.Excluded = r.left()
			}
			return
		}
	}
}

// left are the servers of the own list that some peer with a newer one does not hold. A peer that would take more than half
// of them away is not believed in any.
func (r *Recovery) left() (ids []string) {
	for _, name := range r.names() {
		v := r.peers[name].State
		if v.Version <= r.disk.Version || len(v.Servers) == 0 {
			continue
		}
		held := map[string]bool{}
		for _, s := range v.Servers {
			held[s.ID] = true
		}
		var gone []string
		for _, s := range r.disk.Servers {
			if !held[s.ID] && !slices.Contains(ids, s.ID) {
				gone = append(gone, s.ID)
			}
		}
		if 2*(len(ids)+len(gone)) <= len(r.disk.Servers) {
			ids = append(ids, gone...)
		}
	}
	slices.Sort(ids)
	return ids
}

// newestAgreed is the newest list that two voices hold; nil: there is none.
func (r *Recovery) newestAgreed(lists []*held) *held {
	for _, l := range lists {
		if len(l.peers) > 1 || l.own && len(l.peers) > 0 {
			return l
		}
	}
	return nil
}

func (r *Recovery) names() (names []string) {
	for name := range r.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// starts are the latest of each server that two peers tell, or that the own disk saw. One peer's word alone makes no
// server cold or warm; what lies ahead of the clock was not seen by anyone.
func (r *Recovery) starts(now time.Duration) map[string]time.Duration {
	told := map[string][]time.Duration{}
	for _, t := range r.peers {
		seen := map[string]bool{}
		for _, s := range t.State.Servers {
			if s.StartedAt > 0 && s.StartedAt <= now+r.set.MaxClockSkew && !seen[s.ID] {
				seen[s.ID] = true
				told[s.ID] = append(told[s.ID], s.StartedAt)
			}
		}
	}
	all := map[string]time.Duration{}
	for _, s := range r.disk.Servers {
		if s.StartedAt > 0 && s.StartedAt <= now+r.set.MaxClockSkew {
			all[s.ID] = s.StartedAt
		}
	}
	for id, list := range told {
		if len(list) > 1 {
			slices.Sort(list)
			all[id] = max(all[id], list[len(list)-2])
		}
	}
	return all
}
