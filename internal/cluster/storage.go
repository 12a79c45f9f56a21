package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"path/filepath"
	"time"

	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/operr"
	"example.org/milletvane/internal/wal"
)

const (
	logDir           = "lists"                // in Options.Dir
	saveInterval     = 200 * time.Millisecond // at least, so that lists in quick succession are stored once
	snapshotInterval = 64                     // records from one snapshot to the next
)

// record is an endpoint list on the disk.
type record struct {
	UpdatedMS int64 `json:"at"`
	discovery.EndpointList
}

// openLog opens the log and returns the state that it holds. Without a log, which is logged, nothing is stored.
func (c *Cluster) openLog() recovery.PeerState {
	log, recovered, err := c.openOrQuarantine()
	if err != nil {
		operr.Log(c.opts.Logger, err)
		return recovery.PeerState{}
	}
	c.log = log
	c.recordCount = len(recovered.Records)
	var r record
	if b := latest(recovered); len(b) == 0 || json.Unmarshal(b, &r) != nil {
		return recovery.PeerState{}
	}
	c.list.version, c.list.updatedAt = r.Version, milliseconds(r.UpdatedMS)
	for _, e := range r.Endpoints {
		c.list.byID[e.ID] = e
	}
	return stateOf(c.list.version, c.list.updatedAt, r.Endpoints)
}

// openOrQuarantine opens the log, or an empty one where its files were damaged and have been moved aside.
func (c *Cluster) openOrQuarantine() (wal.Log, *wal.RecoveredLog, error) {
	dir, options := filepath.Join(c.opts.Dir, logDir), wal.Options{Logger: c.opts.Logger}
	log, recovered, err := wal.Open(c.opts.FS, dir, options)
	var corruption *wal.CorruptionError
	if errors.As(err, &corruption) && corruption.QuarantineDir != "" {
		operr.Log(c.opts.Logger, err)
		return wal.Open(c.opts.FS, dir, options)
	}
	return log, recovered, err
}

// latest returns the last record or else the snapshot, empty where there is neither.
func latest(recovered *wal.RecoveredLog) []byte {
	if n := len(recovered.Records); n > 0 {
		return recovered.Records[n-1].Data
	}
	return recovered.Snapshot
}

// Run stores endpoint lists until ctx is done, or until the log fails for good.
func (c *Cluster) Run(ctx context.Context) {
	if c.log == nil {
		return
	}
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-c.unsaved:
			if !c.save() {
				return
			}
			pause.Reset(saveInterval)
		}
	}
}

// save stores the list as it is, logs an error, and reports whether the log is still of use. A full disk is: it may have
// room again for the next list.
func (c *Cluster) save() bool {
	err := c.appendList()
	if err == nil {
		return true
	}
	operr.Log(c.opts.Logger, err)
	explained := operr.Of(err)
	return explained != nil && explained.Retryable()
}

// appendList appends the list to the log, and replaces the log by a snapshot every snapshotInterval records, of whichever
// process.
func (c *Cluster) appendList() error {
	content := encode(c.currentRecord())
	number, err := c.log.Append(content)
	if err != nil {
		return err
	}
	c.recordCount++
	if c.recordCount < snapshotInterval {
		return nil
	}
	if err := c.log.Snapshot(number, content); err != nil {
		return err // the next list's takes its place
	}
	c.recordCount = 0
	return nil
}

func (c *Cluster) currentRecord() record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return record{
		UpdatedMS: c.list.updatedAt.Milliseconds(),
		EndpointList: discovery.EndpointList{
			Version: c.list.version, Complete: true, Endpoints: c.list.sorted(),
		},
	}
}

func (c *Cluster) closeLog() error {
	if c.log == nil {
		return nil
	}
	return c.log.Close()
}
