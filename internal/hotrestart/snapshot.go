// Package hotrestart is what one process of a gateway passes to the next while both run: the clients' listening socket,
// which the next one inherits, and snapshots of its state, which each process leaves in a directory that they share. It
// decides nothing of either.
package hotrestart

import (
	"time"

	"example.org/milletvane/internal/engine"
)

// Snapshot is the state of a process that it leaves for its successor. The keys of its JSON are part of the file format.
type Snapshot struct {
	Process      Process      `json:"Process"`
	WrittenAt    time.Time    `json:"Written"`
	Ready        bool         `json:"Ready"` // the process serves clients
	KnownServers []string     `json:"Known"` // ids of servers that were ever listed
	State        engine.State `json:"State"`
}

// Process identifies one of a gateway's processes.
type Process struct {
	// StartedAt is Unix time in nanoseconds. Who started later is the successor.
	StartedAt int64 `json:"Born"`
	PID       int   `json:"PID"`
}
