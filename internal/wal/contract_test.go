package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"

	"example.org/milletvane/internal/wal"
	"example.org/milletvane/internal/wal/faultfs"
)

// logFixture is a log together with its storage.
type logFixture interface {
	Open() (wal.Log, *wal.RecoveredLog, error)
	// Crash simulates a loss of power. The Log that was open is not used again.
	Crash()
}

type memoryFixture struct{ log wal.MemoryLog }

func (r *memoryFixture) Open() (wal.Log, *wal.RecoveredLog, error) { return &r.log, r.log.Open(), nil }
func (r *memoryFixture) Crash()                                    {}

type osFixture struct{ dir string }

func (r *osFixture) Open() (wal.Log, *wal.RecoveredLog, error) {
	return asLog(wal.Open(wal.OSFS{}, r.dir, smallOpts))
}
func (r *osFixture) Crash() {}

type faultyFixture struct{ *faultfs.FS }

func (r faultyFixture) Open() (wal.Log, *wal.RecoveredLog, error) {
	return asLog(wal.Open(r.FS, "d", smallOpts))
}

func asLog(l *wal.FileLog, r *wal.RecoveredLog, err error) (wal.Log, *wal.RecoveredLog, error) {
	if err != nil {
		return nil, nil, err // returning l would give a non-nil Log that holds a nil pointer
	}
	return l, r, nil
}

// Runs the same tests on every implementation of Log. newFixture returns a new, empty log; seed decides its faults.
func TestLogContract(t *testing.T) {
	for name, newFixture := range map[string]func(dir string, seed uint64) logFixture{
		"memory":     func(string, uint64) logFixture { return &memoryFixture{} },
		"disk":       func(dir string, _ uint64) logFixture { return &osFixture{filepath.Join(dir, "d")} },
		"power loss": func(_ string, seed uint64) logFixture { return faultyFixture{faultfs.New(seed)} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("order", func(t *testing.T) { testOrder(t, newFixture(t.TempDir(), 1)) })
			t.Run("snapshot", func(t *testing.T) { testSnapshot(t, newFixture(t.TempDir(), 2)) })
			t.Run("concurrent appends", func(t *testing.T) { testConcurrentAppends(t, newFixture(t.TempDir(), 3)) })
			t.Run("limits", func(t *testing.T) { testLimits(t, newFixture(t.TempDir(), 4)) })
			t.Run("crashes", func(t *testing.T) {
				for seed := range uint64(60) {
					if testCrashes(t, newFixture(t.TempDir(), seed), seed); t.Failed() {
						return
					}
				}
			})
		})
	}
}

func mustOpen(t *testing.T, fixture logFixture) (wal.Log, *wal.RecoveredLog) {
	t.Helper()
	l, recovered, err := fixture.Open()
	if err != nil {
		t.Fatal(err)
	}
	return l, recovered
}

func mustClose(t *testing.T, l wal.Log) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// Checks that records are recovered in order, with their numbers, after a crash and after Close.
func testOrder(t *testing.T, fixture logFixture) {
	t.Helper()
	const count = 50
	content := func(i int) []byte { return bytes.Repeat([]byte{byte(i)}, i*40) }
	l, recovered := mustOpen(t, fixture)
	if recovered.LastNumber() != 0 || len(recovered.Records) != 0 {
		t.Fatalf("new log holds %+v, want no records", recovered)
	}
	for i := range count {
		if n, err := l.Append(content(i)); err != nil || n != uint64(i+1) {
			t.Fatalf("Append of record %d returned number %d, error %v", i+1, n, err)
		}
	}
	for _, closed := range []bool{false, true} {
		if closed {
			mustClose(t, l)
		} else {
			fixture.Crash()
		}
		l, recovered = mustOpen(t, fixture)
		if len(recovered.Records) != count || recovered.LastNumber() != count {
			t.Fatalf("closed %v: got %d records, last number %d", closed, len(recovered.Records), recovered.LastNumber())
		}
		for i, got := range recovered.Records {
			if got.Number != uint64(i+1) || !bytes.Equal(got.Data, content(i)) {
				t.Fatalf("closed %v: record %d has number %d and wrong data or %d bytes", closed, i+1, got.Number, len(got.Data))
			}
		}
	}
	mustClose(t, l)
}

// Checks that a snapshot replaces the records that it covers, and that the numbers of later records continue.
func testSnapshot(t *testing.T, fixture logFixture) {
	t.Helper()
	l, _ := mustOpen(t, fixture)
	for i := range 10 {
		if _, err := l.Append([]byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Snapshot(7, []byte("seven")); err != nil {
		t.Fatal(err)
	}
	if err := l.Snapshot(3, []byte("old")); err != nil { // covers less than the existing snapshot
		t.Fatal(err)
	}
	if err := l.Snapshot(11, []byte("ahead")); !errors.Is(err, wal.ErrSnapshotAhead) {
		t.Errorf("snapshot of records that were not appended: got error %v, want ErrSnapshotAhead", err)
	}
	fixture.Crash()
	l, recovered := mustOpen(t, fixture)
	if recovered.SnapshotNumber != 7 || string(recovered.Snapshot) != "seven" ||
		len(recovered.Records) != 3 || recovered.Records[0].Number != 8 {
		t.Fatalf("got %+v, want a snapshot up to 7 and records 8 to 10", recovered)
	}
	if err := l.Snapshot(10, []byte("ten")); err != nil {
		t.Fatal(err)
	}
	if n, err := l.Append([]byte("on")); n != 11 || err != nil {
		t.Fatalf("Append returned number %d, error %v, want number 11", n, err)
	}
	fixture.Crash()
	_, recovered = mustOpen(t, fixture)
	if recovered.SnapshotNumber != 10 || string(recovered.Snapshot) != "ten" ||
		len(recovered.Records) != 1 || recovered.LastNumber() != 11 {
		t.Fatalf("got %+v, want a snapshot up to 10 and record 11", recovered)
	}
}

// Checks that records that many goroutines append get unique numbers and are all recovered.
func testConcurrentAppends(t *testing.T, fixture logFixture) {
	t.Helper()
	l, _ := mustOpen(t, fixture)
	var mu sync.Mutex
	var wg sync.WaitGroup
	acknowledged := map[uint64]string{}
	for g := range 8 {
		wg.Go(func() {
			for i := range 50 {
				text := fmt.Sprint(g, "-", i)
				n, err := l.Append([]byte(text))
				mu.Lock()
				if _, duplicate := acknowledged[n]; err != nil || duplicate {
					t.Errorf("Append(%s) returned number %d (duplicate: %v), error %v", text, n, duplicate, err)
				}
				acknowledged[n] = text
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fixture.Crash()
	_, recovered := mustOpen(t, fixture)
	if len(recovered.Records) != 400 {
		t.Fatalf("got %d records, want 400", len(recovered.Records))
	}
	for _, got := range recovered.Records {
		if acknowledged[got.Number] != string(got.Data) {
			t.Fatalf("record %d: got %q, want %q", got.Number, got.Data, acknowledged[got.Number])
		}
	}
}

// Checks the results for a record that is too large, for an empty record, and for a log that is closed.
func testLimits(t *testing.T, fixture logFixture) {
	t.Helper()
	l, _ := mustOpen(t, fixture)
	var tooLarge *wal.TooLargeError
	if _, err := l.Append(make([]byte, wal.MaxRecordBytes+1)); !errors.As(err, &tooLarge) {
		t.Errorf("Append of a record that is too large: got error %v, want a TooLargeError", err)
	}
	if n, err := l.Append(nil); n != 1 || err != nil {
		t.Errorf("Append of an empty record returned number %d, error %v, want number 1", n, err)
	}
	mustClose(t, l)
	var closed *wal.ClosedError
	if _, err := l.Append(nil); !errors.As(err, &closed) {
		t.Errorf("Append after Close: got error %v, want a ClosedError", err)
	}
	if err := l.Snapshot(1, nil); !errors.As(err, &closed) {
		t.Errorf("Snapshot after Close: got error %v, want a ClosedError", err)
	}
	if err := l.Close(); err != nil {
		t.Errorf("second Close: %v", err)
	}
}

// Appends, takes snapshots and crashes in a random order. Checks that exactly the acknowledged records are recovered, in
// order.
func testCrashes(t *testing.T, fixture logFixture, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 1))
	l, _ := mustOpen(t, fixture)
	var acknowledged []string // the record with number n is at index n-1
	for range 60 {
		switch rnd.IntN(10) {
		case 0:
			fixture.Crash()
			var recovered *wal.RecoveredLog
			l, recovered = mustOpen(t, fixture)
			checkRecovered(t, seed, recovered, acknowledged)
		case 1:
			if n := len(acknowledged); n > 0 {
				upTo := 1 + rnd.IntN(n)
				if err := l.Snapshot(uint64(upTo), fmt.Append(nil, "state ", upTo)); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		default:
			b := make([]byte, rnd.IntN(3000))
			for i := range b {
				b[i] = byte(rnd.IntN(3)) // includes runs of zeros
			}
			n, err := l.Append(b)
			if err != nil || int(n) != len(acknowledged)+1 {
				t.Fatalf("seed %d: Append returned number %d, error %v, want number %d", seed, n, err, len(acknowledged)+1)
			}
			acknowledged = append(acknowledged, string(b))
		}
	}
	mustClose(t, l)
}

func checkRecovered(t *testing.T, seed uint64, r *wal.RecoveredLog, acknowledged []string) {
	t.Helper()
	if int(r.LastNumber()) != len(acknowledged) || int(r.SnapshotNumber)+len(r.Records) != len(acknowledged) {
		t.Fatalf("seed %d: got a snapshot up to %d and %d records, want %d records in total",
			seed, r.SnapshotNumber, len(r.Records), len(acknowledged))
	}
	if r.SnapshotNumber > 0 && string(r.Snapshot) != fmt.Sprint("state ", r.SnapshotNumber) {
		t.Fatalf("seed %d: got state %q for the snapshot up to %d", seed, r.Snapshot, r.SnapshotNumber)
	}
	for _, got := range r.Records {
		if acknowledged[got.Number-1] != string(got.Data) {
			t.Fatalf("seed %d: record %d differs", seed, got.Number)
		}
	}
}
