package archtest

import (
	"go/ast"
	"slices"
	"strings"
	"testing"
)

// decisionPackages are the packages that decide without I/O or clock, with what they may import of this module.
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
	"internal/model":             {"internal/timerqueue", "balancer"},
	"internal/cluster/recovery":  nil,
	"internal/cluster/loadshed":  nil,
	"internal/planapply":         {"config/operator", "internal/engine", "placement", "balancer"},
}

// forbiddenImports are packages that reach outside the program, or whose goroutines would.
var forbiddenImports = []string{
	"net", "net/http", "os", "os/exec", "os/signal", "syscall", "io/fs", "io/ioutil", "golang.org/x/sys/unix",
	"runtime", "context", "sync", "math/rand", "crypto/rand",
}

// clockFunctions are what package time has beyond durations.
var clockFunctions = []string{
	"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick",
}

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

func checkImports(t *testing.T, file sourceFile, allowed []string) {
	t.Helper()
	for _, spec := range file.syntax.Imports {
		path := importPath(t, spec)
		own, isOwn := strings.CutPrefix(path, modulePrefix)
		if slices.Contains(forbiddenImports, path) || isOwn && !slices.Contains(allowed, own) {
			t.Errorf("%s imports %s", file.positions.Position(spec.Pos()), path)
		}
	}
}

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
