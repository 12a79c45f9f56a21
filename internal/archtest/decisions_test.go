package archtest

import (
	"go/ast"
	"slices"
	"strings"
	"testing"
)

// decisionPackages maps the packages that must not use I/O or a clock to the packages of this module that they may import.
var decisionPackages = map[string][]string{
	"balancer":                   nil,
	"internal/slotmap":           nil,
	"internal/timerqueue":        nil,
	"internal/discovery/refresh": nil,
	"internal/metrics":           nil,
	"internal/engine":            {"balancer", "internal/slotmap", "internal/timerqueue", "internal/metrics"},
	"internal/lineproto/codec":   nil,
	"internal/nats/codec":        nil,
	"internal/nats/session":      {"internal/nats/codec"},
	"placement":                  nil,
	"internal/simulation":        {"internal/timerqueue", "balancer"},
	"internal/cluster/recovery":  nil,
	"internal/cluster/loadshed":  nil,
	"internal/planapply":         {"config/operator", "internal/engine", "placement", "balancer"},
}

// forbiddenImports lists packages that reach outside the process, that support goroutines which would, or whose random
// numbers are not reproducible.
var forbiddenImports = []string{
	"net", "net/http", "os", "os/exec", "os/signal", "syscall", "io/fs", "io/ioutil", "golang.org/x/sys/unix",
	"runtime", "context", "sync", "math/rand", "crypto/rand",
}

// clockFunctions lists the functions of package time that read the clock or wait.
var clockFunctions = []string{
	"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick",
}

// Guards against decision packages that do I/O, start goroutines, read the clock or import packages that are not allowed.
func TestDecisionPackagesHaveNoIOAndNoClock(t *testing.T) {
	for packagePath, allowed := range decisionPackages {
		t.Run(packagePath, func(t *testing.T) {
			for _, file := range packageSources(t, packagePath) {
				checkImports(t, file, allowed)
				checkGoroutinesAndClock(t, file)
			}
		})
	}
}

// checkImports reports the imports of a file that are forbidden or belong to this module and are not allowed.
func checkImports(t *testing.T, file sourceFile, allowed []string) {
	t.Helper()
	for _, spec := range file.syntax.Imports {
		path := importPath(t, spec)
		own, isOwn := strings.CutPrefix(path, modulePrefix)
		if slices.Contains(forbiddenImports, path) || isOwn && !slices.Contains(allowed, own) {
			t.Errorf("%s imports %s, which a decision package must not import", file.positions.Position(spec.Pos()), path)
		}
	}
}

// checkGoroutinesAndClock reports the statements of a file that start a goroutine and the uses of clockFunctions.
func checkGoroutinesAndClock(t *testing.T, file sourceFile) {
	t.Helper()
	ast.Inspect(file.syntax, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", file.positions.Position(node.Pos()))
		case *ast.SelectorExpr:
			name, ok := node.X.(*ast.Ident)
			if ok && name.Name == "time" && slices.Contains(clockFunctions, node.Sel.Name) {
				t.Errorf("%s reads the clock: time.%s", file.positions.Position(node.Pos()), node.Sel.Name)
			}
		}
		return true
	})
}
