package operator

import (
	"errors"
	"fmt"
	"slices"
)

// FileError is something wrong in an operator file or a plan file.
type FileError struct {
	File    string
	Line    int    // from 1 on
	Key     string // the path of keys, as nats.request.deadline; empty: the file as a whole
	Problem string
}

func (e FileError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Problem)
}

// errorList gathers all that is wrong in one file, so that an operator sees it in one go.
type errorList struct {
	file   string
	errors []FileError
}

func (l *errorList) add(line int, key, problem string) {
	l.errors = append(l.errors, FileError{File: l.file, Line: line, Key: key, Problem: problem})
}

// joined returns all errors by line as one; nil where there are none.
func (l *errorList) joined() error {
	slices.SortStableFunc(l.errors, func(a, b FileError) int { return a.Line - b.Line })
	all := make([]error, len(l.errors))
	for i, err := range l.errors {
		all[i] = err
	}
	return errors.Join(all...)
}

// first returns the error that was found first; nil where there is none.
func (l *errorList) first() error {
	if len(l.errors) == 0 {
		return nil
	}
	return l.errors[0]
}

// joinPath is the path of a key in a section.
func joinPath(section, key string) string {
	if section == "" || key == "" {
		return section + key
	}
	return section + "." + key
}
