// Package golden compares the output of tests with golden files in their package's testdata directory. Only tests import
// it. With the flag -update a test rewrites its files; commit the changed files together with the code.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// maxReportedLines limits the differing lines that are reported for one file.
const maxReportedLines = 5

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// Check compares got byte for byte with the named file in testdata. It marks the test as failed if they differ, and ends
// the test if the file cannot be read. It must be called from the goroutine that runs the test.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		writeFile(t, path, got)
		return
	}
	want := readFile(t, path)
	if bytes.Equal(got, want) {
		return
	}
	t.Errorf("%s differs", path)
	reportDifferences(t, path, strings.Split(string(got), "\n"), strings.Split(string(want), "\n"))
}

// CheckLines compares lines, each followed by a line break, with the named file in testdata. It reports as Check does.
func CheckLines(t *testing.T, name string, got []string) {
	t.Helper()
	Check(t, name, []byte(strings.Join(got, "\n")+"\n"))
}

// writeFile writes a golden file and creates its directory if necessary.
func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// reportDifferences reports the first maxReportedLines lines that differ, and a difference in the number of lines.
func reportDifferences(t *testing.T, path string, got, want []string) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: got %d lines, want %d", path, len(got), len(want))
	}
	reported := 0
	for i := range min(len(got), len(want)) {
		if got[i] == want[i] {
			continue
		}
		t.Errorf("%s:%d:\n got %q\nwant %q", path, i+1, got[i], want[i])
		if reported++; reported == maxReportedLines {
			return
		}
	}
}
