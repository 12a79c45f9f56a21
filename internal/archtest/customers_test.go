package archtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	minSiteFiles     = 2
	minCustomerNames = 15
)

var (
	// nameLine matches the lines of a site file that hold its own names: its own, and those of classes, tenants, kinds of
	// servers and zones.
	nameLine    = regexp.MustCompile(`(?m)^(?:name|zones) = (.+)$`)
	quotedWord  = regexp.MustCompile(`"([^"]+)"`)
	platformOwn = []string{"neighbour", "pauses", "deploy"} // kinds of faults, which all sites share
)

// Names of one customer are known from its settings alone. The site files are our own examples.
func TestProgramNamesNoCustomer(t *testing.T) {
	names := customerNames(t)
	if len(names) < minCustomerNames {
		t.Fatalf("found the names %v only, want at least %d", names, minCustomerNames)
	}
	for _, file := range moduleSources(t) {
		text, err := os.ReadFile(filepath.Join(repositoryRoot, filepath.FromSlash(file.path)))
		if err != nil {
			t.Fatal(err)
		}
		for name := range names {
			if strings.Contains(string(text), `"`+name+`"`) {
				t.Errorf("%s names %q", file.path, name)
			}
		}
	}
}

func customerNames(t *testing.T) map[string]bool {
	t.Helper()
	sites, err := filepath.Glob(filepath.Join(repositoryRoot, "deploy", "sites", "*.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if len(sites) < minSiteFiles {
		t.Fatalf("found %d site files, want at least %d", len(sites), minSiteFiles)
	}
	names := map[string]bool{}
	for _, site := range sites {
		text, err := os.ReadFile(site)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range nameLine.FindAllStringSubmatch(string(text), -1) {
			for _, word := range quotedWord.FindAllStringSubmatch(line[1], -1) {
				names[word[1]] = true
			}
		}
	}
	for _, name := range platformOwn {
		delete(names, name)
	}
	return names
}
