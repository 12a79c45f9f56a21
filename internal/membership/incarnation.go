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

// Incarnations numbers the lives of an instance. A number is on the disk before it is used, so that no two lives share one;
// it is the time in milliseconds where that is later, so that an empty disk under an old name begins above its old lives.
type Incarnations struct {
	fs   wal.FS
	name string // of the file

	mu   sync.Mutex
	last uint64
}

// IncarnationError says that a life could not be numbered: the instance must not speak under its name.
type IncarnationError struct {
	File string
	Err  error
}

func (e *IncarnationError) Error() string   { return e.Problem() + ": " + e.Err.Error() }
func (e *IncarnationError) Unwrap() error   { return e.Err }
func (e *IncarnationError) Problem() string { return "no incarnation could be written to " + e.File }
func (e *IncarnationError) Retryable() bool { return wal.IsNoSpace(e.Err) }
func (e *IncarnationError) Remedy() string {
	return "see that the folder can be written, then start again"
}

// OpenIncarnations reads the last one from a folder. What can't be read counts as none: peers tell, then.
func OpenIncarnations(disk wal.FS, dir string) (*Incarnations, error) {
	i := &Incarnations{fs: disk, name: filepath.Join(dir, "incarnation")}
	if err := disk.MkdirAll(dir); err != nil {
		return nil, &IncarnationError{i.name, err}
	}
	b, err := disk.ReadFile(i.name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, &IncarnationError{i.name, err}
	case len(b) == 12 && crc32.ChecksumIEEE(b[:8]) == binary.BigEndian.Uint32(b[8:]):
		i.last = binary.BigEndian.Uint64(b)
	}
	return i, nil
}

// Next begins a life: its number is above the last one, above a given one, and no earlier than now.
func (i *Incarnations) Next(above uint64, now time.Duration) (uint64, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := max(i.last+1, above+1, uint64(max(now.Milliseconds(), 0)))
	b := binary.BigEndian.AppendUint64(nil, n)
	b = binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
	if err := wal.WriteFileAtomic(i.fs, i.name, b); err != nil {
		return 0, &IncarnationError{i.name, err}
	}
	i.last = n
	return n, nil
}
