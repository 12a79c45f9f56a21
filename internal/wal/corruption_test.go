package wal_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Guards against changes in how damaged files are classified. The test truncates the files of a log, flips bits and zeroes
// ranges at every position, and compares what opening the log returns with testdata: one digest for all changes of a kind
// to a file.
func TestEveryCorruptionIsClassifiedAsBefore(t *testing.T) {
	t.Parallel()
	opts := withSegments(800)
	base := writeLog(t, opts, appends("one", "", strings.Repeat("two ", 160), string(make([]byte, 90))),
		snapshotAt(2, "the state"), appends("in the second segment", strings.Repeat("\x00long", 130), "", "end"))
	segments := slices.DeleteFunc(base.names(), func(name string) bool { return !strings.HasPrefix(name, "journal-") })
	if len(segments) != 2 || len(base) != 3 {
		t.Fatalf("got files %v, want 2 segments and a snapshot", base.names())
	}
	var all strings.Builder
	fmt.Fprintf(&all, "base\n%s", base.digests())
	addDigests := func(kind, name string, count int, change func(f formatFiles, at int)) {
		var b strings.Builder
		for at := range count {
			f := base.clone()
			change(f, at)
			fmt.Fprintf(&b, "%d\n%s", at, reopen(t, diskWith(t, f), opts))
		}
		fmt.Fprintf(&all, "%s %s %d %s\n", kind, name, count, shortDigest([]byte(b.String())))
	}
	for _, name := range base.names() {
		size := len(base[name])
		addDigests("cut", name, size, func(f formatFiles, at int) { f[name] = f[name][:at] })
		addDigests("flip", name, size, func(f formatFiles, at int) { f[name][at] ^= 0x10 })
		addDigests("zeros to the end", name, size, func(f formatFiles, at int) { clear(f[name][at:]) })
		addDigests("zero sector", name, size/512+1, func(f formatFiles, at int) { clear(f[name][at*512 : min(at*512+512, size)]) })
		addDigests("ten zeros", name, size, func(f formatFiles, at int) { clear(f[name][at:min(at+10, size)]) })
		addDigests("more", name, 40, func(f formatFiles, at int) { f[name] = append(f[name], make([]byte, at)...) })
		addDigests("missing", name, 1, func(f formatFiles, _ int) { delete(f, name) })
	}
	compareGolden(t, "changes.digests", all.String())
}
