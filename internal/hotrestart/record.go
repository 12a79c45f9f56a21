package hotrestart

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"example.org/milletvane/internal/engine"
)

// A record's file: this word, the form's version, a checksum and the size on one line, then JSON.
const (
	magic      = "milletvane-handover"
	formNow    = 1
	recordMost = 16 << 20
	prefix     = "state-"
	asideMark  = "bad-"
	// What was written longer ago is of a process that no longer runs.
	freshFor = 10 * time.Second
	keepFor  = time.Minute
)

// Snapshot is what a process writes down for the one that follows. Its keys in the file are part of the format.
type Snapshot struct {
	Process      Process      `json:"Process"`
	WrittenAt    time.Time    `json:"Written"`
	Ready        bool         `json:"Ready"` // it serves clients
	KnownServers []string     `json:"Known"` // ids of servers that were ever listed
	State        engine.State `json:"State"`
}

// Process tells the processes of one gateway apart.
type Process struct {
	StartedAt int64 `json:"Born"` // Unix time in nanoseconds: who is born later follows
	PID       int   `json:"PID"`
}

var table = crc32.MakeTable(crc32.Castagnoli)

// Errors of files that are put aside.
var (
	ErrDamaged = errors.New("is damaged")
	ErrForeign = errors.New("is of another form")
)

// StateDir is the folder where the processes of a gateway leave their records.
type StateDir struct {
	dir    string
	self   Process
	logger *slog.Logger
	told   string    // the last fault that was logged
	looked bool      // for the process before
	from   string    // its file
	read   time.Time // and when it had been changed
}

// NewStateDir returns the desk in a folder; "" is none, where nothing is written or found.
func NewStateDir(dir string, self Process, logger *slog.Logger) *StateDir {
	return &StateDir{dir: dir, self: self, logger: logger}
}

func (d *StateDir) name(p Process) string { return prefix + strconv.FormatInt(p.StartedAt, 10) }

// Write replaces this process's record as a whole. A fault is logged once; it keeps nobody from serving.
func (d *StateDir) Write(r Snapshot) {
	if d.dir == "" {
		return
	}
	r.Process = d.self
	err := func() error {
		body, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if err := os.MkdirAll(d.dir, 0o700); err != nil {
			return err
		}
		head := fmt.Sprintf("%s %d %08x %d\n", magic, formNow, crc32.Checksum(body, table), len(body))
		return renameio.WriteFile(filepath.Join(d.dir, d.name(d.self)), append([]byte(head), body...), 0o600, renameio.WithTempDir(d.dir))
	}()
	text := fmt.Sprint(err)
	if err != nil && text != d.told {
		d.logger.Warn("nothing is left for the process that follows", "err", err)
	}
	d.told = text
}

// Remove takes this process's record away.
func (d *StateDir) Remove() {
	if d.dir != "" {
		os.Remove(filepath.Join(d.dir, d.name(d.self)))
	}
}

// files lists the records of other processes, by birth.
func (d *StateDir) files() (names []string) {
	if d.dir == "" {
		return nil
	}
	entries, _ := os.ReadDir(d.dir)
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), prefix) && e.Name() != d.name(d.self) {
			names = append(names, e.Name())
		}
	}
	return names
}

func born(name string) int64 {
	n, _ := strconv.ParseInt(strings.TrimPrefix(name, prefix), 10, 64)
	return n
}

// ReadPredecessor returns the record of the process that this one follows, if it is new since the last call. That process is found
// once: the last born before this one of those that run. Files that are damaged, of another form or old are put aside or
// passed over, and none of them is an error.
func (d *StateDir) ReadPredecessor(now time.Time) (r Snapshot, ok bool) {
	if d.from != "" {
		info, err := os.Stat(filepath.Join(d.dir, d.from))
		if err != nil || info.ModTime().Equal(d.read) {
			return r, false
		}
		d.read = info.ModTime()
		return d.open(d.from, now)
	}
	if d.looked {
		return r, false
	}
	d.looked = true
	names := d.files()
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(born(b), born(a)) })
	for _, name := range names {
		info, err := os.Stat(filepath.Join(d.dir, name))
		if err != nil || born(name) >= d.self.StartedAt {
			continue
		}
		if now.Sub(info.ModTime()) > keepFor {
			os.Remove(filepath.Join(d.dir, name))
			continue
		}
		if r, ok := d.open(name, now); ok && alive(r.Process.PID) {
			d.from, d.read = name, info.ModTime()
			return r, true
		}
	}
	return Snapshot{}, false
}

func (d *StateDir) open(name string, now time.Time) (r Snapshot, ok bool) {
	path := filepath.Join(d.dir, name)
	r, err := load(path)
	switch {
	case err != nil:
		d.logger.Warn("put aside", "file", name, "err", err)
		os.Rename(path, filepath.Join(d.dir, asideMark+name))
		return r, false
	case now.Sub(r.WrittenAt) > freshFor || r.WrittenAt.Sub(now) > freshFor:
		d.logger.Info("not taken up", "file", name, "written", r.WrittenAt)
		return r, false
	}
	return r, true
}

func load(path string) (r Snapshot, err error) {
	if info, err := os.Stat(path); err != nil || info.Size() > recordMost {
		return r, errors.Join(ErrDamaged, err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	head, body, ok := bytes.Cut(b, []byte{'\n'})
	var word string
	var form, size int
	var sum uint32
	if n, _ := fmt.Sscanf(string(head), "%s %d %x %d", &word, &form, &sum, &size); !ok || n != 4 || word != magic {
		return r, ErrDamaged
	}
	if form != formNow {
		return r, ErrForeign
	}
	if len(body) != size || crc32.Checksum(body, table) != sum {
		return r, ErrDamaged
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, errors.Join(ErrForeign, err)
	}
	return r, nil
}

// HasSuccessor reports whether a process born later serves clients now.
func (d *StateDir) HasSuccessor() bool {
	for _, name := range d.files() {
		if born(name) <= d.self.StartedAt {
			continue
		}
		if r, err := load(filepath.Join(d.dir, name)); err == nil && r.Ready && alive(r.Process.PID) {
			return true
		}
	}
	return false
}

// alive reports whether a process runs. One that died after it was ready follows nobody.
func alive(pid int) bool {
	err := unix.Kill(pid, 0)
	return pid > 0 && (err == nil || err == unix.EPERM)
}
