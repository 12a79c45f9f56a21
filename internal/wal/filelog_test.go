package wal_test

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/internal/wal"
	"example.org/milletvane/internal/wal/faultfs"
)

// smallOpts configures segments of 8 KiB and a logger that discards everything.
var smallOpts = wal.Options{SegmentBytes: 8 << 10, Logger: slog.New(slog.DiscardHandler)}

func mustOpenLog(t *testing.T, disk *faultfs.FS) (*wal.FileLog, *wal.RecoveredLog) {
	t.Helper()
	l, recovered, err := wal.Open(disk, "d", smallOpts)
	if err != nil {
		t.Fatal(err)
	}
	return l, recovered
}

func mustAppend(t *testing.T, l *wal.FileLog, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if _, err := l.Append([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against losing acknowledged records, or recovering parts of others, when power is lost during a write. Every
// acknowledged record must be recovered; any other record is either recovered completely or not at all.
func TestPowerLossDuringWrites(t *testing.T) {
	for seed := range uint64(150) {
		disk, rnd := faultfs.New(seed), rand.New(rand.NewPCG(seed, 2))
		acknowledged := 0
		for range 4 {
			l, recovered := mustOpenLog(t, disk)
			if int(recovered.LastNumber()) < acknowledged {
				t.Fatalf("seed %d: last recovered record is %d, want at least %d", seed, recovered.LastNumber(), acknowledged)
			}
			for i := range recovered.Records {
				if n := recovered.Records[i].Number; string(recovered.Records[i].Data) != recordContent(n) {
					t.Fatalf("seed %d: record %d differs", seed, n)
				}
			}
			n := recovered.LastNumber()
			for range rnd.IntN(8) {
				n++
				mustAppend(t, l, recordContent(n))
			}
			acknowledged = int(n)
			if rnd.IntN(2) == 0 && n > 1 {
				if err := l.Snapshot(n-1, []byte("s")); err != nil {
					t.Fatal(err)
				}
			}
			// The sync of the last write fails because power is lost before it ends.
			disk.FailNextSyncs(1)
			if _, err := l.Append([]byte(recordContent(n + 1))); err == nil {
				t.Fatalf("seed %d: Append succeeded although its sync failed", seed)
			}
			disk.Crash()
		}
	}
}

// recordContent returns the content of the record with a given number. Its length depends on the number.
func recordContent(n uint64) string { return fmt.Sprintf("%0*d", int(n%7)*400+1, n) }

// Guards against a failed sync that is treated as successful because the next sync succeeds. The log must reject all later
// appends and snapshots.
func TestFailedSyncMakesTheLogRejectWrites(t *testing.T) {
	disk := faultfs.New(1)
	l, _ := mustOpenLog(t, disk)
	mustAppend(t, l, "one")
	disk.FailNextSyncs(1)
	var writeFailed *wal.WriteFailedError
	for range 3 {
		if _, err := l.Append([]byte("two")); !errors.As(err, &writeFailed) || !errors.Is(err, faultfs.ErrIO) ||
			writeFailed.Retryable() {
			t.Fatalf("Append after a failed sync: got error %v, want a WriteFailedError that wraps ErrIO", err)
		}
	}
	if err := l.Snapshot(1, nil); !errors.As(err, &writeFailed) {
		t.Errorf("Snapshot after a failed sync: got error %v, want a WriteFailedError", err)
	}
	disk.Crash()
	if _, recovered := mustOpenLog(t, disk); string(recovered.Records[0].Data) != "one" {
		t.Errorf("got %+v, want the first record to be \"one\"", recovered)
	}
}

// Checks that a full disk only rejects new records and snapshots, and that records are accepted again once there is space.
func TestFullDiskRejectsUntilThereIsSpace(t *testing.T) {
	for freeBytes := range 60 {
		disk := faultfs.New(uint64(freeBytes))
		l, _ := mustOpenLog(t, disk)
		mustAppend(t, l, "one", "two")
		disk.SetFreeBytes(freeBytes)
		var noSpace *wal.NoSpaceError
		for range 3 {
			if _, err := l.Append([]byte("a record that is longer than the room")); !errors.As(err, &noSpace) || !noSpace.Retryable() {
				t.Fatalf("%d bytes free: Append: got error %v, want a retryable NoSpaceError", freeBytes, err)
			}
		}
		if err := l.Snapshot(1, make([]byte, 100)); !errors.As(err, &noSpace) {
			t.Fatalf("%d bytes free: Snapshot: got error %v, want a NoSpaceError", freeBytes, err)
		}
		disk.SetFreeBytes(-1)
		mustAppend(t, l, "three")
		disk.Crash()
		if _, recovered := mustOpenLog(t, disk); recovered.LastNumber() != 3 || string(recovered.Records[2].Data) != "three" {
			t.Fatalf("%d bytes free: got %+v, want 3 records", freeBytes, recovered)
		}
	}
}

// Checks that a flipped bit anywhere in acknowledged records, the last one included, is detected. Open must move the files to
// a quarantine directory, and the next Open must create an empty log.
func TestCorruptSegmentIsDetectedAndQuarantined(t *testing.T) {
	const size = 100
	for at := 0; at < 26*size; at += 3 {
		disk := faultfs.New(1)
		l, _ := mustOpenLog(t, disk)
		for i := range 6 {
			mustAppend(t, l, string(make([]byte, size-28))+strconv.Itoa(i))
		}
		mustAppend(t, l, string(make([]byte, 20*size)))
		mustClose(t, l)
		if !disk.FlipBit("journal", -1-at) {
			t.Fatal("the segment is shorter than expected: there is no byte to flip")
		}
		_, _, err := wal.Open(disk, "d", smallOpts)
		var corruption *wal.CorruptionError
		if !errors.As(err, &corruption) || corruption.Retryable() || corruption.QuarantineDir == "" {
			t.Fatalf("bit flipped %d bytes before the last byte: got error %v, want a CorruptionError", at, err)
		}
		if names, err := disk.List(corruption.QuarantineDir); err != nil || len(names) == 0 {
			t.Fatalf("quarantine directory %s: got files %v, error %v", corruption.QuarantineDir, names, err)
		}
		l, recovered := mustOpenLog(t, disk)
		if recovered.LastNumber() != 0 {
			t.Fatalf("new log holds %+v, want no records", recovered)
		}
		mustAppend(t, l, "new")
	}
}

// Checks that a flipped bit anywhere in a snapshot is detected.
func TestCorruptSnapshotIsDetected(t *testing.T) {
	for at := range 60 {
		disk := faultfs.New(1)
		l, _ := mustOpenLog(t, disk)
		mustAppend(t, l, "one", "two")
		if err := l.Snapshot(2, make([]byte, 30)); err != nil {
			t.Fatal(err)
		}
		if !disk.FlipBit("state", at) {
			continue
		}
		var corruption *wal.CorruptionError
		if _, _, err := wal.Open(disk, "d", smallOpts); !errors.As(err, &corruption) {
			t.Fatalf("bit flipped at byte %d of the snapshot: got error %v, want a CorruptionError", at, err)
		}
	}
}

// Checks that a stalled disk delays appends without losing records, and does not affect a log on another disk.
func TestStalledDiskDelaysOnlyItsLog(t *testing.T) {
	disk, other := faultfs.New(1), faultfs.New(2)
	l, _ := mustOpenLog(t, disk)
	otherLog, _ := mustOpenLog(t, other)
	release := disk.Stall()
	done := make(chan error, 3)
	for range 3 {
		go func() { _, err := l.Append([]byte("late")); done <- err }()
	}
	mustAppend(t, otherLog, "at once")
	select {
	case err := <-done:
		t.Fatalf("Append returned during a stall, with error %v", err)
	default:
	}
	release()
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Checks what is recovered from a disk whose syncs succeed without storing anything. The log can't detect that by itself, so
// the recovered log may lack the latest records, but no recovered record may be wrong.
func TestDroppedSyncsLoseOnlyTheLatestRecords(t *testing.T) {
	for seed := range uint64(50) {
		disk := faultfs.New(seed)
		l, _ := mustOpenLog(t, disk)
		mustAppend(t, l, recordContent(1), recordContent(2))
		disk.DropSyncs(true)
		mustAppend(t, l, recordContent(3), recordContent(4))
		disk.Crash()
		l, recovered, err := wal.Open(disk, "d", smallOpts)
		var corruption *wal.CorruptionError
		if errors.As(err, &corruption) {
			continue // the lost data precedes data that survived
		}
		if err != nil {
			t.Fatal(err)
		}
		if n := recovered.LastNumber(); n < 2 || n > 4 {
			t.Fatalf("seed %d: last recovered record is %d, want 2 to 4", seed, n)
		}
		for _, r := range recovered.Records {
			if string(r.Data) != recordContent(r.Number) {
				t.Fatalf("seed %d: record %d differs", seed, r.Number)
			}
		}
		mustClose(t, l)
	}
}

// BenchmarkAppend appends records of 200 bytes on the operating system's file system, from 1 goroutine and from 32.
func BenchmarkAppend(b *testing.B) {
	for _, goroutines := range []int{1, 32} {
		b.Run(strconv.Itoa(goroutines), func(b *testing.B) {
			l, _, err := wal.Open(wal.OSFS{}, filepath.Join(b.TempDir(), "d"), wal.Options{Logger: slog.New(slog.DiscardHandler)})
			if err != nil {
				b.Fatal(err)
			}
			defer func() {
				if err := l.Close(); err != nil {
					b.Error(err)
				}
			}()
			var mu sync.Mutex
			var durations []time.Duration
			record := make([]byte, 200)
			b.ResetTimer()
			var wg sync.WaitGroup
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			for range goroutines {
				wg.Go(func() {
					for remaining.Add(-1) >= 0 {
						start := time.Now()
						if _, err := l.Append(record); err != nil {
							b.Error(err)
						}
						mu.Lock()
						durations = append(durations, time.Since(start))
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}
