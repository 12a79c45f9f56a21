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
	logDir           = "lists"                // subdirectory of Options.Dir
	saveInterval     = 200 * time.Millisecond // shortest time between saves, so that lists in quick succession are stored once
	snapshotInterval = 64                     // number of records from one snapshot to the next
)

// record is an endpoint list as stored on the disk.
type record struct {
	UpdatedMS int64 `json:"at"` // Unix milliseconds
	discovery.EndpointList
}

// openLog opens the log and returns the state that it holds. If the log can't be opened, openLog logs the error, and nothing
// is stored.
func (c *Cluster) openLog() recovery.PeerState {
	log, recovered, err := c.openOrQuarantine()
	if err != nil {
		operr.Log(c.opts.Logger, err)
		return recovery.PeerState{}
	}
	c.log = log
	c.recordCount = len(recovered.Records)
	var r record
	if b := latestRecord(recovered); len(b) == 0 || json.Unmarshal(b, &r) != nil {
		return recovery.PeerState{}
	}
	c.list.version, c.list.updatedAt = r.Version, milliseconds(r.UpdatedMS)
	for _, e := range r.Endpoints {
		c.list.byID[e.ID] = e
	}
	return peerState(c.list.version, c.list.updatedAt, r.Endpoints)
}

// openOrQuarantine opens the log. If its files are damaged and have been moved aside, it opens an empty log instead.
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

// latestRecord returns the last record, or the snapshot if there are no records. It is empty if there is neither.
func latestRecord(recovered *wal.RecoveredLog) []byte {
	if n := len(recovered.Records); n > 0 {
		return recovered.Records[n-1].Data
	}
	return recovered.Snapshot
}

// Run stores endpoint lists until ctx is done or the log fails permanently.
func (c *Cluster) Run(ctx context.Context) {
	if c.log == nil {
		return
	}
	saveTimer := time.NewTimer(0)
	defer saveTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-saveTimer.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-c.unsaved:
			if !c.save() {
				return
			}
			saveTimer.Reset(saveInterval)
		}
	}
}

// save stores the current list, and logs the error if that fails. It reports whether the log can still be used. That is also the
// case after a retryable error such as a full disk, because there may be free space again for the next list.
func (c *Cluster) save() bool {
	err := c.appendList()
	if err == nil {
		return true
	}
	operr.Log(c.opts.Logger, err)
	operrError := operr.Find(err)
	return operrError != nil && operrError.Retryable()
}

// appendList appends the list to the log, and replaces the log by a snapshot every snapshotInterval records. Records of
// earlier processes count too.
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
		return err // the next list is appended and then written as a snapshot
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
