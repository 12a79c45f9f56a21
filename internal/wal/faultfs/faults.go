package faultfs

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// sectorSize is the smallest unit that the disk writes, in bytes.
const sectorSize = 512

// SetFreeBytes limits the number of bytes that may still be written. A negative number means no limit.
func (f *FS) SetFreeBytes(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freeBytes = max(bytes, noLimit)
}

// SetCapacity limits the total size of all files in bytes. Zero means no limit. Removing a file frees its space.
func (f *FS) SetCapacity(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = bytes
}

// Changes returns the number of calls that have changed something: creations of files and directories, writes, truncations,
// syncs, renames and removals.
func (f *FS) Changes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes
}

// LosePowerAfter simulates a loss of power after the given number of further calls that change something. All such calls after
// them fail with ErrPowerLost until Crash is called.
func (f *FS) LosePowerAfter(changes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.powerLostAt = f.changes + changes
}

// TotalBytes returns the total size of all files in bytes.
func (f *FS) TotalBytes() (total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.totalBytes()
}

// FailNextSyncs makes the next n syncs fail with ErrIO. The data that these syncs should have made durable may be lost in
// a crash, because a kernel drops pages that it could not write.
func (f *FS) FailNextSyncs(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failingSyncs = n
}

// DropSyncs sets whether syncs succeed without making anything durable.
func (f *FS) DropSyncs(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropSyncs = on
}

// Stall blocks writes until release is called. Further calls of release have no effect.
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

// FlipBit flips one bit of the byte at offset in the file whose name contains part. If several names contain part, the last
// of them in lexical order is used. A negative offset counts from the end of the file. FlipBit returns false if there is no
// such byte.
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

// Crash simulates a loss of power and the restart after it. Unsynced data is lost entirely or in part; in the part that
// survives, some sectors may be zeros. Crash ends the effect of LosePowerAfter, so later calls do not fail with ErrPowerLost.
func (f *FS) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.powerLostAt = 0
	// Changes of names reach the disk in order, up to a random one.
	for _, change := range f.pendingNameChanges[:f.rnd.IntN(len(f.pendingNameChanges)+1)] {
		change(f.durable)
	}
	f.pendingNameChanges = nil
	torn := map[*inode]bool{}
	for _, name := range slices.Sorted(maps.Keys(f.durable)) {
		if n := f.durable[name]; !torn[n] {
			torn[n] = true
			f.tearFile(n)
		}
	}
	f.files = maps.Clone(f.durable)
}

// tearFile reduces a file to content that a disk may hold after a loss of power: the synced part, followed by a prefix of the
// unsynced part in which each sector is zeros with a probability of 1/4. A file that was truncated and rewritten since the
// last sync has its synced content.
func (f *FS) tearFile(n *inode) {
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
