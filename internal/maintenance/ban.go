// Package maintenance keeps the servers that staff took out by hand: a small file each in a folder, which outlives the process
// and is shared with the one that follows it. It decides nothing of what a ban means; the engine does.
package maintenance

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"
)

const (
	lookEvery = 100 * time.Millisecond // the other process's calls hold here within twice this
	knownMost = 16 << 10               // ids once listed that are remembered,
	knownSize = 1 << 20                // and their bytes: they are part of each record that is handed over
	idMost    = 8 << 10                // bytes of an id
	prefix    = "out-"
)

// Errors of calls.
var (
	ErrUnknownServer = errors.New("no server of this id was ever listed")
	ErrNotApplied    = errors.New("not in force yet, call again")
)

// Store is the bans of one gateway. Its methods may be called by any goroutine.
type Store struct {
	dir    string // "": bans are held in memory alone
	logger *slog.Logger
	apply  func(id string, out bool, done func()) // has the engine follow; done once it has

	mu       sync.Mutex // guards what follows, and orders calls and looks
	out      map[string]*entry
	known    map[string]struct{}
	order    []string // of known, the longest known first
	size     int      // their bytes
	lastFail string
}

type entry struct {
	stored bool // its file stands; else it is tried again at each look
}

// New returns a Store whose files are in dir; "" keeps none. What the files hold is taken up by the first Look.
func New(dir string, logger *slog.Logger) *Store {
	return &Store{dir: dir, logger: logger, out: map[string]*entry{}, known: map[string]struct{}{}}
}

// OnChange sets how the engine is told, before the first Look. done may be nil.
func (s *Store) OnChange(apply func(id string, out bool, done func())) { s.apply = apply }

// AddKnown notes ids that discovery has named.
func (s *Store) AddKnown(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.know(id)
	}
}

func (s *Store) know(id string) {
	if _, ok := s.known[id]; ok || len(id) > idMost {
		return
	}
	for len(s.order) >= knownMost || len(s.order) > 0 && s.size+len(id) > knownSize {
		s.size -= len(s.order[0])
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	s.size += len(id)
	s.known[id] = struct{}{}
	s.order = append(s.order, id)
}

// Known lists the ids that were ever listed, as far as they are remembered.
func (s *Store) Known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.order...)
}

// Set takes a server out or puts it back, and returns once that holds here and for the process that follows. It may be
// repeated. Where the folder takes no file a ban holds in this process and is stored as soon as it can be.
func (s *Store) Set(ctx context.Context, id string, out bool) error {
	taken := make(chan struct{})
	if err := s.set(id, out, func() { close(taken) }); err != nil {
		return err
	}
	select {
	case <-taken:
		return nil
	case <-ctx.Done():
		return ErrNotApplied
	}
}

func (s *Store) set(id string, out bool, done func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.known[id]; !ok && s.out[id] == nil {
		return ErrUnknownServer
	}
	if out {
		e := s.out[id]
		if e == nil {
			e = &entry{}
			s.out[id] = e
		}
		s.store(id, e)
	} else {
		if err := s.remove(id); err != nil {
			return err
		}
		delete(s.out, id)
	}
	s.logger.Info("by hand", "server", id, "out", out)
	s.apply(id, out, done)
	return nil
}

func (s *Store) path(id string) string {
	sum := sha256.Sum256([]byte(id))
	return filepath.Join(s.dir, prefix+hex.EncodeToString(sum[:]))
}

// store writes a ban's file whole or not at all.
func (s *Store) store(id string, e *entry) {
	if s.dir == "" {
		return
	}
	err := os.MkdirAll(s.dir, 0o700)
	if err == nil {
		err = renameio.WriteFile(s.path(id), []byte(id), 0o600, renameio.WithTempDir(s.dir))
	}
	e.stored = err == nil
	s.note(err)
}

func (s *Store) remove(id string) error {
	if s.dir == "" {
		return nil
	}
	if err := os.Remove(s.path(id)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("the ban's file stays: %w", err)
	}
	return nil
}

// note logs a fault of the folder once, until it is another.
func (s *Store) note(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != "" && s.lastFail == "" {
		s.logger.Warn("bans are held in memory alone", "err", err)
	}
	s.lastFail = text
}

// Sync takes up what the folder holds: calls that the other process was given since the last look.
func (s *Store) Sync() {
	if s.dir == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	files, err := os.ReadDir(s.dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.note(err)
		return // nothing is known of the files, so nothing changes
	}
	there := make(map[string]bool, len(files))
	for _, f := range files {
		if strings.HasPrefix(f.Name(), prefix) {
			there[f.Name()] = true
		}
	}
	for id, e := range s.out {
		name := filepath.Base(s.path(id))
		switch {
		case there[name]:
			e.stored = true
			delete(there, name)
		case e.stored: // the other process was told to put it back
			delete(s.out, id)
			s.logger.Info("by hand, at the other process", "server", id, "out", false)
			s.apply(id, false, nil)
		default:
			s.store(id, e)
		}
	}
	for name := range there {
		id, err := read(filepath.Join(s.dir, name))
		if err != nil {
			continue // gone again, or no file of ours
		}
		s.know(id)
		s.out[id] = &entry{stored: true}
		s.logger.Info("by hand, at the other process", "server", id, "out", true)
		s.apply(id, true, nil)
	}
}

var errForeign = errors.New("no ban's file")

// read returns the id that a file holds, if its name is that id's.
func read(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	b := make([]byte, idMost+1)
	n, _ := f.Read(b)
	id := string(b[:n])
	sum := sha256.Sum256(b[:n])
	if n > idMost || filepath.Base(path) != prefix+hex.EncodeToString(sum[:]) {
		return "", errForeign
	}
	return id, nil
}

// Run looks again and again until ctx is done.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.Sync()
		}
	}
}
