package wal

import (
	"errors"
	"path/filepath"
)

// temporarySuffix is the suffix of a file that is being written. The file is renamed once it is complete.
const temporarySuffix = ".tmp"

// WriteFileAtomic replaces the content of a file atomically and durably. A crash at any point leaves either the complete old
// file or the complete new file. On failure it returns the errors of the file system.
func WriteFileAtomic(fs FS, name string, content []byte) error {
	temporary := name + temporarySuffix
	f, err := fs.Create(temporary)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = fs.Remove(temporary) // best effort: the next write truncates the file anyway
		return err
	}
	if err := fs.Rename(temporary, name); err != nil {
		_ = fs.Remove(temporary) // best effort: its disk space may be needed
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}
