package session

import "github.com/cespare/xxhash/v2"

// Deduplicator finds the messages that a session receives twice while it is subscribed at two nodes of a cluster, as
// clustered nodes forward messages to each other and so both deliver them. The messages of the old node are counted by
// their hash; for each of them one identical message of the new node is a duplicate.
//
// A message that only the new node delivers is dropped in one case: if an identical one was delivered by the old node alone
// while the subscriptions at the new node were being set up.
//
// The zero value is inactive. A Deduplicator must not be used by several goroutines at once.
type Deduplicator struct {
	active  bool
	pending map[uint64]int // by hash: messages of the old node without a duplicate so far
	count   int            // messages in pending
}

// maxPending bounds the messages in Deduplicator.pending. Duplicates of messages beyond it are not found.
const maxPending = 1 << 16

// Start begins counting, with nothing counted so far.
func (d *Deduplicator) Start() { *d = Deduplicator{active: true, pending: map[uint64]int{}} }

// Stop ends counting and forgets what was counted.
func (d *Deduplicator) Stop() { *d = Deduplicator{} }

// Active reports whether messages must be passed to RecordOld and IsDuplicate.
func (d *Deduplicator) Active() bool { return d.active }

// RecordOld counts a message that the old node delivered. raw is its whole frame, with subject, subscription and reply.
func (d *Deduplicator) RecordOld(raw []byte) {
	if d.active && d.count < maxPending {
		d.pending[xxhash.Sum64(raw)]++
		d.count++
	}
}

// IsDuplicate reports whether the old node delivered a message of the new node already. Each message of the old node
// accounts for one duplicate.
func (d *Deduplicator) IsDuplicate(raw []byte) bool {
	if !d.active {
		return false
	}
	hash := xxhash.Sum64(raw)
	switch d.pending[hash] {
	case 0:
		return false
	case 1:
		delete(d.pending, hash)
	default:
		d.pending[hash]--
	}
	d.count--
	return true
}
