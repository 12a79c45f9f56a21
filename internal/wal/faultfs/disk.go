// Package faultfs has a disk in memory that loses power and goes wrong on purpose. Tests and experiments put it under stores.
package faultfs

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"example.org/milletvane/internal/wal"
)

// ErrIO is what a disk that fails says.
var ErrIO = errors.New("input/output error")

// FS is a wal.FS. Without faults it keeps all that was synced through Crash, and of the rest whatever chance leaves.
type FS struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	names map[string]*inode // as seen
	kept  map[string]*inode // as they are after a loss of power
	ops   []func(map[string]*inode)
	dirs  map[string]bool

	room      int // bytes that may still be written; under 0: without end
	failSyncs int // so many syncs fail from now on
	loses     bool
	stalled   chan struct{} // writes wait until it is closed; nil: they don't
}

type inode struct{ data, kept []byte }

// New returns a sound disk without anything on it.
func New(seed uint64) *FS {
	return &FS{rnd: rand.New(rand.NewPCG(seed, 7)), names: map[string]*inode{}, kept: map[string]*inode{},
		dirs: map[string]bool{}, room: -1}
}

// SetFreeBytes bounds what may still be written, in bytes; under 0 there is no bound.
func (d *FS) SetFreeBytes(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = bytes
}

// FailNextSyncs makes the next n syncs fail. What they should have kept is lost with power, as kernels drop what failed.
func (d *FS) FailNextSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = n
}

// LoseSynced makes syncs say yes and keep nothing, from now on or no more.
func (d *FS) LoseSynced(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loses = on
}

// Stall makes writes wait until the function that it returns is called.
func (d *FS) Stall() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := make(chan struct{})
	d.stalled = c
	return sync.OnceFunc(func() {
		d.mu.Lock()
		d.stalled = nil
		d.mu.Unlock()
		close(c)
	})
}

// FlipBit changes one bit of the newest file whose name has a part, at an offset from its end, or else from its beginning.
func (d *FS) FlipBit(part string, at int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.names {
		if strings.Contains(name, part) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return false
	}
	slices.Sort(names)
	n := d.names[names[len(names)-1]]
	if at < 0 {
		at += len(n.data)
	}
	if at < 0 || at >= len(n.data) {
		return false
	}
	n.data[at] ^= 0x10
	if at < len(n.kept) {
		n.kept[at] ^= 0x10
	}
	return true
}

// Crash is a loss of power: what was not synced is kept in part, with sectors that were never written, or not at all.
func (d *FS) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, op := range d.ops[:d.rnd.IntN(len(d.ops)+1)] { // names reach the disk in order, as far as they do
		op(d.kept)
	}
	d.ops = nil
	seen := map[*inode]bool{}
	for _, n := range d.kept {
		if !seen[n] {
			seen[n] = true
			d.tear(n)
		}
	}
	d.names = map[string]*inode{}
	for name, n := range d.kept {
		d.names[name] = n
	}
}

// tear leaves of a file what a disk may have of it.
func (d *FS) tear(n *inode) {
	from := len(n.kept)
	if len(n.data) < from || string(n.data[:from]) != string(n.kept) { // cut and written anew since the last sync
		n.data = slices.Clone(n.kept)
		return
	}
	to := from + d.rnd.IntN(len(n.data)-from+1)
	data := slices.Clone(n.data[:to])
	const sector = 512
	for at := from; at < to; {
		end := min(at-at%sector+sector, to)
		if d.rnd.IntN(4) == 0 {
			clear(data[at:end])
		}
		at = end
	}
	n.data, n.kept = data, slices.Clone(data)
}

func (d *FS) do(op func(map[string]*inode)) {
	op(d.names)
	d.ops = append(d.ops, op)
}

// MkdirAll implements wal.FS.
func (d *FS) MkdirAll(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dirs[dir] = true
	return nil
}

// List implements wal.FS.
func (d *FS) List(dir string) (names []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.names {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	if len(names) == 0 && !d.dirs[dir] {
		return nil, fs.ErrNotExist
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements wal.FS.
func (d *FS) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements wal.FS.
func (d *FS) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.room == 0 {
		return nil, syscall.ENOSPC
	}
	n := &inode{}
	d.do(func(names map[string]*inode) { names[name] = n })
	return &file{d, n}, nil
}

// Append implements wal.FS.
func (d *FS) Append(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d, n}, nil
}

// Rename implements wal.FS, of a file or a folder.
func (d *FS) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := false
	for name := range d.names {
		target, inside := to, name == from
		if rest, ok := strings.CutPrefix(name, from+"/"); ok {
			target, inside = filepath.Join(to, rest), true
		}
		if inside {
			moved = true
			n := d.names[name]
			d.do(func(names map[string]*inode) { delete(names, name); names[target] = n })
		}
	}
	if d.dirs[from] {
		delete(d.dirs, from)
		d.dirs[to], moved = true, true
	}
	if !moved {
		return fs.ErrNotExist
	}
	return nil
}

// Remove implements wal.FS.
func (d *FS) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	d.do(func(names map[string]*inode) { delete(names, name) })
	return nil
}

// SyncDir implements wal.FS.
func (d *FS) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing() {
		return ErrIO
	}
	if d.loses {
		return nil
	}
	for _, op := range d.ops {
		op(d.kept)
	}
	d.ops = nil
	return nil
}

func (d *FS) failing() bool {
	if d.failSyncs > 0 {
		d.failSyncs--
		return true
	}
	return false
}

type file struct {
	d *FS
	n *inode
}

// Write implements wal.File.
func (f *file) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	stalled := f.d.stalled
	f.d.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	n := len(b)
	if f.d.room >= 0 {
		n = min(n, f.d.room)
		f.d.room -= n
	}
	f.n.data = append(f.n.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if int(size) < len(f.n.data) {
		f.n.data = f.n.data[:size:size]
	}
	return nil
}

// Sync implements wal.File.
func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.failing() {
		return ErrIO
	}
	if !f.d.loses {
		f.n.kept = slices.Clone(f.n.data)
	}
	return nil
}

// Close implements wal.File.
func (f *file) Close() error { return nil }
