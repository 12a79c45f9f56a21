package wal

import (
	"fmt"
	"slices"
	"sync"
)

// MemoryLog is a Log in memory, whose records are lost when the process ends. The zero value is an empty log.
type MemoryLog struct {
	mu         sync.Mutex
	recovered  RecoveredLog // the contents that Open returns a copy of
	lastNumber uint64
	closed     bool
}

// Open returns the contents of the log, and reopens it after Close.
func (m *MemoryLog) Open() *RecoveredLog {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = false
	return &RecoveredLog{
		SnapshotNumber: m.recovered.SnapshotNumber,
		Snapshot:       slices.Clone(m.recovered.Snapshot),
		Records:        slices.Clone(m.recovered.Records),
	}
}

// Append implements Log.
func (m *MemoryLog) Append(record []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.closed:
		return 0, &ClosedError{"memory"}
	case len(record) > MaxRecordBytes:
		return 0, &TooLargeError{Bytes: len(record), MaxBytes: MaxRecordBytes}
	}
	m.lastNumber++
	m.recovered.Records = append(m.recovered.Records, Record{Number: m.lastNumber, Data: slices.Clone(record)})
	return m.lastNumber, nil
}

// Snapshot implements Log.
func (m *MemoryLog) Snapshot(upTo uint64, state []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.closed:
		return &ClosedError{"memory"}
	case upTo <= m.recovered.SnapshotNumber:
		return nil
	case upTo > m.lastNumber:
		return fmt.Errorf("%w: it covers records up to %d, but the last record is %d", ErrSnapshotAhead, upTo, m.lastNumber)
	}
	m.recovered.Records = slices.DeleteFunc(m.recovered.Records, func(r Record) bool { return r.Number <= upTo })
	m.recovered.SnapshotNumber, m.recovered.Snapshot = upTo, slices.Clone(state)
	return nil
}

// Close implements Log.
func (m *MemoryLog) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return nil
}
