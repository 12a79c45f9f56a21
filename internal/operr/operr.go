// Package operr defines an interface for errors that an operator has to act on: each states the problem, whether a retry may
// help, and a remedy. Packages implement Error with their own types; logs and the operators' commands print its parts.
//
// The package has no state; its functions may be called from any goroutine.
package operr

import (
	"errors"
	"log/slog"
)

// Error is an error that states what an operator can do about it.
type Error interface {
	error
	Problem() string // what failed, with the name of the object, such as a file or an address
	Retryable() bool // whether a later retry may help
	Remedy() string  // what an operator can do
}

// Find returns the first Error in the chain of err, or nil if there is none.
func Find(err error) Error {
	var e Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Log logs an error. If the chain of err contains an Error, Log logs the parts of that Error and its cause. Otherwise it logs
// err itself.
func Log(l *slog.Logger, err error) {
	e := Find(err)
	if e == nil {
		l.Error("fault", "err", err)
		return
	}
	l.Error("fault", "problem", e.Problem(), "retryable", e.Retryable(), "remedy", e.Remedy(), "err", errors.Unwrap(e))
}
