package balancer

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// The decision module is what deploy/balancer.toml lists. It stays short and narrow enough to be read.
func TestModuleIsShortAndNarrow(t *testing.T) {
	const maxLines, maxColumns, tabWidth = 980, 110, 4
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy *= *\[(.*?)\]`).FindSubmatch(deploy)
	if line == nil {
		t.Fatal("deploy/balancer.toml names no policy files")
	}
	files := regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(line[1], -1)
	if len(files) != 2 {
		t.Fatalf("policy names %d files, not the rules and the table", len(files))
	}
	lines := 0
	for _, f := range files {
		text, err := os.ReadFile(filepath.Join("..", string(f[1])))
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
		}
	}
	if lines > maxLines {
		t.Errorf("the module has %d lines, %d at most", lines, maxLines)
	}
	sources, err := filepath.Glob("*.go")
	if err != nil || len(sources) == 0 {
		t.Fatal("no sources", err)
	}
	for _, name := range sources {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
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
