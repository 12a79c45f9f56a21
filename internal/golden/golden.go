// Package golden compares what tests produce with files in their package's testdata. Tests alone import it. With the flag
// -update a test writes its files anew; the change to them is then part of the commit.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// maxReported bounds the differing lines that are reported for one file.
const maxReported = 5

var update = flag.Bool("update", false, "write the files in testdata anew")

// Check compares got, byte for byte, with the file of that name in testdata.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		write(t, path, got)
		return
	}
	want := read(t, path)
	if bytes.Equal(got, want) {
		return
	}
	t.Errorf("%s differs", path)
	reportLines(t, path, strings.Split(string(got), "\n"), strings.Split(string(want), "\n"))
}

// CheckLines compares lines with those of the file of that name in testdata.
func CheckLines(t *testing.T, name string, got []string) {
	t.Helper()
	Check(t, name, []byte(strings.Join(got, "\n")+"\n"))
}

func write(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// reportLines reports the first lines that differ, and a different number of lines.
func reportLines(t *testing.T, path string, got, want []string) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: %d lines, want %d", path, len(got), len(want))
	}
	reported := 0
	for i := range min(len(got), len(want)) {
		if got[i] == want[i] {
			continue
		}
		t.Errorf("%s:%d:\n got %q\nwant %q", path, i+1, got[i], want[i])
		if reported++; reported == maxReported {
			return
		}
	}
}
