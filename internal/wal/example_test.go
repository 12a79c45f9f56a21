package wal_test

import (
	"fmt"

	"example.org/milletvane/internal/wal"
	"example.org/milletvane/internal/wal/faultfs"
)

// After a restart, Open returns the snapshot and the records after it.
func ExampleOpen() {
	disk := faultfs.New(1) // an in-memory file system; wal.OSFS{} is the operating system's
	l, _, err := wal.Open(disk, "data", wal.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, text := range []string{"x=1", "y=2", "x=3"} {
		if _, err := l.Append([]byte(text)); err != nil {
			fmt.Println(err)
		}
	}
	if err := l.Snapshot(2, []byte("x=1 y=2")); err != nil {
		fmt.Println(err)
	}
	if err := l.Close(); err != nil {
		fmt.Println(err)
	}

	l, recovered, err := wal.Open(disk, "data", wal.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("snapshot up to %d: %s\n", recovered.SnapshotNumber, recovered.Snapshot)
	for _, r := range recovered.Records {
		fmt.Printf("record %d: %s\n", r.Number, r.Data)
	}
	if err := l.Close(); err != nil {
		fmt.Println(err)
	}
	// Output:
	// snapshot up to 2: x=1 y=2
	// record 3: x=3
}
