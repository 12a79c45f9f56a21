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

// logRig is one log with what it is stored on.
type logRig interface {
	Open() (wal.Log, *wal.RecoveredLog, error)
	// Crash ends the log as a loss of power does. The Log that was open is not used again.
	Crash()
}

type memoryRig struct{ log wal.MemoryLog }

func (r *memoryRig) Open() (wal.Log, *wal.RecoveredLog, error) { return &r.log, r.log.Open(), nil }
func (r *memoryRig) Crash()                                    {}

type osRig struct{ dir string }

func (r *osRig) Open() (wal.Log, *wal.RecoveredLog, error) {
	return asLog(wal.Open(wal.OSFS{}, r.dir, small))
}
func (r *osRig) Crash() {}

type faultyRig struct{ *faultfs.FS }

func (r faultyRig) Open() (wal.Log, *wal.RecoveredLog, error) {
	return asLog(wal.Open(r.FS, "d", small))
}

func asLog(l *wal.FileLog, r *wal.RecoveredLog, err error) (wal.Log, *wal.RecoveredLog, error) {
	if err != nil {
		return nil, nil, err // not a Log that holds a nil pointer
	}
	return l, r, nil
}

// Every implementation of Log has to pass the same tests. newRig returns a new, empty log; seed decides its faults.
func TestLogContract(t *testing.T) {
	for name, newRig := range map[string]func(dir string, seed uint64) logRig{
		"memory":     func(string, uint64) logRig { return &memoryRig{} },
		"disk":       func(dir string, _ uint64) logRig { return &osRig{filepath.Join(dir, "d")} },
		"power loss": func(_ string, seed uint64) logRig { return faultyRig{faultfs.New(seed)} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("order", func(t *testing.T) { testOrder(t, newRig(t.TempDir(), 1)) })
			t.Run("snapshot", func(t *testing.T) { testSnapshot(t, newRig(t.TempDir(), 2)) })
			t.Run("concurrent appends", func(t *testing.T) { testConcurrentAppends(t, newRig(t.TempDir(), 3)) })
			t.Run("bounds", func(t *testing.T) { testBounds(t, newRig(t.TempDir(), 4)) })
			t.Run("crashes", func(t *testing.T) {
				for seed := range uint64(60) {
					if testCrashes(t, newRig(t.TempDir(), seed), seed); t.Failed() {
						return
					}
				}
			})
		})
	}
}

func mustOpen(t *testing.T, r logRig) (wal.Log, *wal.RecoveredLog) {
	t.Helper()
	l, recovered, err := r.Open()
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

// Records come back in order, under their numbers, after a crash and after Close.
func testOrder(t *testing.T, r logRig) {
	t.Helper()
	const count = 50
	content := func(i int) []byte { return bytes.Repeat([]byte{byte(i)}, i*40) }
	l, recovered := mustOpen(t, r)
	if recovered.LastNumber() != 0 || len(recovered.Records) != 0 {
		t.Fatalf("a new log holds %+v", recovered)
	}
	for i := range count {
		if n, err := l.Append(content(i)); err != nil || n != uint64(i+1) {
			t.Fatalf("record %d: number %d, %v", i+1, n, err)
		}
	}
	for _, closed := range []bool{false, true} {
		if closed {
			mustClose(t, l)
		} else {
			r.Crash()
		}
		l, recovered = mustOpen(t, r)
		if len(recovered.Records) != count || recovered.LastNumber() != count {
			t.Fatalf("closed %v: %d records, the last %d", closed, len(recovered.Records), recovered.LastNumber())
		}
		for i, got := range recovered.Records {
			if got.Number != uint64(i+1) || !bytes.Equal(got.Data, content(i)) {
				t.Fatalf("closed %v: record %d is %d, %d bytes", closed, i+1, got.Number, len(got.Data))
			}
		}
	}
	mustClose(t, l)
}

// A snapshot replaces the records that it covers; numbers continue.
func testSnapshot(t *testing.T, r logRig) {
	t.Helper()
	l, _ := mustOpen(t, r)
	for i := range 10 {
		if _, err := l.Append([]byte{byte(i)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Snapshot(7, []byte("seven")); err != nil {
		t.Fatal(err)
	}
	if err := l.Snapshot(3, []byte("old")); err != nil { // covers less than the one that is there
		t.Fatal(err)
	}
	if err := l.Snapshot(11, []byte("ahead")); !errors.Is(err, wal.ErrSnapshotAhead) {
		t.Errorf("a snapshot of records that are not there: %v", err)
	}
	r.Crash()
	l, recovered := mustOpen(t, r)
	if recovered.SnapshotNumber != 7 || string(recovered.Snapshot) != "seven" || len(recovered.Records) != 3 || recovered.Records[0].Number != 8 {
		t.Fatalf("holds %+v", recovered)
	}
	if err := l.Snapshot(10, []byte("ten")); err != nil {
		t.Fatal(err)
	}
	if n, err := l.Append([]byte("on")); n != 11 || err != nil {
		t.Fatalf("continues with %d, %v", n, err)
	}
	r.Crash()
	_, recovered = mustOpen(t, r)
	if recovered.SnapshotNumber != 10 || string(recovered.Snapshot) != "ten" || len(recovered.Records) != 1 || recovered.LastNumber() != 11 {
		t.Fatalf("holds %+v", recovered)
	}
}

// Records that many goroutines append have a number each, and all are there.
func testConcurrentAppends(t *testing.T, r logRig) {
	t.Helper()
	l, _ := mustOpen(t, r)
	var mu sync.Mutex
	var wg sync.WaitGroup
	acked := map[uint64]string{}
	for g := range 8 {
		wg.Go(func() {
			for i := range 50 {
				text := fmt.Sprint(g, "-", i)
				n, err := l.Append([]byte(text))
				mu.Lock()
				if _, twice := acked[n]; err != nil || twice {
					t.Errorf("%s: number %d, %v", text, n, err)
				}
				acked[n] = text
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	r.Crash()
	_, recovered := mustOpen(t, r)
	if len(recovered.Records) != 400 {
		t.Fatalf("%d records", len(recovered.Records))
	}
	for _, got := range recovered.Records {
		if acked[got.Number] != string(got.Data) {
			t.Fatalf("record %d is %q, acknowledged as %q", got.Number, got.Data, acked[got.Number])
		}
	}
}

func testBounds(t *testing.T, r logRig) {
	t.Helper()
	l, _ := mustOpen(t, r)
	var large *wal.TooLargeError
	if _, err := l.Append(make([]byte, wal.MaxRecordBytes+1)); !errors.As(err, &large) {
		t.Errorf("a record too large: %v", err)
	}
	if n, err := l.Append(nil); n != 1 || err != nil {
		t.Errorf("an empty record: %d, %v", n, err)
	}
	mustClose(t, l)
	var closed *wal.ClosedError
	if _, err := l.Append(nil); !errors.As(err, &closed) {
		t.Errorf("after Close: %v", err)
	}
	if err := l.Snapshot(1, nil); !errors.As(err, &closed) {
		t.Errorf("a snapshot after Close: %v", err)
	}
	if err := l.Close(); err != nil {
		t.Errorf("a second Close: %v", err)
	}
}

// Whatever happens when, everything that was acknowledged is recovered, in order, and nothing else.
func testCrashes(t *testing.T, r logRig, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 1))
	l, _ := mustOpen(t, r)
	var acked []string // by number, from 1
	for range 60 {
		switch rnd.IntN(10) {
		case 0:
			r.Crash()
			var recovered *wal.RecoveredLog
			l, recovered = mustOpen(t, r)
			checkRecovered(t, seed, recovered, acked)
		case 1:
			if n := len(acked); n > 0 {
				upTo := 1 + rnd.IntN(n)
				if err := l.Snapshot(uint64(upTo), fmt.Append(nil, "state ", upTo)); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		default:
			b := make([]byte, rnd.IntN(3000))
			for i := range b {
				b[i] = byte(rnd.IntN(3)) // runs of zeros among others
			}
			n, err := l.Append(b)
			if err != nil || int(n) != len(acked)+1 {
				t.Fatalf("seed %d: number %d, %v", seed, n, err)
			}
			acked = append(acked, string(b))
		}
	}
	mustClose(t, l)
}

func checkRecovered(t *testing.T, seed uint64, r *wal.RecoveredLog, acked []string) {
	t.Helper()
	if int(r.LastNumber()) != len(acked) || int(r.SnapshotNumber)+len(r.Records) != len(acked) {
		t.Fatalf("seed %d: holds a snapshot of %d and %d records, acknowledged were %d", seed, r.SnapshotNumber, len(r.Records), len(acked))
	}
	if r.SnapshotNumber > 0 && string(r.Snapshot) != fmt.Sprint("state ", r.SnapshotNumber) {
		t.Fatalf("seed %d: state %q at %d", seed, r.Snapshot, r.SnapshotNumber)
	}
	for _, got := range r.Records {
		if acked[got.Number-1] != string(got.Data) {
			t.Fatalf("seed %d: record %d differs", seed, got.Number)
		}
	}
}
