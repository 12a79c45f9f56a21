// Package faultfs implements an in-memory file system that injects power loss and I/O faults. Tests run logs on it.
//
// An FS and its files may be used from any goroutine. The same seed and the same sequence of calls result in the same files.
package faultfs

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"example.org/milletvane/internal/wal"
)

// Errors of injected faults.
var (
	ErrIO        = errors.New("input/output error") // returned by syncs
	ErrPowerLost = errors.New("power was lost")     // returned by calls after LosePowerAfter takes effect
)

// noLimit is the number of free bytes that stands for unlimited space.
const noLimit = -1

// FS is a wal.FS in memory. Unless syncs are dropped or fail, all synced data survives Crash. The seed decides how much of
// the unsynced data survives.
type FS struct {
	mu                 sync.Mutex
	rnd                *rand.Rand
	files              map[string]*inode // the files as programs see them
	durable            map[string]*inode // the files by the names that survive a crash
	pendingNameChanges []nameChange      // name changes that are not durable yet, in order
	dirs               map[string]bool

	freeBytes    int           // number of bytes that may still be written; negative means no limit
	capacity     int           // maximum total size of all files in bytes; zero means no limit
	failingSyncs int           // number of syncs that will fail from now on
	dropSyncs    bool          // whether syncs succeed without making anything durable
	changes      int           // number of calls that changed something
	powerLostAt  int           // value of changes at which power is lost; zero means power is not lost
	stalled      chan struct{} // writes wait until it is closed; nil means that writes don't wait
}

// inode holds the content of a file, as programs see it and as it survives a crash.
type inode struct{ data, durable []byte }

// nameChange creates, renames or removes a file in a map of files by name.
type nameChange func(files map[string]*inode)

// New returns an empty file system without faults. The seed decides which unsynced data survives Crash.
func New(seed uint64) *FS {
	return &FS{
		rnd:       rand.New(rand.NewPCG(seed, 7)),
		files:     map[string]*inode{},
		durable:   map[string]*inode{},
		dirs:      map[string]bool{},
		freeBytes: noLimit,
	}
}

// applyNameChange applies a change of names, which the next SyncDir makes durable. The caller holds f.mu.
func (f *FS) applyNameChange(change nameChange) {
	change(f.files)
	f.pendingNameChanges = append(f.pendingNameChanges, change)
}

// countChange counts a call that changes something. Once power is lost, it returns ErrPowerLost instead. The caller holds
// f.mu.
func (f *FS) countChange() error {
	if f.powerLostAt > 0 && f.changes >= f.powerLostAt {
		return ErrPowerLost
	}
	f.changes++
	return nil
}

// MkdirAll implements wal.FS.
func (f *FS) MkdirAll(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChange(); err != nil {
		return err
	}
	f.dirs[dir] = true
	return nil
}

// List implements wal.FS.
func (f *FS) List(dir string) (names []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	if len(names) == 0 && !f.dirs[dir] {
		return nil, fs.ErrNotExist
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements wal.FS.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freeSpace() == 0 {
		return nil, syscall.ENOSPC
	}
	if err := f.countChange(); err != nil {
		return nil, err
	}
	n := &inode{}
	f.applyNameChange(func(files map[string]*inode) { files[name] = n })
	return &file{f, n}, nil
}

// Append implements wal.FS.
func (f *FS) Append(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{f, n}, nil
}

// Rename implements wal.FS. It renames a file, or a directory with its files.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countChange(); err != nil {
		return err
	}
	renamed := false
	for _, name := range slices.Sorted(maps.Keys(f.files)) {
		target, matches := to, name == from
		if rest, ok := strings.CutPrefix(name, from+"/"); ok {
			target, matches = filepath.Join(to, rest), true
		}
		if matches {
			renamed = true
			n := f.files[name]
			f.applyNameChange(func(files map[string]*inode) { delete(files, name); files[target] = n })
		}
	}
	if f.dirs[from] {
		delete(f.dirs, from)
		f.dirs[to], renamed = true, true
	}
	if !renamed {
		return fs.ErrNotExist
	}
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files[name] == nil {
		return fs.ErrNotExist
	}
	if err := f.countChange(); err != nil {
		return err
	}
	f.applyNameChange(func(files map[string]*inode) { delete(files, name) })
	return nil
}

// SyncDir implements wal.FS. It makes all pending changes of names durable, in every directory.
func (f *FS) SyncDir(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.takeSyncFault() {
		return ErrIO
	}
	if err := f.countChange(); err != nil || f.dropSyncs {
		return err
	}
	for _, change := range f.pendingNameChanges {
		change(f.durable)
	}
	f.pendingNameChanges = nil
	return nil
}

// freeSpace returns the number of bytes that can still be written, or noLimit. The caller holds f.mu.
func (f *FS) freeSpace() int {
	free := f.freeBytes
	if f.capacity > 0 {
		left := max(f.capacity-f.totalBytes(), 0)
		if free == noLimit || left < free {
			free = left
		}
	}
	return free
}

func (f *FS) totalBytes() (total int) {
	for _, n := range f.files {
		total += len(n.data)
	}
	return total
}

// takeSyncFault reports whether a sync must fail, and decrements failingSyncs if so. The caller holds f.mu.
func (f *FS) takeSyncFault() bool {
	if f.failingSyncs > 0 {
		f.failingSyncs--
		return true
	}
	return false
}

// file is a wal.File of an FS.
type file struct {
	fs    *FS
	inode *inode
}

// Write implements wal.File.
func (f *file) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	stalled := f.fs.stalled
	f.fs.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countChange(); err != nil {
		return 0, err
	}
	n := len(b)
	if free := f.fs.freeSpace(); free != noLimit {
		n = min(n, free)
	}
	if f.fs.freeBytes >= 0 {
		f.fs.freeBytes -= n
	}
	f.inode.data = append(f.inode.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.countChange(); err != nil {
		return err
	}
	if int(size) < len(f.inode.data) {
		f.inode.data = f.inode.data[:size:size]
	}
	return nil
}

// Sync implements wal.File.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.takeSyncFault() {
		return ErrIO
	}
	if err := f.fs.countChange(); err != nil {
		return err
	}
	if !f.fs.dropSyncs {
		f.inode.durable = slices.Clone(f.inode.data)
	}
	return nil
}

// Close implements wal.File.
func (f *file) Close() error { return nil }
