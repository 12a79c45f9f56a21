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

// all are the error types of the packages in walked, one of each.
var all = []operr.Error{
	&wal.NoSpaceError{Dir: "d", Err: io.ErrShortWrite}, &wal.WriteFailedError{Dir: "d", Err: io.ErrShortWrite},
	&wal.CorruptionError{File: "f", Offset: 3, Reason: "r"}, &wal.ClosedError{Dir: "d"}, &wal.TooLargeError{Bytes: 2, MaxBytes: 1},
	&operator.KeyError{File: "f", Reason: "r"},
	&membership.BindError{Addr: "a", Err: io.ErrShortWrite}, &membership.IncarnationError{File: "f", Err: io.ErrShortWrite},
}

var walked = []string{"config/operator", "internal/membership", "internal/wal"}

// Every error type of these packages is explained, and is found through the errors that wrap it.
func TestEveryErrorTypeIsExplained(t *testing.T) {
	var have []string
	for _, x := range all {
		have = append(have, reflect.TypeOf(x).Elem().PkgPath()+"."+reflect.TypeOf(x).Elem().Name())
		if x.Problem() == "" || x.Remedy() == "" || !strings.Contains(x.Error(), x.Problem()) {
			t.Errorf("%T: %q, failed %q, do %q", x, x.Error(), x.Problem(), x.Remedy())
		}
		wrapped := fmt.Errorf("at the edge: %w", errors.Join(io.EOF, x))
		if got := operr.Of(wrapped); got != x {
			t.Errorf("%T: found %v", x, got)
		}
		var out bytes.Buffer
		operr.Log(slog.New(slog.NewTextHandler(&out, nil)), wrapped)
		if line := out.String(); !strings.Contains(line, "failed=") || !strings.Contains(line, "do=") || !strings.Contains(line, "again=") {
			t.Errorf("%T is logged as %s", x, line)
		}
	}
	for _, dir := range walked {
		files, _ := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*.go"))
		for _, name := range files {
			f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range f.Decls {
				fn, ok := d.(*ast.FuncDecl)
				if !ok || fn.Name.Name != "Error" || fn.Recv == nil {
					continue
				}
				star, ok := fn.Recv.List[0].Type.(*ast.StarExpr)
				if !ok && dir == "config/operator" {
					continue // Fault, which names file, line and key instead
				}
				if !ok {
					t.Errorf("%s: Error is not on a pointer", name)
					continue
				}
				if of := "example.org/milletvane/" + dir + "." + star.X.(*ast.Ident).Name; !slices.Contains(have, of) {
					t.Errorf("%s is in no test of what errors explain", of)
				}
			}
		}
	}
}

func TestOtherErrorsAreLoggedToo(t *testing.T) {
	var out bytes.Buffer
	operr.Log(slog.New(slog.NewTextHandler(&out, nil)), io.EOF)
	if !strings.Contains(out.String(), "EOF") || operr.Of(io.EOF) != nil {
		t.Errorf("logged as %s", out.String())
	}
}
