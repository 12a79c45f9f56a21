// Package faultfs is a file system in memory that loses power and fails on purpose. Tests run logs on it.
//
// An FS and its files may be used from any goroutine. The same seed and the same calls leave the same files.
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

// Errors of calls that fail on purpose.
var (
	ErrIO        = errors.New("input/output error") // of syncs
	ErrPowerLost = errors.New("power was lost")
)

// noLimit as free bytes stands for a disk without end.
const noLimit = -1

// FS is a wal.FS. Without faults everything that was synced survives Crash, and a part of the rest that the seed decides.
type FS struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	files   map[string]*inode // as programs see them
	durable map[string]*inode // the names that survive a crash
	pending []nameChange      // that are not durable yet, in order
	dirs    map[string]bool

	freeBytes    int // that may still be written; negative: without limit
	capacity     int // of all files together; 0: without limit
	failingSyncs int // so many syncs fail from now on
	dropSyncs    bool
	changes      int           // calls that changed something
	powerLostAt  int           // no later call has any effect; 0: power is not lost
	stalled      chan struct{} // writes wait until it is closed; nil: they don't
}

// inode is a file's content, as programs see it and as it survives a crash.
type inode struct{ data, durable []byte }

// nameChange is a creation, renaming or removal.
type nameChange func(files map[string]*inode)

// New returns an empty file system without faults.
func New(seed uint64) *FS {
	return &FS{
		rnd:       rand.New(rand.NewPCG(seed, 7)),
		files:     map[string]*inode{},
		durable:   map[string]*inode{},
		dirs:      map[string]bool{},
		freeBytes: noLimit,
	}
}

// apply makes a change of names that SyncDir makes durable.
func (f *FS) apply(change nameChange) {
	change(f.files)
	f.pending = append(f.pending, change)
}

// change counts a call that changes something, and fails once power is lost.
func (f *FS) change() error {
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
	if err := f.change(); err != nil {
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
	if f.room() == 0 {
		return nil, syscall.ENOSPC
	}
	if err := f.change(); err != nil {
		return nil, err
	}
	n := &inode{}
	f.apply(func(files map[string]*inode) { files[name] = n })
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

// Rename implements wal.FS, for a file or a directory.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.change(); err != nil {
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
			f.apply(func(files map[string]*inode) { delete(files, name); files[target] = n })
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
	if err := f.change(); err != nil {
		return err
	}
	f.apply(func(files map[string]*inode) { delete(files, name) })
	return nil
}

// SyncDir implements wal.FS. It makes all pending changes of names durable, in whatever directory.
func (f *FS) SyncDir(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failsSync() {
		return ErrIO
	}
	if err := f.change(); err != nil || f.dropSyncs {
		return err
	}
	for _, change := range f.pending {
		change(f.durable)
	}
	f.pending = nil
	return nil
}

// room is how many bytes can be written; noLimit: any number.
func (f *FS) room() int {
	room := f.freeBytes
	if f.capacity > 0 {
		left := max(f.capacity-f.totalBytes(), 0)
		if room == noLimit || left < room {
			room = left
		}
	}
	return room
}

func (f *FS) totalBytes() (total int) {
	for _, n := range f.files {
		total += len(n.data)
	}
	return total
}

// failsSync reports whether a sync has to fail, and counts it.
func (f *FS) failsSync() bool {
	if f.failingSyncs > 0 {
		f.failingSyncs--
		return true
	}
	return false
}

// file is a wal.File.
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
	if err := f.fs.change(); err != nil {
		return 0, err
	}
	n := len(b)
	if room := f.fs.room(); room != noLimit {
		n = min(n, room)
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
	if err := f.fs.change(); err != nil {
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
	if f.fs.failsSync() {
		return ErrIO
	}
	if err := f.fs.change(); err != nil {
		return err
	}
	if !f.fs.dropSyncs {
		f.inode.durable = slices.Clone(f.inode.data)
	}
	return nil
}

// Close implements wal.File.
func (f *file) Close() error { return nil }
