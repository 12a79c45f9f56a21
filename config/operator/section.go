package operator

import (
	"fmt"
	"slices"
	"time"
)

// section reads the keys of one list, (name (key value …) …), and adds all errors to a list. Each method that reads a key marks
// it as known.
type section struct {
	errs       *errorList
	path       string // the keys that lead to this section, joined by dots
	line       int
	formsByKey map[string][]expr // the forms (key value …) by key
	knownKeys  map[string]bool   // keys that a method has read
	keys       []string          // the keys as they are ordered in the file
}

// openSection groups the items of a list by key. Only the repeatable keys may occur more than once.
func openSection(errs *errorList, path string, line int, items []expr, repeatable ...string) *section {
	s := &section{errs: errs, path: path, line: line, formsByKey: map[string][]expr{}, knownKeys: map[string]bool{}}
	for _, item := range items {
		key, ok := item.head()
		if !ok {
			s.fail(item.line, "", "%s is not (key value)", item)
			continue
		}
		first, repeated := s.formsByKey[key]
		if repeated && !slices.Contains(repeatable, key) {
			s.fail(item.line, key, "is given twice, first on line %d", first[0].line)
			continue
		}
		if !repeated {
			s.keys = append(s.keys, key)
		}
		s.formsByKey[key] = append(s.formsByKey[key], item)
	}
	return s
}

// close reports the keys that are not known: no method has read them.
func (s *section) close() {
	for _, key := range s.keys {
		if !s.knownKeys[key] {
			s.fail(s.formsByKey[key][0].line, key, "is no known key")
		}
	}
}

// subsection calls read with the section of a key, if the key is given, and closes the section.
func (s *section) subsection(key string, read func(*section), repeatable ...string) (given bool) {
	values, line := s.values(key)
	if line == 0 {
		return false
	}
	sub := openSection(s.errs, joinPath(s.path, key), line, values, repeatable...)
	read(sub)
	sub.close()
	return true
}

// fail adds an error about a key, or about the section itself if key is empty.
func (s *section) fail(line int, key, format string, args ...any) {
	s.errs.add(line, joinPath(s.path, key), fmt.Sprintf(format, args...))
}

// forms returns the forms of a key, which may be repeatable.
func (s *section) forms(key string) []expr {
	s.knownKeys[key] = true
	return s.formsByKey[key]
}

// values returns the values of a key and its line. The line is 0 if the key is not given.
func (s *section) values(key string) (values []expr, line int) {
	if given := s.forms(key); len(given) > 0 {
		return given[0].list[1:], given[0].line
	}
	return nil, 0
}

// value returns the only value of a key and true. It returns false if the key is not given, and adds an error and returns false
// if the key does not have exactly one value.
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

// text returns the string of a key. Defaults to an empty string.
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

// integer returns the integer of a key. It returns defaultValue if the key is not given. It adds an error and returns
// defaultValue if the value is not an integer from minValue to maxValue.
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

// boolean returns the boolean of a key. Defaults to false.
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

// duration returns the duration of a key. It returns defaultValue if the key is not given. It adds an error and returns
// defaultValue if the value is not a duration from minValue to maxValue.
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
