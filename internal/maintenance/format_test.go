package maintenance

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/golden"
)

const wantMaxIDBytes = 8192 // length of the longest id that is stored

// quoteID returns an id in quotes, or the beginning and the length of a long id. Files in testdata hold this text and the other
// texts that the tests below print, so these texts stay as they are.
func quoteID(id string) string {
	if len(id) > 80 {
		return fmt.Sprintf("%q (%d bytes)", id[:8], len(id))
	}
	return fmt.Sprintf("%q", id)
}

// wantFileName returns the name that the format prescribes for an id's file.
func wantFileName(id string) string {
	sum := sha256.Sum256([]byte(id))
	return "out-" + hex.EncodeToString(sum[:])
}

// appendDirectory appends the files of a directory with their modes and contents as text.
func appendDirectory(t *testing.T, b *bytes.Buffer, dir string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			t.Fatal(err)
		}
		if e.IsDir() {
			fmt.Fprintf(b, "  folder %s\n", e.Name())
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(b, "  file %s mode %o holds %s\n", e.Name(), info.Mode().Perm(), quoteID(string(text)))
	}
}

var formatIDs = []string{
	"s-1", "../../s-2", "a/b%2F", "ümlaut\n\x00\xff", ".", "", strings.Repeat("x", wantMaxIDBytes),
	strings.Repeat("x", wantMaxIDBytes+1),
}

// After the calls, the directory must hold the same files, byte for byte, as earlier builds wrote.
func TestFormatWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "state")
	p := newTestStore(dir)
	p.AddKnown(formatIDs)
	var b bytes.Buffer
	for _, inMaintenance := range []bool{true, true, false, false} {
		for _, id := range formatIDs {
			err := p.Set(t.Context(), id, inMaintenance)
			fmt.Fprintf(&b, "set %s out=%t: unknown %t, other fault %t\n", quoteID(id), inMaintenance, errors.Is(err, ErrUnknownServer),
				err != nil && !errors.Is(err, ErrUnknownServer))
		}
		appendDirectory(t, &b, dir)
	}
	info, err := os.Stat(dir)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&b, "folder mode %o\n", info.Mode().Perm())
	golden.Check(t, "written.txt", b.Bytes())
}

// Files of earlier builds must be read. All other files in the directory must be ignored and kept.
func TestFormatRead(t *testing.T) {
	var b bytes.Buffer
	for _, c := range []struct{ name, file, text string }{
		{"an id", wantFileName("s-1"), "s-1"},
		{"an id that is a path", wantFileName("../../s-2"), "../../s-2"},
		{"no text in an id", wantFileName("ümlaut\n\x00\xff"), "ümlaut\n\x00\xff"},
		{"an empty id", wantFileName(""), ""},
		{"the longest id", wantFileName(strings.Repeat("x", wantMaxIDBytes)), strings.Repeat("x", wantMaxIDBytes)},
		{"an id that is too long", wantFileName(strings.Repeat("x", wantMaxIDBytes+1)), strings.Repeat("x", wantMaxIDBytes+1)},
		{"the name of another id", wantFileName("s-2"), "s-1"},
		{"a name in upper case", "out-" + strings.ToUpper(strings.TrimPrefix(wantFileName("s-1"), "out-")), "s-1"},
		{"a newline more", wantFileName("s-1"), "s-1\n"},
		{"a short name", "out-00", "s-1"},
		{"a prefix alone", "out-", ""},
		{"another prefix", "in-" + strings.TrimPrefix(wantFileName("s-1"), "out-"), "s-1"},
		{"a record of a process", "state-10", "milletvane-handover"},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, c.file), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Mkdir(filepath.Join(dir, wantFileName("folder")), 0o700); err != nil {
			t.Fatal(err)
		}
		p := newTestStore(dir)
		p.Sync()
		fmt.Fprintf(&b, "== %s\n", c.name)
		for id, inMaintenance := range p.inMaintenance { // one at most
			fmt.Fprintf(&b, "  taken up: %s out=%t\n", quoteID(id), inMaintenance)
		}
		for _, id := range p.Known() {
			fmt.Fprintf(&b, "  known: %s\n", quoteID(id))
		}
		appendDirectory(t, &b, dir)
	}
	golden.Check(t, "read.txt", b.Bytes())
}

// A sync must apply the changes that other processes have made to the directory.
func TestFormatSharedByProcesses(t *testing.T) {
	dir := t.TempDir()
	ids := []string{"s-1", "s-2", "s-3"}
	for _, id := range ids {
		if err := os.WriteFile(filepath.Join(dir, wantFileName(id)), []byte(id), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p := newTestStore(dir)
	state := func() []string {
		list := []string{}
		for id, inMaintenance := range p.inMaintenance {
			list = append(list, fmt.Sprintf("%s %t", id, inMaintenance))
		}
		slices.Sort(list)
		return list
	}
	check := func(step string, want ...string) {
		t.Helper()
		if got := state(); !slices.Equal(got, want) {
			t.Errorf("%s: got %q, want %q", step, got, want)
		}
	}
	p.Sync()
	check("three files", "s-1 true", "s-2 true", "s-3 true")
	if err := os.Remove(filepath.Join(dir, wantFileName("s-2"))); err != nil {
		t.Fatal(err)
	}
	p.Sync()
	check("one removed", "s-1 true", "s-2 false", "s-3 true")
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	p.Sync()
	check("no directory", "s-1 false", "s-2 false", "s-3 false")
	p.set(t, "s-1", true)
	check("in maintenance mode again", "s-1 true", "s-2 false", "s-3 false")
	if text, err := os.ReadFile(filepath.Join(dir, wantFileName("s-1"))); err != nil || string(text) != "s-1" {
		t.Errorf("the file holds %q, %v, want s-1", text, err)
	}
}

// The error texts that operators receive must stay as they are.
func TestFormatOfErrors(t *testing.T) {
	parent := t.TempDir()
	dir := filepath.Join(parent, "state")
	p := newTestStore(dir)
	p.AddKnown([]string{"s-1"})
	p.set(t, "s-1", true)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	neverApplied := New("", discardLogger)
	neverApplied.SetApplyFunc(func(string, bool, func()) {})
	neverApplied.AddKnown([]string{"s-1"})
	for _, c := range []struct {
		err  error
		want string
	}{
		{p.Set(t.Context(), "s-9", true), "no server of this id was ever listed"},
		{neverApplied.Set(cancelled, "s-1", true), "not in force yet, call again"},
		{p.Set(t.Context(), "s-1", false), "maintenance mode not ended: remove DIR/" + wantFileName("s-1") + ": not a directory"},
	} {
		if c.err == nil || strings.ReplaceAll(c.err.Error(), dir, "DIR") != c.want {
			t.Errorf("got the error %v, want %s", c.err, c.want)
		}
	}
	if !p.inMaintenance["s-1"] {
		t.Error("a call that failed ended maintenance mode")
	}
}
