// Package wal is a write-ahead log with snapshots: it keeps records on disk through power loss, in segment files, and
// removes segments once a snapshot covers them.
//
// A record is acknowledged, that is Append returns without an error, only once it is durable. A failed sync is never taken
// for a success later: the log then refuses all further writes. A torn write at the end of the newest segment was never
// acknowledged and is truncated when the log is opened. Anything else that does not read back is corruption: the log does
// not open, and its files are moved to a quarantine directory.
//
// A FileLog owns its directory while it is open; no other process may write there. Methods of a Log may be called from any
// goroutine.
package wal

import "errors"

// MaxRecordBytes is the length of the longest record that a log takes.
const MaxRecordBytes = 1 << 20

// ErrSnapshotAhead is returned by Log.Snapshot for a record number that was not appended yet.
var ErrSnapshotAhead = errors.New("snapshot is ahead of the log")

// Log keeps records in order, numbered from 1.
type Log interface {
	// Append stores a record and returns its number, one more than the last. The record is durable when Append returns.
	Append(record []byte) (uint64, error)
	// Snapshot replaces all records up to a number by a state that covers them. It is durable when Snapshot returns. After
	// an error that may be retried all records are still there, or covered by the snapshot, and the same snapshot may be
	// taken again. The state of a snapshot that is not newer than the last one is ignored.
	Snapshot(upTo uint64, state []byte) error
	// Close waits for appends in progress and closes the log. Closing it again has no effect.
	Close() error
}

// Record is a record that was recovered.
type Record struct {
	Number uint64
	Data   []byte
}

// RecoveredLog is what a log holds when it is opened.
type RecoveredLog struct {
	SnapshotNumber uint64 // the last record that Snapshot covers; 0: there is no snapshot
	Snapshot       []byte
	Records        []Record // those after the snapshot, in order
	TornBytes      int64    // length of a torn write that was truncated
}

// LastNumber is the number of the last record; 0: there is none.
func (r *RecoveredLog) LastNumber() uint64 {
	if n := len(r.Records); n > 0 {
		return r.Records[n-1].Number
	}
	return r.SnapshotNumber
}
