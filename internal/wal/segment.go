package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// File names are a prefix and a record's number in hex: of a segment's first record, or the last one in a snapshot.
const (
	segmentPrefix  = "journal"
	snapshotPrefix = "state"
	numberDigits   = 16
)

func segmentName(first uint64) string { return fileName(segmentPrefix, first) }
func snapshotName(last uint64) string { return fileName(snapshotPrefix, last) }

func fileName(prefix string, number uint64) string {
	return fmt.Sprintf("%s-%0*x", prefix, numberDigits, number)
}

// directory lists a log's files by kind, each in order of its numbers.
type directory struct {
	segments, snapshots []uint64
	others              []string
}

func parseDirectory(names []string) (d directory) {
	for _, name := range names {
		prefix, digits, _ := strings.Cut(name, "-")
		number, err := strconv.ParseUint(digits, 16, 64)
		switch {
		case err != nil || len(digits) != numberDigits:
			d.others = append(d.others, name)
		case prefix == segmentPrefix:
			d.segments = append(d.segments, number)
		case prefix == snapshotPrefix:
			d.snapshots = append(d.snapshots, number)
		default:
			d.others = append(d.others, name)
		}
	}
	slices.Sort(d.segments)
	slices.Sort(d.snapshots)
	return d
}

// segment is a segment file that is open for appending. The zero value is none.
type segment struct {
	file  File
	size  int64  // in bytes, all durable
	first uint64 // number of its first record
}

// createSegment creates the segment that starts with a record and makes its header durable. With an error, a file that is
// not nil was created and closed, and may be incomplete.
func (l *FileLog) createSegment(first uint64) (segment, error) {
	f, err := l.fs.Create(filepath.Join(l.dir, segmentName(first)))
	if err != nil {
		return segment{}, err
	}
	header := appendSegmentHeader(nil, first)
	if _, err = f.Write(header); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		_ = f.Close() // no record is in it
	}
	return segment{file: f, size: int64(len(header)), first: first}, err
}

// roll continues the log in a new segment. After an error that may be retried it still appends to the old one.
func (l *FileLog) roll() error {
	next, err := l.createSegment(l.last + 1)
	if err != nil && next.file != nil {
		// The old segment is appended to again, so an incomplete one must not follow it.
		name := filepath.Join(l.dir, segmentName(next.first))
		if removeErr := errors.Join(l.fs.Remove(name), l.fs.SyncDir(l.dir)); removeErr != nil {
			return &WriteFailedError{l.dir, errors.Join(err, removeErr)}
		}
	}
	if err != nil {
		return l.writeError(err)
	}
	if l.active.file != nil {
		_ = l.active.file.Close() // all of it was synced
	}
	l.active = next
	return nil
}

// removeObsolete removes the segments that the snapshot covers, but for the active one, and the snapshots before it. A
// failure does no harm: it is done again with the next snapshot, also of the same records, and when the log is opened.
func (l *FileLog) removeObsolete() {
	names, err := l.fs.List(l.dir)
	l.obsoleteLeft = err != nil
	if err != nil {
		return
	}
	dir := parseDirectory(names)
	for i, first := range dir.segments {
		next := l.last + 1 // the first record that is not in this segment
		if i+1 < len(dir.segments) {
			next = dir.segments[i+1]
		}
		if first != l.active.first && next <= l.snapshot+1 {
			l.tryRemove(segmentName(first))
		}
	}
	for _, number := range dir.snapshots {
		if number < l.snapshot {
			l.tryRemove(snapshotName(number))
		}
	}
	_ = l.fs.SyncDir(l.dir)
}

// tryRemove removes a file that is not needed any more, if it can.
func (l *FileLog) tryRemove(name string) {
	if l.fs.Remove(filepath.Join(l.dir, name)) != nil {
		l.obsoleteLeft = true
	}
}
