// Package maintenance stores which servers operators have put into maintenance mode. It keeps a small file for each such
// server in a directory, which outlives the process and is shared with the successor in a hot restart. The engine decides
// what maintenance mode means for requests.
package maintenance

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"sync"
	"time"
)

// syncInterval is the interval between syncs with the directory. A change by another process takes effect here within twice
// this time.
const syncInterval = 100 * time.Millisecond

// Errors of Set. The admin server returns their texts to operators over HTTP.
var (
	// ErrUnknownServer is returned for an id of a server that discovery has never listed. The operator should check the id.
	ErrUnknownServer = errors.New("no server of this id was ever listed")
	// ErrNotApplied is returned if the engine has not applied the change in time. The operator should repeat the call.
	ErrNotApplied = errors.New("not in force yet, call again")
)

// ApplyFunc tells the engine that a server is in maintenance mode or no longer is. It calls done, unless that is nil, once the
// change is in effect. It must not call the Store.
type ApplyFunc func(id string, inMaintenance bool, done func())

// Store holds the servers that are in maintenance mode at one gateway. Its methods may be called from any goroutine, except
// SetApplyFunc, which must be called before all others.
type Store struct {
	dir    directory
	logger *slog.Logger
	apply  ApplyFunc

	mu sync.Mutex // guards the fields below and serializes calls and syncs
	// The servers in maintenance mode by id. The value is false if the file could not be written; the next sync retries that.
	persisted map[string]bool
	known     knownServers
	// The directory has failed and no file has been written since. The failure has been logged.
	failing bool
}

// New returns a Store whose files are in dir. If dir is empty, maintenance mode is kept only in memory. Existing files are
// read by the first Sync.
func New(dir string, logger *slog.Logger) *Store {
	return &Store{dir: directory(dir), logger: logger, persisted: map[string]bool{}}
}

// SetApplyFunc sets the function that passes changes to the engine. It must be called before all other methods.
func (s *Store) SetApplyFunc(apply ApplyFunc) { s.apply = apply }

// AddKnown adds ids that discovery has listed. If there are too many, the oldest ids are forgotten.
func (s *Store) AddKnown(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.known.add(id)
	}
}

// Known returns the remembered ids of servers that discovery has listed, oldest first.
func (s *Store) Known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.list()
}

// Set enables or disables maintenance mode for a server, and returns once the change is in effect in this process and stored
// for its successor. Set is idempotent. If the file cannot be written, maintenance mode is in effect in this process, and the
// file is written as soon as possible. Set returns ErrUnknownServer for an unknown id, ErrNotApplied if ctx is done before the
// change is in effect, or the error of removing the file; in the last case the server stays in maintenance mode.
func (s *Store) Set(ctx context.Context, id string, inMaintenance bool) error {
	applied := make(chan struct{})
	if err := s.change(id, inMaintenance, func() { close(applied) }); err != nil {
		return err
	}
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return ErrNotApplied
	}
}

func (s *Store) change(id string, inMaintenance bool, done func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.persisted[id]; !found && !s.known.has(id) {
		return ErrUnknownServer
	}
	if inMaintenance {
		s.persist(id)
	} else {
		if err := s.dir.remove(id); err != nil {
			return fmt.Errorf("maintenance mode not ended: %w", err)
		}
		delete(s.persisted, id)
	}
	s.logger.Info("maintenance mode changed", "server", id, "enabled", inMaintenance)
	s.apply(id, inMaintenance, done)
	return nil
}

// persist writes a server's file. The next sync retries a failed write.
func (s *Store) persist(id string) {
	err := s.dir.write(id)
	s.persisted[id] = err == nil
	s.logFailure(err)
}

// logFailure logs a failure of the directory, but no further ones until a file has been written again.
func (s *Store) logFailure(err error) {
	if err != nil && !s.failing {
		s.logger.Warn("maintenance mode not persisted", "err", err)
	}
	s.failing = err != nil
}

// Sync applies the changes that other processes have made to the directory since the last sync.
func (s *Store) Sync() {
	if !s.dir.isConfigured() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	files, err := s.dir.list()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.logFailure(err)
		return // without the list of files, no change can be detected
	}
	s.syncOwn(files)
	s.syncOthers(files)
}

// syncOwn compares the servers that are in maintenance mode here with the files, and removes the matching files from the set.
func (s *Store) syncOwn(files map[string]bool) {
	for id, persisted := range s.persisted {
		name := fileName(id)
		switch {
		case files[name]:
			s.persisted[id] = true
			delete(files, name)
		case persisted: // another process has ended maintenance mode
			delete(s.persisted, id)
			s.logger.Info("maintenance mode changed by another process", "server", id, "enabled", false)
			s.apply(id, false, nil)
		default:
			s.persist(id)
		}
	}
}

// syncOthers puts each server that has one of the files, but is not in maintenance mode here, into maintenance mode.
func (s *Store) syncOthers(files map[string]bool) {
	for name := range files {
		id, err := s.dir.read(name)
		if err != nil {
			continue // the file was removed meanwhile or is not a maintenance file
		}
		s.known.add(id)
		s.persisted[id] = true
		s.logger.Info("maintenance mode changed by another process", "server", id, "enabled", true)
		s.apply(id, true, nil)
	}
}

// Run calls Sync at regular intervals until ctx is done.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Sync()
		}
	}
}
