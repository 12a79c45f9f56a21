package membership

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"sync"
	"time"

	"example.org/milletvane/internal/wal"
)

// The incarnation file is a number of 8 bytes and its checksum (CRC-32, IEEE) of 4, both big-endian.
const (
	incarnationFile     = "incarnation"
	incarnationFileSize = incarnationSize + 4
)

// Incarnations numbers the starts of an instance. A number is durable before it is used, so that no two starts share one.
// It is the time in milliseconds where that is later, so that an instance with an empty disk and the name of an earlier one
// starts above that one's numbers. Its methods may be called from any goroutine.
type Incarnations struct {
	fs   wal.FS
	file string // path

	mu   sync.Mutex
	last uint64
}

// IncarnationError says that an incarnation could not be read or written: the instance must not speak under its name.
type IncarnationError struct {
	File string
	Err  error
}

func (e *IncarnationError) Error() string { return e.Problem() + ": " + e.Err.Error() }
func (e *IncarnationError) Unwrap() error { return e.Err }

// Problem implements operr.Error.
func (e *IncarnationError) Problem() string { return "no incarnation could be written to " + e.File }

// Retryable implements operr.Error.
func (e *IncarnationError) Retryable() bool { return wal.IsNoSpace(e.Err) }

// Remedy implements operr.Error.
func (e *IncarnationError) Remedy() string {
	return "see that the directory can be written, then start again"
}

// OpenIncarnations reads the last incarnation from a directory, which is created where it is missing. A corrupt file counts
// as none: peers know the incarnation then. Other errors are IncarnationErrors.
func OpenIncarnations(disk wal.FS, dir string) (*Incarnations, error) {
	i := &Incarnations{fs: disk, file: filepath.Join(dir, incarnationFile)}
	if err := disk.MkdirAll(dir); err != nil {
		return nil, &IncarnationError{i.file, err}
	}
	b, err := disk.ReadFile(i.file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, &IncarnationError{i.file, err}
	}
	if err == nil {
		i.last, _ = decodeIncarnation(b)
	}
	return i, nil
}

// Next starts an incarnation: its number is above the last one, above a given one, and at least now in milliseconds. It is
// durable when Next returns.
func (i *Incarnations) Next(above uint64, now time.Duration) (uint64, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	next := max(i.last+1, above+1, uint64(max(now.Milliseconds(), 0)))
	if err := wal.WriteFileAtomic(i.fs, i.file, encodeIncarnation(next)); err != nil {
		return 0, &IncarnationError{i.file, err}
	}
	i.last = next
	return next, nil
}

func encodeIncarnation(n uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, n)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

func decodeIncarnation(b []byte) (n uint64, ok bool) {
	if len(b) != incarnationFileSize || crc32.ChecksumIEEE(b[:incarnationSize]) != binary.BigEndian.Uint32(b[incarnationSize:]) {
		return 0, false
	}
	return binary.BigEndian.Uint64(b), true
}
