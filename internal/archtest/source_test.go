// Package archtest tests the architecture: which packages may import which, that decision packages do no I/O and read no
// clock, and that docs/architecture.md and other pages in docs match the code. It has no code outside its tests.
package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "example.org/milletvane/"

// minSourceFiles guards against a walk that finds no files, which would let every check pass.
const minSourceFiles = 50

var repositoryRoot = filepath.Join("..", "..")

// sourceFile holds a parsed Go file of the module that is not a test file.
type sourceFile struct {
	path        string // slash-separated, relative to the root of the repository
	packagePath string // path of the file's directory, in the same form
	positions   *token.FileSet
	syntax      *ast.File
}

// moduleImports returns the packages of this module that a file imports, without modulePrefix.
func (f sourceFile) moduleImports(t *testing.T) []string {
	t.Helper()
	var paths []string
	for _, spec := range f.syntax.Imports {
		path := importPath(t, spec)
		if own, ok := strings.CutPrefix(path, modulePrefix); ok {
			paths = append(paths, own)
		}
	}
	return paths
}

// importPath returns the path of an import without its quotes.
func importPath(t *testing.T, spec *ast.ImportSpec) string {
	t.Helper()
	path, err := strconv.Unquote(spec.Path.Value)
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// moduleSources parses all Go files of the module except test files.
func moduleSources(t *testing.T) []sourceFile {
	t.Helper()
	var sources []sourceFile
	err := filepath.WalkDir(repositoryRoot, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipExcludedDirectory(name, entry.Name())
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		positions := token.NewFileSet()
		syntax, err := parser.ParseFile(positions, name, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(repositoryRoot, name)
		if err != nil {
			return err
		}
		path := filepath.ToSlash(relative)
		sources = append(sources, sourceFile{
			path: path, packagePath: filepath.ToSlash(filepath.Dir(relative)), positions: positions, syntax: syntax,
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(sources) < minSourceFiles {
		t.Fatalf("found %d source files, want at least %d", len(sources), minSourceFiles)
	}
	return sources
}

// skipExcludedDirectory returns fs.SkipDir for directories without code of this module: hidden directories and the
// directory of the tools module.
func skipExcludedDirectory(path, name string) error {
	isHidden := strings.HasPrefix(name, ".") && name != "." && name != ".."
	if isHidden || path == filepath.Join(repositoryRoot, "tools") {
		return fs.SkipDir
	}
	return nil
}

// packageImports maps each package of the module to the sorted packages of the module that it imports.
func packageImports(t *testing.T) map[string][]string {
	t.Helper()
	imports := map[string][]string{}
	for _, file := range moduleSources(t) {
		imports[file.packagePath] = append(imports[file.packagePath], file.moduleImports(t)...)
	}
	for path, list := range imports {
		slices.Sort(list)
		imports[path] = slices.Compact(list)
	}
	return imports
}

// packageSources returns the files of one package except test files.
func packageSources(t *testing.T, packagePath string) []sourceFile {
	t.Helper()
	var files []sourceFile
	for _, file := range moduleSources(t) {
		if file.packagePath == packagePath {
			files = append(files, file)
		}
	}
	if len(files) == 0 {
		t.Fatalf("%s has no source files", packagePath)
	}
	return files
}
