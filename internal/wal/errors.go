package wal

import "fmt"

// NoSpaceError says that the disk has no room for a record. What was stored before stays, and is served.
type NoSpaceError struct {
	Dir string
	Err error
}

func (e *NoSpaceError) Error() string   { return e.Problem() + ": " + e.Err.Error() }
func (e *NoSpaceError) Unwrap() error   { return e.Err }
func (e *NoSpaceError) Problem() string { return "no room for a record in " + e.Dir }
func (e *NoSpaceError) Retryable() bool { return true }
func (e *NoSpaceError) Remedy() string {
	return "free room on the disk; nothing that was acknowledged is lost"
}

// WriteFailedError says that a store takes nothing more, since a write to disk failed in a way that leaves open what is there.
// It is opened anew with the next start, which reads what is there.
type WriteFailedError struct {
	Dir string
	Err error
}

func (e *WriteFailedError) Error() string { return e.Problem() + ": " + e.Err.Error() }
func (e *WriteFailedError) Unwrap() error { return e.Err }
func (e *WriteFailedError) Problem() string {
	return "the disk did not keep what was written to " + e.Dir
}
func (e *WriteFailedError) Retryable() bool { return false }
func (e *WriteFailedError) Remedy() string {
	return "look at the disk, then start again: what was acknowledged is read from it"
}

// CorruptionError says that a file of a store is damaged in its middle. The store does not open; its files are put aside whole.
type CorruptionError struct {
	File          string // that is damaged
	Offset        int64  // offset of the first byte that is wrong
	QuarantineDir string // where the store's files are now; empty: they could not be moved
	Reason        string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Problem(), e.Offset, e.Reason)
}
func (e *CorruptionError) Problem() string { return e.File + " is damaged" }
func (e *CorruptionError) Retryable() bool { return false }
func (e *CorruptionError) Remedy() string {
	if e.QuarantineDir == "" {
		return "move the folder away, bring it back from a copy, or start with an empty one"
	}
	return "its files are in " + e.QuarantineDir + "; bring them back from a copy, or go on with what peers hold"
}

// ClosedError says that a store was used after Close.
type ClosedError struct{ Dir string }

func (e *ClosedError) Error() string   { return e.Problem() }
func (e *ClosedError) Problem() string { return e.Dir + " is closed" }
func (e *ClosedError) Retryable() bool { return false }
func (e *ClosedError) Remedy() string  { return "nothing: the program is ending" }

// TooLargeError says that a record is longer than a store takes.
type TooLargeError struct{ Bytes, Most int }

func (e *TooLargeError) Error() string   { return e.Problem() }
func (e *TooLargeError) Problem() string { return fmt.Sprintf("a record of %d bytes", e.Bytes) }
func (e *TooLargeError) Retryable() bool { return false }
func (e *TooLargeError) Remedy() string  { return fmt.Sprintf("send at most %d bytes in one", e.Most) }
