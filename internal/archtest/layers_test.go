package archtest

import (
	"path"
	"strings"
	"testing"
)

// layer returns the layer of a package. A package of a layer above 0 must import only packages of lower layers.
func layer(packagePath string) int {
	switch {
	case strings.HasPrefix(packagePath, "cmd/"):
		return 9
	case packagePath == "internal/cli", packagePath == "internal/experiment":
		return 8
	case packagePath == "gateway":
		return 7
	case packagePath == "internal/fakeserver":
		return 6
	case strings.HasSuffix(packagePath, "/frontend"):
		return 5
	case strings.HasSuffix(packagePath, "/backend"):
		return 4
	}
	switch packagePath {
	case "config", "internal/planapply", "internal/cluster":
		return 3
	case "config/operator", "internal/hotrestart", "internal/discovery", "internal/eventloop", "internal/simproto":
		return 2
	case "internal/admin", "internal/simulation", "internal/engine", "internal/nats/session", "internal/settings":
		return 1
	}
	return 0
}

// Guards against imports of packages of the same layer or of a higher one.
func TestImportsPointToLowerLayers(t *testing.T) {
	for from, imported := range packageImports(t) {
		for _, to := range imported {
			if layer(from) > 0 && layer(to) >= layer(from) {
				t.Errorf("%s imports %s, which is not in a lower layer", from, to)
			}
		}
	}
}

// Guards against imports between the packages of different client protocols.
func TestProtocolsAreIndependentOfEachOther(t *testing.T) {
	for from, imported := range packageImports(t) {
		for _, to := range imported {
			fromProtocol, toProtocol := protocol(from), protocol(to)
			if fromProtocol != "" && toProtocol != "" && fromProtocol != toProtocol {
				t.Errorf("%s imports %s, which belongs to another protocol", from, to)
			}
		}
	}
}

// protocol returns the directory of the client protocol that a package belongs to, or "" if it belongs to none.
func protocol(packagePath string) string {
	directory := path.Dir(packagePath)
	if directory == "internal/lineproto" || directory == "internal/nats" {
		return directory
	}
	return ""
}
