package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
)

// A snapshot file is a segment header with the number of the last record that the state covers, then
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
	case l.err != nil:
		return l.err
	case upTo < l.snapshot || upTo == l.snapshot && !l.obsoleteLeft && !l.isActiveCovered():
		return nil
	}
	l.writing = true
	l.mu.Unlock()
	err := l.compact(upTo, state)
	l.mu.Lock()
	l.latch(err)
	l.writeQueue()
	return err
}

// compact writes a snapshot and then removes what it covers. A crash at any point leaves either the old snapshot with all
// segments, or the new one with segments that are removed when the log is opened. For the snapshot that is there already it
// takes up the removal where that has failed.
func (l *FileLog) compact(upTo uint64, state []byte) error {
	if upTo > l.last {
		return fmt.Errorf("%w: up to record %d, the last one is %d", ErrSnapshotAhead, upTo, l.last)
	}
	if upTo > l.snapshot {
		name := filepath.Join(l.dir, snapshotName(upTo))
		if err := WriteFileAtomic(l.fs, name, encodeSnapshot(upTo, state)); err != nil {
			return l.writeError(err)
		}
		l.snapshot = upTo
	}
	return l.removeCovered()
}

// removeCovered removes what the snapshot covers. Where that is every record, the log continues in a new segment, so that the
// active one can be removed too: at its size limit it would take no record any more.
func (l *FileLog) removeCovered() error {
	if l.isActiveCovered() {
		err := l.roll()
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

// isActiveCovered reports whether the active segment holds records, and the snapshot covers all of them.
func (l *FileLog) isActiveCovered() bool {
	return l.last == l.snapshot && l.active.size > int64(segmentHeaderSize)
}

// replaceActive removes the active segment, all of whose records the snapshot covers, and then creates the next: on a disk
// that has no space for both. A crash in between leaves the snapshot alone, with which the log opens.
func (l *FileLog) replaceActive() error {
	if err := l.fs.Remove(filepath.Join(l.dir, segmentName(l.active.first))); err != nil {
		return l.writeError(err)
	}
	_ = l.active.file.Close() // nothing in it is needed
	l.active = segment{}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.writeError(err)
	}
	return l.roll()
}

// readSnapshot reads the state of a snapshot file. The file was complete and durable when it was renamed into place: no
// defect of it can be a torn write.
func (l *FileLog) readSnapshot(last uint64) ([]byte, error) {
	name := filepath.Join(l.dir, snapshotName(last))
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return nil, l.writeError(err)
	}
	number, d := decodeSegmentHeader(b)
	switch {
	case d != nil:
		return nil, &CorruptionError{File: name, Reason: d.reason}
	case number != last || len(b) < snapshotHeaderSize:
		return nil, &CorruptionError{File: name, Reason: "it covers another record, or is cut short"}
	}
	state := b[snapshotHeaderSize:]
	length := binary.LittleEndian.Uint64(b[segmentHeaderSize:])
	sum := binary.LittleEndian.Uint32(b[segmentHeaderSize+8:])
	if length != uint64(len(state)) || sum != checksum(state) {
		return nil, &CorruptionError{File: name, Offset: int64(snapshotHeaderSize), Reason: "the state does not match its checksum"}
	}
	return slices.Clone(state), nil
}
