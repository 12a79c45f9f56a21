package hotrestart

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

const (
	filePrefix       = "state-"
	quarantinePrefix = "bad-"
	dirMode          = 0o700
	fileMode         = 0o600

	maxSnapshotAge = 10 * time.Second // an older snapshot is that of a process that no longer runs
	maxFileAge     = time.Minute      // files that were modified longer ago are removed
)

// StateDir is the directory through which the processes of one gateway exchange snapshots. It may be used by only one
// goroutine at a time. Its methods return no errors: they log a failure of the directory or of a file in it, and the process
// serves without the snapshot.
type StateDir struct {
	dir    string
	self   Process
	logger *slog.Logger

	lastFailure string // error of the last write, which is logged when it changes; empty: the write succeeded

	hasSearched bool      // the predecessor has been searched for, which is done only once
	predecessor string    // name of the predecessor's file; empty: there is none
	lastModTime time.Time // modification time of the predecessor's file when it was last read
}

// NewStateDir returns the state directory at a path, for use by the process self. With the path "", nothing is written or
// found.
func NewStateDir(dir string, self Process, logger *slog.Logger) *StateDir {
	return &StateDir{dir: dir, self: self, logger: logger}
}

// fileName returns the name of a process's file.
func fileName(p Process) string { return filePrefix + strconv.FormatInt(p.StartedAt, 10) }

// startedAt returns the start time of the process that a file name is for. A name without a number counts as the oldest.
func startedAt(name string) int64 {
	n, err := strconv.ParseInt(strings.TrimPrefix(name, filePrefix), 10, 64)
	if errors.Is(err, strconv.ErrSyntax) {
		return 0
	}
	return n
}

func (d *StateDir) path(name string) string { return filepath.Join(d.dir, name) }

// Write atomically replaces this process's snapshot. A failure is logged only if it differs from that of the previous write.
func (d *StateDir) Write(s Snapshot) {
	if d.dir == "" {
		return
	}
	failure := ""
	if err := d.write(s); err != nil {
		failure = err.Error()
		if failure != d.lastFailure {
			d.logger.Warn("snapshot not written", "err", err)
		}
	}
	d.lastFailure = failure
}

func (d *StateDir) write(s Snapshot) error {
	s.Process = d.self
	file, err := encode(s)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(d.dir, dirMode); err != nil {
		return err
	}
	return renameio.WriteFile(d.path(fileName(d.self)), file, fileMode, renameio.WithTempDir(d.dir))
}

// RemoveSnapshot removes this process's snapshot.
func (d *StateDir) RemoveSnapshot() {
	if d.dir != "" {
		d.remove(fileName(d.self))
	}
}

func (d *StateDir) remove(name string) {
	if err := os.Remove(d.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) && !errors.Is(err, unix.ENOTDIR) {
		d.logger.Warn("snapshot not removed", "file", name, "err", err)
	}
}

// otherFiles returns the names of other processes' files. It returns none if the directory cannot be read.
func (d *StateDir) otherFiles() (names []string) {
	if d.dir == "" {
		return nil
	}
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasPrefix(name, filePrefix) && name != fileName(d.self) {
			names = append(names, name)
		}
	}
	return names
}

// ReadPredecessor returns the predecessor's snapshot; ok is false if there is none or if it has not changed since the last
// call. The predecessor is determined by the first call: of the running processes that started before this one, it is the
// one that started last. Files that are corrupt or of another format are quarantined; old files are ignored or removed.
func (d *StateDir) ReadPredecessor(now time.Time) (s Snapshot, ok bool) {
	if d.predecessor != "" {
		return d.readChanged(now)
	}
	if d.hasSearched {
		return Snapshot{}, false
	}
	d.hasSearched = true
	return d.findPredecessor(now)
}

// readChanged reads the predecessor's file if it has been modified since it was last read.
func (d *StateDir) readChanged(now time.Time) (s Snapshot, ok bool) {
	info, err := os.Stat(d.path(d.predecessor))
	if err != nil || info.ModTime().Equal(d.lastModTime) {
		return Snapshot{}, false
	}
	d.lastModTime = info.ModTime()
	return d.readRecent(d.predecessor, now)
}

func (d *StateDir) findPredecessor(now time.Time) (s Snapshot, ok bool) {
	names := d.otherFiles()
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(startedAt(b), startedAt(a)) })
	for _, name := range names {
		if startedAt(name) >= d.self.StartedAt {
			continue
		}
		info, err := os.Stat(d.path(name))
		if err != nil {
			continue
		}
		if now.Sub(info.ModTime()) > maxFileAge {
			d.remove(name)
			continue
		}
		if s, ok := d.readRecent(name, now); ok && isAlive(s.Process.PID) {
			d.predecessor, d.lastModTime = name, info.ModTime()
			return s, true
		}
	}
	return Snapshot{}, false
}

// readRecent returns the snapshot of a file. The result ok is false if the file cannot be read, or if the snapshot's time
// differs from now by more than maxSnapshotAge. A file that cannot be read is quarantined.
func (d *StateDir) readRecent(name string, now time.Time) (s Snapshot, ok bool) {
	s, err := d.readFile(name)
	if err != nil {
		d.quarantine(name, err)
		return Snapshot{}, false
	}
	if now.Sub(s.WrittenAt) > maxSnapshotAge || s.WrittenAt.Sub(now) > maxSnapshotAge {
		d.logger.Info("snapshot ignored", "file", name, "written", s.WrittenAt)
		return Snapshot{}, false
	}
	return s, true
}

func (d *StateDir) readFile(name string) (Snapshot, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return Snapshot{}, err
	}
	if info.Size() > maxFileBytes {
		return Snapshot{}, fmt.Errorf("%w: file has %d bytes, want at most %d", ErrCorrupt, info.Size(), maxFileBytes)
	}
	file, err := os.ReadFile(d.path(name))
	if err != nil {
		return Snapshot{}, err
	}
	return decode(file)
}

// quarantine renames a file that cannot be read, so that it is not read again and can be inspected.
func (d *StateDir) quarantine(name string, reason error) {
	err := os.Rename(d.path(name), d.path(quarantinePrefix+name))
	d.logger.Warn("snapshot quarantined", "file", name, "err", errors.Join(reason, err))
}

// HasSuccessor reports whether a process that started after this one is running and serves clients.
func (d *StateDir) HasSuccessor() bool {
	for _, name := range d.otherFiles() {
		if startedAt(name) <= d.self.StartedAt {
			continue
		}
		if s, err := d.readFile(name); err == nil && s.Ready && isAlive(s.Process.PID) {
			return true
		}
	}
	return false
}

// isAlive reports whether a process is running, even if it belongs to another user.
func isAlive(pid int) bool {
	if pid <= 0 {
		return false
	}
	err := unix.Kill(pid, 0)
	return err == nil || errors.Is(err, unix.EPERM)
}
