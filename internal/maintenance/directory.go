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
	maxIDBytes = 8 << 10 // of an id that is kept
	filePrefix = "out-"  // of a file's name, before the hash of the id
	dirMode    = 0o700
	fileMode   = 0o600
)

// errForeignFile says that a file holds something else than the id that its name is of.
var errForeignFile = errors.New("not a file of a server in maintenance mode")

// directory is where the files are, each with an id for its content. The empty one holds none, and takes none.
type directory string

func (d directory) exists() bool { return d != "" }

// fileName is the name of an id's file. The id itself may have any characters.
func fileName(id string) string {
	sum := sha256.Sum256([]byte(id))
	return filePrefix + hex.EncodeToString(sum[:])
}

func (d directory) path(name string) string { return filepath.Join(string(d), name) }

// write makes an id's file as a whole, or not at all.
func (d directory) write(id string) error {
	if !d.exists() {
		return nil
	}
	if err := os.MkdirAll(string(d), dirMode); err != nil {
		return err
	}
	return renameio.WriteFile(d.path(fileName(id)), []byte(id), fileMode, renameio.WithTempDir(string(d)))
}

// remove takes an id's file away, if there is one.
func (d directory) remove(id string) error {
	if !d.exists() {
		return nil
	}
	if err := os.Remove(d.path(fileName(id))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// list returns the names of the files that may be of servers in maintenance mode.
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

// read returns the id that a file holds; errForeignFile where the file's name is of another one.
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
