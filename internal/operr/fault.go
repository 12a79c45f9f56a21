// Package operr says what errors have to tell, in one form for all packages: what failed, whether it may be tried again, and
// what an operator can do. The log and operators' calls print just that.
package operr

import (
	"errors"
	"log/slog"
)

// Error is an error of a type of its own that tells all three.
type Error interface {
	error
	Problem() string // what failed, with the name of the thing
	Retryable() bool // whether trying again later may help
	Remedy() string  // what an operator can do
}

// Of finds the outermost Explained of an error's chain; nil: there is none.
func Of(err error) Error {
	var x Error
	if errors.As(err, &x) {
		return x
	}
	return nil
}

// Log prints an error as it is explained, with its cause.
func Log(l *slog.Logger, err error) {
	x := Of(err)
	if x == nil {
		l.Error("fault", "err", err)
		return
	}
	l.Error("fault", "failed", x.Problem(), "again", x.Retryable(), "do", x.Remedy(), "cause", errors.Unwrap(x))
}
