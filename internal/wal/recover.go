package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
)

// maxQuarantineDirs limits the number of quarantine directories beside a log.
const maxQuarantineDirs = 1000

// Open opens the log in a directory and returns the log and its contents. It creates the directory if it does not exist. If a
// file of the log is corrupt, Open moves the log's files to a quarantine directory and returns a CorruptionError; the next
// Open then creates an empty log. Other errors are a NoSpaceError or a WriteFailedError. The caller must close the log.
func Open(fs FS, dir string, opts Options) (*FileLog, *RecoveredLog, error) {
	l := &FileLog{fs: fs, dir: dir, opts: opts.withDefaults()}
	l.idle.L = &l.mu
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, l.classifyError(err)
	}
	recovered, err := l.load()
	if corruption := new(CorruptionError); errors.As(err, &corruption) {
		corruption.QuarantineDir = l.quarantine()
		return nil, nil, corruption
	}
	if err != nil {
		return nil, nil, err
	}
	l.opts.Logger.Info("log opened", "dir", dir, "snapshot", recovered.SnapshotNumber, "records", len(recovered.Records),
		"segment", l.active.first, "segment_bytes", l.active.size)
	return l, recovered, nil
}

// load reads the log's files, truncates a torn write and opens the newest segment for appending.
func (l *FileLog) load() (*RecoveredLog, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, l.classifyError(err)
	}
	listing := parseDirListing(names)
	for _, name := range listing.others {
		if strings.HasSuffix(name, temporarySuffix) { // a snapshot whose write was interrupted
			l.tryRemove(name)
		}
	}
	r := &RecoveredLog{}
	if n := len(listing.snapshots); n > 0 {
		r.SnapshotNumber = listing.snapshots[n-1]
		if r.Snapshot, err = l.readSnapshot(r.SnapshotNumber); err != nil {
			return nil, err
		}
	}
	l.snapshotNumber, l.lastNumber = r.SnapshotNumber, r.SnapshotNumber
	if err := l.loadSegments(r, listing.segments); err != nil {
		return nil, err
	}
	return r, l.removeCoveredAtOpen()
}

// removeCoveredAtOpen removes files that the snapshot covers but that a crash has left behind. If the disk is full, the next
// snapshot retries the removal.
func (l *FileLog) removeCoveredAtOpen() error {
	err := l.removeCovered()
	if noSpace := new(NoSpaceError); errors.As(err, &noSpace) {
		l.opts.Logger.Warn("covered records not removed", "dir", l.dir, "err", err)
		return nil
	}
	if err != nil && l.active.file != nil {
		_ = l.active.file.Close() // Open fails with err
	}
	return err
}

// loadSegments reads the records after the snapshot. It skips segments that the snapshot covers, since they may be
// incomplete. If there is no segment to append to, it creates one.
func (l *FileLog) loadSegments(r *RecoveredLog, segments []uint64) error {
	start := 0
	for i, first := range segments {
		if first <= r.SnapshotNumber+1 {
			start = i
		}
	}
	for i := start; i < len(segments); i++ {
		if err := l.loadSegment(r, segments[i], i == len(segments)-1); err != nil {
			return err
		}
	}
	if l.active.file != nil {
		return nil
	}
	// An incomplete segment may be left behind: it is the newest, so the next Open treats it as a torn write.
	created, err := l.createSegment(l.lastNumber + 1)
	if err != nil {
		return l.classifyError(err)
	}
	l.active = created
	return nil
}

// loadSegment reads one segment. The newest segment may end in a torn write. It is opened for appending, unless its header
// was not completely written.
func (l *FileLog) loadSegment(r *RecoveredLog, first uint64, newest bool) error {
	name := filepath.Join(l.dir, segmentName(first))
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return l.classifyError(err)
	}
	number, d := decodeSegmentHeader(b)
	switch {
	case d != nil && d.torn && newest: // its creation was interrupted, so it has no acknowledged record
		r.TornBytes += int64(len(b))
		return nil
	case d != nil:
		return &CorruptionError{File: name, Reason: d.reason}
	case number != first || first > l.lastNumber+1:
		reason := fmt.Sprintf("segment starts at record %d, but the last record before it is %d", first, l.lastNumber)
		return &CorruptionError{File: name, Reason: reason}
	}
	end, d := l.loadFrames(r, b, first)
	if d != nil && (!d.torn || !newest) {
		return &CorruptionError{File: name, Offset: int64(end), Reason: d.reason}
	}
	if !newest {
		return nil
	}
	return l.openActive(r, segment{size: int64(end), first: first}, int64(len(b)))
}

// loadFrames reads the records of a segment up to its end or to the first defect. It returns the offset where it stopped.
func (l *FileLog) loadFrames(r *RecoveredLog, b []byte, first uint64) (end int, d *defect) {
	end = segmentHeaderSize
	for number := first; end < len(b); number++ {
		record, size, d := decodeFrame(b[end:], number, end)
		if d != nil {
			return end, d
		}
		if number > l.lastNumber {
			r.Records = append(r.Records, Record{Number: number, Data: record})
			l.lastNumber = number
		}
		end += size
	}
	return end, nil
}

// openActive opens the newest segment for appending. It truncates the bytes that a torn write left beyond s.size.
func (l *FileLog) openActive(r *RecoveredLog, s segment, fileSize int64) error {
	name := filepath.Join(l.dir, segmentName(s.first))
	f, err := l.fs.Append(name)
	if err != nil {
		return l.classifyError(err)
	}
	if torn := fileSize - s.size; torn > 0 {
		r.TornBytes += torn
		l.opts.Logger.Warn("torn write truncated", "file", name, "offset", s.size, "bytes", torn)
		if err := errors.Join(f.Truncate(s.size), f.Sync()); err != nil {
			_ = f.Close() // Open fails with err
			return &WriteFailedError{l.dir, err}
		}
	}
	s.file = f
	l.active = s
	return nil
}

// quarantine moves the files of a corrupt log to a new directory beside it, so that an empty log can be created. It returns
// the new directory, or an empty string if the files could not be moved.
func (l *FileLog) quarantine() string {
	for i := range maxQuarantineDirs {
		dir := fmt.Sprintf("%s.damaged-%d", l.dir, i+1)
		if names, err := l.fs.List(dir); err == nil && len(names) > 0 {
			continue
		}
		if l.fs.Rename(l.dir, dir) == nil {
			_ = l.fs.SyncDir(filepath.Dir(l.dir)) // the files are readable even if the rename is not durable
			return dir
		}
	}
	return ""
}
