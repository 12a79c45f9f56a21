package wal

import "fmt"

// NoSpaceError reports that the disk has no space for a write. Data stored earlier is kept, and the log remains usable.
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
	return "free space on the disk; no acknowledged record is lost"
}

// WriteFailedError reports that a write failed and that the content of the disk is unknown since then. The log rejects all
// further writes; opening it again recovers the data on the disk.
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
	return "check the disk, then restart: acknowledged records are recovered from it"
}

// CorruptionError reports that a file of a log is corrupt in a way that a torn write at the end of the log does not
// explain. The log does not open.
type CorruptionError struct {
	File          string
	Offset        int64  // byte offset in File of the part that does not decode
	QuarantineDir string // directory that the log's files were moved to; empty if they could not be moved
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
		return "move the directory away, restore it from a backup, or start with an empty directory"
	}
	return "its files are in " + e.QuarantineDir + "; restore them from a backup, or continue with the data of the peers"
}

// ClosedError reports that a log was used after Close.
type ClosedError struct{ Dir string }

func (e *ClosedError) Error() string { return e.Problem() }

// Problem implements operr.Error.
func (e *ClosedError) Problem() string { return e.Dir + " is closed" }

// Retryable implements operr.Error.
func (e *ClosedError) Retryable() bool { return false }

// Remedy implements operr.Error.
func (e *ClosedError) Remedy() string { return "no action is needed: the program is shutting down" }

// TooLargeError reports that a record is longer than MaxRecordBytes.
type TooLargeError struct{ Bytes, MaxBytes int }

func (e *TooLargeError) Error() string { return e.Problem() }

// Problem implements operr.Error.
func (e *TooLargeError) Problem() string {
	return fmt.Sprintf("record of %d bytes is too large", e.Bytes)
}

// Retryable implements operr.Error.
func (e *TooLargeError) Retryable() bool { return false }

// Remedy implements operr.Error.
func (e *TooLargeError) Remedy() string {
	return fmt.Sprintf("append records of at most %d bytes", e.MaxBytes)
}
