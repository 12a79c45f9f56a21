package operr_test

import (
	"bytes"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"log/slog"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/operr"
	"example.org/milletvane/internal/wal"
)

const modulePrefix = "example.org/milletvane/"

// checkedPackages are the packages whose error types must all implement operr.Error.
var checkedPackages = []string{"config/operator", "internal/membership", "internal/wal"}

// sampleErrors holds an error of each type of these packages.
var sampleErrors = []operr.Error{
	&wal.NoSpaceError{Dir: "d", Err: io.ErrShortWrite},
	&wal.WriteFailedError{Dir: "d", Err: io.ErrShortWrite},
	&wal.CorruptionError{File: "f", Offset: 3, Reason: "r"},
	&wal.ClosedError{Dir: "d"},
	&wal.TooLargeError{Bytes: 2, MaxBytes: 1},
	&operator.KeyError{File: "f", Reason: "r"},
	&membership.BindError{Addr: "a", Err: io.ErrShortWrite},
	&membership.IncarnationError{File: "f", Err: io.ErrShortWrite},
}

// Every error must state its problem and a remedy, must be found in the chain of an error that wraps it, and must be logged
// with its parts.
func TestErrorsStateProblemAndRemedy(t *testing.T) {
	for _, e := range sampleErrors {
		t.Run(typeName(e), func(t *testing.T) {
			if e.Problem() == "" || e.Remedy() == "" || !strings.Contains(e.Error(), e.Problem()) {
				t.Errorf("text %q, problem %q, remedy %q: want the problem in the text, and a remedy", e.Error(), e.Problem(), e.Remedy())
			}
			wrapped := fmt.Errorf("at start: %w", errors.Join(io.EOF, e))
			if got := operr.Find(wrapped); got != e {
				t.Errorf("Of the wrapped error: got %v, want the error itself", got)
			}
			line := logText(wrapped)
			for _, key := range []string{"problem=", "retryable=", "remedy=", "err="} {
				if !strings.Contains(line, key) {
					t.Errorf("logged without %s: %s", key, line)
				}
			}
		})
	}
}

func typeName(e operr.Error) string {
	t := reflect.TypeOf(e).Elem()
	return t.PkgPath() + "." + t.Name()
}

func logText(err error) string {
	var out bytes.Buffer
	operr.Log(slog.New(slog.NewTextHandler(&out, nil)), err)
	return out.String()
}

// Every error type of the checked packages must be among the samples.
func TestEveryErrorTypeIsCovered(t *testing.T) {
	var covered []string
	for _, e := range sampleErrors {
		covered = append(covered, typeName(e))
	}
	for _, dir := range checkedPackages {
		types := errorTypes(t, dir)
		if len(types) == 0 {
			t.Errorf("%s has no error types", dir)
		}
		for _, name := range types {
			if !slices.Contains(covered, name) {
				t.Errorf("%s is not among the samples", name)
			}
		}
	}
}

// errorTypes returns the types of a package that have an Error method. It reports an error for an Error method that is not on
// a pointer receiver.
func errorTypes(t *testing.T, dir string) (types []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range f.Decls {
			method, ok := d.(*ast.FuncDecl)
			if !ok || method.Name.Name != "Error" || method.Recv == nil {
				continue
			}
			switch receiver := method.Recv.List[0].Type.(type) {
			case *ast.StarExpr:
				types = append(types, modulePrefix+dir+"."+receiver.X.(*ast.Ident).Name)
			default:
				if dir != "config/operator" { // its FileError is exempt: it names file, line and key instead
					t.Errorf("%s: Error has no pointer receiver", name)
				}
			}
		}
	}
	return types
}

func TestOtherErrorsAreLogged(t *testing.T) {
	if line := logText(io.EOF); !strings.Contains(line, "EOF") {
		t.Errorf("got the log line %s, want the error's text", line)
	}
	if e := operr.Find(io.EOF); e != nil {
		t.Errorf("Of an error without an Error in its chain: got %v, want nil", e)
	}
}
