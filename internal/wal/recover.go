package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
)

// maxQuarantineDirs bounds the quarantine directories beside a log.
const maxQuarantineDirs = 1000

// Open opens the log in a directory, which is created where it is missing, and returns what it holds. A log with a corrupt
// file does not open: Open moves its files to a quarantine directory and returns a CorruptionError, and the next Open
// creates an empty log. The caller closes the log.
func Open(fs FS, dir string, opts Options) (*FileLog, *RecoveredLog, error) {
	l := &FileLog{fs: fs, dir: dir, opts: opts.withDefaults()}
	l.idle.L = &l.mu
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, l.writeError(err)
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

// load reads the directory, truncates a torn write and leaves the newest segment open.
func (l *FileLog) load() (*RecoveredLog, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, l.writeError(err)
	}
	dir := parseDirectory(names)
	for _, name := range dir.others {
		if strings.HasSuffix(name, temporarySuffix) { // a snapshot that was being written
			l.tryRemove(name)
		}
	}
	r := &RecoveredLog{}
	if n := len(dir.snapshots); n > 0 {
		r.SnapshotNumber = dir.snapshots[n-1]
		if r.Snapshot, err = l.readSnapshot(r.SnapshotNumber); err != nil {
			return nil, err
		}
	}
	l.snapshot, l.last = r.SnapshotNumber, r.SnapshotNumber
	if err := l.loadSegments(r, dir.segments); err != nil {
		return nil, err
	}
	return r, l.removeCoveredAtOpen()
}

// removeCoveredAtOpen removes what the snapshot covers and a crash has left. On a full disk the next snapshot takes it up.
func (l *FileLog) removeCoveredAtOpen() error {
	err := l.removeCovered()
	if noSpace := new(NoSpaceError); errors.As(err, &noSpace) {
		l.opts.Logger.Warn("covered records not removed", "dir", l.dir, "err", err)
		return nil
	}
	if err != nil && l.active.file != nil {
		_ = l.active.file.Close() // the log does not open
	}
	return err
}

// loadSegments reads the records after the snapshot. Segments that it covers are not read: they need not be complete.
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
	// An incomplete segment may stay: it is the newest, and the next Open takes it for torn.
	created, err := l.createSegment(l.last + 1)
	if err != nil {
		return l.writeError(err)
	}
	l.active = created
	return nil
}

// loadSegment reads one segment. The newest may end in a torn write; it is opened for appending, unless nothing of it was
// written.
func (l *FileLog) loadSegment(r *RecoveredLog, first uint64, newest bool) error {
	name := filepath.Join(l.dir, segmentName(first))
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return l.writeError(err)
	}
	number, d := decodeSegmentHeader(b)
	switch {
	case d != nil && d.torn && newest: // it was being created, and no record in it was acknowledged
		r.TornBytes += int64(len(b))
		return nil
	case d != nil:
		return &CorruptionError{File: name, Reason: d.reason}
	case number != first || first > l.last+1:
		reason := fmt.Sprintf("it begins with record %d, and the last one before it is %d", first, l.last)
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

// loadFrames reads the records of a segment up to its end or to a defect, and returns that offset.
func (l *FileLog) loadFrames(r *RecoveredLog, b []byte, first uint64) (end int, d *defect) {
	end = segmentHeaderSize
	for number := first; end < len(b); number++ {
		record, size, d := decodeFrame(b[end:], number, end)
		if d != nil {
			return end, d
		}
		if number > l.last {
			r.Records = append(r.Records, Record{Number: number, Data: record})
			l.last = number
		}
		end += size
	}
	return end, nil
}

// openActive opens the newest segment to append to it, and truncates what a torn write left beyond its size.
func (l *FileLog) openActive(r *RecoveredLog, s segment, fileSize int64) error {
	name := filepath.Join(l.dir, segmentName(s.first))
	f, err := l.fs.Append(name)
	if err != nil {
		return l.writeError(err)
	}
	if torn := fileSize - s.size; torn > 0 {
		r.TornBytes += torn
		l.opts.Logger.Warn("torn write truncated", "file", name, "offset", s.size, "bytes", torn)
		if err := errors.Join(f.Truncate(s.size), f.Sync()); err != nil {
			_ = f.Close() // the log does not open
			return &WriteFailedError{l.dir, err}
		}
	}
	s.file = f
	l.active = s
	return nil
}

// quarantine moves a corrupt log's files to a directory beside it, so that a new log can be created, and returns that
// directory; empty: the files could not be moved.
func (l *FileLog) quarantine() string {
	for i := range maxQuarantineDirs {
		dir := fmt.Sprintf("%s.damaged-%d", l.dir, i+1)
		if names, err := l.fs.List(dir); err == nil && len(names) > 0 {
			continue
		}
		if l.fs.Rename(l.dir, dir) == nil {
			_ = l.fs.SyncDir(filepath.Dir(l.dir)) // the files can be read either way
			return dir
		}
	}
	return ""
}
