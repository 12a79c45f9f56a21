package wal

import (
	"errors"
	"log/slog"
	"sync"
)

// Options configure a FileLog.
type Options struct {
	SegmentBytes int64        // size above which the log continues in a new segment, in bytes; defaults to 4 MiB
	Logger       *slog.Logger // defaults to slog.Default()
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

// FileLog is a Log that is stored in a directory of a file system. Open returns one.
type FileLog struct {
	fs   FS
	dir  string
	opts Options

	mu           sync.Mutex       // protects the next four fields
	idle         sync.Cond        // signalled when writing becomes false
	writing      bool             // whether a goroutine is writing; only that goroutine uses the fields after these four
	queue        []*appendRequest // requests for the writing goroutine
	permanentErr error            // the WriteFailedError or ClosedError that later appends and snapshots return

	active         segment // the segment that records are appended to; the zero value if it could not be created yet
	lastNumber     uint64  // number of the last durable record
	snapshotNumber uint64  // number of the last record that the snapshot covers

	removalPending bool   // whether some files that the snapshot covers could not be removed
	frameBuf       []byte // encoded frames of the current batch, reused for every batch
}

// appendRequest holds a record that waits to be written. number and err are set before done is closed.
type appendRequest struct {
	record []byte
	number uint64
	err    error
	done   chan struct{}
}

// Append implements Log. Records that arrive during a write are written as one batch, with a single sync.
func (l *FileLog) Append(record []byte) (uint64, error) {
	if len(record) > MaxRecordBytes {
		return 0, &TooLargeError{Bytes: len(record), MaxBytes: MaxRecordBytes}
	}
	r := &appendRequest{record: record, done: make(chan struct{})}
	l.mu.Lock()
	if l.permanentErr != nil {
		defer l.mu.Unlock()
		return 0, l.permanentErr
	}
	l.queue = append(l.queue, r)
	if l.writing { // the writing goroutine also writes this record
		l.mu.Unlock()
		<-r.done
		return r.number, r.err
	}
	l.writing = true
	l.writeQueue()
	l.mu.Unlock()
	return r.number, r.err
}

// writeQueue writes batches until the queue is empty, and then sets l.writing to false. The caller has set l.writing and
// holds l.mu, which writeQueue releases during writes.
func (l *FileLog) writeQueue() {
	for len(l.queue) > 0 {
		batch, err := l.queue, l.permanentErr
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
		l.setPermanentError(err)
	}
	l.writing = false
	l.idle.Broadcast()
}

// setPermanentError stores err if it is a WriteFailedError, after which the log rejects all appends and snapshots. The
// caller holds l.mu.
func (l *FileLog) setPermanentError(err error) {
	if failed := new(WriteFailedError); errors.As(err, &failed) {
		l.permanentErr = err
	}
}

// writeBatch writes the records of a batch and syncs the segment. After an error, no record of the batch is acknowledged. The
// error is a NoSpaceError if the segment is unchanged, and a WriteFailedError if its content is unknown.
func (l *FileLog) writeBatch(batch []*appendRequest) error {
	if l.active.file == nil || l.active.size > l.opts.SegmentBytes {
		if err := l.rollSegment(); err != nil {
			return err
		}
	}
	l.frameBuf = l.frameBuf[:0]
	number := l.lastNumber
	for _, r := range batch {
		number++
		r.number = number
		l.frameBuf = appendFrame(l.frameBuf, number, l.lastNumber, r.record, int(l.active.size)+len(l.frameBuf))
	}
	if _, err := l.active.file.Write(l.frameBuf); err != nil {
		// A part of the batch may have been written. It is removed, so that the next record starts where this batch did.
		undoErr := errors.Join(l.active.file.Truncate(l.active.size), l.active.file.Sync())
		if undoErr != nil || !IsNoSpace(err) {
			return &WriteFailedError{l.dir, errors.Join(err, undoErr)}
		}
		return &NoSpaceError{l.dir, err}
	}
	if err := l.active.file.Sync(); err != nil {
		return &WriteFailedError{l.dir, err}
	}
	l.active.size += int64(len(l.frameBuf))
	l.lastNumber = number
	return nil
}

// classifyError wraps an error of the file system in a NoSpaceError or a WriteFailedError.
func (l *FileLog) classifyError(err error) error {
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
	if closed := new(ClosedError); errors.As(l.permanentErr, &closed) {
		return nil
	}
	l.permanentErr = &ClosedError{l.dir}
	if l.active.file == nil {
		return nil
	}
	return l.active.file.Close()
}
