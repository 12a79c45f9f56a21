package hotrestart

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

var discardLogger = slog.New(slog.DiscardHandler)

// newRunningStateDir returns a state directory for the use of a running process that started at startedAt.
func newRunningStateDir(dir string, startedAt int64) *StateDir {
	return NewStateDir(dir, Process{StartedAt: startedAt, PID: os.Getpid()}, discardLogger)
}

func sampleSnapshot(now time.Time) Snapshot {
	return Snapshot{WrittenAt: now.UTC(), Ready: true, KnownServers: []string{"s-1", "gone/%2F"}, State: engine.State{
		Version: 41,
		Servers: []engine.Server{{
			Name: "s-1", Addr: "127.0.0.1:1",
			Server: balancer.Server{ID: 1, State: balancer.Draining, Started: time.Hour},
		}},
		Balancer: balancer.Snapshot{
			MeanLoad: balancer.WeightedMean{Value: 20000, Weight: 3},
			Servers:  []balancer.ServerSnapshot{{ID: 1, LoadLimit: 5}},
		},
		Flows: []engine.Flow{{ID: "9b", Class: "c", Key: "k", Server: "s-1", Load: 12}},
	}}
}

func TestSnapshotIsReadAsWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	now := time.Now()
	writer, reader := newRunningStateDir(dir, 10), newRunningStateDir(dir, 20)
	if _, ok := newRunningStateDir(dir, 5).ReadPredecessor(now); ok {
		t.Error("got a predecessor's snapshot from an empty directory")
	}
	want := sampleSnapshot(now)
	writer.Write(want)
	want.Process = writer.self
	got, ok := reader.ReadPredecessor(now)
	if diff := cmp.Diff(want, got); !ok || diff != "" {
		t.Fatalf("ReadPredecessor: ok is %t, want true (-want +got):\n%s", ok, diff)
	}
	if _, ok := reader.ReadPredecessor(now); ok {
		t.Error("a snapshot that did not change was read again")
	}
	want.KnownServers = nil
	writer.Write(want)
	later := now.Add(time.Second) // the file system's modification times are coarse
	if err := os.Chtimes(filepath.Join(dir, "state-10"), later, later); err != nil {
		t.Fatal(err)
	}
	if got, ok := reader.ReadPredecessor(now); !ok || got.KnownServers != nil {
		t.Error("the changed snapshot was not read")
	}
	if names := fileNames(t, dir); len(names) != 1 {
		t.Errorf("the directory holds %q, want one file", names)
	}
}

// Guards against a start that fails because of an unusable file. A file that cannot be read must be quarantined. A file
// whose snapshot time is too far from now must be left in place and ignored.
func TestUnusableSnapshots(t *testing.T) {
	now := time.Now()
	dir := t.TempDir()
	newRunningStateDir(dir, 10).Write(sampleSnapshot(now))
	valid := string(mustRead(t, filepath.Join(dir, "state-10")))
	for name, c := range map[string]struct {
		text string
		now  time.Time
		kept bool // the file keeps its name
	}{
		"empty":           {"", now, false},
		"truncated":       {valid[:len(valid)-9], now, false},
		"no header":       {"milletvane-handover", now, false},
		"altered":         {strings.Replace(valid, `"s-1"`, `"s-2"`, 1), now, false},
		"version 2":       {strings.Replace(valid, "handover 1 ", "handover 2 ", 1), now, false},
		"another magic":   {strings.Replace(valid, "milletvane", "milletvine", 1), now, false},
		"excess byte":     {valid + "x", now, false},
		"old":             {valid, now.Add(20 * time.Second), true},
		"from the future": {valid, now.Add(-20 * time.Second), true},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			writeFile(t, dir, "state-10", []byte(c.text), now)
			if _, ok := newRunningStateDir(dir, 20).ReadPredecessor(c.now); ok {
				t.Error("the snapshot was used, want it to be ignored")
			}
			if _, err := os.Stat(filepath.Join(dir, "state-10")); (err == nil) != c.kept {
				t.Errorf("kept in place: %t, want %t", err == nil, c.kept)
			}
		})
	}
}

// The predecessor of a process must be the last running process that started before it. A process that has died must be
// neither a predecessor nor a successor.
func TestPredecessorAndSuccessor(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	first, third := newRunningStateDir(dir, 10), newRunningStateDir(dir, 30)
	died := NewStateDir(dir, Process{StartedAt: 20, PID: 1 << 30}, discardLogger)
	s := sampleSnapshot(now)
	s.State.Version = 1
	first.Write(s)
	if first.HasSuccessor() {
		t.Error("the only process has a successor")
	}
	s.State.Version = 2
	died.Write(s)
	if first.HasSuccessor() {
		t.Error("a process that has died counts as the successor")
	}
	if got, ok := third.ReadPredecessor(now); !ok || got.State.Version != 1 {
		t.Errorf("the third process's predecessor is %+v, want the first process", got.Process)
	}
	s.Ready = false
	third.Write(s)
	if first.HasSuccessor() {
		t.Error("a process that is not ready counts as the successor")
	}
	s.Ready = true
	third.Write(s)
	if !first.HasSuccessor() || third.HasSuccessor() {
		t.Error("want a successor of the first process and none of the third")
	}
	third.RemoveSnapshot()
	if first.HasSuccessor() {
		t.Error("a process that has removed its snapshot counts as the successor")
	}
}

// Without a directory, or if its path is that of a file, nothing must be written or found.
func TestNoDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, dir := range map[string]string{"no path": "", "a file": file} {
		t.Run(name, func(t *testing.T) {
			d := newRunningStateDir(dir, 10)
			d.Write(sampleSnapshot(time.Now()))
			if _, ok := d.ReadPredecessor(time.Now()); ok || d.HasSuccessor() {
				t.Error("found a snapshot")
			}
			d.RemoveSnapshot()
		})
	}
}

func TestDecodeErrors(t *testing.T) {
	file, err := encode(sampleSnapshot(time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		file []byte
		want error
	}{
		"empty":        {nil, ErrCorrupt},
		"altered":      {append(file[:len(file)-1:len(file)-1], ' '), ErrCorrupt},
		"version 2":    {withHeader(formatMagic, 2, "{}"), ErrUnsupportedFormat},
		"another form": {withHeader(formatMagic, formatVersion, "[]"), ErrUnsupportedFormat},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := decode(c.file); !errors.Is(err, c.want) {
				t.Errorf("decode: got the error %v, want %v", err, c.want)
			}
		})
	}
}
