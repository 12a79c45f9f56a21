package balancer

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// The policy that deploy/balancer.toml names is this package, file by file, and each file is short and narrow
// enough to be read.
func TestPolicyFilesAreNamedShortAndNarrow(t *testing.T) {
	const maxLines = 300
	named := policyFiles(t)
	for _, name := range sourceFiles(t) {
		if !slices.Contains(named, "balancer/"+name) {
			t.Errorf("policy does not name %s", name)
		}
	}
	for _, name := range named {
		if n := len(readLines(t, filepath.Join("..", name))); n > maxLines {
			t.Errorf("%s has %d lines, %d at most", name, n, maxLines)
		}
	}
	checkWidths(t)
}

// policyFiles returns the files that deploy/balancer.toml names as the policy.
func policyFiles(t *testing.T) (names []string) {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy *= *\[(.*?)\]`).FindSubmatch(deploy)
	if line == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(line[1], -1) {
		names = append(names, string(name[1]))
	}
	return names
}

// sourceFiles returns the names of the package's files that are no tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil || len(names) == 0 {
		t.Fatalf("no sources: %v", err)
	}
	return slices.DeleteFunc(names, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// readLines returns the lines of a file. A last line break ends a line and begins none.
func readLines(t *testing.T, name string) []string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// checkWidths holds the lines of all files of the package, tests included, to a width.
func checkWidths(t *testing.T) {
	t.Helper()
	const maxColumns, tabWidth = 110, 4
	names, err := filepath.Glob("*.go")
	if err != nil || len(names) == 0 {
		t.Fatalf("no sources: %v", err)
	}
	for _, name := range names {
		for i, l := range readLines(t, name) {
			l = strings.ReplaceAll(l, "\t", strings.Repeat(" ", tabWidth))
			if n := utf8.RuneCountInString(l); n > maxColumns {
				t.Errorf("%s:%d has %d columns, %d at most", name, i+1, n, maxColumns)
			}
		}
	}
}

// The README shows the example that the tests run.
func TestReadmeShowsTheExample(t *testing.T) {
	readme, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile("example_test.go")
	if err != nil {
		t.Fatal(err)
	}
	_, body, found := strings.Cut(string(source), "func Example() {\n")
	body, _, ends := strings.Cut(body, "\t// Output:")
	if !found || !ends {
		t.Fatal("no example")
	}
	body = strings.ReplaceAll("\n"+body, "\n\t", "\n")
	if !strings.Contains(string(readme), "```go"+body+"```") {
		t.Errorf("README.md does not hold the example:%s", body)
	}
}
