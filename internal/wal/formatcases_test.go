package wal_test

import (
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/wal"
)

func withSegments(bytes int64) wal.Options {
	opts := smallOpts
	opts.SegmentBytes = bytes
	return opts
}

// formatCase describes a log that a script writes and whose files are then changed as a fault would change them.
type formatCase struct {
	name   string // with hyphens for spaces, the base name of the files in testdata
	opts   wal.Options
	script []scriptStep
	change func(f formatFiles) // nil means that the files stay as they were written
}

// shortSegments configures segments that hold one or two records each.
var shortSegments = withSegments(64)

func severalRecordsScript() []scriptStep {
	return []scriptStep{appends("one", "", "three", string(make([]byte, 40)), allBytes(), "the last")}
}

// largeRecordsScript appends records that are longer than a sector, and a short one.
func largeRecordsScript() []scriptStep {
	return []scriptStep{
		appends(strings.Repeat("some text ", 60), strings.Repeat("more text ", 80), "end", strings.Repeat("last text ", 60)),
	}
}

func rolledScript() []scriptStep {
	return []scriptStep{appends("the first of some records", "the second", "the third, in a new file", "the fourth", "5", "6")}
}

func compactedScript() []scriptStep {
	return append(rolledScript(), snapshotAt(3, "state of three"), appends("the seventh"))
}

func truncateEnd(name string, n int) func(formatFiles) {
	return func(f formatFiles) { f[name] = f[name][:len(f[name])-n] }
}

func zeroRange(name string, from, to int) func(formatFiles) {
	return func(f formatFiles) { clear(f[name][from:to]) }
}

func flipBit(name string, at int) func(formatFiles) {
	return func(f formatFiles) { f[name][at] ^= 0x10 }
}

func soundCases() []formatCase {
	return []formatCase{
		{name: "empty", opts: smallOpts},
		{name: "several records", opts: smallOpts, script: severalRecordsScript()},
		{name: "large records", opts: smallOpts, script: largeRecordsScript()},
		{name: "record of zeros on the disk", opts: smallOpts, script: []scriptStep{appends(strings.Repeat("Z", 600))}},
		{name: "rolled", opts: shortSegments, script: rolledScript()},
		{name: "compacted in the middle", opts: shortSegments, script: compactedScript()},
		{name: "compacted at the end", opts: smallOpts, script: []scriptStep{appends("one", "two"), snapshotAt(2, "both")}},
		{
			name: "compacted twice", opts: smallOpts,
			script: []scriptStep{appends("one", "two"), snapshotAt(1, ""), appends("three"), snapshotAt(3, "all"), appends("four")},
		},
	}
}

func tornCases() []formatCase {
	return []formatCase{
		{name: "torn record", opts: smallOpts, script: severalRecordsScript(), change: truncateEnd(firstSegment, 1)},
		{
			name: "torn frame head", opts: smallOpts, script: []scriptStep{appends("one", "two")},
			change: truncateEnd(firstSegment, 3+10),
		},
		{name: "torn segment head", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) { f[f.newest()] = f[f.newest()][:7] }},
		{name: "torn sector", opts: smallOpts, script: largeRecordsScript(), change: zeroRange(firstSegment, 1536, 2048)},
		{name: "unwritten segment head", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) { clear(f[f.newest()]) }},
	}
}

func corruptCases(t *testing.T) []formatCase {
	t.Helper()
	three := writeLog(t, shortSegments, compactedScript()...)[thirdSnapshot]
	return []formatCase{
		{name: "corrupt first frame head", opts: smallOpts, script: severalRecordsScript(), change: flipBit(firstSegment, 21)},
		{name: "corrupt record in the middle", opts: smallOpts, script: severalRecordsScript(), change: flipBit(firstSegment, 90)},
		{name: "corrupt last record", opts: smallOpts, script: severalRecordsScript(), change: flipBit(firstSegment, 465)},
		{name: "hole before a later frame", opts: smallOpts, script: largeRecordsScript(), change: zeroRange(firstSegment, 512, 1024)},
		{
			name: "hole before the last frame", opts: smallOpts, script: []scriptStep{appends(strings.Repeat("some text ", 120), "end")},
			change: zeroRange(firstSegment, 512, 1024),
		},
		{name: "segment of just its bound", opts: withSegments(56), script: []scriptStep{appends("8 bytes.", "in the same", "in another")}},
		{name: "corrupt segment before the snapshot", opts: shortSegments, script: rolledScript(), change: func(f formatFiles) {
			f[thirdSnapshot] = slices.Clone(three)
			f[secondSegment][40] ^= 0x10
		}},
		{name: "corrupt segment head", opts: smallOpts, script: severalRecordsScript(), change: flipBit(firstSegment, 3)},
		{name: "cut older segment", opts: shortSegments, script: rolledScript(), change: truncateEnd(firstSegment, 4)},
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
	five := writeLog(t, smallOpts, appends("1", "2", "3", "4", "5"), snapshotAt(5, "five"))[snapshotOfFive]
	return []formatCase{
		{name: "corrupt snapshot", opts: shortSegments, script: compactedScript(), change: flipBit(thirdSnapshot, 40)},
		{name: "corrupt snapshot head", opts: shortSegments, script: compactedScript(), change: flipBit(thirdSnapshot, 2)},
		{name: "cut snapshot", opts: shortSegments, script: compactedScript(), change: truncateEnd(thirdSnapshot, 15)},
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
