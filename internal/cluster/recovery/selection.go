package recovery

import (
	"cmp"
	"maps"
	"slices"
)

// selection is the choice of an endpoint list, as the fields of the same names in Decision.
type selection struct {
	source   Source
	peers    []string
	version  int64
	hash     uint64
	excluded []string
}

// candidate is an endpoint list and the instances that hold it.
type candidate struct {
	version int64
	hash    uint64
	onDisk  bool     // this instance's disk holds the list
	peers   []string // the peers that hold the list, sorted by name
}

// isAgreed reports whether at least two instances hold the list.
func (c *candidate) isAgreed() bool {
	return len(c.peers) > 1 || c.onDisk && len(c.peers) > 0
}

// selectList selects the newest list that at least two instances hold. If there is none, it selects the list on this
// instance's disk. If the disk holds no list either, it selects the list of a peer, provided that no other peer holds a
// different one: otherwise a faulty peer could introduce a list of its own.
func (r *Recovery) selectList() selection {
	candidates := r.candidates()
	r.warnOfConflicts(candidates)
	c := r.chooseCandidate(candidates)
	if c == nil {
		return selection{source: FromNone}
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

// candidates returns the lists that this instance's disk and the peers hold, sorted from the newest version to the oldest.
func (r *Recovery) candidates() []*candidate {
	var all []*candidate
	findOrAdd := func(s PeerState) *candidate {
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
		findOrAdd(r.disk).onDisk = true
	}
	for _, name := range r.reporters() {
		if state := r.reports[name].State; state.Version > 0 {
			c := findOrAdd(state)
			c.peers = append(c.peers, name)
		}
	}
	slices.SortStableFunc(all, func(a, b *candidate) int { return cmp.Compare(b.version, a.version) })
	return all
}

// warnOfConflicts adds a warning for each version that more than one candidate has. The candidates are sorted by version.
func (r *Recovery) warnOfConflicts(candidates []*candidate) {
	for i := 1; i < len(candidates); i++ {
		if version := candidates[i].version; version == candidates[i-1].version {
			r.warnOfConflict(ConflictingLists{Version: version})
		}
	}
}

// chooseCandidate returns the candidate to use, or nil if none can be trusted.
func (r *Recovery) chooseCandidate(candidates []*candidate) *candidate {
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

// excludedServers returns the IDs of the servers that the disk's list contains and a peer's newer list lacks, sorted. It
// ignores a peer whose list would raise the number of excluded servers above half of the disk's list.
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

// missingServers returns the IDs of the servers that the disk's list contains and the state lacks, except the IDs in excluded.
func (r *Recovery) missingServers(state PeerState, excluded []string) []string {
	heldIDs := map[string]bool{}
	for _, s := range state.Servers {
		heldIDs[s.ID] = true
	}
	var missing []string
	for _, s := range r.disk.Servers {
		if !heldIDs[s.ID] && !slices.Contains(excluded, s.ID) {
			missing = append(missing, s.ID)
		}
	}
	return missing
}

// reporters returns the sorted names of the peers that have answered.
func (r *Recovery) reporters() []string {
	return slices.Sorted(maps.Keys(r.reports))
}
