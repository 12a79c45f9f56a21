// Package wal keeps records on disk through power loss: a journal in segments, with snapshots that let old segments go.
//
// A record is acknowledged, that is Append returns without an error, only once it is on the disk. A sync that failed is
// never taken for a success later: the store takes nothing more. What a torn write left at the journal's end was never
// acknowledged, and is cut. Whatever else does not fit is damage: the store does not open and puts its files aside.
package wal

// Log keeps records in order. Its methods may be called from any goroutine.
type Log interface {
	// Append stores a record and returns its number, one more than the last. The record is durable then.
	Append(record []byte) (uint64, error)
	// Snapshot replaces all records up to a number by a state that holds them. It is durable when Snapshot returns; where
	// it fails with an error that may be tried again, all is as before.
	Snapshot(upTo uint64, state []byte) error
	// Close ends it. Appends that wait end first.
	Close() error
}

// Record is one that was read back.
type Record struct {
	Number uint64
	Data   []byte
}

// RecoveredLog is what a store holds when it is opened.
type RecoveredLog struct {
	SnapshotNumber uint64 // all records up to this one are in State; 0: there is no state
	Snapshot       []byte
	Records        []Record // those after it, in order
	TornBytes      int64    // bytes of a torn write that were cut off the end
}

// LastNumber is the number of the last record; 0: there is none.
func (h *RecoveredLog) LastNumber() uint64 {
	if n := len(h.Records); n > 0 {
		return h.Records[n-1].Number
	}
	return h.SnapshotNumber
}

// RecordMost bounds a record, in bytes.
const MaxRecordBytes = 1 << 20
