package discovery

import (
	"errors"
	"fmt"
)

var (
	// ErrTimeout is the error of a poll whose complete answer did not arrive within the poll's timeout.
	ErrTimeout error = timeoutError{}
	// ErrMissingID is the cause of an InvalidListError if an entry has no id.
	ErrMissingID = errors.New("id is missing")
)

type timeoutError struct{}

func (timeoutError) Error() string { return "poll timed out" }

// Problem implements operr.Error.
func (e timeoutError) Problem() string { return e.Error() }

// Retryable implements operr.Error.
func (timeoutError) Retryable() bool { return true }

// Remedy implements operr.Error.
func (timeoutError) Remedy() string {
	return "check the network path to discovery, or the agent on this machine"
}

// StatusError reports an answer with a status other than 200.
type StatusError struct {
	URL  string
	Code int
}

func (e *StatusError) Error() string { return fmt.Sprintf("poll %s: status %d", e.URL, e.Code) }

// Problem implements operr.Error.
func (e *StatusError) Problem() string { return e.Error() }

// Retryable implements operr.Error.
func (e *StatusError) Retryable() bool { return true }

// Remedy implements operr.Error.
func (e *StatusError) Remedy() string { return "check discovery: it rejects polls, or is down" }

// TooLargeError reports an answer that is longer than the largest accepted size of a list.
type TooLargeError struct {
	URL      string
	MaxBytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("poll %s: the endpoint list has more than %d bytes", e.URL, e.MaxBytes)
}

// Problem implements operr.Error.
func (e *TooLargeError) Problem() string { return e.Error() }

// Retryable implements operr.Error.
func (e *TooLargeError) Retryable() bool { return true }

// Remedy implements operr.Error.
func (e *TooLargeError) Remedy() string {
	return "check whether the address is discovery's, and what it lists"
}

// InvalidListError reports a text that is not an endpoint list. Err is the cause: it wraps ErrMissingID or is an error of
// encoding/json.
type InvalidListError struct{ Err error }

func (e *InvalidListError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidListError) Unwrap() error { return e.Err }

// Problem implements operr.Error.
func (e *InvalidListError) Problem() string { return e.Error() }

// Retryable implements operr.Error.
func (e *InvalidListError) Retryable() bool { return true }

// Remedy implements operr.Error.
func (e *InvalidListError) Remedy() string {
	return "check whether the address is discovery's, and that it answers with a list in its form"
}
