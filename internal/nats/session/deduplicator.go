package session

import "github.com/cespare/xxhash/v2"

// Deduplicator detects duplicate messages while a session is subscribed at two nodes of a cluster. Clustered nodes forward
// messages to each other, so that both nodes deliver the same message. The Deduplicator counts the messages of the old node
// by hash. Each of them makes one identical message of the new node a duplicate.
//
// Messages of a queue group must not be passed to the Deduplicator. The session is a member of the group at both nodes, and the
// cluster delivers each message to one member, so that identical messages of the two nodes are different messages.
//
// In one case a message is treated as a duplicate although only the new node delivered it: when the old node alone delivered
// an identical message while the subscriptions at the new node were being set up.
//
// The zero value is inactive. A Deduplicator must not be used by several goroutines at once.
type Deduplicator struct {
	active        bool
	pendingByHash map[uint64]int // number of the old node's messages without a duplicate so far, by hash of the frame
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

// RecordOld counts a message that the old node delivered, so that one identical message of the new node is a duplicate. raw is
// the message's complete MSG or HMSG frame as received, including the subject, the subscription ID and the reply subject.
// RecordOld does nothing if the Deduplicator is inactive or maxPendingMessages are counted.
func (d *Deduplicator) RecordOld(raw []byte) {
	if d.active && d.pendingCount < maxPendingMessages {
		d.pendingByHash[xxhash.Sum64(raw)]++
		d.pendingCount++
	}
}

// IsDuplicate reports whether a message of the new node is identical to one that the old node has delivered. raw is the
// message's complete frame, as for RecordOld. Each message of the old node makes only one message of the new node a duplicate.
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
