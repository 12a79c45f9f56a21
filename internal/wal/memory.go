package wal

import (
	"fmt"
	"slices"
	"sync"
)

// MemoryLog is a Store that lasts as long as the program: for instances without a disk, and for tests.
type MemoryLog struct {
	mu     sync.Mutex
	held   RecoveredLog
	last   uint64
	closed bool
}

// Open returns what it holds, and opens it again where it was closed.
func (m *MemoryLog) Open() *RecoveredLog {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = false
	return &RecoveredLog{SnapshotNumber: m.held.SnapshotNumber, Snapshot: slices.Clone(m.held.Snapshot), Records: slices.Clone(m.held.Records)}
}

// Append implements Store.
func (m *MemoryLog) Append(record []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.closed:
		return 0, &ClosedError{"memory"}
	case len(record) > MaxRecordBytes:
		return 0, &TooLargeError{Bytes: len(record), Most: MaxRecordBytes}
	}
	m.last++
	m.held.Records = append(m.held.Records, Record{Number: m.last, Data: slices.Clone(record)})
	return m.last, nil
}

// Snapshot implements Store.
func (m *MemoryLog) Snapshot(upTo uint64, state []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.closed:
		return &ClosedError{"memory"}
	case upTo <= m.held.SnapshotNumber:
		return nil
	case upTo > m.last:
		return fmt.Errorf("store: a state of record %d, where the last is %d", upTo, m.last)
	}
	m.held.Records = slices.DeleteFunc(m.held.Records, func(r Record) bool { return r.Number <= upTo })
	m.held.SnapshotNumber, m.held.Snapshot = upTo, slices.Clone(state)
	return nil
}

// Close implements Store.
func (m *MemoryLog) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return nil
}
