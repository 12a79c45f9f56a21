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

const idLimit = 8192 // bytes of the longest id

// short is an id, or the beginning of one that is too long to print.
func short(id string) string {
	if len(id) > 80 {
		return fmt.Sprintf("%q (%d bytes)", id[:8], len(id))
	}
	return fmt.Sprintf("%q", id)
}

// fileOf is the name of an id's file, as the format states it.
func fileOf(id string) string {
	sum := sha256.Sum256([]byte(id))
	return "out-" + hex.EncodeToString(sum[:])
}

// appendDirectory prints the files of a directory.
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
		fmt.Fprintf(b, "  file %s mode %o holds %s\n", e.Name(), info.Mode().Perm(), short(string(text)))
	}
}

var formatIDs = []string{
	"s-1", "../../s-2", "a/b%2F", "ümlaut\n\x00\xff", ".", "", strings.Repeat("x", idLimit),
	strings.Repeat("x", idLimit+1),
}

// The directory after each call holds, byte for byte, the files that earlier builds wrote.
func TestFormatWritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "state")
	p := newProcess(dir)
	p.AddKnown(formatIDs)
	var b bytes.Buffer
	for _, out := range []bool{true, true, false, false} {
		for _, id := range formatIDs {
			err := p.Set(t.Context(), id, out)
			fmt.Fprintf(&b, "set %s out=%t: unknown %t, other fault %t\n", short(id), out, errors.Is(err, ErrUnknownServer),
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

// Files of earlier builds are taken up, and all else that stands in the directory is passed over and stays.
func TestFormatRead(t *testing.T) {
	var b bytes.Buffer
	for _, c := range []struct{ name, file, text string }{
		{"an id", fileOf("s-1"), "s-1"},
		{"an id that is a path", fileOf("../../s-2"), "../../s-2"},
		{"no text in an id", fileOf("ümlaut\n\x00\xff"), "ümlaut\n\x00\xff"},
		{"an empty id", fileOf(""), ""},
		{"the longest id", fileOf(strings.Repeat("x", idLimit)), strings.Repeat("x", idLimit)},
		{"an id that is too long", fileOf(strings.Repeat("x", idLimit+1)), strings.Repeat("x", idLimit+1)},
		{"the name of another id", fileOf("s-2"), "s-1"},
		{"a name in upper case", "out-" + strings.ToUpper(strings.TrimPrefix(fileOf("s-1"), "out-")), "s-1"},
		{"a newline more", fileOf("s-1"), "s-1\n"},
		{"a short name", "out-00", "s-1"},
		{"a prefix alone", "out-", ""},
		{"another prefix", "in-" + strings.TrimPrefix(fileOf("s-1"), "out-"), "s-1"},
		{"a record of a process", "state-10", "milletvane-handover"},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, c.file), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Mkdir(filepath.Join(dir, fileOf("folder")), 0o700); err != nil {
			t.Fatal(err)
		}
		p := newProcess(dir)
		p.Sync()
		fmt.Fprintf(&b, "== %s\n", c.name)
		for id, out := range p.inMaintenance { // one at most
			fmt.Fprintf(&b, "  taken up: %s out=%t\n", short(id), out)
		}
		for _, id := range p.Known() {
			fmt.Fprintf(&b, "  known: %s\n", short(id))
		}
		appendDirectory(t, &b, dir)
	}
	golden.Check(t, "read.txt", b.Bytes())
}

// What one process does with the directory, another takes up at its next sync, in this order.
func TestFormatSharedByProcesses(t *testing.T) {
	dir := t.TempDir()
	ids := []string{"s-1", "s-2", "s-3"}
	for _, id := range ids {
		if err := os.WriteFile(filepath.Join(dir, fileOf(id)), []byte(id), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p := newProcess(dir)
	state := func() []string {
		list := []string{}
		for id, out := range p.inMaintenance {
			list = append(list, fmt.Sprintf("%s %t", id, out))
		}
		slices.Sort(list)
		return list
	}
	check := func(step string, want ...string) {
		t.Helper()
		if got := state(); !slices.Equal(got, want) {
			t.Errorf("%s: %q, want %q", step, got, want)
		}
	}
	p.Sync()
	check("three files", "s-1 true", "s-2 true", "s-3 true")
	if err := os.Remove(filepath.Join(dir, fileOf("s-2"))); err != nil {
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
	check("out again", "s-1 true", "s-2 false", "s-3 false")
	if text, err := os.ReadFile(filepath.Join(dir, fileOf("s-1"))); err != nil || string(text) != "s-1" {
		t.Errorf("the file holds %q, %v", text, err)
	}
}

// The texts that an operator's call is answered with.
func TestFormatOfErrors(t *testing.T) {
	parent := t.TempDir()
	dir := filepath.Join(parent, "state")
	p := newProcess(dir)
	p.AddKnown([]string{"s-1"})
	p.set(t, "s-1", true)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	slow := New("", discardLogger)
	slow.OnChange(func(string, bool, func()) {})
	slow.AddKnown([]string{"s-1"})
	for _, c := range []struct {
		err  error
		want string
	}{
		{p.Set(t.Context(), "s-9", true), "no server of this id was ever listed"},
		{slow.Set(ended, "s-1", true), "not in force yet, call again"},
		{p.Set(t.Context(), "s-1", false), "the ban's file stays: remove DIR/" + fileOf("s-1") + ": not a directory"},
	} {
		if c.err == nil || strings.ReplaceAll(c.err.Error(), dir, "DIR") != c.want {
			t.Errorf("%v, want %s", c.err, c.want)
		}
	}
	if !p.inMaintenance["s-1"] {
		t.Error("a call that failed changed what is in force")
	}
}
