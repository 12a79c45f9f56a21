package wal_test

import (
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/wal"
)

func withSegments(bytes int64) wal.Options {
	opts := small
	opts.SegmentBytes = bytes
	return opts
}

// formatCase is a log as a script writes it, changed then as a fault would.
type formatCase struct {
	name   string
	opts   wal.Options
	script []formatScript
	change func(f formatFiles)
}

// shortSegments hold a record or two each.
var shortSegments = withSegments(64)

func severalScript() []formatScript {
	return []formatScript{appends("one", "", "three", string(make([]byte, 40)), allBytes(), "the last")}
}

// largeScript has records that are longer than a sector.
func largeScript() []formatScript {
	return []formatScript{appends(strings.Repeat("some text ", 60), strings.Repeat("more text ", 80), "end", strings.Repeat("last text ", 60))}
}

func rolledScript() []formatScript {
	return []formatScript{appends("the first of some records", "the second", "the third, in a new file", "the fourth", "5", "6")}
}

func compactedScript() []formatScript {
	return append(rolledScript(), snapshotAt(3, "state of three"), appends("the seventh"))
}

func cut(name string, n int) func(formatFiles) {
	return func(f formatFiles) { f[name] = f[name][:len(f[name])-n] }
}

func zero(name string, from, to int) func(formatFiles) {
	return func(f formatFiles) { clear(f[name][from:to]) }
}

func flip(name string, at int) func(formatFiles) {
	return func(f formatFiles) { f[name][at] ^= 0x10 }
}

func soundCases() []formatCase {
	return []formatCase{
		{name: "empty", opts: small},
		{name: "several records", opts: small, script: severalScript()},
		{name: "large records", opts: small, script: largeScript()},
		{name: "record of zeros on the disk", opts: small, script: []formatScript{appends(strings.Repeat("Z", 600))}},
		{name: "rolled", opts: shortSegments, script: rolledScript()},
		{name: "compacted in the middle", opts: shortSegments, script: compactedScript()},
		{name: "compacted at the end", opts: small, script: []formatScript{appends("one", "two"), snapshotAt(2, "both")}},
		{
			name: "compacted twice", opts: small,
			script: []formatScript{appends("one", "two"), snapshotAt(1, ""), appends("three"), snapshotAt(3, "all"), appends("four")},
		},
	}
}

func tornCases() []formatCase {
	return []formatCase{
		{name: "torn record", opts: small, script: severalScript(), change: cut(firstSegment, 1)},
		{name: "torn frame head", opts: small, script: []formatScript{appends("one", "two")}, change: cut(firstSegment, 3+10)},
		{name: "torn segment head", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) { f[f.newest()] = f[f.newest()][:7] }},
		{name: "torn sector", opts: small, script: largeScript(), change: zero(firstSegment, 1536, 2048)},
		{name: "unwritten segment head", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) { clear(f[f.newest()]) }},
	}
}

func corruptCases(t *testing.T) []formatCase {
	t.Helper()
	three := write(t, shortSegments, compactedScript()...)[thirdSnapshot]
	return []formatCase{
		{name: "corrupt first frame head", opts: small, script: severalScript(), change: flip(firstSegment, 21)},
		{name: "corrupt record in the middle", opts: small, script: severalScript(), change: flip(firstSegment, 90)},
		{name: "corrupt last record", opts: small, script: severalScript(), change: flip(firstSegment, 465)},
		{name: "hole before a later frame", opts: small, script: largeScript(), change: zero(firstSegment, 512, 1024)},
		{
			name: "hole before the last frame", opts: small, script: []formatScript{appends(strings.Repeat("some text ", 120), "end")},
			change: zero(firstSegment, 512, 1024),
		},
		{name: "segment of just its bound", opts: withSegments(56), script: []formatScript{appends("8 bytes.", "in the same", "in another")}},
		{name: "corrupt segment before the snapshot", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) {
			f[thirdSnapshot] = slices.Clone(three)
			f[secondSegment][40] ^= 0x10
		}},
		{name: "corrupt segment head", opts: small, script: severalScript(), change: flip(firstSegment, 3)},
		{name: "cut older segment", opts: shortSegments, script: rolledScript(), change: cut(firstSegment, 4)},
		{name: "missing segment", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) { delete(f, secondSegment) }},
		{name: "missing first segment", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) { delete(f, firstSegment) }},
		{name: "segment under another name", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) {
			f["journal-0000000000000003"] = f[secondSegment]
			delete(f, secondSegment)
		}},
	}
}

func snapshotCases(t *testing.T) []formatCase {
	t.Helper()
	const snapshotOfFive = "state-0000000000000005"
	five := write(t, small, appends("1", "2", "3", "4", "5"), snapshotAt(5, "five"))[snapshotOfFive]
	return []formatCase{
		{name: "corrupt snapshot", opts: shortSegments, script: compactedScript(), change: flip(thirdSnapshot, 40)},
		{name: "corrupt snapshot head", opts: shortSegments, script: compactedScript(), change: flip(thirdSnapshot, 2)},
		{name: "cut snapshot", opts: shortSegments, script: compactedScript(), change: cut(thirdSnapshot, 15)},
		{name: "snapshot under another name", opts: shortSegments, script: compactedScript(), change: func(f formatFiles) {
			f["state-0000000000000004"] = f[thirdSnapshot]
		}},
		{name: "left over files", opts: shortSegments, script: compactedScript(), change: func(f formatFiles) {
			f["state-0000000000000009.tmp"] = []byte("half a sta")
			f["state-0000000000000002"] = []byte("of the past")
			f["journal-1"] = []byte("no segment")
			f["notes"] = []byte("of somebody else")
		}},
		{name: "segments before the snapshot", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) {
			f[snapshotOfFive] = slices.Clone(five)
		}},
		{name: "snapshot alone", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) {
			clear(f)
			f[snapshotOfFive] = slices.Clone(five)
		}},
	}
}
