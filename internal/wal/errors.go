package wal

import "fmt"

// NoSpaceError says that the disk has no space for a write. What was stored before is kept, and the log stays usable.
type NoSpaceError struct {
	Dir string
	Err error
}

func (e *NoSpaceError) Error() string { return e.Problem() + ": " + e.Err.Error() }
func (e *NoSpaceError) Unwrap() error { return e.Err }

// Problem implements operr.Error.
func (e *NoSpaceError) Problem() string { return "no space for a record in " + e.Dir }

// Retryable implements operr.Error.
func (e *NoSpaceError) Retryable() bool { return true }

// Remedy implements operr.Error.
func (e *NoSpaceError) Remedy() string {
	return "free space on the disk; nothing that was acknowledged is lost"
}

// WriteFailedError says that a write failed in a way that leaves open what is on the disk. The log refuses all further
// writes; opening it again recovers what is there.
type WriteFailedError struct {
	Dir string
	Err error
}

func (e *WriteFailedError) Error() string { return e.Problem() + ": " + e.Err.Error() }
func (e *WriteFailedError) Unwrap() error { return e.Err }

// Problem implements operr.Error.
func (e *WriteFailedError) Problem() string {
	return "a write failed in " + e.Dir
}

// Retryable implements operr.Error.
func (e *WriteFailedError) Retryable() bool { return false }

// Remedy implements operr.Error.
func (e *WriteFailedError) Remedy() string {
	return "check the disk, then start again: what was acknowledged is read from it"
}

// CorruptionError says that a file of a log is corrupt, other than by a torn write at the log's end. The log does not open.
type CorruptionError struct {
	File          string
	Offset        int64  // of the first byte that is wrong
	QuarantineDir string // where the log's files were moved; empty: they could not be moved
	Reason        string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Problem(), e.Offset, e.Reason)
}

// Problem implements operr.Error.
func (e *CorruptionError) Problem() string { return e.File + " is corrupt" }

// Retryable implements operr.Error.
func (e *CorruptionError) Retryable() bool { return false }

// Remedy implements operr.Error.
func (e *CorruptionError) Remedy() string {
	if e.QuarantineDir == "" {
		return "move the directory away, restore it from a backup, or start with an empty one"
	}
	return "its files are in " + e.QuarantineDir + "; restore them from a backup, or continue with what peers hold"
}

// ClosedError says that a log was used after Close.
type ClosedError struct{ Dir string }

func (e *ClosedError) Error() string { return e.Problem() }

// Problem implements operr.Error.
func (e *ClosedError) Problem() string { return e.Dir + " is closed" }

// Retryable implements operr.Error.
func (e *ClosedError) Retryable() bool { return false }

// Remedy implements operr.Error.
func (e *ClosedError) Remedy() string { return "nothing: the program is stopping" }

// TooLargeError says that a record is longer than MaxRecordBytes.
type TooLargeError struct{ Bytes, MaxBytes int }

func (e *TooLargeError) Error() string { return e.Problem() }

// Problem implements operr.Error.
func (e *TooLargeError) Problem() string { return fmt.Sprintf("a record of %d bytes", e.Bytes) }

// Retryable implements operr.Error.
func (e *TooLargeError) Retryable() bool { return false }

// Remedy implements operr.Error.
func (e *TooLargeError) Remedy() string {
	return fmt.Sprintf("send at most %d bytes in one record", e.MaxBytes)
}
