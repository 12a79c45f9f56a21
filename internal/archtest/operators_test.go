package archtest

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// minOperatorReferences guards against a parser of the operators' pages that finds no names in them.
const minOperatorReferences = 100

// The patterns match the names that operators' pages use in code spans and indented code.
var (
	quotedMessage  = regexp.MustCompile(`\bmsg="([^"]+)"`)
	plainMessage   = regexp.MustCompile(`\bmsg=(\w+)`)
	figureName     = regexp.MustCompile(`\bedge_proxy\.(\w+)`)
	environmentKey = regexp.MustCompile(`\b((?:PROXY|MILLETVANE)_[A-Z_]+)\b`)
	programCall    = regexp.MustCompile(`\b(milletvane|experiment)((?: [a-z][a-z-]*)+)`)
	programFlag    = regexp.MustCompile(`(?:^|[ \[])--([a-z][a-z-]*)`)
	operatorKey    = regexp.MustCompile(`\(([a-z][a-z-]*)(?:[ )]|$)`)
	settingPath    = regexp.MustCompile(`^(?:limits|rules|caps)\.(\w+)$`)
	testName       = regexp.MustCompile(`\b(Test[A-Z]\w+)(…?)`)
	testCall       = regexp.MustCompile(`go test (?:-\S+ )*-run '([^']+)'(?: -\S+)* (\./\S+)`)
)

// operatorNames holds the names in the program that operators' pages may use, by kind.
type operatorNames struct {
	messages     map[string]bool // log messages
	figures      map[string]bool
	environment  map[string]bool     // environment variables
	commands     map[string]bool     // commands and subcommands
	flags        map[string]bool     // without the leading hyphens
	operatorKeys map[string]bool     // keys of operator files
	settings     map[string]bool     // keys of the platform's configuration
	tests        map[string][]string // names of tests by directory
}

// reference holds a name that a page uses, with its kind.
type reference struct{ kind, name string }

// operatorReferences returns the names that a page uses.
func operatorReferences(page string) (references []reference) {
	add := func(kind string, found [][]string) {
		for _, f := range found {
			references = append(references, reference{kind, f[1]})
		}
	}
	for _, code := range pageCode(page) {
		add("log message", quotedMessage.FindAllStringSubmatch(code, -1))
		add("log message", plainMessage.FindAllStringSubmatch(code, -1))
		add("figure", figureName.FindAllStringSubmatch(code, -1))
		add("environment variable", environmentKey.FindAllStringSubmatch(code, -1))
		add("setting", settingPath.FindAllStringSubmatch(code, -1))
		for _, call := range programCall.FindAllStringSubmatch(code, -1) {
			for _, command := range strings.Fields(call[2]) {
				references = append(references, reference{"command", command})
			}
		}
		if !strings.Contains(code, "curl ") && !strings.Contains(code, "go test ") {
			add("flag", programFlag.FindAllStringSubmatch(code, -1))
		}
		add("operator key", operatorKey.FindAllStringSubmatch(code, -1))
		for _, call := range testCall.FindAllStringSubmatch(code, -1) {
			for _, pattern := range strings.Split(call[1], "|") {
				references = append(references, reference{"test of " + call[2], pattern})
			}
		}
	}
	return references
}

// pageCode returns the code spans and the indented lines of a page, without shell comments.
func pageCode(page string) (code []string) {
	for line := range strings.Lines(page) {
		if indented, ok := strings.CutPrefix(line, "    "); ok {
			text, _, _ := strings.Cut(indented, " #")
			code = append(code, strings.TrimSpace(text))
			continue
		}
		for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
			code = append(code, span[1])
		}
	}
	return code
}

// unknownNames returns the names that a page uses and the program does not have.
func (n operatorNames) unknownNames(page string) (unknown []reference) {
	for _, r := range operatorReferences(page) {
		if !n.has(r) {
			unknown = append(unknown, r)
		}
	}
	return unknown
}

// has reports whether the program has a name. The name of a test is a pattern that must match a test of the directory.
func (n operatorNames) has(r reference) bool {
	byKind := map[string]map[string]bool{
		"log message": n.messages, "figure": n.figures, "environment variable": n.environment, "command": n.commands,
		"flag": n.flags, "operator key": n.operatorKeys, "setting": n.settings,
	}
	if names, ok := byKind[r.kind]; ok {
		return names[r.name]
	}
	pattern, err := regexp.Compile(r.name)
	if err != nil {
		return false
	}
	directory, _ := strings.CutPrefix(r.kind, "test of ./")
	return slices.ContainsFunc(n.tests[directory], pattern.MatchString)
}

// readOperatorNames collects the names from the sources.
func readOperatorNames(t *testing.T) operatorNames {
	t.Helper()
	n := operatorNames{
		messages: map[string]bool{}, figures: map[string]bool{}, environment: map[string]bool{}, commands: map[string]bool{},
		flags: map[string]bool{}, operatorKeys: map[string]bool{}, settings: map[string]bool{}, tests: operatorTestNames(t),
	}
	for _, source := range moduleSources(t) {
		ast.Inspect(source.syntax, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.CallExpr:
				n.addCallNames(node)
			case *ast.CompositeLit:
				n.addCommandNames(node)
			case *ast.BasicLit:
				n.addLiteralNames(source.packagePath, node)
			}
			return true
		})
	}
	return n
}

// addCallNames adds the constant message of a log call or the name of a figure.
func (n operatorNames) addCallNames(call *ast.CallExpr) {
	name := ""
	switch function := call.Fun.(type) {
	case *ast.SelectorExpr:
		name = function.Sel.Name
	case *ast.Ident:
		name = function.Name
	}
	switch {
	case slices.Contains([]string{"Debug", "Info", "Warn", "Error", "log", "logShedding"}, name) && len(call.Args) > 0:
		n.messages[stringValue(call.Args[0])] = true
	case name == "appendMetric" && len(call.Args) > 1:
		n.figures[stringValue(call.Args[1])] = true
	}
}

// addCommandNames adds the name in a literal that declares a command or a flag for the command-line library.
func (n operatorNames) addCommandNames(composite *ast.CompositeLit) {
	typeName := ""
	switch t := composite.Type.(type) {
	case *ast.SelectorExpr:
		typeName = t.Sel.Name
	case nil: // an element of a list of commands
		typeName = "Command"
	}
	for _, element := range composite.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		if key, ok := pair.Key.(*ast.Ident); !ok || key.Name != "Name" {
			continue
		}
		switch {
		case typeName == "Command":
			n.commands[stringValue(pair.Value)] = true
		case strings.HasSuffix(typeName, "Flag"):
			n.flags[stringValue(pair.Value)] = true
		}
	}
}

// addLiteralNames adds names that are recognized by their form or their package: environment variables, keys, settings and
// log messages that are assigned to a variable.
func (n operatorNames) addLiteralNames(packagePath string, l *ast.BasicLit) {
	text := stringValue(l)
	switch {
	case environmentKey.MatchString(text):
		n.environment[text] = true
	case packagePath == "config/operator":
		n.operatorKeys[text] = true
	}
	if packagePath == "balancer" && strings.HasPrefix(text, "load shedding ") {
		n.messages[text] = true // the log call gets one of several messages from a variable
	}
	if packagePath == "config" || packagePath == "internal/settings" {
		for _, tag := range regexp.MustCompile(`json:"(\w+)`).FindAllStringSubmatch(text, -1) {
			n.settings[tag[1]] = true
		}
		_, key, _ := strings.Cut(text, ".")
		n.settings[key] = true
	}
}

// stringValue returns the value of a string literal, or "" for any other expression.
func stringValue(e ast.Expr) string {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(l.Value)
	if err != nil {
		return ""
	}
	return text
}

// operatorTestNames returns the names of tests by directory, for the directories whose tests operators' pages name.
func operatorTestNames(t *testing.T) map[string][]string {
	t.Helper()
	names := map[string][]string{}
	for _, directory := range []string{"gateway"} {
		files, err := filepath.Glob(filepath.Join(repositoryRoot, directory, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			names[directory] = append(names[directory], testNamesInFile(t, file)...)
		}
	}
	return names
}

// Guards against on-call pages that name log messages, figures, settings, commands, flags or tests which the program does
// not have.
func TestOperatorsPagesNameWhatExists(t *testing.T) {
	names := readOperatorNames(t)
	pages, err := filepath.Glob(filepath.Join(repositoryRoot, "docs", "operators", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		checked += len(operatorReferences(string(text)))
		for _, r := range names.unknownNames(string(text)) {
			t.Errorf("%s names %q, which is not a known %s", filepath.Base(page), r.name, r.kind)
		}
	}
	if checked < minOperatorReferences {
		t.Errorf("the operators' pages use %d names, want at least %d", checked, minOperatorReferences)
	}
}

// Guards against design pages and incident reports that name tests which do not exist. A name with an ellipsis after it is
// the beginning of a test's name.
func TestPagesNameExistingTests(t *testing.T) {
	var pages []string
	for _, pattern := range []string{"design/crossings.md", "design/known-faults.md", "incidents/*.md"} {
		found, err := filepath.Glob(filepath.Join(repositoryRoot, "docs", filepath.FromSlash(pattern)))
		if err != nil || len(found) == 0 {
			t.Fatalf("found no page that matches %s: error %v", pattern, err)
		}
		pages = append(pages, found...)
	}
	all := allTestNames(t)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range testName.FindAllStringSubmatch(string(text), -1) {
			exists := slices.Contains(all, match[1])
			if match[2] != "" {
				exists = slices.ContainsFunc(all, func(name string) bool { return strings.HasPrefix(name, match[1]) })
			}
			if !exists {
				t.Errorf("%s names %s, which is not a test", filepath.Base(page), match[1])
			}
		}
	}
}

// allTestNames returns the names of all tests of the module.
func allTestNames(t *testing.T) (names []string) {
	t.Helper()
	err := filepath.WalkDir(repositoryRoot, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipExcludedDirectory(name, entry.Name())
		}
		if strings.HasSuffix(name, "_test.go") {
			names = append(names, testNamesInFile(t, name)...)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// testNamesInFile returns the names of the tests in a Go file.
func testNamesInFile(t *testing.T, file string) (names []string) {
	t.Helper()
	syntax, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range syntax.Decls {
		if f, ok := declaration.(*ast.FuncDecl); ok && strings.HasPrefix(f.Name.Name, "Test") {
			names = append(names, f.Name.Name)
		}
	}
	return names
}

// Guards against a check of operators' pages that misses a kind of name: an unknown name of each kind must be reported.
func TestOperatorsPageCheckSeesEachKind(t *testing.T) {
	names := readOperatorNames(t)
	for _, c := range []struct{ page, kind, name string }{
		{"`msg=\"snapshot follows\"`", "log message", "snapshot follows"},
		{"    msg=follows open=3", "log message", "follows"},
		{"`edge_proxy.refused.CLASS`", "figure", "refused"},
		{"`PROXY_ADMIN`", "environment variable", "PROXY_ADMIN"},
		{"`limits.threads`", "setting", "threads"},
		{"    bin/experiment nats-lab --seed 1", "command", "nats-lab"},
		{"`milletvane plan show`", "command", "show"},
		{"`milletvane serve --verbose`", "flag", "verbose"},
		{"`(floor-part 5)`", "operator key", "floor-part"},
		{"    go test -run 'HotRestart|StopBefore|Passed' -v ./gateway", "test of ./gateway", "Passed"},
	} {
		t.Run(fmt.Sprint(c.kind, " ", c.name), func(t *testing.T) {
			want := []reference{{c.kind, c.name}}
			if diff := cmp.Diff(want, names.unknownNames(c.page), cmp.AllowUnexported(reference{})); diff != "" {
				t.Errorf("unknown names (-want +got):\n%s", diff)
			}
		})
	}
}
