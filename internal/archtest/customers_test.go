package archtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The minimums guard against a search that finds no names, which would let the check pass.
const (
	minSiteFiles     = 2
	minCustomerNames = 15
)

var (
	// nameLine matches the lines of a site file that hold the customer's names: those of the site, and of its classes,
	// tenants, kinds of servers and zones.
	nameLine      = regexp.MustCompile(`(?m)^(?:name|zones) = (.+)$`)
	quotedWord    = regexp.MustCompile(`"([^"]+)"`)
	platformNames = []string{"neighbour", "pauses", "deploy"} // kinds of faults, which all sites share
)

// Guards against sources that contain the names of a customer, which belong only in the customer's settings. The names are
// those of the example site files in the repository.
func TestSourcesContainNoCustomerNames(t *testing.T) {
	names := customerNames(t)
	if len(names) < minCustomerNames {
		t.Fatalf("found only the names %v, want at least %d", names, minCustomerNames)
	}
	for _, file := range moduleSources(t) {
		text, err := os.ReadFile(filepath.Join(repositoryRoot, filepath.FromSlash(file.path)))
		if err != nil {
			t.Fatal(err)
		}
		for name := range names {
			if strings.Contains(string(text), `"`+name+`"`) {
				t.Errorf("%s contains the customer's name %q", file.path, name)
			}
		}
	}
}

// customerNames returns the set of names in the site files, without those that all sites share.
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
	for _, name := range platformNames {
		delete(names, name)
	}
	return names
}
