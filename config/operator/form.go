package operator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"olympos.io/encoding/edn"
)

// form is one S-expression with the line it stands on: a list, or an atom.
type form struct {
	line int
	list []form // of a list
	atom any    // string, edn.Symbol, int64, float64 or bool; nil for a list
}

func (f form) isList() bool { return f.atom == nil }

// String is the form as a fault names it.
func (f form) String() string {
	switch a := f.atom.(type) {
	case nil:
		return "a list"
	case string:
		return strconv.Quote(a)
	default:
		return fmt.Sprint(a)
	}
}

// Bounds of a file: what it holds is kept, and a list in a list is read by a call in a call.
const (
	fileMost  = 64 << 20
	depthMost = 20
)

// FileError is something wrong in an operator file.
type FileError struct {
	File    string
	Line    int
	Key     string // the path of keys, as nats.request.deadline; empty: the file as a whole
	Problem string
}

func (f FileError) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Problem)
}

// read reads all forms of a file.
func read(file string, text []byte) ([]form, error) {
	fault := func(line int, text string) error { return FileError{File: file, Line: line, Problem: text} }
	if len(text) > fileMost {
		return nil, fault(1, fmt.Sprintf("is over %d bytes", fileMost))
	}
	if !utf8.Valid(text) { // the library would put other bytes in their place
		return nil, fault(1, "is not UTF-8")
	}
	// The library reads a list as it stands, with its values as raw text, from which each value's place is known.
	dec := edn.NewDecoder(bytes.NewReader(text))
	var forms []form
	lines := &lineCounter{text: text}
	for at := 0; ; {
		at += blank(text[at:])
		line := lines.at(at)
		var raw edn.RawMessage
		if err := dec.Decode(&raw); errors.Is(err, io.EOF) {
			return forms, nil
		} else if err != nil {
			return nil, fault(line, "is no S-expression: "+strings.TrimPrefix(err.Error(), "edn: "))
		}
		f, err := parse(text, lines, at, raw, 0)
		if err != nil {
			return nil, fault(line, err.Error())
		}
		forms = append(forms, f)
		at = min(place(text, at, raw)+len(raw), len(text))
	}
}

// lineCounter tells lines of places that are asked for in order.
type lineCounter struct {
	text       []byte
	from, seen int
}

func (l *lineCounter) at(place int) int {
	if place > l.from {
		l.seen += bytes.Count(l.text[l.from:place], []byte{'\n'})
		l.from = place
	}
	return 1 + l.seen
}

// place finds where a value that was read stands in the text.
func place(text []byte, from int, raw []byte) int {
	from = min(from, len(text))
	from += blank(text[from:])
	if i := bytes.Index(text[from:], raw); i > 0 {
		return from + i
	}
	return from
}

// blank is the length of the white space and comments that b begins with.
func blank(b []byte) int {
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

func parse(text []byte, lines *lineCounter, at int, raw edn.RawMessage, depth int) (form, error) {
	if depth > depthMost {
		return form{}, errors.New("is nested too deeply")
	}
	at = place(text, at, raw)
	f := form{line: lines.at(at)}
	if raw[0] != '(' {
		// What the library makes of other forms is not wanted, and a figure of any size takes it any time.
		if c := raw[0]; c != '"' && (len(raw) > 64 || strings.IndexByte("#[{:\\", c) >= 0 || strings.IndexByte("NM", raw[len(raw)-1]) >= 0) {
			return f, fmt.Errorf("%.20s is neither a list, a word, a string nor a figure", raw)
		}
		var v any
		if err := edn.Unmarshal(raw, &v); err != nil {
			return f, err
		}
		switch v := v.(type) {
		case string, edn.Symbol, int64, float64, bool:
			f.atom = v
			return f, nil
		}
		return f, fmt.Errorf("%s is neither a list, a word, a string nor a figure", raw)
	}
	var items []edn.RawMessage
	if err := edn.Unmarshal(raw, &items); err != nil {
		return f, err
	}
	at++
	for _, item := range items {
		sub, err := parse(text, lines, at, item, depth+1)
		if err != nil {
			return f, err
		}
		f.list = append(f.list, sub)
		at = place(text, at, item) + len(item)
	}
	return f, nil
}

// section reads the keys of one list: (name (key value …) …). It keeps every fault.
type section struct {
	file   string
	path   string
	line   int
	faults *[]FileError
	keys   map[string][]form // what stands behind each key, and the key's own place
	used   map[string]bool
	order  []string
}

func (s *section) fault(line int, key, format string, args ...any) {
	path := s.path
	if key != "" {
		path += "." + key
	}
	*s.faults = append(*s.faults, FileError{File: s.file, Line: line, Key: strings.TrimPrefix(path, "."), Problem: fmt.Sprintf(format, args...)})
}

// open takes a list apart. Keys that may come more than once are named.
func (s *section) open(items []form, repeated ...string) {
	s.keys, s.used = map[string][]form{}, map[string]bool{}
	for _, f := range items {
		name, ok := edn.Symbol(""), false
		if f.isList() && len(f.list) > 0 {
			name, ok = f.list[0].atom.(edn.Symbol)
		}
		if !ok {
			s.fault(f.line, "", "%s is not (key value)", f)
			continue
		}
		key := string(name)
		if first, twice := s.keys[key]; twice {
			may := false
			for _, r := range repeated {
				may = may || r == key
			}
			if !may {
				s.fault(f.line, key, "is given twice, first on line %d", first[0].line)
				continue
			}
		} else {
			s.order = append(s.order, key)
		}
		s.keys[key] = append(s.keys[key], f)
	}
}

// close reports the keys that nobody asked for.
func (s *section) close() {
	for _, key := range s.order {
		if !s.used[key] {
			s.fault(s.keys[key][0].line, key, "is no known key")
		}
	}
}

// values are the forms behind a key; nil: it is not given.
func (s *section) values(key string) (vals []form, line int) {
	s.used[key] = true
	if f := s.keys[key]; len(f) > 0 {
		return f[0].list[1:], f[0].line
	}
	return nil, 0
}

// one is the single value behind a key.
func (s *section) one(key string) (form, bool) {
	vals, line := s.values(key)
	if line == 0 {
		return form{}, false
	}
	if len(vals) != 1 {
		s.fault(line, key, "has %d values and wants one", len(vals))
		return form{}, false
	}
	return vals[0], true
}

func (s *section) text(key, otherwise string) string {
	v, ok := s.one(key)
	if !ok {
		return otherwise
	}
	t, ok := v.atom.(string)
	if !ok {
		s.fault(v.line, key, "%s is not a string", v)
	}
	return t
}

func (s *section) integer(key string, otherwise, least, most int) int {
	v, ok := s.one(key)
	if !ok {
		return otherwise
	}
	n, ok := v.atom.(int64)
	if !ok {
		s.fault(v.line, key, "%s is not a whole number", v)
		return otherwise
	}
	if n < int64(least) || n > int64(most) {
		s.fault(v.line, key, "%d is not within %d and %d", n, least, most)
		return otherwise
	}
	return int(n)
}

func (s *section) boolean(key string, otherwise bool) bool {
	v, ok := s.one(key)
	if !ok {
		return otherwise
	}
	b, ok := v.atom.(bool)
	if !ok {
		s.fault(v.line, key, "%s is not true or false", v)
	}
	return b
}

func (s *section) duration(key string, otherwise, least, most time.Duration) time.Duration {
	v, ok := s.one(key)
	if !ok {
		return otherwise
	}
	t, ok := v.atom.(string)
	d, err := time.ParseDuration(t)
	switch {
	case !ok || err != nil:
		s.fault(v.line, key, "%s is not a time such as \"250ms\"", v)
	case d < least || d > most:
		s.fault(v.line, key, "%v is not within %v and %v", d, least, most)
	default:
		return d
	}
	return otherwise
}
