package wal

import (
	"errors"
	"log/slog"
	"sync"
)

// Options configure a FileLog.
type Options struct {
	SegmentBytes int64        // a segment that is longer is followed by a new one; 0: 4 MiB
	Logger       *slog.Logger // nil: slog.Default
}

const defaultSegmentBytes = 4 << 20

func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

// FileLog is the Log on a disk. Open returns one.
type FileLog struct {
	fs   FS
	dir  string
	opts Options

	mu      sync.Mutex       // protects the next four fields
	idle    sync.Cond        // signalled when writing becomes false
	writing bool             // a goroutine writes; it alone uses the fields after these four
	queue   []*appendRequest // for the goroutine that writes
	err     error            // permanent: a WriteFailedError or ClosedError

	active   segment // the one that is appended to; none: it could not be created yet
	last     uint64  // number of the last durable record
	snapshot uint64  // number of the last record that the snapshot covers

	obsoleteLeft bool // files that the snapshot covers could not all be removed
	buf          []byte
}

// appendRequest is a record that waits to be written. number and err are set before done is closed.
type appendRequest struct {
	record []byte
	number uint64
	err    error
	done   chan struct{}
}

// Append implements Log. Records that arrive during a write are written together, with one sync for all.
func (l *FileLog) Append(record []byte) (uint64, error) {
	if len(record) > MaxRecordBytes {
		return 0, &TooLargeError{Bytes: len(record), MaxBytes: MaxRecordBytes}
	}
	r := &appendRequest{record: record, done: make(chan struct{})}
	l.mu.Lock()
	if l.err != nil {
		defer l.mu.Unlock()
		return 0, l.err
	}
	l.queue = append(l.queue, r)
	if l.writing { // that goroutine writes this record too
		l.mu.Unlock()
		<-r.done
		return r.number, r.err
	}
	l.writing = true
	l.writeQueue()
	l.mu.Unlock()
	return r.number, r.err
}

// writeQueue writes until the queue is empty, and ends the caller's right to write. l.mu is held, but not during writes.
func (l *FileLog) writeQueue() {
	for len(l.queue) > 0 {
		batch, err := l.queue, l.err
		l.queue = nil
		l.mu.Unlock()
		if err == nil {
			err = l.writeBatch(batch)
		}
		for _, r := range batch {
			if err != nil {
				r.number, r.err = 0, err
			}
			close(r.done)
		}
		l.mu.Lock()
		l.latch(err)
	}
	l.writing = false
	l.idle.Broadcast()
}

// latch keeps an error that ends the log's use. l.mu is held.
func (l *FileLog) latch(err error) {
	if failed := new(WriteFailedError); errors.As(err, &failed) {
		l.err = err
	}
}

// writeBatch writes records and syncs. With an error none of them is acknowledged: a NoSpaceError where the segment is as
// before, a WriteFailedError where its content is unknown.
func (l *FileLog) writeBatch(batch []*appendRequest) error {
	if l.active.file == nil || l.active.size > l.opts.SegmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
	}
	l.buf = l.buf[:0]
	number := l.last
	for _, r := range batch {
		number++
		r.number = number
		l.buf = appendFrame(l.buf, number, l.last, r.record, int(l.active.size)+len(l.buf))
	}
	if _, err := l.active.file.Write(l.buf); err != nil {
		// A part of the batch may be there. It is removed, so that the next record starts where this batch did.
		undoErr := errors.Join(l.active.file.Truncate(l.active.size), l.active.file.Sync())
		if undoErr != nil || !IsNoSpace(err) {
			return &WriteFailedError{l.dir, errors.Join(err, undoErr)}
		}
		return &NoSpaceError{l.dir, err}
	}
	if err := l.active.file.Sync(); err != nil {
		return &WriteFailedError{l.dir, err}
	}
	l.active.size += int64(len(l.buf))
	l.last = number
	return nil
}

// writeError gives an error of the file system its type.
func (l *FileLog) writeError(err error) error {
	if IsNoSpace(err) {
		return &NoSpaceError{l.dir, err}
	}
	return &WriteFailedError{l.dir, err}
}

// Close implements Log.
func (l *FileLog) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.writing {
		l.idle.Wait()
	}
	if closed := new(ClosedError); errors.As(l.err, &closed) {
		return nil
	}
	l.err = &ClosedError{l.dir}
	if l.active.file == nil {
		return nil
	}
	return l.active.file.Close()
}
