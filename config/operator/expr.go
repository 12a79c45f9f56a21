package operator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"

	"olympos.io/encoding/edn"
)

// Bounds of a file: what it holds is kept, and a list in a list is read by a call in a call.
const (
	maxFileBytes   = 64 << 20
	maxDepth       = 20
	maxAtomBytes   = 64 // of an atom that is no string: a number of any size takes the library any time
	maxQuotedBytes = 20 // of an atom that an error names
)

// expr is one S-expression with the line it starts on: a list, or an atom.
type expr struct {
	line int
	list []expr // of a list
	atom any    // string, edn.Symbol, int64, float64 or bool; nil for a list
}

func (x expr) isList() bool { return x.atom == nil }

// String is the expression as an error names it.
func (x expr) String() string {
	switch a := x.atom.(type) {
	case nil:
		return "a list"
	case string:
		return strconv.Quote(a)
	default:
		return fmt.Sprint(a)
	}
}

// head is the symbol that a list begins with; ok is false for all else.
func (x expr) head() (name string, ok bool) {
	if !x.isList() || len(x.list) == 0 {
		return "", false
	}
	symbol, ok := x.list[0].atom.(edn.Symbol)
	return string(symbol), ok
}

// isForm reports whether an expression is a list that begins with a symbol.
func (x expr) isForm(name string) bool {
	head, ok := x.head()
	return ok && head == name
}

// readExprs reads all expressions of a file. Its errors are of type FileError.
func readExprs(file string, text []byte) ([]expr, error) {
	failure := func(line int, problem string) error { return FileError{File: file, Line: line, Problem: problem} }
	if len(text) > maxFileBytes {
		return nil, failure(1, fmt.Sprintf("is over %d bytes", maxFileBytes))
	}
	if !utf8.Valid(text) { // the library would put other bytes in their place
		return nil, failure(1, "is not UTF-8")
	}
	// The library reads a list as it is written, with its values as raw text, from which each value's offset is known.
	decoder := edn.NewDecoder(bytes.NewReader(text))
	r := &exprReader{text: text}
	var exprs []expr
	for offset := 0; ; {
		offset += blankBytes(text[offset:])
		line := r.line(offset)
		var raw edn.RawMessage
		if err := decoder.Decode(&raw); errors.Is(err, io.EOF) {
			return exprs, nil
		} else if err != nil {
			return nil, failure(line, "is no S-expression: "+strings.TrimPrefix(err.Error(), "edn: "))
		}
		x, err := r.read(offset, raw, 0)
		if err != nil {
			return nil, failure(line, err.Error())
		}
		exprs = append(exprs, x)
		offset = min(r.find(offset, raw)+len(raw), len(text))
	}
}

// exprReader takes raw values apart and finds the lines that they start on.
type exprReader struct {
	text []byte
	// Newlines before an offset, from which lines are counted on: they are asked for in order.
	counted  int
	newlines int
}

// line is the line of an offset.
func (r *exprReader) line(offset int) int {
	if offset > r.counted {
		r.newlines += bytes.Count(r.text[r.counted:offset], []byte{'\n'})
		r.counted = offset
	}
	return 1 + r.newlines
}

// find is the offset of a raw value that starts at or after from.
func (r *exprReader) find(from int, raw []byte) int {
	from = min(from, len(r.text))
	from += blankBytes(r.text[from:])
	if i := bytes.Index(r.text[from:], raw); i > 0 {
		return from + i
	}
	return from
}

// blankBytes is the length of the white space and comments that b begins with.
func blankBytes(b []byte) int {
	i := 0
	for i < len(b) {
		switch b[i] {
		case ' ', '\t', '\n', '\r', ',':
			i++
		case ';':
			end := bytes.IndexByte(b[i:], '\n')
			if end < 0 {
				return len(b)
			}
			i += end
		default:
			return i
		}
	}
	return i
}

func (r *exprReader) read(offset int, raw edn.RawMessage, depth int) (expr, error) {
	if depth > maxDepth {
		return expr{}, errors.New("is nested too deeply")
	}
	offset = r.find(offset, raw)
	x := expr{line: r.line(offset)}
	var err error
	if raw[0] == '(' {
		x.list, err = r.readList(offset, raw, depth)
	} else {
		x.atom, err = readAtom(raw)
	}
	return x, err
}

func (r *exprReader) readList(offset int, raw edn.RawMessage, depth int) (list []expr, err error) {
	var items []edn.RawMessage
	if err := edn.Unmarshal(raw, &items); err != nil {
		return nil, err
	}
	offset++ // past the bracket
	for _, item := range items {
		x, err := r.read(offset, item, depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, x)
		offset = r.find(offset, item) + len(item)
	}
	return list, nil
}

// readAtom reads a string, a symbol, a number or a boolean. What the library makes of other forms is not wanted.
func readAtom(raw edn.RawMessage) (any, error) {
	isString := raw[0] == '"'
	if !isString && (len(raw) > maxAtomBytes || hasForeignSyntax(raw)) {
		return nil, fmt.Errorf("%.*s is neither a list, a word, a string nor a figure", maxQuotedBytes, raw)
	}
	var value any
	if err := edn.Unmarshal(raw, &value); err != nil {
		return nil, err
	}
	switch value.(type) {
	case string, edn.Symbol, int64, float64, bool:
		return value, nil
	}
	return nil, fmt.Errorf("%s is neither a list, a word, a string nor a figure", raw)
}

// hasForeignSyntax reports whether an atom is a tag, a vector, a map, a keyword, a character or a number of any size.
func hasForeignSyntax(raw edn.RawMessage) bool {
	return strings.IndexByte("#[{:\\", raw[0]) >= 0 || strings.IndexByte("NM", raw[len(raw)-1]) >= 0
}
