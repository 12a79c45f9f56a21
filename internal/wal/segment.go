package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// A file name is a prefix and a record number in hex. For a segment it is the number of its first record, for a snapshot the
// number of the last record that it covers.
const (
	segmentPrefix   = "journal"
	snapshotPrefix  = "state"
	numberHexDigits = 16
)

func segmentName(first uint64) string { return numberedFileName(segmentPrefix, first) }
func snapshotName(last uint64) string { return numberedFileName(snapshotPrefix, last) }

func numberedFileName(prefix string, number uint64) string {
	return fmt.Sprintf("%s-%0*x", prefix, numberHexDigits, number)
}

// dirListing holds the files of a log's directory by kind.
type dirListing struct {
	segments, snapshots []uint64 // the record numbers in their names, in ascending order
	others              []string
}

func parseDirListing(names []string) (listing dirListing) {
	for _, name := range names {
		prefix, digits, _ := strings.Cut(name, "-")
		number, err := strconv.ParseUint(digits, 16, 64)
		switch {
		case err != nil || len(digits) != numberHexDigits:
			listing.others = append(listing.others, name)
		case prefix == segmentPrefix:
			listing.segments = append(listing.segments, number)
		case prefix == snapshotPrefix:
			listing.snapshots = append(listing.snapshots, number)
		default:
			listing.others = append(listing.others, name)
		}
	}
	slices.Sort(listing.segments)
	slices.Sort(listing.snapshots)
	return listing
}

// segment is a segment file that is open for appending. The zero value means no segment.
type segment struct {
	file  File
	size  int64  // size in bytes, all of them durable
	first uint64 // number of the first record
}

// createSegment creates a segment whose first record has the given number, and makes its header durable. If an error is
// returned with a segment whose file is not nil, the file was created and closed again, and may be incomplete.
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
		_ = f.Close() // the file has no records
	}
	return segment{file: f, size: int64(len(header)), first: first}, err
}

// rollSegment continues the log in a new segment. After a retryable error the log still appends to the old segment.
func (l *FileLog) rollSegment() error {
	next, err := l.createSegment(l.lastNumber + 1)
	if err != nil && next.file != nil {
		// The log continues in the old segment, so an incomplete segment must not follow it.
		name := filepath.Join(l.dir, segmentName(next.first))
		if removeErr := errors.Join(l.fs.Remove(name), l.fs.SyncDir(l.dir)); removeErr != nil {
			return &WriteFailedError{l.dir, errors.Join(err, removeErr)}
		}
	}
	if err != nil {
		return l.classifyError(err)
	}
	if l.active.file != nil {
		_ = l.active.file.Close() // all its data is synced
	}
	l.active = next
	return nil
}

// removeObsolete removes the segments that the snapshot covers, except the active one, and the snapshots before it. A failed
// removal is harmless: it is retried when the log is opened and when the next snapshot is taken, even if the next snapshot
// covers the same records.
func (l *FileLog) removeObsolete() {
	names, err := l.fs.List(l.dir)
	l.removalPending = err != nil
	if err != nil {
		return
	}
	listing := parseDirListing(names)
	for i, first := range listing.segments {
		next := l.lastNumber + 1 // number of the first record after this segment
		if i+1 < len(listing.segments) {
			next = listing.segments[i+1]
		}
		if first != l.active.first && next <= l.snapshotNumber+1 {
			l.tryRemove(segmentName(first))
		}
	}
	for _, number := range listing.snapshots {
		if number < l.snapshotNumber {
			l.tryRemove(snapshotName(number))
		}
	}
	_ = l.fs.SyncDir(l.dir)
}

// tryRemove removes a file that is no longer needed. If that fails, it notes that files are left to remove.
func (l *FileLog) tryRemove(name string) {
	if l.fs.Remove(filepath.Join(l.dir, name)) != nil {
		l.removalPending = true
	}
}
