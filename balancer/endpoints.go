package balancer

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"
)

const (
	// removedServerRetention is how long the record of a removed server without connections is kept. The
	// limit bounds the memory in a fleet whose machines get new IDs.
	removedServerRetention = 10 * time.Minute

	// evictionInterval is the minimum time between two evictions, because each eviction iterates over all
	// servers.
	evictionInterval = removedServerRetention / 10
)

// server holds what the Balancer knows of a server: its entry in the endpoint list and what was observed of
// its process.
type server struct {
	Server
	unavailableSince   time.Duration // when it became known as draining or removed
	hasDrained         bool          // it has been listed as draining since its process started
	removalSuspectedAt time.Duration // when its removal became suspected; zero means that it is not
	confirmedAlive     bool          // it had an established connection when suspected or later

	inFlight         []*request // connections, including attempts that are not established yet
	pendingAttempts  int        // number of attempts in inFlight that are not established yet
	groupConnections map[string]int
	load             loadSum

	failureScore decayingCounter
	ejections    int           // number of ejections since its process started
	ejectedUntil time.Duration // zero means not ejected
	onProbation  bool          // its ejection is over and no attempt was established since
	trialDueAt   time.Duration // earliest time of the one trial after a reinstatement; zero means none is due

	messageDelay   time.Duration // as last reported
	messageDelayAt time.Duration
	pausedUntil    time.Duration // it counts as slow and is to be sent nothing new until then
	loadLimit      float64       // load from this gateway that it can take; zero means no known limit
	limitLoweredAt time.Duration

	migrationCredit float64 // number of connections that are still due to be migrated off it

	utilization              float64       // as last reported
	reportedAt               time.Duration // zero means never
	utilizationPerConnection float64       // utilization that one connection causes; zero means unknown
	polledAt                 time.Duration // zero means never
	attemptsSinceReport      int           // attempts sent to it since the last report

	warmupLookups    decayingCounter // lookups that led to it while it was warming up
	lastWarmupSendAt time.Duration   // when it was last sent a connection within its warm-up budget
}

func compareServerIDs(a, b *server) int { return cmp.Compare(a.ID, b.ID) }

// IsEjected reports whether a server is ejected for its failures.
func (b *Balancer) IsEjected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && s.ejectedUntil > 0
}

func (b *Balancer) onEndpointList(ev EndpointList) {
	suspectedBefore := b.countSuspectedRemovals()
	if ev.Mode != ListDelta {
		b.removeUnlisted(ev.Servers)
	}
	for _, entry := range ev.Servers {
		b.updateServer(entry)
	}
	if suspected := b.countSuspectedRemovals(); suspected > suspectedBefore {
		b.log("removals suspected", slog.Int("servers", suspected-suspectedBefore))
	}
	b.hasList = b.hasList || ev.Mode == ListComplete || len(ev.Servers) > 0
	b.tableIsStale = true
	b.dispatchWaiting()
}

// removeUnlisted handles the servers that a complete or cached list leaves out as if it listed them as
// removed.
func (b *Balancer) removeUnlisted(list []Server) {
	listed := make(map[ServerID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
	}
	for _, s := range b.sortedServers {
		if !listed[s.ID] {
			b.setState(s, Removed)
		}
	}
}

// updateServer applies an entry of the list. A capacity that is not positive and finite counts as 1, and an
// entry without a zone keeps the known zone.
func (b *Balancer) updateServer(entry Server) {
	if !(entry.Capacity > 0) || math.IsInf(entry.Capacity, 1) {
		entry.Capacity = 1
	}
	s := b.servers[entry.ID]
	if s == nil {
		s = b.addServer(entry)
	} else if entry.Started > s.Started {
		s.resetHealth()
	}
	state := entry.State
	entry.State = s.State
	if entry.Zone == "" {
		entry.Zone = s.Zone
	}
	s.Server = entry
	b.setState(s, state)
}

func (b *Balancer) addServer(entry Server) *server {
	s := &server{
		Server:           entry,
		load:             newLoadSum(len(b.settings.Classes)),
		groupConnections: map[string]int{},
		unavailableSince: b.now,
	}
	if entry.State != Removed { // a server that is new and listed as removed is removed, not suspected
		s.State = Ready
	}
	b.servers[entry.ID] = s
	i, _ := slices.BinarySearchFunc(b.sortedServers, s, compareServerIDs)
	b.sortedServers = slices.Insert(b.sortedServers, i, s)
	return s
}

// resetHealth discards the drain, the failures and the load limit that were observed of a server's process.
// It is called after a restart of the process and after a reinstatement by an operator.
func (s *server) resetHealth() {
	s.hasDrained, s.onProbation = false, false
	s.failureScore, s.ejectedUntil, s.ejections = decayingCounter{}, 0, 0
	s.loadLimit, s.pausedUntil = 0, 0
}

// setState applies the state of a server in the list.
//
// If removal is advisory, a ready server that is listed as removed, or left out, is only suspected to be
// removed, unless it is ejected. A suspected server keeps its slots in the table, because its connections and
// the results of its attempts are better evidence than the list. Once it has an established connection, it
// serves as before. Until then, other servers are preferred while an attempt at it is pending, and its first
// failure other than a rejection confirms the removal. After that, the removal is confirmed by failures that
// would eject another server. No failure confirms it while hasSharedFault reports a shared fault. This guards
// against lists that are wrong, empty or stale, and avoids a second change of the table when the correct list
// arrives. It costs one attempt if the server is gone and no connection has shown that.
//
// Draining is final until the server's process restarts, whatever a stale list says later.
func (b *Balancer) setState(s *server, state ServerState) {
	if b.settings.RemovalIsAdvisory {
		switch {
		case s.hasDrained && state == Ready:
			return
		case state == Removed && s.State == Ready && s.ejectedUntil == 0:
			b.suspectRemoval(s)
			return
		}
	}
	becomesUnavailable := state != Ready && s.State == Ready
	if becomesUnavailable || b.settings.RemovalIsAdvisory && state == Draining && !s.hasDrained {
		s.unavailableSince = b.now
	}
	s.hasDrained = s.hasDrained && state != Ready || state == Draining
	s.State, s.removalSuspectedAt = state, 0
}

func (b *Balancer) suspectRemoval(s *server) {
	if s.removalSuspectedAt == 0 {
		s.removalSuspectedAt, s.confirmedAlive = b.now, s.hasEstablishedConnection()
	}
}

// confirmRemoval marks a server whose removal was suspected as removed.
func (b *Balancer) confirmRemoval(s *server) {
	s.State, s.unavailableSince, s.removalSuspectedAt = Removed, b.now, 0
	b.tableIsStale = true
	b.log("removal confirmed", serverAttr(s))
}

// countSuspectedRemovals returns the number of servers that are suspected to be removed.
func (b *Balancer) countSuspectedRemovals() (n int) {
	for _, s := range b.sortedServers {
		if s.removalSuspectedAt > 0 {
			n++
		}
	}
	return n
}

// awaitsConfirmation reports whether a server is suspected to be removed and no established connection has
// shown that it still serves.
func (s *server) awaitsConfirmation() bool { return s.removalSuspectedAt > 0 && !s.confirmedAlive }

// hasEstablishedConnection reports whether this gateway has an established connection to the server.
func (s *server) hasEstablishedConnection() bool { return len(s.inFlight) > s.pendingAttempts }

// evictRemovedServers deletes the records of servers that were removed long ago and have no connections. If a
// removal has been suspected for longer than removedServerRetention and the server has no connections, the
// removal is confirmed.
func (b *Balancer) evictRemovedServers() {
	if b.now-b.lastEvictionAt < evictionInterval {
		return
	}
	b.lastEvictionAt = b.now
	retention := max(removedServerRetention, b.settings.FlowRetention)
	b.sortedServers = slices.DeleteFunc(b.sortedServers, func(s *server) bool {
		if len(s.inFlight) > 0 {
			return false
		}
		if s.removalSuspectedAt > 0 && b.now-s.removalSuspectedAt > removedServerRetention {
			b.confirmRemoval(s)
		}
		evict := s.State == Removed && b.now-s.unavailableSince > retention
		if evict {
			delete(b.servers, s.ID)
		}
		return evict
	})
}

func serverAttr(s *server) slog.Attr { return slog.Uint64("server", uint64(s.ID)) }
