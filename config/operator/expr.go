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

// Bounds of a file. They limit the memory that a file takes, and the recursion into nested lists.
const (
	maxFileBytes = 64 << 20
	maxDepth     = 20
	// maxAtomBytes limits each atom that is not a string. Without a limit, the time that the library takes to read a number
	// would grow without bound with the number's length.
	maxAtomBytes   = 64
	maxQuotedBytes = 20 // how much of an atom an error text quotes
)

// expr is one S-expression, a list or an atom, with the line it starts on.
type expr struct {
	line int
	list []expr // the items of a list
	atom any    // string, edn.Symbol, int64, float64 or bool; nil for a list
}

func (x expr) isList() bool { return x.atom == nil }

// String returns the expression as error texts show it: an atom by its text, a list as "a list".
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

// head returns the symbol that a list begins with; ok is false for anything else.
func (x expr) head() (name string, ok bool) {
	if !x.isList() || len(x.list) == 0 {
		return "", false
	}
	symbol, ok := x.list[0].atom.(edn.Symbol)
	return string(symbol), ok
}

// isForm reports whether an expression is a list that begins with the symbol name.
func (x expr) isForm(name string) bool {
	head, ok := x.head()
	return ok && head == name
}

// readExprs reads all expressions of a file. An error is a FileError.
func readExprs(file string, text []byte) ([]expr, error) {
	newError := func(line int, problem string) error { return FileError{File: file, Line: line, Problem: problem} }
	if len(text) > maxFileBytes {
		return nil, newError(1, fmt.Sprintf("is over %d bytes", maxFileBytes))
	}
	if !utf8.Valid(text) { // the library would replace invalid bytes
		return nil, newError(1, "is not UTF-8")
	}
	// The library returns each expression as the raw text of the file, which gives the offset of every value in it.
	decoder := edn.NewDecoder(bytes.NewReader(text))
	r := &exprReader{text: text}
	var exprs []expr
	for offset := 0; ; {
		offset += blankPrefixLen(text[offset:])
		line := r.line(offset)
		var raw edn.RawMessage
		if err := decoder.Decode(&raw); errors.Is(err, io.EOF) {
			return exprs, nil
		} else if err != nil {
			return nil, newError(line, "is no S-expression: "+strings.TrimPrefix(err.Error(), "edn: "))
		}
		x, err := r.read(offset, raw, 0)
		if err != nil {
			return nil, newError(line, err.Error())
		}
		exprs = append(exprs, x)
		offset = min(r.findValue(offset, raw)+len(raw), len(text))
	}
}

// exprReader parses raw values and finds the lines that they start on.
type exprReader struct {
	text []byte
	// newlines is the number of newlines before the offset countedTo. Lines are asked for in increasing order, so counting
	// goes on from there.
	countedTo int
	newlines  int
}

// line returns the line of an offset, counted from 1. If the offset is below that of an earlier call, line returns the line of
// the highest offset so far.
func (r *exprReader) line(offset int) int {
	if offset > r.countedTo {
		r.newlines += bytes.Count(r.text[r.countedTo:offset], []byte{'\n'})
		r.countedTo = offset
	}
	return 1 + r.newlines
}

// findValue returns the offset at which a raw value first occurs, at or after from.
func (r *exprReader) findValue(from int, raw []byte) int {
	from = min(from, len(r.text))
	from += blankPrefixLen(r.text[from:])
	if i := bytes.Index(r.text[from:], raw); i > 0 {
		return from + i
	}
	return from
}

// blankPrefixLen returns the length of the white space and comments that b begins with.
func blankPrefixLen(b []byte) int {
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

// read parses the raw value that starts at or after offset and is nested in depth lists.
func (r *exprReader) read(offset int, raw edn.RawMessage, depth int) (expr, error) {
	if depth > maxDepth {
		return expr{}, errors.New("is nested too deeply")
	}
	offset = r.findValue(offset, raw)
	x := expr{line: r.line(offset)}
	var err error
	if raw[0] == '(' {
		x.list, err = r.readList(offset, raw, depth)
	} else {
		x.atom, err = readAtom(raw)
	}
	return x, err
}

// readList parses the items of a list.
func (r *exprReader) readList(offset int, raw edn.RawMessage, depth int) (list []expr, err error) {
	var items []edn.RawMessage
	if err := edn.Unmarshal(raw, &items); err != nil {
		return nil, err
	}
	offset++ // past the opening parenthesis
	for _, item := range items {
		x, err := r.read(offset, item, depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, x)
		offset = r.findValue(offset, item) + len(item)
	}
	return list, nil
}

// readAtom parses a string, a symbol, a number or a boolean. It rejects the other kinds of values that the library knows.
func readAtom(raw edn.RawMessage) (any, error) {
	isString := raw[0] == '"'
	if !isString && (len(raw) > maxAtomBytes || hasUnsupportedSyntax(raw)) {
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

// hasUnsupportedSyntax reports whether an atom has the syntax of a tag, set, vector, map, keyword, character or
// arbitrary-precision number.
func hasUnsupportedSyntax(raw edn.RawMessage) bool {
	return strings.IndexByte("#[{:\\", raw[0]) >= 0 || strings.IndexByte("NM", raw[len(raw)-1]) >= 0
}
