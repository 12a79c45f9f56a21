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

// testStore is the Store of one process, whose engine applies every change at once.
type testStore struct {
	*Store
	inMaintenance map[string]bool // the state of which the engine was last notified, by id
}

func newTestStore(dir string) *testStore {
	p := &testStore{Store: New(dir, discardLogger), inMaintenance: map[string]bool{}}
	p.SetApplyFunc(func(id string, inMaintenance bool, done func()) {
		p.inMaintenance[id] = inMaintenance
		if done != nil {
			done()
		}
	})
	return p
}

// set makes a call of Set that must succeed.
func (p *testStore) set(t *testing.T, id string, inMaintenance bool) {
	t.Helper()
	if err := p.Set(t.Context(), id, inMaintenance); err != nil {
		t.Fatalf("Set(%.20q, %t): %v", id, inMaintenance, err)
	}
}

// check compares the state that the process's engine knows for a server.
func (p *testStore) check(t *testing.T, step, id string, want bool) {
	t.Helper()
	if got := p.inMaintenance[id]; got != want {
		t.Errorf("%s: maintenance mode of %.20q is %t, want %t", step, id, got, want)
	}
}

// Two processes of one gateway must apply each other's changes, in any order and also if calls are repeated.
func TestProcessesShareMaintenanceMode(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	a, b := newTestStore(dir), newTestStore(dir)
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

		// Maintenance mode that is enabled and disabled before the other process syncs must have no effect there.
		b.set(t, id, true)
		a.set(t, id, false)
		b.Sync()
		a.Sync()
		a.check(t, "after the last call ended it", id, false)
		b.check(t, "after the last call ended it", id, false)
	}
	for path, want := range map[string]int{dir: 0, filepath.Dir(dir): 1} {
		entries, err := os.ReadDir(path)
		if err != nil {
			t.Fatal(err)
		}
		if len(entries) != want {
			t.Errorf("%s holds %v, want %d entries", path, entries, want)
		}
	}
}

// A process that is started after another one was killed must know the servers in maintenance mode before it has an endpoint
// list.
func TestMaintenanceModeOutlivesTheProcess(t *testing.T) {
	dir := t.TempDir()
	a := newTestStore(dir)
	a.AddKnown([]string{"s-1"})
	a.set(t, "s-1", true)
	b := newTestStore(dir)
	b.Sync()
	b.check(t, "at the later process", "s-1", true)
	b.set(t, "s-1", false) // the id is known from its file
	if err := b.Set(t.Context(), "s-2", true); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("Set of an id that was never listed: got the error %v, want ErrUnknownServer", err)
	}
}

// Operators must be able to enable maintenance mode although the directory cannot be written. The files must be written once
// that is possible.
func TestDirectoryThatCannotBeWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a := newTestStore(dir)
	a.AddKnown([]string{"s-1"})
	a.set(t, "s-1", true)
	a.Sync()
	a.check(t, "while the directory cannot be written", "s-1", true)
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	a.Sync()
	a.check(t, "once the directory can be written", "s-1", true)
	b := newTestStore(dir)
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
	a := newTestStore(dir)
	if a.Sync(); len(a.inMaintenance) > 0 {
		t.Errorf("got %v from foreign files, want nothing", a.inMaintenance)
	}
}

func TestKnownServersAreBounded(t *testing.T) {
	a := newTestStore("")
	for i := range maxKnownIDs + 10 {
		a.AddKnown([]string{strconv.Itoa(i)})
	}
	known := a.Known()
	if len(known) != maxKnownIDs || slices.Contains(known, "9") || !slices.Contains(known, "10") {
		t.Errorf("%d ids are remembered, want the latest maxKnownIDs", len(known))
	}
	for i := range 1000 {
		a.AddKnown([]string{strconv.Itoa(i) + " " + strings.Repeat("x", 4000)})
	}
	size := 0
	for _, id := range a.Known() {
		size += len(id)
	}
	if size > maxKnownBytes || size < maxKnownBytes/2 {
		t.Errorf("%d bytes of ids are remembered, want between half of maxKnownBytes and maxKnownBytes", size)
	}
}

// Set must fail with ErrNotApplied if the engine has not applied the change before the context is done.
func TestSetFailsBeforeTheEngineApplies(t *testing.T) {
	s := New("", discardLogger)
	s.SetApplyFunc(func(string, bool, func()) {})
	s.AddKnown([]string{"s-1"})
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := s.Set(ctx, "s-1", true); !errors.Is(err, ErrNotApplied) {
		t.Errorf("Set: got the error %v, want %v", err, ErrNotApplied)
	}
}

// Run must apply the changes of other processes until its context is done.
func TestRunSyncs(t *testing.T) {
	dir := t.TempDir()
	a := newTestStore(dir)
	a.AddKnown([]string{"s-1"})
	a.set(t, "s-1", true)
	s := New(dir, discardLogger)
	ctx, cancel := context.WithCancel(t.Context())
	s.SetApplyFunc(func(id string, inMaintenance bool, _ func()) {
		if id != "s-1" || !inMaintenance {
			t.Errorf("got the change of %q to %t, want s-1 to true", id, inMaintenance)
		}
		cancel()
	})
	s.Run(ctx) // returns once the function that SetApplyFunc set has been called
}
