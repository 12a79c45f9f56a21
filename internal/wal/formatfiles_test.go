package wal_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/wal"
	"example.org/milletvane/internal/wal/faultfs"
)

// formatFiles holds the contents of the files of one directory, by name.
type formatFiles map[string][]byte

func (f formatFiles) names() []string {
	var names []string
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (f formatFiles) clone() formatFiles {
	c := formatFiles{}
	for name, b := range f {
		c[name] = slices.Clone(b)
	}
	return c
}

// newest returns the name of the newest segment.
func (f formatFiles) newest() string {
	var newest string
	for _, name := range f.names() {
		if strings.HasPrefix(name, "journal-") {
			newest = name
		}
	}
	return newest
}

// text returns the names of all files and their contents in hex.
func (f formatFiles) text() string {
	var b strings.Builder
	for _, name := range f.names() {
		fmt.Fprintf(&b, "file %s\n", name)
		for part := range slices.Chunk(f[name], 32) {
			fmt.Fprintf(&b, "  %s\n", hex.EncodeToString(part))
		}
	}
	return b.String()
}

// parseFormatFiles parses what text returned.
func parseFormatFiles(t *testing.T, text string) formatFiles {
	t.Helper()
	f, name := formatFiles{}, ""
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if rest, ok := strings.CutPrefix(line, "file "); ok {
			name = rest
			f[name] = []byte{}
			continue
		}
		b, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		f[name] = append(f[name], b...)
	}
	return f
}

// digests returns a line for each file, with its name, its length in bytes and a digest of its content.
func (f formatFiles) digests() string {
	var b strings.Builder
	for _, name := range f.names() {
		fmt.Fprintf(&b, "%s %d %s\n", name, len(f[name]), shortDigest(f[name]))
	}
	return b.String()
}

func shortDigest(b []byte) string {
	d := sha256.Sum256(b)
	return hex.EncodeToString(d[:8])
}

func readFiles(t *testing.T, fs wal.FS, dir string) formatFiles {
	t.Helper()
	f := formatFiles{}
	names, err := fs.List(dir)
	if err != nil {
		return f
	}
	for _, name := range names {
		if f[name], err = fs.ReadFile(filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func diskWith(t *testing.T, f formatFiles) *faultfs.FS {
	t.Helper()
	d := faultfs.New(1)
	if err := d.MkdirAll(formatDir); err != nil {
		t.Fatal(err)
	}
	for _, name := range f.names() {
		w, err := d.Create(filepath.Join(formatDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Write(f[name]); err != nil {
			t.Fatal(err)
		}
	}
	return d
}
