package archtest

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	minDiagramPackages = 30
	minPageReferences  = 60
)

var (
	diagramBlock = regexp.MustCompile("(?s)```mermaid\n(.*?)```")
	diagramLayer = regexp.MustCompile(`^\s*subgraph (\w+)`)
	diagramNode  = regexp.MustCompile(`^\s*(\w+)\["([\w/]+)"\]$`)
	diagramArrow = regexp.MustCompile(`^\s*(\w+) --> (\w+)$`)
	codeSpan     = regexp.MustCompile("`([^`]+)`")
	goFile       = regexp.MustCompile(`^[\w/]+\.go$`)
)

// diagram is the picture of the packages on the architecture page.
type diagram struct {
	layers map[string]int      // of each package; layer 0 stands at the top
	arrows map[string][]string // from each package, sorted
}

func architecturePage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func readDiagram(t *testing.T) diagram {
	t.Helper()
	block := diagramBlock.FindStringSubmatch(architecturePage(t))
	if block == nil {
		t.Fatal("the page has no diagram")
	}
	d := diagram{layers: map[string]int{}, arrows: map[string][]string{}}
	packages := map[string]string{} // by the identifiers of their nodes
	layer := -1
	for line := range strings.Lines(block[1]) {
		line = strings.TrimRight(line, "\n")
		if diagramLayer.MatchString(line) {
			layer++
		} else if node := diagramNode.FindStringSubmatch(line); node != nil {
			packages[node[1]] = node[2]
			d.layers[node[2]] = layer
		} else if arrow := diagramArrow.FindStringSubmatch(line); arrow != nil {
			from, to := packages[arrow[1]], packages[arrow[2]]
			if from == "" || to == "" {
				t.Fatalf("arrow %q has an end that is no node", line)
			}
			d.arrows[from] = append(d.arrows[from], to)
		}
	}
	for _, list := range d.arrows {
		slices.Sort(list)
	}
	return d
}

// The diagram has all packages, and an arrow for each import that does not follow from others.
func TestDiagramShowsTheImports(t *testing.T) {
	imports := packageImports(t)
	d := readDiagram(t)
	if len(d.layers) < minDiagramPackages {
		t.Fatalf("the diagram has %d packages, want at least %d", len(d.layers), minDiagramPackages)
	}
	want := map[string][]string{}
	for from := range imports {
		if _, ok := d.layers[from]; !ok {
			t.Errorf("the diagram lacks package %s", from)
		}
		if direct := essentialImports(imports, from); len(direct) > 0 {
			want[from] = direct
		}
	}
	if diff := cmp.Diff(want, d.arrows); diff != "" {
		t.Errorf("arrows (-imports +diagram):\n%s", diff)
	}
}

func TestDiagramArrowsPointDownwards(t *testing.T) {
	d := readDiagram(t)
	for from, list := range d.arrows {
		for _, to := range list {
			if d.layers[to] <= d.layers[from] {
				t.Errorf("the arrow from %s to %s does not point downwards", from, to)
			}
		}
	}
}

// essentialImports returns the imports of a package that none of its other imports leads to.
func essentialImports(imports map[string][]string, from string) []string {
	var essential []string
	for _, to := range imports[from] {
		leadsThere := func(other string) bool { return other != to && reaches(imports, other, to) }
		if !slices.ContainsFunc(imports[from], leadsThere) {
			essential = append(essential, to)
		}
	}
	return essential
}

func reaches(imports map[string][]string, from, to string) bool {
	for _, next := range imports[from] {
		if next == to || reaches(imports, next, to) {
			return true
		}
	}
	return false
}

// Each row of a table that names a Go file names declarations of that file in the next column.
func TestPageNamesDeclarationsThatExist(t *testing.T) {
	references := 0
	for line := range strings.Lines(architecturePage(t)) {
		if !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i, cell := range cells {
			path := firstSpan(cell)
			if !goFile.MatchString(path) {
				continue
			}
			if i+1 == len(cells) {
				t.Errorf("%s: no declarations in the next column", path)
				continue
			}
			references += checkDeclarations(t, path, cells[i+1])
		}
	}
	if references < minPageReferences {
		t.Errorf("the page names %d declarations, want at least %d", references, minPageReferences)
	}
}

func firstSpan(cell string) string {
	if span := codeSpan.FindStringSubmatch(cell); span != nil {
		return span[1]
	}
	return ""
}

// checkDeclarations reports names of a cell that a file does not declare, and returns how many it names.
func checkDeclarations(t *testing.T, path, cell string) int {
	t.Helper()
	declared, err := declarations(filepath.Join(repositoryRoot, filepath.FromSlash(path)))
	if err != nil {
		t.Error(err)
		return 0
	}
	spans := codeSpan.FindAllStringSubmatch(cell, -1)
	if len(spans) == 0 {
		t.Errorf("%s: no declarations in the next column", path)
	}
	for _, span := range spans {
		if !declared[span[1]] {
			t.Errorf("%s does not declare %s", path, span[1])
		}
	}
	return len(spans)
}

// declarations lists what a file declares: functions, types, variables and constants by name, and methods, fields and
// methods of interfaces as Type.Name.
func declarations(path string) (map[string]bool, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return nil, fmt.Errorf("parse a file that the page names: %w", err)
	}
	names := map[string]bool{}
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			names[receiverPrefix(declaration)+declaration.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				addSpec(names, spec)
			}
		}
	}
	return names, nil
}

func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

func addSpec(names map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		for _, member := range members(spec.Type) {
			names[spec.Name.Name+"."+member] = true
		}
	}
}

// members lists the fields of a struct or the methods of an interface.
func members(expression ast.Expr) []string {
	var list *ast.FieldList
	switch expression := expression.(type) {
	case *ast.StructType:
		list = expression.Fields
	case *ast.InterfaceType:
		list = expression.Methods
	default:
		return nil
	}
	var names []string
	for _, field := range list.List {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}
