package purity

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// named finds what a site file calls its own: itself, and all classes, tenants, kinds of servers and zones.
var (
	named = regexp.MustCompile(`(?m)^(?:name|zones) = (.+)$`)
	word  = regexp.MustCompile(`"([^"]+)"`)
)

// No name of one customer stands in the program: what its settings call things is known from there alone. The site files are
// our own; the words of the platform, as the kinds of trouble, are no customer's.
func TestNoCustomersNameStandsInTheProgram(t *testing.T) {
	root := filepath.Join("..", "..")
	sites, err := filepath.Glob(filepath.Join(root, "deploy", "sites", "*.toml"))
	if err != nil || len(sites) < 2 {
		t.Fatalf("%d site files, %v", len(sites), err)
	}
	names := map[string]bool{}
	for _, site := range sites {
		text, err := os.ReadFile(site)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range named.FindAllStringSubmatch(string(text), -1) {
			for _, w := range word.FindAllStringSubmatch(line[1], -1) {
				names[w[1]] = true
			}
		}
	}
	for _, platform := range []string{"neighbour", "pauses", "deploy"} {
		delete(names, platform)
	}
	if len(names) < 15 {
		t.Fatalf("only %v are known", names)
	}
	for _, text := range programText(t, root) {
		for name := range names {
			if strings.Contains(text.body, `"`+name+`"`) {
				t.Errorf("%s names %q", text.path, name)
			}
		}
	}
}

type source struct{ path, body string }

// programText is all Go code that is no test.
func programText(t *testing.T, root string) (all []source) {
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all = append(all, source{path, string(text)})
		return err
	})
	if err != nil || len(all) < 50 {
		t.Fatalf("%d files, %v", len(all), err)
	}
	return all
}
