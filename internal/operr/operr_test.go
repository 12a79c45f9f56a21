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

const module = "example.org/milletvane/"

// packages are those whose error types all implement operr.Error.
var packages = []string{"config/operator", "internal/membership", "internal/wal"}

// samples has an error of each type of these packages.
var samples = []operr.Error{
	&wal.NoSpaceError{Dir: "d", Err: io.ErrShortWrite},
	&wal.WriteFailedError{Dir: "d", Err: io.ErrShortWrite},
	&wal.CorruptionError{File: "f", Offset: 3, Reason: "r"},
	&wal.ClosedError{Dir: "d"},
	&wal.TooLargeError{Bytes: 2, MaxBytes: 1},
	&operator.KeyError{File: "f", Reason: "r"},
	&membership.BindError{Addr: "a", Err: io.ErrShortWrite},
	&membership.IncarnationError{File: "f", Err: io.ErrShortWrite},
}

// Every error names its problem and a remedy, is found in errors that wrap it, and is logged by its parts.
func TestErrorsSayWhatToDo(t *testing.T) {
	for _, e := range samples {
		t.Run(typeName(e), func(t *testing.T) {
			if e.Problem() == "" || e.Remedy() == "" || !strings.Contains(e.Error(), e.Problem()) {
				t.Errorf("%q, problem %q, remedy %q", e.Error(), e.Problem(), e.Remedy())
			}
			wrapped := fmt.Errorf("at start: %w", errors.Join(io.EOF, e))
			if got := operr.Of(wrapped); got != e {
				t.Errorf("found %v", got)
			}
			line := logged(wrapped)
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

func logged(err error) string {
	var out bytes.Buffer
	operr.Log(slog.New(slog.NewTextHandler(&out, nil)), err)
	return out.String()
}

// Every error type of the packages is among the samples.
func TestEveryErrorTypeIsCovered(t *testing.T) {
	var covered []string
	for _, e := range samples {
		covered = append(covered, typeName(e))
	}
	for _, dir := range packages {
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

// errorTypes finds the types of a package that have an Error method. It has to be on a pointer.
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
				types = append(types, module+dir+"."+receiver.X.(*ast.Ident).Name)
			default:
				if dir != "config/operator" { // its Fault names file, line and key instead
					t.Errorf("%s: Error is not on a pointer", name)
				}
			}
		}
	}
	return types
}

func TestOtherErrorsAreLogged(t *testing.T) {
	if line := logged(io.EOF); !strings.Contains(line, "EOF") {
		t.Errorf("logged as %s", line)
	}
	if e := operr.Of(io.EOF); e != nil {
		t.Errorf("found %v", e)
	}
}
