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

// small has short segments, and logs nothing.
var small = wal.Options{SegmentBytes: 8 << 10, Logger: slog.New(slog.DiscardHandler)}

func openOn(t *testing.T, disk *faultfs.FS) (*wal.FileLog, *wal.RecoveredLog) {
	t.Helper()
	l, recovered, err := wal.Open(disk, "d", small)
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

// Power is lost in the middle of writes: what was acknowledged is recovered, and what was not is complete or not there.
func TestPowerLossDuringWrites(t *testing.T) {
	for seed := range uint64(150) {
		disk, rnd := faultfs.New(seed), rand.New(rand.NewPCG(seed, 2))
		acked := 0
		for range 4 {
			l, recovered := openOn(t, disk)
			if int(recovered.LastNumber()) < acked {
				t.Fatalf("seed %d: %d recovered of %d acknowledged", seed, recovered.LastNumber(), acked)
			}
			for i := range recovered.Records {
				if n := recovered.Records[i].Number; string(recovered.Records[i].Data) != content(n) {
					t.Fatalf("seed %d: record %d differs", seed, n)
				}
			}
			n := recovered.LastNumber()
			for range rnd.IntN(8) {
				n++
				mustAppend(t, l, content(n))
			}
			acked = int(n)
			if rnd.IntN(2) == 0 && n > 1 {
				if err := l.Snapshot(n-1, []byte("s")); err != nil {
					t.Fatal(err)
				}
			}
			// The last write's sync fails: power is lost first.
			disk.FailNextSyncs(1)
			if _, err := l.Append([]byte(content(n + 1))); err == nil {
				t.Fatalf("seed %d: acknowledged without a sync", seed)
			}
			disk.Crash()
		}
	}
}

// content is the record of a number.
func content(n uint64) string { return fmt.Sprintf("%0*d", int(n%7)*400+1, n) }

// A sync that failed is never taken for a success, not even if the next one would succeed.
func TestFailedSyncEndsLog(t *testing.T) {
	disk := faultfs.New(1)
	l, _ := openOn(t, disk)
	mustAppend(t, l, "one")
	disk.FailNextSyncs(1)
	var broken *wal.WriteFailedError
	for range 3 {
		if _, err := l.Append([]byte("two")); !errors.As(err, &broken) || !errors.Is(err, faultfs.ErrIO) || broken.Retryable() {
			t.Fatalf("after a failed sync: %v", err)
		}
	}
	if err := l.Snapshot(1, nil); !errors.As(err, &broken) {
		t.Errorf("a snapshot after a failed sync: %v", err)
	}
	disk.Crash()
	if _, recovered := openOn(t, disk); string(recovered.Records[0].Data) != "one" {
		t.Errorf("holds %+v", recovered)
	}
}

// A full disk rejects new records and nothing else; they are accepted once there is space.
func TestFullDiskRejectsUntilThereIsSpace(t *testing.T) {
	for freeBytes := range 60 {
		disk := faultfs.New(uint64(freeBytes))
		l, _ := openOn(t, disk)
		mustAppend(t, l, "one", "two")
		disk.SetFreeBytes(freeBytes)
		var full *wal.NoSpaceError
		for range 3 {
			if _, err := l.Append([]byte("a record that is longer than the room")); !errors.As(err, &full) || !full.Retryable() {
				t.Fatalf("%d bytes free: %v", freeBytes, err)
			}
		}
		if err := l.Snapshot(1, make([]byte, 100)); !errors.As(err, &full) {
			t.Fatalf("%d bytes free: a snapshot: %v", freeBytes, err)
		}
		disk.SetFreeBytes(-1)
		mustAppend(t, l, "three")
		disk.Crash()
		if _, recovered := openOn(t, disk); recovered.LastNumber() != 3 || string(recovered.Records[2].Data) != "three" {
			t.Fatalf("%d bytes free: holds %+v", freeBytes, recovered)
		}
	}
}

// A flipped bit anywhere in what was acknowledged, the last record too, is found; the files are moved away and a new log
// is created.
func TestCorruptionIsFoundAndQuarantined(t *testing.T) {
	const size = 100
	for at := 0; at < 26*size; at += 3 {
		disk := faultfs.New(1)
		l, _ := openOn(t, disk)
		for i := range 6 {
			mustAppend(t, l, string(make([]byte, size-28))+strconv.Itoa(i))
		}
		mustAppend(t, l, string(make([]byte, 20*size)))
		mustClose(t, l)
		if !disk.FlipBit("journal", -1-at) {
			t.Fatal("nothing to flip")
		}
		_, _, err := wal.Open(disk, "d", small)
		var damage *wal.CorruptionError
		if !errors.As(err, &damage) || damage.Retryable() || damage.QuarantineDir == "" {
			t.Fatalf("a bit %d bytes from the end: %v", at, err)
		}
		if names, err := disk.List(damage.QuarantineDir); err != nil || len(names) == 0 {
			t.Fatalf("moved to %s: %v, %v", damage.QuarantineDir, names, err)
		}
		l, recovered := openOn(t, disk)
		if recovered.LastNumber() != 0 {
			t.Fatalf("a new log holds %+v", recovered)
		}
		mustAppend(t, l, "new")
	}
}

// A flipped bit of a snapshot is found too.
func TestCorruptSnapshotIsFound(t *testing.T) {
	for at := range 60 {
		disk := faultfs.New(1)
		l, _ := openOn(t, disk)
		mustAppend(t, l, "one", "two")
		if err := l.Snapshot(2, make([]byte, 30)); err != nil {
			t.Fatal(err)
		}
		if !disk.FlipBit("state", at) {
			continue
		}
		var damage *wal.CorruptionError
		if _, _, err := wal.Open(disk, "d", small); !errors.As(err, &damage) {
			t.Fatalf("a bit at %d of the snapshot: %v", at, err)
		}
	}
}

// A disk that stalls delays appends and loses nothing; a log on another disk is not affected.
func TestStallDelaysOneLog(t *testing.T) {
	disk, other := faultfs.New(1), faultfs.New(2)
	l, _ := openOn(t, disk)
	otherLog, _ := openOn(t, other)
	release := disk.Stall()
	done := make(chan error, 3)
	for range 3 {
		go func() { _, err := l.Append([]byte("late")); done <- err }()
	}
	mustAppend(t, otherLog, "at once")
	select {
	case err := <-done:
		t.Fatalf("acknowledged during a stall: %v", err)
	default:
	}
	release()
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// A disk whose syncs succeed and store nothing can't be detected alone: what is recovered is shorter, and never wrong.
func TestDroppedSyncsLeaveOlderLog(t *testing.T) {
	for seed := range uint64(50) {
		disk := faultfs.New(seed)
		l, _ := openOn(t, disk)
		mustAppend(t, l, content(1), content(2))
		disk.DropSyncs(true)
		mustAppend(t, l, content(3), content(4))
		disk.Crash()
		l, recovered, err := wal.Open(disk, "d", small)
		var damage *wal.CorruptionError
		if errors.As(err, &damage) {
			continue // what it lost was in the middle of what it kept
		}
		if err != nil {
			t.Fatal(err)
		}
		if n := recovered.LastNumber(); n < 2 || n > 4 {
			t.Fatalf("seed %d: holds up to %d", seed, n)
		}
		for _, r := range recovered.Records {
			if string(r.Data) != content(r.Number) {
				t.Fatalf("seed %d: record %d differs", seed, r.Number)
			}
		}
		mustClose(t, l)
	}
}

// BenchmarkAppend stores records of 200 bytes on the system's disk, from one goroutine and from 32 at once.
func BenchmarkAppend(b *testing.B) {
	for _, at := range []int{1, 32} {
		b.Run(strconv.Itoa(at), func(b *testing.B) {
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
			var took []time.Duration
			record := make([]byte, 200)
			b.ResetTimer()
			var wg sync.WaitGroup
			var left atomic.Int64
			left.Store(int64(b.N))
			for range at {
				wg.Go(func() {
					for left.Add(-1) >= 0 {
						from := time.Now()
						if _, err := l.Append(record); err != nil {
							b.Error(err)
						}
						mu.Lock()
						took = append(took, time.Since(from))
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}
