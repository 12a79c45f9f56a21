// Package hotrestart hands over state between successive processes of a gateway while both run: it prepares the clients'
// listening socket, which the successor inherits, and reads and writes the snapshots of state that each process leaves in a
// shared directory. It does not decide how a process uses them.
package hotrestart

import (
	"time"

	"example.org/milletvane/internal/engine"
)

// Snapshot is the state that a process writes for its successor. The JSON keys are part of the file format.
type Snapshot struct {
	Process      Process      `json:"Process"`
	WrittenAt    time.Time    `json:"Written"`
	Ready        bool         `json:"Ready"` // the process serves clients
	KnownServers []string     `json:"Known"` // ids of the servers that discovery has ever listed
	State        engine.State `json:"State"`
}

// Process identifies one process of a gateway.
type Process struct {
	// StartedAt is the start time as Unix time in nanoseconds. Of two processes, the one that started later is the successor.
	StartedAt int64 `json:"Born"`
	PID       int   `json:"PID"`
}
