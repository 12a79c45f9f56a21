// Package operr defines the form of errors that an operator has to act on: what the problem is, whether a retry may help,
// and what the remedy is. Packages implement Error with types of their own; logs and operators' calls print its parts.
//
// The package keeps no state; its functions may be called from any goroutine.
package operr

import (
	"errors"
	"log/slog"
)

// Error is an error that says what an operator can do.
type Error interface {
	error
	Problem() string // what failed, with the name of the thing
	Retryable() bool // whether a later retry may help
	Remedy() string  // what an operator can do
}

// Of returns the first Error in the chain of err; nil: there is none.
func Of(err error) Error {
	var e Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Log logs an error: one with an Error in its chain by its parts and its cause, any other by its text.
func Log(l *slog.Logger, err error) {
	e := Of(err)
	if e == nil {
		l.Error("fault", "err", err)
		return
	}
	l.Error("fault", "problem", e.Problem(), "retryable", e.Retryable(), "remedy", e.Remedy(), "err", errors.Unwrap(e))
}
