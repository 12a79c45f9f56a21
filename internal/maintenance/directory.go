package maintenance

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
)

const (
	maxIDBytes = 8 << 10 // maximum length of a stored id
	filePrefix = "out-"  // precedes the hash of the id in a file name
	dirMode    = 0o700
	fileMode   = 0o600
)

// errForeignFile is returned for a file whose name is not derived from the hash of its content, or whose content is too long.
var errForeignFile = errors.New("not a file of a server in maintenance mode")

// directory is the path of the directory that has one file for each server in maintenance mode; the content of a file is the
// server's id. If the path is empty, nothing is stored.
type directory string

func (d directory) isConfigured() bool { return d != "" }

// fileName returns the name of an id's file. The name is a hash, because an id may have any characters.
func fileName(id string) string {
	sum := sha256.Sum256([]byte(id))
	return filePrefix + hex.EncodeToString(sum[:])
}

func (d directory) path(name string) string { return filepath.Join(string(d), name) }

// write atomically creates an id's file.
func (d directory) write(id string) error {
	if !d.isConfigured() {
		return nil
	}
	if err := os.MkdirAll(string(d), dirMode); err != nil {
		return err
	}
	return renameio.WriteFile(d.path(fileName(id)), []byte(id), fileMode, renameio.WithTempDir(string(d)))
}

// remove removes an id's file. It is not an error if there is none.
func (d directory) remove(id string) error {
	if !d.isConfigured() {
		return nil
	}
	if err := os.Remove(d.path(fileName(id))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// list returns the names of the files that have the prefix of maintenance files.
func (d directory) list() (names map[string]bool, err error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names = make(map[string]bool, len(entries))
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), filePrefix) {
			names[entry.Name()] = true
		}
	}
	return names, nil
}

// read returns the id that a file holds. It returns errForeignFile if the id is too long or does not match the file's name.
func (d directory) read(name string) (id string, err error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	text, err := io.ReadAll(io.LimitReader(f, maxIDBytes+1))
	if err != nil {
		return "", err
	}
	id = string(text)
	if len(id) > maxIDBytes || fileName(id) != name {
		return "", errForeignFile
	}
	return id, nil
}
