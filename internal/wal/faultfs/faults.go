package faultfs

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// sectorSize is the least that the disk writes at once.
const sectorSize = 512

// SetFreeBytes limits what may still be written, in bytes; negative: there is no limit.
func (f *FS) SetFreeBytes(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freeBytes = max(bytes, noLimit)
}

// SetCapacity limits the size of all files together, in bytes; 0: there is no limit. Removed files make room.
func (f *FS) SetCapacity(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = bytes
}

// Changes returns how many calls have changed something: creations, writes, truncations, syncs, renames and removals.
func (f *FS) Changes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes
}

// LosePowerAfter has all calls that would change something fail with ErrPowerLost after so many, until Crash.
func (f *FS) LosePowerAfter(changes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.powerLostAt = f.changes + changes
}

// TotalBytes returns the size of all files.
func (f *FS) TotalBytes() (total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.totalBytes()
}

// FailNextSyncs makes the next n syncs fail. What they should have made durable is lost in a crash, as kernels drop pages
// that could not be written.
func (f *FS) FailNextSyncs(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failingSyncs = n
}

// DropSyncs makes syncs succeed without making anything durable, from now on or no longer.
func (f *FS) DropSyncs(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropSyncs = on
}

// Stall makes writes wait until release is called.
func (f *FS) Stall() (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan struct{})
	f.stalled = c
	return sync.OnceFunc(func() {
		f.mu.Lock()
		f.stalled = nil
		f.mu.Unlock()
		close(c)
	})
}

// FlipBit changes a bit of the last file, in order of names, whose name contains a part. A negative offset counts from the
// file's end. It reports whether there is such a byte.
func (f *FS) FlipBit(part string, offset int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.files {
		if strings.Contains(name, part) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return false
	}
	n := f.files[slices.Max(names)]
	if offset < 0 {
		offset += len(n.data)
	}
	if offset < 0 || offset >= len(n.data) {
		return false
	}
	const bit = 0x10
	n.data[offset] ^= bit
	if offset < len(n.durable) {
		n.durable[offset] ^= bit
	}
	return true
}

// Crash is a loss of power: what was not synced survives in part, with sectors that were never written, or not at all.
func (f *FS) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.powerLostAt = 0
	// Changes of names reach the disk in order, up to some point.
	for _, change := range f.pending[:f.rnd.IntN(len(f.pending)+1)] {
		change(f.durable)
	}
	f.pending = nil
	torn := map[*inode]bool{}
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		if n := f.durable[name]; !torn[n] {
			torn[n] = true
			f.tear(n)
		}
	}
	f.files = maps.Clone(f.durable)
}

// tear leaves of a file what a disk may have of it after a loss of power.
func (f *FS) tear(n *inode) {
	start := len(n.durable)
	if len(n.data) < start || string(n.data[:start]) != string(n.durable) { // truncated and written since the last sync
		n.data = slices.Clone(n.durable)
		return
	}
	end := start + f.rnd.IntN(len(n.data)-start+1)
	data := slices.Clone(n.data[:end])
	for offset := start; offset < end; {
		next := min(offset-offset%sectorSize+sectorSize, end)
		if f.rnd.IntN(4) == 0 {
			clear(data[offset:next])
		}
		offset = next
	}
	n.data, n.durable = data, slices.Clone(data)
}
