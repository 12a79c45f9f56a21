package maintenance

import "slices"

// Bounds of the ids that are remembered: they are part of each snapshot that is handed over.
const (
	maxKnown      = 16 << 10
	maxKnownBytes = 1 << 20
)

// knownServers remembers ids that were listed, as many as the bounds allow. The zero value holds none.
type knownServers struct {
	ids   map[string]struct{}
	order []string // the longest known first
	bytes int      // of all ids together
}

func (k *knownServers) has(id string) bool {
	_, found := k.ids[id]
	return found
}

// add remembers an id, unless it is too long, and forgets those known for longest where there is no space for it.
func (k *knownServers) add(id string) {
	if k.has(id) || len(id) > maxIDBytes {
		return
	}
	for len(k.order) >= maxKnown || len(k.order) > 0 && k.bytes+len(id) > maxKnownBytes {
		k.forgetOldest()
	}
	if k.ids == nil {
		k.ids = map[string]struct{}{}
	}
	k.ids[id] = struct{}{}
	k.order = append(k.order, id)
	k.bytes += len(id)
}

func (k *knownServers) forgetOldest() {
	oldest := k.order[0]
	k.order = k.order[1:]
	delete(k.ids, oldest)
	k.bytes -= len(oldest)
}

func (k *knownServers) list() []string { return slices.Clone(k.order) }
