// Package purity holds the rule that what decides does no I/O and reads no clock, and that packages depend downwards.
package purity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "example.org/milletvane/"

// pure are the packages that decide, with what they may import of this module.
var pure = map[string][]string{
	"balancer":                   nil,
	"internal/slotmap":           nil,
	"internal/timerqueue":        nil,
	"internal/discovery/refresh": nil,
	"internal/metrics":           nil,
	"internal/engine":            {"balancer", "internal/slotmap", "internal/timerqueue", "internal/metrics"},
	"internal/line/codec":        nil,
	"internal/nats/codec":        nil,
	"internal/nats/session":      {"internal/nats/codec"},
	"placement":                  nil,
	"internal/model":             {"internal/timerqueue", "balancer"},
	"internal/cluster/recovery":  nil,
	"internal/cluster/loadshed":  nil,
	"internal/follow":            {"config/operator", "internal/engine", "placement", "balancer"},
}

// outside are packages that reach outside the program, or whose goroutines would.
var outside = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "io/fs", "io/ioutil", "golang.org/x/sys/unix",
	"runtime", "context", "sync", "math/rand", "crypto/rand"}

// clocks are what package time has beyond durations.
var clocks = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}

// sources parses a package without its tests.
func sources(t *testing.T, dir string) (files []*ast.File, set *token.FileSet) {
	names, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*.go"))
	if err != nil || len(names) == 0 {
		t.Fatalf("%s: no files, %v", dir, err)
	}
	set = token.NewFileSet()
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(set, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	return files, set
}

func TestWhatDecidesIsPure(t *testing.T) {
	for dir, allowed := range pure {
		files, set := sources(t, dir)
		for _, f := range files {
			for _, i := range f.Imports {
				p, _ := strconv.Unquote(i.Path.Value)
				own, ours := strings.CutPrefix(p, module)
				if slices.Contains(outside, p) || ours && !slices.Contains(allowed, own) {
					t.Errorf("%s imports %s", set.Position(i.Pos()), p)
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					t.Errorf("%s starts a goroutine", set.Position(n.Pos()))
				case *ast.SelectorExpr:
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(clocks, n.Sel.Name) {
						t.Errorf("%s reads the clock: time.%s", set.Position(n.Pos()), n.Sel.Name)
					}
				}
				return true
			})
		}
	}
}

// Fronts and backends of one protocol know nothing of another's, and the programs' tools are imported by no balancer.
func TestArrowsPointDownwards(t *testing.T) {
	layer := func(p string) int {
		switch {
		case strings.HasPrefix(p, "cmd/"):
			return 9
		case p == "internal/command", p == "internal/lab":
			return 8
		case p == "gateway":
			return 7
		case p == "internal/admin":
			return 1
		case p == "internal/standin":
			return 6
		case strings.HasSuffix(p, "/front"):
			return 5
		case strings.HasSuffix(p, "/backend"):
			return 4
		case p == "config", p == "internal/follow", p == "internal/cluster":
			return 3
		case p == "config/operator", p == "internal/hotrestart", p == "internal/discovery", p == "internal/eventloop", p == "internal/wire":
			return 2
		case p == "internal/model", p == "internal/engine", p == "internal/nats/session", p == "internal/settings":
			return 1
		}
		return 0
	}
	root := filepath.Join("..", "..")
	filepath.WalkDir(root, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		rel, _ := filepath.Rel(root, filepath.Dir(name))
		from := filepath.ToSlash(rel)
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			p, _ := strconv.Unquote(i.Path.Value)
			to, ours := strings.CutPrefix(p, module)
			if !ours {
				continue
			}
			if layer(to) >= layer(from) && layer(from) > 0 {
				t.Errorf("%s imports %s, which is not below it", from, to)
			}
			a, b := protocol(from), protocol(to)
			if a != "" && b != "" && a != b {
				t.Errorf("%s imports %s: protocols stand side by side", from, to)
			}
		}
		return nil
	})
}

func protocol(p string) string {
	if dir := path.Dir(p); dir == "internal/line" || dir == "internal/nats" {
		return dir
	}
	return ""
}
