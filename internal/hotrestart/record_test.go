package hotrestart

import (
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

var quiet = slog.New(slog.DiscardHandler)

func process(dir string, born int64) *StateDir {
	return NewStateDir(dir, Process{StartedAt: born, PID: os.Getpid()}, quiet)
}

func sample(now time.Time) Snapshot {
	return Snapshot{WrittenAt: now.UTC(), Ready: true, KnownServers: []string{"s-1", "gone/%2F"}, State: engine.State{
		Version:  41,
		Servers:  []engine.Server{{Name: "s-1", Addr: "127.0.0.1:1", Server: balancer.Server{ID: 1, State: balancer.Draining, Started: time.Hour}}},
		Balancer: balancer.Snapshot{MeanLoad: balancer.WeightedMean{Value: 20000, Weight: 3}, Servers: []balancer.ServerSnapshot{{ID: 1, LoadLimit: 5}}},
		Flows:    []engine.Flow{{ID: "9b", Class: "c", Key: "k", Server: "s-1", Load: 12}},
	}}
}

func TestRecordsComeThroughWhole(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	now := time.Now()
	a, b := process(dir, 10), process(dir, 20)
	if _, ok := process(dir, 5).ReadPredecessor(now); ok {
		t.Error("a record where there is none")
	}
	want := sample(now)
	a.Write(want)
	want.Process = a.self
	got, ok := b.ReadPredecessor(now)
	if !ok || !reflect.DeepEqual(got, want) {
		t.Fatalf("%t: got %+v, want %+v", ok, got, want)
	}
	if _, ok := b.ReadPredecessor(now); ok {
		t.Error("an old record came again")
	}
	want.KnownServers = nil
	a.Write(want)
	later := now.Add(time.Second) // the file's own time of change is coarse
	if err := os.Chtimes(filepath.Join(dir, "state-10"), later, later); err != nil {
		t.Fatal(err)
	}
	if got, ok := b.ReadPredecessor(now); !ok || got.KnownServers != nil {
		t.Error("the new record did not come")
	}
	if left, _ := os.ReadDir(dir); len(left) != 1 {
		t.Errorf("%v are left", left)
	}
}

// Whatever stands in the file, a start goes on without it, and a record that no one could read is put aside.
func TestRecordsThatAreNone(t *testing.T) {
	now := time.Now()
	whole := func() string {
		dir := t.TempDir()
		process(dir, 10).Write(sample(now))
		b, err := os.ReadFile(filepath.Join(dir, "state-10"))
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}()
	for name, c := range map[string]struct {
		text string
		now  time.Time
		kept bool
	}{
		"empty":    {"", now, false},
		"cut":      {whole[:len(whole)-9], now, false},
		"no line":  {"milletvane-handover", now, false},
		"flipped":  {strings.Replace(whole, `"s-1"`, `"s-2"`, 1), now, false},
		"form 2":   {strings.Replace(whole, "handover 1 ", "handover 2 ", 1), now, false},
		"another":  {strings.Replace(whole, "milletvane", "milletvine", 1), now, false},
		"more":     {whole + "x", now, false},
		"stale":    {whole, now.Add(20 * time.Second), true},
		"tomorrow": {whole, now.Add(-20 * time.Second), true},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "state-10"), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, ok := process(dir, 20).ReadPredecessor(c.now); ok {
			t.Errorf("%s: taken up", name)
		}
		if _, err := os.Stat(filepath.Join(dir, "state-10")); (err == nil) != c.kept {
			t.Errorf("%s: kept in place: %t", name, err == nil)
		}
	}
}

// A process follows the last born before it that runs; one that died before its yes is passed over, and follows nobody.
func TestWhoFollowsWhom(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	first, died, third := process(dir, 10), NewStateDir(dir, Process{StartedAt: 20, PID: 1 << 30}, quiet), process(dir, 30)
	r := sample(now)
	r.State.Version = 1
	first.Write(r)
	if first.HasSuccessor() {
		t.Error("followed by nobody")
	}
	r.State.Version = 2
	died.Write(r)
	if first.HasSuccessor() {
		t.Error("followed by one that died")
	}
	if got, ok := third.ReadPredecessor(now); !ok || got.State.Version != 1 {
		t.Errorf("follows %+v", got.Process)
	}
	r.Ready = false
	third.Write(r)
	if first.HasSuccessor() {
		t.Error("followed by one that is not ready")
	}
	r.Ready = true
	third.Write(r)
	if !first.HasSuccessor() || third.HasSuccessor() {
		t.Error("the third follows the first, and none the third")
	}
	third.Remove()
	if first.HasSuccessor() {
		t.Error("followed by one that has left")
	}
}

// Without a folder, or with one that takes nothing, all goes on.
func TestNoFolder(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{"", file} {
		d := process(dir, 10)
		d.Write(sample(time.Now()))
		if _, ok := d.ReadPredecessor(time.Now()); ok || d.HasSuccessor() {
			t.Errorf("%q: a record came of nowhere", dir)
		}
		d.Remove()
	}
}
