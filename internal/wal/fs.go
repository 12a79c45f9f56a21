package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a disk that a store needs: a seam where tests put disks that fail. Names are paths.
type FS interface {
	MkdirAll(dir string) error
	List(dir string) ([]string, error) // the names in it, without the folder
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error) // new, or empty
	Append(name string) (File, error) // opened at its end
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error // makes creations, renames and removals in it durable
}

// File is a file that is written at its end.
type File interface {
	io.Writer
	Truncate(size int64) error // and goes on writing there
	Sync() error
	Close() error
}

// IsFull reports whether an error says that a disk, or a quota or limit on it, has no room.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// OSFS is the operating system's.
type OSFS struct{}

func (OSFS) MkdirAll(dir string) error            { return os.MkdirAll(dir, 0o700) }
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }
func (OSFS) Rename(from, to string) error         { return os.Rename(from, to) }
func (OSFS) Remove(name string) error             { return os.Remove(name) }

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
	return open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// Append implements FS.
func (OSFS) Append(name string) (File, error) { return open(name, os.O_WRONLY|os.O_APPEND) }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func open(name string, flags int) (File, error) {
	f, err := os.OpenFile(name, flags, 0o600)
	if err != nil {
		return nil, err // not a File that holds a nil pointer
	}
	return f, nil
}
