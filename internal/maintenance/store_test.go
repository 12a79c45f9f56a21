package maintenance

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

var discardLogger = slog.New(slog.DiscardHandler)

// process is one process's store, whose engine takes every change up at once.
type process struct {
	*Store
	inMaintenance map[string]bool // as the engine was last notified
}

func newProcess(dir string) *process {
	p := &process{Store: New(dir, discardLogger), inMaintenance: map[string]bool{}}
	p.OnChange(func(id string, inMaintenance bool, done func()) {
		p.inMaintenance[id] = inMaintenance
		if done != nil {
			done()
		}
	})
	return p
}

// set makes an operator's call that must succeed.
func (p *process) set(t *testing.T, id string, inMaintenance bool) {
	t.Helper()
	if err := p.Set(t.Context(), id, inMaintenance); err != nil {
		t.Fatalf("Set(%.20q, %t): %v", id, inMaintenance, err)
	}
}

// check compares what the process's engine knows of a server.
func (p *process) check(t *testing.T, step, id string, want bool) {
	t.Helper()
	if got := p.inMaintenance[id]; got != want {
		t.Errorf("%s: %.20q is in maintenance mode: %t, want %t", step, id, got, want)
	}
}

// Two processes of one gateway see each other's calls, in whatever order and however often they come.
func TestProcessesShareMaintenanceMode(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	a, b := newProcess(dir), newProcess(dir)
	ids := []string{"s-1", "../../s-2", "a/b%2F", strings.Repeat("x", 4000), "."}
	a.AddKnown(ids)
	b.AddKnown(ids)
	for _, id := range ids {
		a.set(t, id, true)
		a.set(t, id, true)
		b.Sync()
		b.check(t, "after the other process's call", id, true)
		b.set(t, id, false)
		b.set(t, id, false)
		a.Sync()
		a.check(t, "after the other process ended it", id, false)

		// Begun and ended before the other process syncs: as if nothing had been.
		b.set(t, id, true)
		a.set(t, id, false)
		b.Sync()
		a.Sync()
		a.check(t, "after the last call ended it", id, false)
		b.check(t, "after the last call ended it", id, false)
	}
	for where, want := range map[string]int{dir: 0, filepath.Dir(dir): 1} {
		entries, err := os.ReadDir(where)
		if err != nil {
			t.Fatal(err)
		}
		if len(entries) != want {
			t.Errorf("%s holds %v, want %d entries", where, entries, want)
		}
	}
}

// A process that follows one that was killed knows its servers in maintenance mode before any list.
func TestMaintenanceModeOutlivesTheProcess(t *testing.T) {
	dir := t.TempDir()
	a := newProcess(dir)
	a.AddKnown([]string{"s-1"})
	a.set(t, "s-1", true)
	b := newProcess(dir)
	b.Sync()
	b.check(t, "at the process that follows", "s-1", true)
	b.set(t, "s-1", false) // known by its file
	if err := b.Set(t.Context(), "s-2", true); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("Set of an id that was never listed: %v", err)
	}
}

// A directory that takes no files must not keep operators from maintenance mode; it is written once that is possible.
func TestDirectoryThatTakesNoFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a := newProcess(dir)
	a.AddKnown([]string{"s-1"})
	a.set(t, "s-1", true)
	a.Sync()
	a.check(t, "while the directory takes no files", "s-1", true)
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	a.Sync()
	a.check(t, "once the directory takes files", "s-1", true)
	b := newProcess(dir)
	b.Sync()
	b.check(t, "at the other process", "s-1", true)
}

func TestForeignFilesAreIgnored(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"out-00": "s-1", filePrefix + strings.Repeat("0", 64): "s-1", "new-1": "s-1"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	a := newProcess(dir)
	if a.Sync(); len(a.inMaintenance) > 0 {
		t.Errorf("took up %v", a.inMaintenance)
	}
}

func TestKnownServersAreBounded(t *testing.T) {
	a := newProcess("")
	for i := range maxKnown + 10 {
		a.AddKnown([]string{strconv.Itoa(i)})
	}
	known := a.Known()
	if len(known) != maxKnown || slices.Contains(known, "9") || !slices.Contains(known, "10") {
		t.Errorf("%d known", len(known))
	}
	for i := range 1000 {
		a.AddKnown([]string{strconv.Itoa(i) + " " + strings.Repeat("x", 4000)})
	}
	size := 0
	for _, id := range a.Known() {
		size += len(id)
	}
	if size > maxKnownBytes || size < maxKnownBytes/2 {
		t.Errorf("%d bytes of ids are remembered", size)
	}
}

// An engine that does not take the change up in time makes no call succeed.
func TestSetFailsBeforeTheEngineApplies(t *testing.T) {
	s := New("", discardLogger)
	s.OnChange(func(string, bool, func()) {})
	s.AddKnown([]string{"s-1"})
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := s.Set(ctx, "s-1", true); !errors.Is(err, ErrNotApplied) {
		t.Errorf("Set: %v, want %v", err, ErrNotApplied)
	}
}

// Run takes up other processes' calls until its context is done.
func TestRunSyncs(t *testing.T) {
	dir := t.TempDir()
	a := newProcess(dir)
	a.AddKnown([]string{"s-1"})
	a.set(t, "s-1", true)
	s := New(dir, discardLogger)
	ctx, cancel := context.WithCancel(t.Context())
	s.OnChange(func(id string, inMaintenance bool, _ func()) {
		if id != "s-1" || !inMaintenance {
			t.Errorf("changed %q to %t", id, inMaintenance)
		}
		cancel()
	})
	s.Run(ctx) // returns once the change has come
}
