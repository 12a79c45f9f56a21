package wal_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Every cut, flipped byte and hole of a log is classed as before: one digest for all changes of a kind.
func TestEveryChangeIsClassedAsBefore(t *testing.T) {
	t.Parallel()
	opts := withSegments(800)
	base := write(t, opts, appends("one", "", strings.Repeat("two ", 160), string(make([]byte, 90))),
		snapshotAt(2, "the state"), appends("in the second segment", strings.Repeat("\x00long", 130), "", "end"))
	segments := slices.DeleteFunc(base.names(), func(name string) bool { return !strings.HasPrefix(name, "journal-") })
	if len(segments) != 2 || len(base) != 3 {
		t.Fatalf("files %v", base.names())
	}
	var all strings.Builder
	fmt.Fprintf(&all, "base\n%s", base.digests())
	sweep := func(kind, name string, count int, change func(f formatFiles, at int)) {
		var b strings.Builder
		for at := range count {
			f := base.clone()
			change(f, at)
			fmt.Fprintf(&b, "%d\n%s", at, reopen(t, diskOf(t, f), opts))
		}
		fmt.Fprintf(&all, "%s %s %d %s\n", kind, name, count, shortDigest([]byte(b.String())))
	}
	for _, name := range base.names() {
		size := len(base[name])
		sweep("cut", name, size, func(f formatFiles, at int) { f[name] = f[name][:at] })
		sweep("flip", name, size, func(f formatFiles, at int) { f[name][at] ^= 0x10 })
		sweep("zeros to the end", name, size, func(f formatFiles, at int) { clear(f[name][at:]) })
		sweep("zero sector", name, size/512+1, func(f formatFiles, at int) { clear(f[name][at*512 : min(at*512+512, size)]) })
		sweep("ten zeros", name, size, func(f formatFiles, at int) { clear(f[name][at:min(at+10, size)]) })
		sweep("more", name, 40, func(f formatFiles, at int) { f[name] = append(f[name], make([]byte, at)...) })
		sweep("missing", name, 1, func(f formatFiles, _ int) { delete(f, name) })
	}
	compare(t, "changes.digests", all.String())
}
