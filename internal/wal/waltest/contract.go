// Package waltest is the contract of stores: one suite that every implementation has to pass. A new one joins by one call
// of Run.
package waltest

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"example.org/milletvane/internal/wal"
)

// Rig is one store with what it stands on.
type Rig interface {
	// Open opens the store and returns what it holds.
	Open() (wal.Log, *wal.RecoveredLog, error)
	// Crash ends it as a loss of power does. The Store that was open is not used again.
	Crash()
}

// Run checks an implementation. rig returns a new, empty one; seed is for what it leaves to chance.
func Run(t *testing.T, rig func(t *testing.T, seed uint64) Rig) {
	t.Run("order", func(t *testing.T) { order(t, rig(t, 1)) })
	t.Run("snapshot", func(t *testing.T) { snapshot(t, rig(t, 2)) })
	t.Run("together", func(t *testing.T) { together(t, rig(t, 3)) })
	t.Run("bounds", func(t *testing.T) { bounds(t, rig(t, 4)) })
	t.Run("crashes", func(t *testing.T) {
		for seed := range uint64(60) {
			if crashes(t, rig(t, seed), seed); t.Failed() {
				return
			}
		}
	})
}

func open(t *testing.T, r Rig) (wal.Log, *wal.RecoveredLog) {
	t.Helper()
	s, held, err := r.Open()
	if err != nil {
		t.Fatal(err)
	}
	return s, held
}

// Records come back in order, under their numbers, whether the store was closed or power was lost.
func order(t *testing.T, r Rig) {
	s, held := open(t, r)
	if held.LastNumber() != 0 || len(held.Records) != 0 {
		t.Fatalf("a new store holds %+v", held)
	}
	for i := range 50 {
		if n, err := s.Append(bytes.Repeat([]byte{byte(i)}, i*40)); err != nil || n != uint64(i+1) {
			t.Fatalf("record %d: number %d, %v", i+1, n, err)
		}
	}
	for _, closed := range []bool{false, true} {
		if closed {
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		} else {
			r.Crash()
		}
		s, held = open(t, r)
		if len(held.Records) != 50 || held.LastNumber() != 50 {
			t.Fatalf("closed %v: %d records, the last %d", closed, len(held.Records), held.LastNumber())
		}
		for i, got := range held.Records {
			if got.Number != uint64(i+1) || !bytes.Equal(got.Data, bytes.Repeat([]byte{byte(i)}, i*40)) {
				t.Fatalf("closed %v: record %d is %d, %d bytes", closed, i+1, got.Number, len(got.Data))
			}
		}
	}
	s.Close()
}

// A snapshot stands for the records that it holds; numbers go on.
func snapshot(t *testing.T, r Rig) {
	s, _ := open(t, r)
	for i := range 10 {
		s.Append([]byte{byte(i)})
	}
	if err := s.Snapshot(7, []byte("seven")); err != nil {
		t.Fatal(err)
	}
	if err := s.Snapshot(3, []byte("old")); err != nil { // holds less than the one that is there
		t.Fatal(err)
	}
	if err := s.Snapshot(11, []byte("ahead")); err == nil {
		t.Error("a state of records that are not there was taken")
	}
	r.Crash()
	s, held := open(t, r)
	if held.SnapshotNumber != 7 || string(held.Snapshot) != "seven" || len(held.Records) != 3 || held.Records[0].Number != 8 {
		t.Fatalf("holds %+v", held)
	}
	if err := s.Snapshot(10, []byte("ten")); err != nil {
		t.Fatal(err)
	}
	if n, err := s.Append([]byte("on")); n != 11 || err != nil {
		t.Fatalf("goes on with %d, %v", n, err)
	}
	r.Crash()
	if _, held = open(t, r); held.SnapshotNumber != 10 || string(held.Snapshot) != "ten" || len(held.Records) != 1 || held.LastNumber() != 11 {
		t.Fatalf("holds %+v", held)
	}
}

// Appends from many goroutines have a number each, and all are there.
func together(t *testing.T, r Rig) {
	s, _ := open(t, r)
	var mu sync.Mutex
	var wg sync.WaitGroup
	acked := map[uint64]string{}
	for g := range 8 {
		wg.Go(func() {
			for i := range 50 {
				text := fmt.Sprint(g, "-", i)
				n, err := s.Append([]byte(text))
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
	_, held := open(t, r)
	if len(held.Records) != 400 {
		t.Fatalf("%d records", len(held.Records))
	}
	for _, got := range held.Records {
		if acked[got.Number] != string(got.Data) {
			t.Fatalf("record %d is %q, acknowledged as %q", got.Number, got.Data, acked[got.Number])
		}
	}
}

func bounds(t *testing.T, r Rig) {
	s, _ := open(t, r)
	var large *wal.TooLargeError
	if _, err := s.Append(make([]byte, wal.MaxRecordBytes+1)); !errors.As(err, &large) {
		t.Errorf("a record too large: %v", err)
	}
	if n, err := s.Append(nil); n != 1 || err != nil {
		t.Errorf("an empty record: %d, %v", n, err)
	}
	s.Close()
	var closed *wal.ClosedError
	if _, err := s.Append(nil); !errors.As(err, &closed) {
		t.Errorf("after Close: %v", err)
	}
	if err := s.Snapshot(1, nil); !errors.As(err, &closed) {
		t.Errorf("a snapshot after Close: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Errorf("a second Close: %v", err)
	}
}

// Whatever happens when, all that was acknowledged is held, in order, and nothing else but what was being written.
func crashes(t *testing.T, r Rig, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s, _ := open(t, r)
	var want []string // by number
	for range 60 {
		switch rnd.IntN(10) {
		case 0:
			r.Crash()
			var held *wal.RecoveredLog
			s, held = open(t, r)
			if int(held.LastNumber()) != len(want) || int(held.SnapshotNumber)+len(held.Records) != len(want) {
				t.Fatalf("seed %d: holds up to %d and %d records, acknowledged were %d", seed, held.SnapshotNumber, len(held.Records), len(want))
			}
			if held.SnapshotNumber > 0 && string(held.Snapshot) != fmt.Sprint("state ", held.SnapshotNumber) {
				t.Fatalf("seed %d: state %q at %d", seed, held.Snapshot, held.SnapshotNumber)
			}
			for _, got := range held.Records {
				if want[got.Number-1] != string(got.Data) {
					t.Fatalf("seed %d: record %d differs", seed, got.Number)
				}
			}
		case 1:
			if n := len(want); n > 0 {
				at := 1 + rnd.IntN(n)
				if err := s.Snapshot(uint64(at), []byte(fmt.Sprint("state ", at))); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		default:
			b := make([]byte, rnd.IntN(3000))
			for i := range b {
				b[i] = byte(rnd.IntN(3)) // runs of zeros among others
			}
			n, err := s.Append(b)
			if err != nil || int(n) != len(want)+1 {
				t.Fatalf("seed %d: number %d, %v", seed, n, err)
			}
			want = append(want, string(b))
		}
	}
	s.Close()
}
