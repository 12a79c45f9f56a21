package operator

import (
	"errors"
	"fmt"
	"slices"
)

// FileError says what is wrong at one place of an operator file or a plan file.
type FileError struct {
	File    string
	Line    int    // counted from 1
	Key     string // the path of keys, for example nats.request.deadline; empty for the file as a whole
	Problem string
}

func (e FileError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Problem)
}

// errorList collects all errors of one file, so that an operator sees them at once.
type errorList struct {
	file   string
	errors []FileError
}

func (l *errorList) add(line int, key, problem string) {
	l.errors = append(l.errors, FileError{File: l.file, Line: line, Key: key, Problem: problem})
}

// join returns all errors as one, ordered by line, or nil if there are none.
func (l *errorList) join() error {
	slices.SortStableFunc(l.errors, func(a, b FileError) int { return a.Line - b.Line })
	all := make([]error, len(l.errors))
	for i, err := range l.errors {
		all[i] = err
	}
	return errors.Join(all...)
}

// first returns the error that was added first, or nil if there is none.
func (l *errorList) first() error {
	if len(l.errors) == 0 {
		return nil
	}
	return l.errors[0]
}

// joinPath returns the path of a key in a section. Either may be empty.
func joinPath(section, key string) string {
	if section == "" || key == "" {
		return section + key
	}
	return section + "." + key
}
