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

// The incarnation file holds the incarnation in 8 bytes and its CRC-32 checksum (IEEE) in 4 bytes, both big-endian.
const (
	incarnationFile     = "incarnation"
	incarnationFileSize = incarnationSize + 4
)

// Incarnations numbers the starts of an instance. A number is durable before it is used, so that no two starts have the same
// number. A new number is at least the time in milliseconds. Therefore an instance with an empty disk that reuses the name of
// an earlier instance gets a number above the earlier ones. The methods may be called from any goroutine.
type Incarnations struct {
	fs   wal.FS
	file string // path of the incarnation file

	mu   sync.Mutex
	last uint64 // last number; zero means there is none
}

// IncarnationError reports that an incarnation could not be read or written. The instance must not send messages under its
// name.
type IncarnationError struct {
	File string
	Err  error
}

func (e *IncarnationError) Error() string { return e.Problem() + ": " + e.Err.Error() }
func (e *IncarnationError) Unwrap() error { return e.Err }

// Problem implements operr.Error.
func (e *IncarnationError) Problem() string {
	return "cannot read or write the incarnation file " + e.File
}

// Retryable implements operr.Error.
func (e *IncarnationError) Retryable() bool { return wal.IsNoSpace(e.Err) }

// Remedy implements operr.Error.
func (e *IncarnationError) Remedy() string {
	return "make sure that the directory is writable, then restart"
}

// OpenIncarnations reads the last incarnation from the file in a directory. It creates the directory if it does not exist. A
// corrupt file is treated as a missing one, since the peers know the last incarnation. Any other failure is returned as an
// IncarnationError.
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

// Next returns the number of a new incarnation. It is higher than the last number and than above, and at least now in
// milliseconds. The number is durable when Next returns. If it could not be stored, Next returns an IncarnationError.
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
