package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"example.org/milletvane/internal/fakeserver"
)

// Names of the files with cluster keys. No other instance accepts messages of an instance that has the isolated key.
const (
	sharedKeyFile   = "key"
	isolatedKeyFile = "other"
)

func writeClusterKeys(dir string) error {
	keys := map[string]string{sharedKeyFile: "0123456789abcdef", isolatedKeyFile: "fedcba9876543210"}
	for file, key := range keys {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(key), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func instanceName(index int) string { return fmt.Sprintf("g%d", index) }

// writeConfig writes the configuration file of an instance and returns the environment variable that names the file.
func (f *fleet) writeConfig(p *fleetProcess) (env string, err error) {
	settings := strings.NewReplacer(
		`"cold_ns":11000000000`, fmt.Sprintf(`"cold_ns":%d`, fleetWarmupDuration),
		`"discovery":"ask"`, fmt.Sprintf(`"discovery":"ask","replicas_of_me":%d`, f.instances),
		`"classes":[`, `"classes":[{"name":"high","effect":"idempotent","give_up_ns":5000000000,"slo_ns":1000000000},
		 {"name":"mid","effect":"idempotent","give_up_ns":5000000000,"slo_ns":1000000000},`,
	).Replace(lineSettings)
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"known":%s,"settings":%s}`,
		p.name, p.listen, f.catalogAddr, endpointListJSON(f.version, f.endpoints), settings)
	file := filepath.Join(f.root, p.name+".json")
	return "PROXY_CONFIG=" + file, os.WriteFile(file, []byte(text), 0o600)
}

// endpointListJSON returns the endpoint list as JSON, as it stands in the configuration.
func endpointListJSON(version int64, endpoints []fakeserver.Endpoint) string {
	entries := make([]string, len(endpoints))
	for i, e := range endpoints {
		entries[i] = fmt.Sprintf(`{"id":%q,"addr":%q,"state":%q,"weight":1}`, e.ID, e.Addr, e.State)
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
}

// writeClusterFile writes the operator file with which an instance joins the cluster, and returns the environment variable
// that names the file.
func (f *fleet) writeClusterFile(p *fleetProcess, index int, peerAddrs []string) (env string, err error) {
	key := sharedKeyFile
	if f.isolateFirst && index == 0 {
		key = isolatedKeyFile
	}
	var b strings.Builder
	fmt.Fprintf(&b, "(cluster (listen %q) (key-file %q) (dir %q) (peers-within \"1500ms\")\n", peerAddrs[index], key, p.dir)
	for i, addr := range peerAddrs {
		if i != index {
			fmt.Fprintf(&b, "  (member %q %q)\n", instanceName(i), addr)
		}
	}
	b.WriteString(f.tiers + ")\n")
	file := filepath.Join(f.root, p.name+".edn")
	return "MILLETVANE_OPERATOR=" + file, os.WriteFile(file, []byte(b.String()), 0o600)
}
