package operator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const sampleCluster = `(cluster (listen "10.0.0.4:7946") (member "n1" "10.0.0.5:7946") (key-file "key") (dir "/var/lib/x")
 (tier "informe-alta") (tier "ajuste-plan" "plan-diario"))`

// writeFile writes a file in a directory and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadCluster(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "key", "0123456789abcdef\n")
	s, err := Load(writeFile(t, dir, "good.edn", sampleCluster), nil)
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{Cluster: &Cluster{
		Listen: "10.0.0.4:7946", Members: map[string]string{"n1": "10.0.0.5:7946"}, KeyFile: "key",
		Key: []byte("0123456789abcdef"),
		Dir: "/var/lib/x", PeerTimeout: 2 * time.Second, Tiers: [][]string{{"informe-alta"}, {"ajuste-plan", "plan-diario"}},
	}}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
	priorities, count := s.Cluster.Priorities()
	wantPriorities := map[string]int{"informe-alta": 2, "ajuste-plan": 1, "plan-diario": 1} // others have 0
	if diff := cmp.Diff(wantPriorities, priorities); count != 3 || diff != "" {
		t.Errorf("Priorities() = %d priorities, want 3; by class (-want +got):\n%s", count, diff)
	}
}

func TestClusterErrors(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "key", "0123456789abcdef\n")
	for name, c := range map[string]struct{ from, to, want string }{
		"listen address":        {`"10.0.0.4:7946"`, `"there"`, "cluster.listen"},
		"member's address":      {`"10.0.0.5:7946"`, `"n1:7946"`, "cluster.member"},
		"missing member":        {`(member "n1" "10.0.0.5:7946")`, ``, "cluster.member"},
		"missing directory":     {`(dir "/var/lib/x")`, ``, "cluster.dir"},
		"missing key file":      {`(key-file "key")`, ``, "cluster.key-file"},
		"absent key file":       {`"key"`, `"absent"`, "cluster.key-file"},
		"too long peer timeout": {`(dir`, `(peers-within "1h") (dir`, "cluster.peers-within"},
		"member given twice":    {`(dir`, `(member "n1" "10.0.0.9:1") (dir`, "given twice"},
		"unknown key":           {`(dir`, `(gossip 3) (dir`, "gossip"},
		"class named twice":     {`"plan-diario"`, `"informe-alta"`, "cluster.tier"},
		"empty tier":            {`(dir`, `(tier) (dir`, "cluster.tier"},
		"floor over 100":        {`(dir`, `(floor-percent 101) (dir`, "cluster.floor-percent"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Load(writeFile(t, dir, "bad.edn", string(change{c.from, c.to}.applyTo(t, sampleCluster))), nil)
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "bad.edn") {
				t.Errorf("Load: %v, want an error in bad.edn that contains %q", err, c.want)
			}
		})
	}
}

func TestShortKeyIsRejected(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "key", "short")
	var keyErr *KeyError
	if _, err := Load(writeFile(t, dir, "good.edn", sampleCluster), nil); !errors.As(err, &keyErr) {
		t.Errorf("Load: %v, want a *KeyError", err)
	}
}
