package wal_test

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/internal/wal"
	"example.org/milletvane/internal/wal/faultfs"
	"example.org/milletvane/internal/wal/waltest"
)

var small = wal.Options{SegmentBytes: 8 << 10, Logger: slog.New(slog.DiscardHandler)}

type memoryRig struct{ m wal.MemoryLog }

func (r *memoryRig) Open() (wal.Log, *wal.RecoveredLog, error) { return &r.m, r.m.Open(), nil }
func (r *memoryRig) Crash()                                    {}

type diskRig struct{ dir string }

func (r *diskRig) Open() (wal.Log, *wal.RecoveredLog, error) {
	return asStore(wal.Open(wal.OSFS{}, r.dir, small))
}
func (r *diskRig) Crash() {}

type faultyRig struct{ *faultfs.FS }

func (r faultyRig) Open() (wal.Log, *wal.RecoveredLog, error) {
	return asStore(wal.Open(r.FS, "d", small))
}

func asStore(j *wal.FileLog, h *wal.RecoveredLog, err error) (wal.Log, *wal.RecoveredLog, error) {
	if err != nil {
		return nil, nil, err
	}
	return j, h, nil
}

func TestContract(t *testing.T) {
	for name, rig := range map[string]func(*testing.T, uint64) waltest.Rig{
		"memory": func(*testing.T, uint64) waltest.Rig { return &memoryRig{} },
		"disk":   func(t *testing.T, _ uint64) waltest.Rig { return &diskRig{filepath.Join(t.TempDir(), "d")} },
		"lossy":  func(_ *testing.T, seed uint64) waltest.Rig { return faultyRig{faultfs.New(seed)} },
	} {
		t.Run(name, func(t *testing.T) { waltest.Run(t, rig) })
	}
}

func journal(t *testing.T, d *faultfs.FS) (*wal.FileLog, *wal.RecoveredLog) {
	t.Helper()
	j, held, err := wal.Open(d, "d", small)
	if err != nil {
		t.Fatal(err)
	}
	return j, held
}

func mustAppend(t *testing.T, j *wal.FileLog, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if _, err := j.Append([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
}

// Power is lost in the middle of writes: what was acknowledged is held, what was not is there whole or not at all.
func TestPowerLossDuringWrites(t *testing.T) {
	for seed := range uint64(150) {
		d, rnd := faultfs.New(seed), rand.New(rand.NewPCG(seed, 2))
		acked := 0
		for range 4 {
			j, held := journal(t, d)
			if int(held.LastNumber()) < acked {
				t.Fatalf("seed %d: %d held of %d acknowledged", seed, held.LastNumber(), acked)
			}
			for i := range held.Records {
				if n := held.Records[i].Number; string(held.Records[i].Data) != long(n) {
					t.Fatalf("seed %d: record %d differs", seed, n)
				}
			}
			n := held.LastNumber()
			for range rnd.IntN(8) {
				n++
				mustAppend(t, j, long(n))
			}
			acked = int(n)
			if rnd.IntN(2) == 0 && n > 1 {
				if err := j.Snapshot(n-1, []byte("s")); err != nil {
					t.Fatal(err)
				}
			}
			// The last write's sync never returns: power goes first.
			d.FailNextSyncs(1)
			if _, err := j.Append([]byte(long(n + 1))); err == nil {
				t.Fatalf("seed %d: acknowledged without a sync", seed)
			}
			d.Crash()
		}
	}
}

func long(n uint64) string { return fmt.Sprintf("%0*d", int(n%7)*400+1, n) }

// A sync that failed is never taken for a success, not even if the next one would succeed.
func TestAFailedSyncEndsTheStore(t *testing.T) {
	d := faultfs.New(1)
	j, _ := journal(t, d)
	mustAppend(t, j, "one")
	d.FailNextSyncs(1)
	var broken *wal.WriteFailedError
	for range 3 {
		if _, err := j.Append([]byte("two")); !errors.As(err, &broken) || !errors.Is(err, faultfs.ErrIO) || broken.Retryable() {
			t.Fatalf("after a failed sync: %v", err)
		}
	}
	if err := j.Snapshot(1, nil); !errors.As(err, &broken) {
		t.Errorf("a snapshot after a failed sync: %v", err)
	}
	d.Crash()
	if _, held := journal(t, d); string(held.Records[0].Data) != "one" {
		t.Errorf("holds %+v", held)
	}
}

// A full disk refuses new records and nothing else; when there is room again, it takes them.
func TestAFullDiskRefusesAndGoesOn(t *testing.T) {
	for room := range 60 {
		d := faultfs.New(uint64(room))
		j, _ := journal(t, d)
		mustAppend(t, j, "one", "two")
		d.SetFreeBytes(room)
		var full *wal.NoSpaceError
		for range 3 {
			if _, err := j.Append([]byte("a record that is longer than the room")); !errors.As(err, &full) || !full.Retryable() {
				t.Fatalf("room %d: %v", room, err)
			}
		}
		if err := j.Snapshot(1, make([]byte, 100)); !errors.As(err, &full) {
			t.Fatalf("room %d: a snapshot: %v", room, err)
		}
		d.SetFreeBytes(-1)
		mustAppend(t, j, "three")
		d.Crash()
		if _, held := journal(t, d); held.LastNumber() != 3 || string(held.Records[2].Data) != "three" {
			t.Fatalf("room %d: holds %+v", room, held)
		}
	}
}

// A flipped bit anywhere in what was acknowledged, the last record too, is found; the files are put aside and a new store
// begins.
func TestDamageIsFoundAndPutAside(t *testing.T) {
	const size = 100
	for at := 0; at < 26*size; at += 3 {
		d := faultfs.New(1)
		j, _ := journal(t, d)
		for i := range 6 {
			mustAppend(t, j, string(make([]byte, size-28))+fmt.Sprint(i))
		}
		mustAppend(t, j, string(make([]byte, 20*size)))
		j.Close()
		if !d.FlipBit("journal", -1-at) {
			t.Fatal("nothing to flip")
		}
		_, _, err := wal.Open(d, "d", small)
		var damage *wal.CorruptionError
		if !errors.As(err, &damage) || damage.Retryable() || damage.QuarantineDir == "" {
			t.Fatalf("a bit %d bytes from the end: %v", at, err)
		}
		if names, err := d.List(damage.QuarantineDir); err != nil || len(names) == 0 {
			t.Fatalf("put aside in %s: %v, %v", damage.QuarantineDir, names, err)
		}
		j, held := journal(t, d)
		if held.LastNumber() != 0 {
			t.Fatalf("a new store holds %+v", held)
		}
		mustAppend(t, j, "new")
	}
}

// A damaged state is found too.
func TestADamagedStateIsFound(t *testing.T) {
	for at := range 60 {
		d := faultfs.New(1)
		j, _ := journal(t, d)
		mustAppend(t, j, "one", "two")
		if err := j.Snapshot(2, make([]byte, 30)); err != nil {
			t.Fatal(err)
		}
		if !d.FlipBit("state", at) {
			continue
		}
		var damage *wal.CorruptionError
		if _, _, err := wal.Open(d, "d", small); !errors.As(err, &damage) {
			t.Fatalf("a bit at %d of the state: %v", at, err)
		}
	}
}

// A disk that stalls holds up those who append, and loses nothing; another store goes on.
func TestAStallHoldsUpOneStore(t *testing.T) {
	d, other := faultfs.New(1), faultfs.New(2)
	j, _ := journal(t, d)
	k, _ := journal(t, other)
	release := d.Stall()
	done := make(chan error, 3)
	for range 3 {
		go func() { _, err := j.Append([]byte("late")); done <- err }()
	}
	mustAppend(t, k, "at once")
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

// A disk that says yes to a sync and keeps nothing can't be found out alone: what is held is shorter, and never wrong.
func TestLostSyncedWritesLeaveAnOlderStore(t *testing.T) {
	for seed := range uint64(50) {
		d := faultfs.New(seed)
		j, _ := journal(t, d)
		mustAppend(t, j, long(1), long(2))
		d.DropSyncs(true)
		mustAppend(t, j, long(3), long(4))
		d.Crash()
		j, held, err := wal.Open(d, "d", small)
		var damage *wal.CorruptionError
		if errors.As(err, &damage) {
			continue // what it lost was in the middle of what it kept
		}
		if err != nil {
			t.Fatal(err)
		}
		if n := held.LastNumber(); n < 2 || n > 4 {
			t.Fatalf("seed %d: holds up to %d", seed, n)
		}
		for _, r := range held.Records {
			if string(r.Data) != long(r.Number) {
				t.Fatalf("seed %d: record %d differs", seed, r.Number)
			}
		}
		j.Close()
	}
}

// BenchmarkAppend stores records of 200 bytes on the system's disk, from one goroutine and from 32 at once.
func BenchmarkAppend(b *testing.B) {
	for _, at := range []int{1, 32} {
		b.Run(fmt.Sprint(at), func(b *testing.B) {
			j, _, err := wal.Open(wal.OSFS{}, filepath.Join(b.TempDir(), "d"), wal.Options{Logger: slog.New(slog.DiscardHandler)})
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
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
						if _, err := j.Append(record); err != nil {
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
