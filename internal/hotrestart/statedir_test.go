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

// runningAt is the state directory as a process uses it that started at a time and runs.
func runningAt(dir string, startedAt int64) *StateDir {
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
	writer, reader := runningAt(dir, 10), runningAt(dir, 20)
	if _, ok := runningAt(dir, 5).ReadPredecessor(now); ok {
		t.Error("a snapshot where there is none")
	}
	want := sampleSnapshot(now)
	writer.Write(want)
	want.Process = writer.self
	got, ok := reader.ReadPredecessor(now)
	if diff := cmp.Diff(want, got); !ok || diff != "" {
		t.Fatalf("ReadPredecessor: %t (-want +got):\n%s", ok, diff)
	}
	if _, ok := reader.ReadPredecessor(now); ok {
		t.Error("a snapshot that did not change was read again")
	}
	want.KnownServers = nil
	writer.Write(want)
	later := now.Add(time.Second) // the file's own modification time is coarse
	if err := os.Chtimes(filepath.Join(dir, "state-10"), later, later); err != nil {
		t.Fatal(err)
	}
	if got, ok := reader.ReadPredecessor(now); !ok || got.KnownServers != nil {
		t.Error("the new snapshot was not read")
	}
	if names := listing(t, dir); len(names) != 1 {
		t.Errorf("the directory holds %q", names)
	}
}

// Whatever a file holds, a start goes on without it, and one that can't be read is quarantined.
func TestUnusableSnapshots(t *testing.T) {
	now := time.Now()
	dir := t.TempDir()
	runningAt(dir, 10).Write(sampleSnapshot(now))
	whole := string(mustRead(t, filepath.Join(dir, "state-10")))
	for name, c := range map[string]struct {
		text string
		now  time.Time
		kept bool
	}{
		"empty":           {"", now, false},
		"cut short":       {whole[:len(whole)-9], now, false},
		"no first line":   {"milletvane-handover", now, false},
		"altered":         {strings.Replace(whole, `"s-1"`, `"s-2"`, 1), now, false},
		"version 2":       {strings.Replace(whole, "handover 1 ", "handover 2 ", 1), now, false},
		"another word":    {strings.Replace(whole, "milletvane", "milletvine", 1), now, false},
		"more bytes":      {whole + "x", now, false},
		"old":             {whole, now.Add(20 * time.Second), true},
		"from the future": {whole, now.Add(-20 * time.Second), true},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			put(t, dir, "state-10", []byte(c.text), now)
			if _, ok := runningAt(dir, 20).ReadPredecessor(c.now); ok {
				t.Error("was taken up")
			}
			if _, err := os.Stat(filepath.Join(dir, "state-10")); (err == nil) != c.kept {
				t.Errorf("kept in place: %t, want %t", err == nil, c.kept)
			}
		})
	}
}

// A process follows the last one that started before it and runs; one that died is passed over, and follows nobody.
func TestPredecessorAndSuccessor(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	first, third := runningAt(dir, 10), runningAt(dir, 30)
	died := NewStateDir(dir, Process{StartedAt: 20, PID: 1 << 30}, discardLogger)
	s := sampleSnapshot(now)
	s.State.Version = 1
	first.Write(s)
	if first.HasSuccessor() {
		t.Error("a successor where there is none")
	}
	s.State.Version = 2
	died.Write(s)
	if first.HasSuccessor() {
		t.Error("a successor that died")
	}
	if got, ok := third.ReadPredecessor(now); !ok || got.State.Version != 1 {
		t.Errorf("follows %+v", got.Process)
	}
	s.Ready = false
	third.Write(s)
	if first.HasSuccessor() {
		t.Error("a successor that is not ready")
	}
	s.Ready = true
	third.Write(s)
	if !first.HasSuccessor() || third.HasSuccessor() {
		t.Error("the third follows the first, and none the third")
	}
	third.Remove()
	if first.HasSuccessor() {
		t.Error("a successor that has left")
	}
}

// Without a directory, or with one that takes no files, nothing is written or found.
func TestNoDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, dir := range map[string]string{"no path": "", "a file": file} {
		t.Run(name, func(t *testing.T) {
			d := runningAt(dir, 10)
			d.Write(sampleSnapshot(time.Now()))
			if _, ok := d.ReadPredecessor(time.Now()); ok || d.HasSuccessor() {
				t.Error("found a snapshot")
			}
			d.Remove()
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
		"version 2":    {framed(formatWord, 2, "{}"), ErrUnsupportedFormat},
		"another form": {framed(formatWord, formatVersion, "[]"), ErrUnsupportedFormat},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := decode(c.file); !errors.Is(err, c.want) {
				t.Errorf("decode: %v, want %v", err, c.want)
			}
		})
	}
}
