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

	maxSnapshotAge = 10 * time.Second // what was written longer ago is of a process that no longer runs
	maxFileAge     = time.Minute      // files that were changed longer ago are removed
)

// StateDir is the directory where the processes of one gateway leave their snapshots for each other. It belongs to one
// goroutine at a time. No fault of the directory or of a file in it is an error: it is logged, and the process serves
// without.
type StateDir struct {
	dir    string
	self   Process
	logger *slog.Logger

	lastFailure string // of writing; logged when it changes

	searched    bool      // for the predecessor, which is done once
	predecessor string    // its file; empty: there is none
	readAt      time.Time // modification time of the file when it was last read
}

// NewStateDir returns the state directory at a path, as a process uses it. With the path "" nothing is written or found.
func NewStateDir(dir string, self Process, logger *slog.Logger) *StateDir {
	return &StateDir{dir: dir, self: self, logger: logger}
}

// fileName is the name of a process's file.
func fileName(p Process) string { return filePrefix + strconv.FormatInt(p.StartedAt, 10) }

// startedAt is when the process of a file started. A name without a number is taken for the oldest.
func startedAt(name string) int64 {
	n, err := strconv.ParseInt(strings.TrimPrefix(name, filePrefix), 10, 64)
	if errors.Is(err, strconv.ErrSyntax) {
		return 0
	}
	return n
}

func (d *StateDir) path(name string) string { return filepath.Join(d.dir, name) }

// Write replaces this process's snapshot as a whole. A fault is logged once, until it is another.
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

// Remove takes this process's snapshot away.
func (d *StateDir) Remove() {
	if d.dir != "" {
		d.remove(fileName(d.self))
	}
}

func (d *StateDir) remove(name string) {
	if err := os.Remove(d.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) && !errors.Is(err, unix.ENOTDIR) {
		d.logger.Warn("snapshot not removed", "file", name, "err", err)
	}
}

// others lists the files of other processes. A directory that can't be read holds none.
func (d *StateDir) others() (names []string) {
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

// ReadPredecessor returns the snapshot of the process that this one follows, if it is new since the last call. That process
// is searched for once: of those that run, the last one that started before this one. Files that are corrupt or of another
// format are quarantined, old ones are ignored or removed.
func (d *StateDir) ReadPredecessor(now time.Time) (s Snapshot, ok bool) {
	if d.predecessor != "" {
		return d.readAgain(now)
	}
	if d.searched {
		return Snapshot{}, false
	}
	d.searched = true
	return d.findPredecessor(now)
}

// readAgain reads the predecessor's file where it was changed.
func (d *StateDir) readAgain(now time.Time) (s Snapshot, ok bool) {
	info, err := os.Stat(d.path(d.predecessor))
	if err != nil || info.ModTime().Equal(d.readAt) {
		return Snapshot{}, false
	}
	d.readAt = info.ModTime()
	return d.read(d.predecessor, now)
}

func (d *StateDir) findPredecessor(now time.Time) (s Snapshot, ok bool) {
	names := d.others()
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
		if s, ok := d.read(name, now); ok && isAlive(s.Process.PID) {
			d.predecessor, d.readAt = name, info.ModTime()
			return s, true
		}
	}
	return Snapshot{}, false
}

// read returns the snapshot of a file, if it can be read and is recent.
func (d *StateDir) read(name string, now time.Time) (s Snapshot, ok bool) {
	s, err := d.load(name)
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

func (d *StateDir) load(name string) (Snapshot, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return Snapshot{}, err
	}
	if info.Size() > maxFileBytes {
		return Snapshot{}, fmt.Errorf("%w: %d bytes, at most %d are read", ErrCorrupt, info.Size(), maxFileBytes)
	}
	file, err := os.ReadFile(d.path(name))
	if err != nil {
		return Snapshot{}, err
	}
	return decode(file)
}

// quarantine renames a file that can't be read, so that it is not read again and can be looked into.
func (d *StateDir) quarantine(name string, reason error) {
	err := os.Rename(d.path(name), d.path(quarantinePrefix+name))
	d.logger.Warn("snapshot quarantined", "file", name, "err", errors.Join(reason, err))
}

// HasSuccessor reports whether a process that started later serves clients now.
func (d *StateDir) HasSuccessor() bool {
	for _, name := range d.others() {
		if startedAt(name) <= d.self.StartedAt {
			continue
		}
		if s, err := d.load(name); err == nil && s.Ready && isAlive(s.Process.PID) {
			return true
		}
	}
	return false
}

// isAlive reports whether a process runs, be it another user's.
func isAlive(pid int) bool {
	if pid <= 0 {
		return false
	}
	err := unix.Kill(pid, 0)
	return err == nil || errors.Is(err, unix.EPERM)
}
