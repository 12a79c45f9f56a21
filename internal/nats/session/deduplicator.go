package session

import "github.com/cespare/xxhash/v2"

// Deduplicator detects duplicate messages while a session is subscribed at two nodes of a cluster. Clustered nodes forward
// messages to each other, so that both nodes deliver the same message. The Deduplicator counts the messages of the old node
// by hash. Each of them makes one identical message of the new node a duplicate.
//
// In one case a message is treated as a duplicate although only the new node delivered it: when the old node alone delivered
// an identical message while the subscriptions at the new node were being set up.
//
// The zero value is inactive. A Deduplicator must not be used by several goroutines at once.
type Deduplicator struct {
	active        bool
	pendingByHash map[uint64]int // number of messages of the old node that have no duplicate yet, by hash
	pendingCount  int            // sum of the numbers in pendingByHash
}

// maxPendingMessages is the maximum of Deduplicator.pendingCount. Messages beyond it are not counted, and their duplicates are
// not detected.
const maxPendingMessages = 1 << 16

// Start activates the Deduplicator and discards all counts.
func (d *Deduplicator) Start() { *d = Deduplicator{active: true, pendingByHash: map[uint64]int{}} }

// Stop deactivates the Deduplicator and discards all counts.
func (d *Deduplicator) Stop() { *d = Deduplicator{} }

// Active reports whether messages must be passed to RecordOld and IsDuplicate.
func (d *Deduplicator) Active() bool { return d.active }

// RecordOld counts a message that the old node delivered. raw is the complete frame of the message, including subject,
// subscription ID and reply subject.
func (d *Deduplicator) RecordOld(raw []byte) {
	if d.active && d.pendingCount < maxPendingMessages {
		d.pendingByHash[xxhash.Sum64(raw)]++
		d.pendingCount++
	}
}

// IsDuplicate reports whether the old node has already delivered a message of the new node. raw is the complete frame, as for
// RecordOld. Each message of the old node accounts for one duplicate.
func (d *Deduplicator) IsDuplicate(raw []byte) bool {
	if !d.active {
		return false
	}
	hash := xxhash.Sum64(raw)
	switch d.pendingByHash[hash] {
	case 0:
		return false
	case 1:
		delete(d.pendingByHash, hash)
	default:
		d.pendingByHash[hash]--
	}
	d.pendingCount--
	return true
}
