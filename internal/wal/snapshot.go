package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
)

// A snapshot file starts with a segment header that holds the number of the last record that the state covers, followed by
// (sizes in bytes)
//
//	length of the state 8 | checksum of the state 4 | state
const snapshotHeaderSize = segmentHeaderSize + 8 + checksumSize

func encodeSnapshot(last uint64, state []byte) []byte {
	b := appendSegmentHeader(nil, last)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(state)))
	b = binary.LittleEndian.AppendUint32(b, checksum(state))
	return append(b, state...)
}

// Snapshot implements Log.
func (l *FileLog) Snapshot(upTo uint64, state []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.writing {
		l.idle.Wait()
	}
	switch {
	case l.permanentErr != nil:
		return l.permanentErr
	case upTo < l.snapshotNumber || upTo == l.snapshotNumber && !l.removalPending && !l.isActiveCovered():
		return nil
	}
	l.writing = true
	l.mu.Unlock()
	err := l.compact(upTo, state)
	l.mu.Lock()
	l.setPermanentError(err)
	l.writeQueue()
	return err
}

// compact writes a snapshot and then removes the files that it covers. A crash at any point leaves either the old snapshot
// with all segments, or the new snapshot with covered segments that are removed when the log is opened. If the snapshot
// exists already, compact only retries the removal.
func (l *FileLog) compact(upTo uint64, state []byte) error {
	if upTo > l.lastNumber {
		return fmt.Errorf("%w: it covers records up to %d, but the last record is %d", ErrSnapshotAhead, upTo, l.lastNumber)
	}
	if upTo > l.snapshotNumber {
		name := filepath.Join(l.dir, snapshotName(upTo))
		if err := WriteFileAtomic(l.fs, name, encodeSnapshot(upTo, state)); err != nil {
			return l.classifyError(err)
		}
		l.snapshotNumber = upTo
	}
	return l.removeCovered()
}

// removeCovered removes the files that the snapshot covers. If the snapshot covers every record, the log continues in a new
// segment, and the old active segment is removed too, because a segment over its size limit accepts no more records.
func (l *FileLog) removeCovered() error {
	if l.isActiveCovered() {
		err := l.rollSegment()
		if noSpace := new(NoSpaceError); errors.As(err, &noSpace) {
			err = l.replaceActive()
		}
		if err != nil {
			return err
		}
	}
	l.removeObsolete()
	return nil
}

// isActiveCovered reports whether the active segment holds records and the snapshot covers all of them.
func (l *FileLog) isActiveCovered() bool {
	return l.lastNumber == l.snapshotNumber && l.active.size > int64(segmentHeaderSize)
}

// replaceActive removes the active segment, whose records are all covered by the snapshot, before it creates the next one. It
// is used if the disk has no space for both. A crash between the two steps leaves only the snapshot, which is enough to open
// the log.
func (l *FileLog) replaceActive() error {
	if err := l.fs.Remove(filepath.Join(l.dir, segmentName(l.active.first))); err != nil {
		return l.classifyError(err)
	}
	_ = l.active.file.Close() // its data is no longer needed
	l.active = segment{}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.classifyError(err)
	}
	return l.rollSegment()
}

// readSnapshot reads the state of a snapshot file. The file was complete and durable when it was renamed into place, so
// every defect in it is corruption and none is a torn write.
func (l *FileLog) readSnapshot(last uint64) ([]byte, error) {
	name := filepath.Join(l.dir, snapshotName(last))
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return nil, l.classifyError(err)
	}
	number, d := decodeSegmentHeader(b)
	switch {
	case d != nil:
		return nil, &CorruptionError{File: name, Reason: d.reason}
	case number != last || len(b) < snapshotHeaderSize:
		return nil, &CorruptionError{File: name, Reason: "record number does not match the file name, or the file is truncated"}
	}
	state := b[snapshotHeaderSize:]
	length := binary.LittleEndian.Uint64(b[segmentHeaderSize:])
	sum := binary.LittleEndian.Uint32(b[segmentHeaderSize+8:])
	if length != uint64(len(state)) || sum != checksum(state) {
		return nil, &CorruptionError{File: name, Offset: int64(snapshotHeaderSize), Reason: "state does not match its checksum"}
	}
	return slices.Clone(state), nil
}
