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

// deploy/balancer.toml lists every source file of this package as policy. Each of these files has at most 300
// lines, and no file of the package has a line of more than 110 columns.
func TestPolicyFilesAreListedAndWithinLimits(t *testing.T) {
	const maxLines = 300
	named := policyFiles(t)
	for _, name := range sourceFiles(t) {
		if !slices.Contains(named, "balancer/"+name) {
			t.Errorf("policy in deploy/balancer.toml does not list %s", name)
		}
	}
	for _, name := range named {
		if n := len(readLines(t, filepath.Join("..", name))); n > maxLines {
			t.Errorf("%s has %d lines, want at most %d", name, n, maxLines)
		}
	}
	checkWidths(t)
}

// policyFiles returns the files that deploy/balancer.toml lists as policy.
func policyFiles(t *testing.T) (names []string) {
	t.Helper()
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy *= *\[(.*?)\]`).FindSubmatch(deploy)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no list of policy files")
	}
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(line[1], -1) {
		names = append(names, string(name[1]))
	}
	return names
}

// sourceFiles returns the names of the package's Go files that are not tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil || len(names) == 0 {
		t.Fatalf("no sources: %v", err)
	}
	return slices.DeleteFunc(names, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// readLines returns the lines of a file. A line break at the end of the file does not start another line.
func readLines(t *testing.T, name string) []string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// checkWidths checks that all lines of the package, tests included, have at most 110 columns. A tab counts as
// 4.
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
				t.Errorf("%s:%d has %d columns, want at most %d", name, i+1, n, maxColumns)
			}
		}
	}
}

// The README contains the code of the example that the tests run.
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
		t.Fatal("found no Example function with an output comment in example_test.go")
	}
	body = strings.ReplaceAll("\n"+body, "\n\t", "\n")
	if !strings.Contains(string(readme), "```go"+body+"```") {
		t.Errorf("README.md does not contain the example:%s", body)
	}
}
