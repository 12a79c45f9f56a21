package wal

import (
	"errors"
	"path/filepath"
)

// temporarySuffix ends the name of a file that is being written and renamed when it is complete.
const temporarySuffix = ".tmp"

// WriteFileAtomic replaces a file's content and makes that durable. A crash at any point leaves either the old file or the
// new one, each complete.
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
		_ = fs.Remove(temporary) // best effort: the next write truncates it
		return err
	}
	if err := fs.Rename(temporary, name); err != nil {
		_ = fs.Remove(temporary) // best effort: its space may be needed
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}
