// Package maintenance keeps which servers operators have put into maintenance mode: a small file for each in a directory,
// which outlives the process and is shared with the process that follows it in a hot restart. What maintenance mode means
// for requests is the engine's to decide.
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

// syncInterval bounds how late another process's calls hold here: within twice this.
const syncInterval = 100 * time.Millisecond

// Errors of calls. Their texts answer operators' calls over HTTP.
var (
	// ErrUnknownServer says that the id is of no server that discovery ever listed. Check the id.
	ErrUnknownServer = errors.New("no server of this id was ever listed")
	// ErrNotApplied says that the engine did not take the change up in time. Repeat the call.
	ErrNotApplied = errors.New("not in force yet, call again")
)

// ApplyFunc has the engine take up that a server is in maintenance mode, or no longer is. It calls done, unless that is
// nil, once the change holds. It must not call the Store.
type ApplyFunc func(id string, inMaintenance bool, done func())

// Store holds the servers that are in maintenance mode at one gateway. Its methods may be called by any goroutine, but for
// OnChange, which comes before all others.
type Store struct {
	dir    directory
	logger *slog.Logger
	apply  ApplyFunc

	mu sync.Mutex // for all that follows; it orders calls and syncs
	// The servers in maintenance mode by id; false where the file could not be written, which the next sync tries again.
	persisted map[string]bool
	known     knownServers
	// The directory failed and has taken no file since; this was logged.
	failing bool
}

// New returns a Store whose files are in dir; "" keeps maintenance mode in memory alone. What the files hold is taken up
// by the first Sync.
func New(dir string, logger *slog.Logger) *Store {
	return &Store{dir: directory(dir), logger: logger, persisted: map[string]bool{}}
}

// OnChange sets how changes reach the engine, before all other calls.
func (s *Store) OnChange(apply ApplyFunc) { s.apply = apply }

// AddKnown remembers ids that discovery has listed. The ids known for longest are forgotten where there are too many.
func (s *Store) AddKnown(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.known.add(id)
	}
}

// Known returns the ids that were ever listed, as far as they are remembered, those known for longest first.
func (s *Store) Known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.list()
}

// Set puts a server into maintenance mode or ends that, and returns once this holds here and for the process that follows.
// It may be repeated. Where the directory takes no file, maintenance mode holds in this process and is written as soon as
// that is possible. The errors are ErrUnknownServer, ErrNotApplied where ctx ends first, and that of a file which can't be
// removed: the server stays in maintenance mode then.
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
			return fmt.Errorf("the ban's file stays: %w", err)
		}
		delete(s.persisted, id)
	}
	s.logger.Info("maintenance mode changed", "server", id, "enabled", inMaintenance)
	s.apply(id, inMaintenance, done)
	return nil
}

// persist writes a server's file. What fails is tried again at the next sync.
func (s *Store) persist(id string) {
	err := s.dir.write(id)
	s.persisted[id] = err == nil
	s.logFailure(err)
}

// logFailure logs that the directory fails once, until it takes a file again.
func (s *Store) logFailure(err error) {
	if err != nil && !s.failing {
		s.logger.Warn("maintenance mode not persisted", "err", err)
	}
	s.failing = err != nil
}

// Sync takes up what the directory holds: calls that another process was given since the last sync.
func (s *Store) Sync() {
	if !s.dir.exists() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	files, err := s.dir.list()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.logFailure(err)
		return // nothing is known of the files, so nothing changes
	}
	s.syncOwn(files)
	s.adopt(files)
}

// syncOwn compares the servers in maintenance mode with the files, and takes their files out of the set.
func (s *Store) syncOwn(files map[string]bool) {
	for id, persisted := range s.persisted {
		name := fileName(id)
		switch {
		case files[name]:
			s.persisted[id] = true
			delete(files, name)
		case persisted: // another process ended it
			delete(s.persisted, id)
			s.logger.Info("maintenance mode changed by another process", "server", id, "enabled", false)
			s.apply(id, false, nil)
		default:
			s.persist(id)
		}
	}
}

// adopt takes up the files of servers that are not in maintenance mode here.
func (s *Store) adopt(files map[string]bool) {
	for name := range files {
		id, err := s.dir.read(name)
		if err != nil {
			continue // gone again, or not a file of ours
		}
		s.known.add(id)
		s.persisted[id] = true
		s.logger.Info("maintenance mode changed by another process", "server", id, "enabled", true)
		s.apply(id, true, nil)
	}
}

// Run syncs at intervals until ctx is done.
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
