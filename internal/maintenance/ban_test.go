package maintenance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// process is one process's store, whose engine takes everything at once.
type process struct {
	*Store
	out map[string]bool
}

func newProcess(dir string) *process {
	p := &process{Store: New(dir, slog.New(slog.DiscardHandler)), out: map[string]bool{}}
	p.OnChange(func(id string, out bool, done func()) {
		p.out[id] = out
		if done != nil {
			done()
		}
	})
	return p
}

func (p *process) call(t *testing.T, id string, out bool) {
	t.Helper()
	if err := p.Set(context.Background(), id, out); err != nil {
		t.Fatalf("%.20q out %t: %v", id, out, err)
	}
}

// Two processes of one gateway see each other's calls, in whatever order and however often they come.
func TestProcessesShareBans(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	a, b := newProcess(dir), newProcess(dir)
	ids := []string{"s-1", "../../s-2", "a/b%2F", strings.Repeat("x", 4000), "."}
	a.AddKnown(ids)
	b.AddKnown(ids)
	for _, id := range ids {
		a.call(t, id, true)
		a.call(t, id, true)
		b.Sync()
		if !b.out[id] {
			t.Errorf("%.20q is not out at the other process", id)
		}
		b.call(t, id, false)
		b.call(t, id, false)
		a.Sync()
		if a.out[id] {
			t.Errorf("%.20q is not back at the other process", id)
		}
		// Out and back before the other looks: as if nothing had been.
		b.call(t, id, true)
		a.call(t, id, false)
		b.Sync()
		a.Sync()
		if a.out[id] || b.out[id] {
			t.Errorf("%.20q is out after the last call put it back", id)
		}
	}
	for _, where := range []string{dir, filepath.Dir(dir)} {
		if left, _ := os.ReadDir(where); where == dir && len(left) > 0 || len(left) > 1 {
			t.Errorf("%s holds %v", where, left)
		}
	}
}

// A process that follows one that was killed knows its bans before it was told of any server.
func TestBansOutliveTheProcess(t *testing.T) {
	dir := t.TempDir()
	a := newProcess(dir)
	a.AddKnown([]string{"s-1"})
	a.call(t, "s-1", true)
	b := newProcess(dir)
	b.Sync()
	if !b.out["s-1"] {
		t.Fatal("the ban is gone")
	}
	b.call(t, "s-1", false) // known by its ban
	if err := b.Set(context.Background(), "s-2", true); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("an id that was never listed: %v", err)
	}
}

// A folder that takes no files must not keep staff from taking a server out; the ban is stored once it can be.
func TestFolderThatTakesNothing(t *testing.T) {
	parent := t.TempDir()
	dir := filepath.Join(parent, "state")
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a := newProcess(dir)
	a.AddKnown([]string{"s-1"})
	a.call(t, "s-1", true)
	for range 2 {
		if a.Sync(); !a.out["s-1"] {
			t.Fatal("the ban was given up")
		}
		os.Remove(dir)
	}
	b := newProcess(dir)
	if b.Sync(); !b.out["s-1"] {
		t.Error("the ban was not stored when it could be")
	}
}

func TestForeignFilesAreNoBans(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"out-00": "s-1", prefix + strings.Repeat("0", 64): "s-1", "new-1": "s-1"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	a := newProcess(dir)
	if a.Sync(); len(a.out) > 0 {
		t.Errorf("took %v for bans", a.out)
	}
}

func TestKnownIdsAreBounded(t *testing.T) {
	a := newProcess("")
	for i := range knownMost + 10 {
		a.AddKnown([]string{fmt.Sprint(i)})
	}
	known := a.Known()
	if len(known) != knownMost || slices.Contains(known, "9") || !slices.Contains(known, "10") {
		t.Errorf("%d known", len(known))
	}
	for i := range 1000 {
		a.AddKnown([]string{fmt.Sprint(i, strings.Repeat("x", 4000))})
	}
	size := 0
	for _, id := range a.Known() {
		size += len(id)
	}
	if size > knownSize || size < knownSize/2 {
		t.Errorf("%d bytes of ids are remembered", size)
	}
}

// An engine that does not take the call up in time gets no yes.
func TestNoYesBeforeTheEngine(t *testing.T) {
	s := New("", slog.New(slog.DiscardHandler))
	s.OnChange(func(string, bool, func()) {})
	s.AddKnown([]string{"s-1"})
	ctx, end := context.WithTimeout(context.Background(), time.Millisecond)
	defer end()
	if err := s.Set(ctx, "s-1", true); !errors.Is(err, ErrNotApplied) {
		t.Errorf("answered %v", err)
	}
}
