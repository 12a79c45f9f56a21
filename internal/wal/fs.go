package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the set of file system operations that a log needs. Tests implement it with file systems that inject faults. Names
// are paths.
type FS interface {
	MkdirAll(dir string) error
	List(dir string) ([]string, error) // returns the base names of the files in dir
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error) // creates or truncates a file
	Append(name string) (File, error) // opens an existing file to write at its end
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error // makes file creations, renames and removals in dir durable
}

// File is a file that is open for writing at its end.
type File interface {
	io.Writer
	Truncate(size int64) error // later writes start at the new end of the file
	Sync() error
	Close() error
}

// IsNoSpace reports whether an error means that the disk is full, or that a disk quota or a file size limit is reached.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Files and directories are accessible to their owner only.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OSFS is the operating system's file system.
type OSFS struct{}

// MkdirAll implements FS.
func (OSFS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// ReadFile implements FS.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// List implements FS.
func (OSFS) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Create implements FS.
func (OSFS) Create(name string) (File, error) {
	return openFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// Append implements FS.
func (OSFS) Append(name string) (File, error) { return openFile(name, os.O_WRONLY|os.O_APPEND) }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func openFile(name string, flags int) (File, error) {
	f, err := os.OpenFile(name, flags, fileMode)
	if err != nil {
		return nil, err // returning f would give a non-nil File that holds a nil pointer
	}
	return f, nil
}
