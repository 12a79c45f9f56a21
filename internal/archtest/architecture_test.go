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

// The minimums guard against a reader of the page that finds nothing in it, which would let every check pass.
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

// diagram holds the diagram of the packages on the architecture page.
type diagram struct {
	layers map[string]int      // layer of each package; layer 0 is at the top
	arrows map[string][]string // sorted targets of the arrows from each package
}

// architecturePage returns the text of the architecture page.
func architecturePage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// readDiagram parses the diagram of the architecture page.
func readDiagram(t *testing.T) diagram {
	t.Helper()
	block := diagramBlock.FindStringSubmatch(architecturePage(t))
	if block == nil {
		t.Fatal("the architecture page has no diagram")
	}
	d := diagram{layers: map[string]int{}, arrows: map[string][]string{}}
	packages := map[string]string{} // package paths by the identifiers of their nodes
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
				t.Fatalf("arrow %q has an end that is not a node of the diagram", line)
			}
			d.arrows[from] = append(d.arrows[from], to)
		}
	}
	for _, list := range d.arrows {
		slices.Sort(list)
	}
	return d
}

// Guards against a diagram that lacks a package or whose arrows differ from the imports. Imports that follow from other
// imports need no arrow.
func TestDiagramMatchesImports(t *testing.T) {
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

// Guards against a diagram with an arrow to the same layer or to a higher one.
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

// essentialImports returns the imports of a package that none of its other imports reaches, directly or indirectly.
func essentialImports(imports map[string][]string, from string) []string {
	var essential []string
	for _, to := range imports[from] {
		reachesTarget := func(other string) bool { return other != to && importsTransitively(imports, other, to) }
		if !slices.ContainsFunc(imports[from], reachesTarget) {
			essential = append(essential, to)
		}
	}
	return essential
}

// importsTransitively reports whether one package imports another, directly or indirectly.
func importsTransitively(imports map[string][]string, from, to string) bool {
	for _, next := range imports[from] {
		if next == to || importsTransitively(imports, next, to) {
			return true
		}
	}
	return false
}

// Guards against a page that names declarations which do not exist. A table row that names a Go file must name declarations
// of that file in the next column.
func TestPageNamesExistingDeclarations(t *testing.T) {
	references := 0
	for line := range strings.Lines(architecturePage(t)) {
		if !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i, cell := range cells {
			path := firstCodeSpan(cell)
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

// firstCodeSpan returns the text of the first code span of a table cell, or "" if it has none.
func firstCodeSpan(cell string) string {
	if span := codeSpan.FindStringSubmatch(cell); span != nil {
		return span[1]
	}
	return ""
}

// checkDeclarations reports the names in a table cell that a file does not declare, and returns the number of names.
func checkDeclarations(t *testing.T, path, cell string) int {
	t.Helper()
	declared, err := declaredNames(filepath.Join(repositoryRoot, filepath.FromSlash(path)))
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

// declaredNames returns the set of names that a file declares: functions, types, variables and constants by name; methods,
// fields and interface methods as Type.Name.
func declaredNames(path string) (map[string]bool, error) {
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
				addSpecNames(names, spec)
			}
		}
	}
	return names, nil
}

// receiverPrefix returns the name of a method's receiver type with a dot, or "" for a function.
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

// addSpecNames adds the names that a specification declares, with the members of its type.
func addSpecNames(names map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		for _, member := range memberNames(spec.Type) {
			names[spec.Name.Name+"."+member] = true
		}
	}
}

// memberNames returns the names of the fields of a struct type or of the methods of an interface type.
func memberNames(expression ast.Expr) []string {
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
