package maintenance

import "slices"

// Limits of the ids that are remembered. They bound the size of the snapshots for a successor, which hold all these ids.
const (
	maxKnownIDs   = 16 << 10
	maxKnownBytes = 1 << 20
)

// knownServers holds the ids of servers that discovery has listed, within the limits. The zero value is empty.
type knownServers struct {
	ids        map[string]struct{}
	order      []string // the ids, oldest first
	totalBytes int      // total length of all ids
}

func (k *knownServers) has(id string) bool {
	_, found := k.ids[id]
	return found
}

// add adds an id, unless it is too long, and evicts the oldest ids if a limit would be exceeded.
func (k *knownServers) add(id string) {
	if k.has(id) || len(id) > maxIDBytes {
		return
	}
	for len(k.order) >= maxKnownIDs || len(k.order) > 0 && k.totalBytes+len(id) > maxKnownBytes {
		k.forgetOldest()
	}
	if k.ids == nil {
		k.ids = map[string]struct{}{}
	}
	k.ids[id] = struct{}{}
	k.order = append(k.order, id)
	k.totalBytes += len(id)
}

func (k *knownServers) forgetOldest() {
	oldest := k.order[0]
	k.order = k.order[1:]
	delete(k.ids, oldest)
	k.totalBytes -= len(oldest)
}

func (k *knownServers) list() []string { return slices.Clone(k.order) }
