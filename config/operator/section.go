package operator

import (
	"fmt"
	"slices"
	"time"
)

// section reads the keys of one list, (name (key value …) …), and adds all that is wrong to a list of errors. Each
// method that reads a key marks it as known.
type section struct {
	errs  *errorList
	path  string // of keys, down to this section
	line  int
	exprs map[string][]expr // by key, with the key in front
	known map[string]bool   // keys that were asked for
	order []string          // of the keys in the file
}

// openSection takes the items of a list apart. Keys that may be given more than once are named.
func openSection(errs *errorList, path string, line int, items []expr, repeatable ...string) *section {
	s := &section{errs: errs, path: path, line: line, exprs: map[string][]expr{}, known: map[string]bool{}}
	for _, item := range items {
		key, ok := item.head()
		if !ok {
			s.fail(item.line, "", "%s is not (key value)", item)
			continue
		}
		first, repeated := s.exprs[key]
		if repeated && !slices.Contains(repeatable, key) {
			s.fail(item.line, key, "is given twice, first on line %d", first[0].line)
			continue
		}
		if !repeated {
			s.order = append(s.order, key)
		}
		s.exprs[key] = append(s.exprs[key], item)
	}
	return s
}

// close reports the keys that nobody asked for.
func (s *section) close() {
	for _, key := range s.order {
		if !s.known[key] {
			s.fail(s.exprs[key][0].line, key, "is no known key")
		}
	}
}

// subsection reads the list of a key, where it is given.
func (s *section) subsection(key string, read func(*section), repeatable ...string) (given bool) {
	values, line := s.values(key)
	if line == 0 {
		return false
	}
	in := openSection(s.errs, joinPath(s.path, key), line, values, repeatable...)
	read(in)
	in.close()
	return true
}

// fail adds an error about a key; "" is the section itself.
func (s *section) fail(line int, key, format string, args ...any) {
	s.errs.add(line, joinPath(s.path, key), fmt.Sprintf(format, args...))
}

// all are the expressions of a key that may be given more than once.
func (s *section) all(key string) []expr {
	s.known[key] = true
	return s.exprs[key]
}

// values are the values of a key and its line; 0: it is not given.
func (s *section) values(key string) (values []expr, line int) {
	if given := s.all(key); len(given) > 0 {
		return given[0].list[1:], given[0].line
	}
	return nil, 0
}

// value is the single value of a key.
func (s *section) value(key string) (expr, bool) {
	values, line := s.values(key)
	if line == 0 {
		return expr{}, false
	}
	if len(values) != 1 {
		s.fail(line, key, "has %d values and wants one", len(values))
		return expr{}, false
	}
	return values[0], true
}

// text is the string of a key; "" where it is not given.
func (s *section) text(key string) string {
	v, ok := s.value(key)
	if !ok {
		return ""
	}
	text, ok := v.atom.(string)
	if !ok {
		s.fail(v.line, key, "%s is not a string", v)
	}
	return text
}

func (s *section) integer(key string, defaultValue, minValue, maxValue int) int {
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	n, ok := v.atom.(int64)
	if !ok {
		s.fail(v.line, key, "%s is not a whole number", v)
		return defaultValue
	}
	if n < int64(minValue) || n > int64(maxValue) {
		s.fail(v.line, key, "%d is not within %d and %d", n, minValue, maxValue)
		return defaultValue
	}
	return int(n)
}

// boolean is the boolean of a key; false where it is not given.
func (s *section) boolean(key string) bool {
	v, ok := s.value(key)
	if !ok {
		return false
	}
	b, ok := v.atom.(bool)
	if !ok {
		s.fail(v.line, key, "%s is not true or false", v)
	}
	return b
}

func (s *section) duration(key string, defaultValue, minValue, maxValue time.Duration) time.Duration {
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	text, ok := v.atom.(string)
	d, err := time.ParseDuration(text)
	if !ok || err != nil {
		s.fail(v.line, key, "%s is not a time such as \"250ms\"", v)
		return defaultValue
	}
	if d < minValue || d > maxValue {
		s.fail(v.line, key, "%v is not within %v and %v", d, minValue, maxValue)
		return defaultValue
	}
	return d
}
