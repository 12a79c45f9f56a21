package wal

import (
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
)

// Options are what a journal goes by.
type Options struct {
	SegmentBytes int64        // a segment that has grown so long is followed by a new one; 0: 4 MiB
	Logger       *slog.Logger // nil: the standard one
}

const segmentBytes = 4 << 20

// FileLog is the Store on a disk.
type FileLog struct {
	fs   FS
	dir  string
	opts Options

	mu      sync.Mutex // guards what follows, but for what the writer alone uses
	idle    sync.Cond  // nobody writes
	writing bool       // somebody does, and has the right to what is below
	waiting []*waiter  // appends that the next writer takes
	err     error      // for good: BrokenError or ClosedError

	file     File   // of the last segment
	size     int64  // of it, all durable
	first    uint64 // of its records
	last     uint64 // the last durable record
	snapshot uint64 // all up to this one are in the snapshot
	buf      []byte
}

type waiter struct {
	record []byte
	number uint64
	err    error
	done   chan struct{}
}

func segmentName(first uint64) string { return fmt.Sprintf("journal-%016x", first) }
func stateName(upTo uint64) string    { return fmt.Sprintf("state-%016x", upTo) }

// Append implements Store. Appends that come while one is being written are written together, with one sync for all.
func (j *FileLog) Append(record []byte) (uint64, error) {
	if len(record) > MaxRecordBytes {
		return 0, &TooLargeError{Bytes: len(record), Most: MaxRecordBytes}
	}
	w := &waiter{record: record, done: make(chan struct{})}
	j.mu.Lock()
	if j.err != nil {
		defer j.mu.Unlock()
		return 0, j.err
	}
	j.waiting = append(j.waiting, w)
	if j.writing { // whoever writes now takes it when it is done
		j.mu.Unlock()
		<-w.done
		return w.number, w.err
	}
	j.writing = true
	j.drain()
	j.mu.Unlock()
	return w.number, w.err
}

// drain writes what waits until nothing does. The lock is held, but not during writes.
func (j *FileLog) drain() {
	for len(j.waiting) > 0 {
		batch, broken := j.waiting, j.err
		j.waiting = nil
		j.mu.Unlock()
		if broken == nil {
			broken = j.write(batch)
		}
		for _, w := range batch {
			if broken != nil {
				w.number, w.err = 0, broken
			}
			close(w.done)
		}
		j.mu.Lock()
		if b := new(WriteFailedError); errors.As(broken, &b) {
			j.err = broken
		}
	}
	j.writing = false
	j.idle.Broadcast()
}

// write writes a batch and syncs. With an error none of it is acknowledged: it is FullError where the segment is as before,
// and BrokenError where that is not known.
func (j *FileLog) write(batch []*waiter) error {
	j.buf = j.buf[:0]
	number := j.last
	for _, w := range batch {
		number++
		w.number = number
		j.buf = appendFrame(j.buf, number, j.last, w.record)
	}
	if j.size > j.opts.SegmentBytes {
		if err := j.roll(); err != nil {
			return err
		}
	}
	if _, err := j.file.Write(j.buf); err != nil {
		// What part of it is there was not acknowledged; it goes, so that the next record stands where this one did.
		if cut := errors.Join(j.file.Truncate(j.size), j.file.Sync()); cut != nil || !IsFull(err) {
			return &WriteFailedError{j.dir, errors.Join(err, cut)}
		}
		return &NoSpaceError{j.dir, err}
	}
	if err := j.file.Sync(); err != nil {
		return &WriteFailedError{j.dir, err}
	}
	j.size += int64(len(j.buf))
	j.last = number
	return nil
}

// roll begins a new segment after the last record.
func (j *FileLog) roll() error {
	name := filepath.Join(j.dir, segmentName(j.last+1))
	f, err := j.fs.Create(name)
	if err != nil {
		return j.failed(err)
	}
	head := appendSegHead(nil, j.last+1)
	if _, err = f.Write(head); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = j.fs.SyncDir(j.dir)
	}
	if err != nil {
		// One that is not whole must not stand behind the one that goes on.
		f.Close()
		if gone := errors.Join(j.fs.Remove(name), j.fs.SyncDir(j.dir)); gone != nil {
			return &WriteFailedError{j.dir, errors.Join(err, gone)}
		}
		return j.failed(err)
	}
	j.file.Close()
	j.file, j.size, j.first = f, int64(len(head)), j.last+1
	return nil
}

func (j *FileLog) failed(err error) error {
	if IsFull(err) {
		return &NoSpaceError{j.dir, err}
	}
	return &WriteFailedError{j.dir, err}
}

// Close implements Store.
func (j *FileLog) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.writing {
		j.idle.Wait()
	}
	if closed := new(ClosedError); errors.As(j.err, &closed) {
		return nil
	}
	j.err = &ClosedError{j.dir}
	return j.file.Close()
}

// Snapshot implements Store.
func (j *FileLog) Snapshot(upTo uint64, state []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.writing {
		j.idle.Wait()
	}
	switch {
	case j.err != nil:
		return j.err
	case upTo <= j.snapshot:
		return nil
	}
	j.writing = true
	j.mu.Unlock()
	err := j.compact(upTo, state)
	j.mu.Lock()
	if b := new(WriteFailedError); errors.As(err, &b) {
		j.err = err
	}
	j.drain()
	return err
}

// compact writes the state beside the journal and only then lets go of what it holds. A stop at any point leaves either
// the old state with all segments, or the new one with segments that are let go of at the next start.
func (j *FileLog) compact(upTo uint64, state []byte) error {
	if upTo > j.last {
		return fmt.Errorf("store: a state of record %d, where the last is %d", upTo, j.last)
	}
	if err := writeWhole(j.fs, j.dir, upTo, state); err != nil {
		return j.failed(err)
	}
	before := j.snapshot
	j.snapshot = upTo
	if j.last == upTo && j.size > int64(segHead) {
		if err := j.roll(); err != nil {
			return err
		}
	}
	j.let(before)
	return nil
}

// let removes what the newest state makes needless. That it fails does no harm: it is done again at the next start.
func (j *FileLog) let(before uint64) {
	names, err := j.fs.List(j.dir)
	if err != nil {
		return
	}
	l := sorted(names)
	for i, first := range l.segments {
		next := j.last + 1
		if i+1 < len(l.segments) {
			next = l.segments[i+1]
		}
		if first != j.first && next <= j.snapshot+1 {
			j.fs.Remove(filepath.Join(j.dir, segmentName(first)))
		}
	}
	if before > 0 && before != j.snapshot {
		j.fs.Remove(filepath.Join(j.dir, stateName(before)))
	}
	j.fs.SyncDir(j.dir)
}
