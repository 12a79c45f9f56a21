// Package wal implements a write-ahead log with snapshots. It stores records in segment files, where they survive power
// loss, and removes a segment once a snapshot covers its records.
//
// A record is acknowledged, that is, Append returns without an error, only once it is durable. After a failed sync the log
// rejects all further writes, because a later successful sync does not prove that the earlier data reached the disk. A torn
// write at the end of the newest segment was never acknowledged and is truncated when the log is opened. Any other data
// that fails to decode is corruption: the log does not open, and its files are moved to a quarantine directory.
//
// A FileLog owns its directory while it is open; no other process may write to that directory. The methods of a Log may be
// called from any goroutine.
package wal

import "errors"

// MaxRecordBytes is the maximum length of a record in bytes.
const MaxRecordBytes = 1 << 20

// ErrSnapshotAhead is returned by Log.Snapshot if the record number has not been appended yet.
var ErrSnapshotAhead = errors.New("snapshot is ahead of the log")

// Log stores records in order and numbers them from 1.
type Log interface {
	// Append stores a record and returns its number, which is one higher than the number of the previous record. The
	// record is durable when Append returns without an error.
	Append(record []byte) (uint64, error)
	// Snapshot replaces all records with numbers up to and including upTo by a state that covers them. The state is durable
	// when Snapshot returns without an error. After a retryable error, every record is still stored or covered by the
	// snapshot, and the same snapshot may be taken again. If the previous snapshot covers upTo already, state is ignored.
	Snapshot(upTo uint64, state []byte) error
	// Close waits for appends in progress and closes the log. Further calls have no effect and return nil.
	Close() error
}

// Record is a recovered record.
type Record struct {
	Number uint64
	Data   []byte
}

// RecoveredLog holds the contents of a log at the time it was opened.
type RecoveredLog struct {
	SnapshotNumber uint64 // number of the last record that Snapshot covers; zero means there is no snapshot
	Snapshot       []byte
	Records        []Record // the records after the snapshot, in order
	TornBytes      int64    // number of bytes of a torn write that were truncated
}

// LastNumber returns the number of the last record. Zero means the log has no records.
func (r *RecoveredLog) LastNumber() uint64 {
	if n := len(r.Records); n > 0 {
		return r.Records[n-1].Number
	}
	return r.SnapshotNumber
}
