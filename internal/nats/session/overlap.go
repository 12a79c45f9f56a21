package session

import "github.com/cespare/xxhash/v2"

// Deduplicator tells the messages that come from two nodes while a session is subscribed at both, as nodes that pass messages on
// to each other deliver each of them at both. What the old node gave is counted; the new node's copy is then passed over,
// once for each. Messages that only one node has are never touched, but for one that has the same subject and bytes as one
// that the old node gave alone while the new one was being set up.
//
// The zero value is off.
type Deduplicator struct {
	on    bool
	given map[uint64]int
	count int
}

// overlapMost bounds what is remembered. Beyond it copies pass.
const overlapMost = 1 << 16

// Start starts counting.
func (o *Deduplicator) Start() { *o = Deduplicator{on: true, given: map[uint64]int{}} }

// Stop stops it.
func (o *Deduplicator) Stop() { *o = Deduplicator{} }

// Active reports whether messages are to be shown to Old and New.
func (o *Deduplicator) Active() bool { return o.on }

// RecordOld counts a message that the old node gave: its frame as it stands, which names subject, subscription and reply.
func (o *Deduplicator) RecordOld(raw []byte) {
	if o.on && o.count < overlapMost {
		o.given[xxhash.Sum64(raw)]++
		o.count++
	}
}

// IsDuplicate reports whether a message of the new node was given by the old one already, and counts it off.
func (o *Deduplicator) IsDuplicate(raw []byte) bool {
	if !o.on {
		return false
	}
	h := xxhash.Sum64(raw)
	n := o.given[h]
	switch {
	case n == 0:
		return false
	case n == 1:
		delete(o.given, h)
	default:
		o.given[h]--
	}
	o.count--
	return true
}
