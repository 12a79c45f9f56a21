package recovery

import (
	"cmp"
	"maps"
	"slices"
)

// selection is the endpoint list that a decision uses.
type selection struct {
	source   Source
	peers    []string
	version  int64
	hash     uint64
	excluded []string
}

// candidate is an endpoint list, with the instances that hold it.
type candidate struct {
	version int64
	hash    uint64
	onDisk  bool     // of this instance
	peers   []string // sorted
}

// isAgreed reports whether at least two instances hold the list.
func (c *candidate) isAgreed() bool {
	return len(c.peers) > 1 || c.onDisk && len(c.peers) > 0
}

// selectList chooses the newest list on which two instances agree. Where there is none it is the own disk's, and a
// peer's only where the disk holds none and no other peer contradicts it: a faulty peer can't bring in a list of its own.
func (r *Recovery) selectList() selection {
	candidates := r.candidates()
	r.warnOfConflicts(candidates)
	c := r.choose(candidates)
	if c == nil {
		return selection{source: FromNowhere}
	}
	s := selection{source: FromPeers, peers: c.peers, version: c.version, hash: c.hash}
	if c.onDisk {
		s.source, s.peers = FromDisk, nil
	}
	if c.onDisk && !c.isAgreed() {
		s.excluded = r.excludedServers()
	}
	return s
}

// candidates returns the lists that the disk and the peers hold, the newest first.
func (r *Recovery) candidates() []*candidate {
	var all []*candidate
	find := func(s PeerState) *candidate {
		for _, c := range all {
			if c.version == s.Version && c.hash == s.Hash {
				return c
			}
		}
		c := &candidate{version: s.Version, hash: s.Hash}
		all = append(all, c)
		return c
	}
	if r.disk.Version > 0 {
		find(r.disk).onDisk = true
	}
	for _, name := range r.reporters() {
		if state := r.reports[name].State; state.Version > 0 {
			c := find(state)
			c.peers = append(c.peers, name)
		}
	}
	slices.SortStableFunc(all, func(a, b *candidate) int { return cmp.Compare(b.version, a.version) })
	return all
}

// warnOfConflicts adds a warning for each version of which there are different lists. Candidates are sorted by version.
func (r *Recovery) warnOfConflicts(candidates []*candidate) {
	for i := 1; i < len(candidates); i++ {
		if version := candidates[i].version; version == candidates[i-1].version {
			r.warnOfConflict(ConflictingLists{Version: version})
		}
	}
}

// choose returns the candidate to use, nil where there is none that can be trusted.
func (r *Recovery) choose(candidates []*candidate) *candidate {
	for _, c := range candidates {
		if c.isAgreed() {
			return c
		}
	}
	for _, c := range candidates {
		if c.onDisk {
			return c
		}
	}
	if len(candidates) == 1 && r.disk.Version == 0 {
		return candidates[0]
	}
	return nil
}

// excludedServers returns, sorted, the servers of the disk's list that a peer with a newer list does not hold. A peer
// that would bring them to more than half of the list is ignored.
func (r *Recovery) excludedServers() []string {
	var excluded []string
	for _, name := range r.reporters() {
		state := r.reports[name].State
		if state.Version <= r.disk.Version || len(state.Servers) == 0 {
			continue
		}
		missing := r.missingServers(state, excluded)
		if 2*(len(excluded)+len(missing)) <= len(r.disk.Servers) {
			excluded = append(excluded, missing...)
		}
	}
	slices.Sort(excluded)
	return excluded
}

// missingServers returns the servers of the disk's list that a state does not hold, without those excluded already.
func (r *Recovery) missingServers(state PeerState, excluded []string) []string {
	held := map[string]bool{}
	for _, s := range state.Servers {
		held[s.ID] = true
	}
	var missing []string
	for _, s := range r.disk.Servers {
		if !held[s.ID] && !slices.Contains(excluded, s.ID) {
			missing = append(missing, s.ID)
		}
	}
	return missing
}

// reporters returns the names of the peers that have answered, sorted.
func (r *Recovery) reporters() []string {
	return slices.Sorted(maps.Keys(r.reports))
}
