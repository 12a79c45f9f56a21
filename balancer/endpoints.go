package balancer

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"
)

const (
	// removedServerRetention is how long a removed server that holds nothing is remembered, so that a fleet
	// whose machines get new ids does not grow the memory.
	removedServerRetention = 10 * time.Minute

	// evictionInterval is the least time between two searches for servers to forget, which pass over all
	// servers.
	evictionInterval = removedServerRetention / 10
)

// server is what is known of a server: its entry in the endpoint list and what was observed of its process.
type server struct {
	Server
	unavailableSince   time.Duration // when it was learned that it drains or is removed
	hasDrained         bool          // listed as draining since its process started
	removalSuspectedAt time.Duration // listed as removed since then, which is unconfirmed; 0: not suspected
	confirmedAlive     bool          // and yet it had an established connection then or since

	inFlight         []*request // connections, and attempts that are not established yet
	pendingAttempts  int        // of these, attempts that are not established yet
	groupConnections map[string]int
	load             loadSum

	failureScore decayingCounter
	ejections    int           // since its process started
	ejectedUntil time.Duration // 0: not ejected
	onProbation  bool          // back from ejection; one attempt at a time until one is established
	trialDueAt   time.Duration // reinstated and not yet sent to: to be tried from then on; 0: no trial due

	messageDelay   time.Duration // as last reported
	messageDelayAt time.Duration
	pausedUntil    time.Duration // it is given nothing new before
	loadLimit      float64       // load from this gateway that it is held to take; 0: no limit known
	limitLoweredAt time.Duration

	migrationCredit float64 // connections that may migrate and have not yet

	utilization              float64       // as last reported
	reportedAt               time.Duration // 0: never
	utilizationPerConnection float64       // utilization by one connection, by the last report; 0: unknown
	polledAt                 time.Duration // 0: never
	attemptsSinceReport      int           // attempts

	warmupLookups    decayingCounter // lookups that gave it while it was warming up
	lastWarmupSendAt time.Duration   // when it was last sent a connection on its warm-up budget
}

func compareServerIDs(a, b *server) int { return cmp.Compare(a.ID, b.ID) }

// IsEjected reports whether the Balancer keeps a server out of use for its failures.
func (b *Balancer) IsEjected(id ServerID) bool {
	s := b.servers[id]
	return s != nil && s.ejectedUntil > 0
}

func (b *Balancer) onEndpointList(ev EndpointList) {
	suspected := b.countSuspectedRemovals()
	if ev.Mode != ListDelta {
		b.removeUnlisted(ev.Servers)
	}
	for _, entry := range ev.Servers {
		b.updateServer(entry)
	}
	if n := b.countSuspectedRemovals(); n > suspected {
		b.log("removals suspected", slog.Int("servers", n-suspected))
	}
	b.hasList = b.hasList || ev.Mode == ListComplete || len(ev.Servers) > 0
	b.tableIsStale = true
	b.dispatchWaiting()
}

// removeUnlisted takes the servers that a whole list leaves out for listed as removed.
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

// updateServer takes over an entry of the list.
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
	if entry.State != Removed { // one first listed as removed is not suspected but was never there
		s.State = Ready
	}
	b.servers[entry.ID] = s
	i, _ := slices.BinarySearchFunc(b.sortedServers, s, compareServerIDs)
	b.sortedServers = slices.Insert(b.sortedServers, i, s)
	return s
}

// resetHealth forgets what was learned of a server's process.
func (s *server) resetHealth() {
	s.hasDrained, s.onProbation = false, false
	s.failureScore, s.ejectedUntil, s.ejections = decayingCounter{}, 0, 0
	s.loadLimit, s.pausedUntil = 0, 0
}

// setState follows the list. If removal is advisory, a server that is listed as removed, or left out, is only
// suspected to be: it keeps its slots in the table, as its own connections and results tell more. One
// established connection and it serves as before; until then one attempt at a time may try it, and the first
// failure confirms the removal, as does an ejection at that time. This protects from lists that are wrong,
// empty or stale, and spares the table a second change when the correct one comes. It costs an attempt if the
// server is gone and no connection showed that. Draining binds until the next start, whatever a stale list
// says later.
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
	leaves := state != Ready && s.State == Ready
	if leaves || b.settings.RemovalIsAdvisory && state == Draining && !s.hasDrained {
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

// confirmRemoval takes a server that is suspected to be removed for removed.
func (b *Balancer) confirmRemoval(s *server) {
	s.State, s.unavailableSince, s.removalSuspectedAt = Removed, b.now, 0
	b.tableIsStale = true
	b.log("removal confirmed", serverAttr(s))
}

// countSuspectedRemovals is the number of servers that are suspected to be removed.
func (b *Balancer) countSuspectedRemovals() (n int) {
	for _, s := range b.sortedServers {
		if s.removalSuspectedAt > 0 {
			n++
		}
	}
	return n
}

// awaitsConfirmation reports whether a server is suspected to be removed and nothing showed that it serves.
func (s *server) awaitsConfirmation() bool { return s.removalSuspectedAt > 0 && !s.confirmedAlive }

// hasEstablishedConnection reports whether this gateway has an established connection to a server.
func (s *server) hasEstablishedConnection() bool { return len(s.inFlight) > s.pendingAttempts }

// evictRemovedServers deletes the records of servers that were removed long ago and have no connections. The
// removal of a server that has been suspected for longer than removedServerRetention, and that has no
// connections, is confirmed.
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
