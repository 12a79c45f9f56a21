package wal_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"example.org/milletvane/internal/wal"
	"example.org/milletvane/internal/wal/faultfs"
)

// The files of a log outlive the build that wrote them: the next build has to read them, and to write the same bytes, as
// the one before may be started on them again. These tests hold both against testdata. They name values one by one, so
// that a renamed type or field changes nothing in them, and leave the text of errors out.

var updateFormat = flag.Bool("update-format", false, "write the files of testdata/format anew")

const formatDir = "d" // of the logs in these tests

// compare holds a text against a file of testdata, or writes the file anew where the flag says so.
func compare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "format", name)
	if *updateFormat {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		var g, w string
		if i < len(gotLines) {
			g = gotLines[i]
		}
		if i < len(wantLines) {
			w = wantLines[i]
		}
		if g != w {
			t.Fatalf("%s, line %d:\n got %q\nwant %q", path, i+1, g, w)
		}
	}
}

// formatFiles are the files of one folder.
type formatFiles map[string][]byte

func (f formatFiles) names() []string {
	var names []string
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (f formatFiles) clone() formatFiles {
	c := formatFiles{}
	for name, b := range f {
		c[name] = slices.Clone(b)
	}
	return c
}

// newest is the name of the last segment.
func (f formatFiles) newest() string {
	var newest string
	for _, name := range f.names() {
		if strings.HasPrefix(name, "journal-") {
			newest = name
		}
	}
	return newest
}

// text has all bytes of all files, in hex.
func (f formatFiles) text() string {
	var b strings.Builder
	for _, name := range f.names() {
		fmt.Fprintf(&b, "file %s\n", name)
		for part := range slices.Chunk(f[name], 32) {
			fmt.Fprintf(&b, "  %s\n", hex.EncodeToString(part))
		}
	}
	return b.String()
}

// parseFormatFiles is the other way round.
func parseFormatFiles(t *testing.T, text string) formatFiles {
	t.Helper()
	f, name := formatFiles{}, ""
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if rest, ok := strings.CutPrefix(line, "file "); ok {
			name = rest
			f[name] = []byte{}
			continue
		}
		b, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		f[name] = append(f[name], b...)
	}
	return f
}

// digests names all files with their lengths and a checksum each.
func (f formatFiles) digests() string {
	var b strings.Builder
	for _, name := range f.names() {
		fmt.Fprintf(&b, "%s %d %s\n", name, len(f[name]), shortDigest(f[name]))
	}
	return b.String()
}

func shortDigest(b []byte) string {
	d := sha256.Sum256(b)
	return hex.EncodeToString(d[:8])
}

func filesOn(t *testing.T, fs wal.FS, dir string) formatFiles {
	t.Helper()
	f := formatFiles{}
	names, err := fs.List(dir)
	if err != nil {
		return f
	}
	for _, name := range names {
		if f[name], err = fs.ReadFile(filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func diskOf(t *testing.T, f formatFiles) *faultfs.FS {
	t.Helper()
	d := faultfs.New(1)
	if err := d.MkdirAll(formatDir); err != nil {
		t.Fatal(err)
	}
	for _, name := range f.names() {
		w, err := d.Create(filepath.Join(formatDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Write(f[name]); err != nil {
			t.Fatal(err)
		}
	}
	return d
}

// outcome names what kind of error one is, with what it says of the files.
func outcome(err error) string {
	var full *wal.NoSpaceError
	var broken *wal.WriteFailedError
	var damage *wal.CorruptionError
	var closed *wal.ClosedError
	var large *wal.TooLargeError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &damage):
		return fmt.Sprintf("corrupt file %s offset %d moved to %q", filepath.Base(damage.File), damage.Offset, damage.QuarantineDir)
	case errors.As(err, &broken):
		return "failed dir " + broken.Dir
	case errors.As(err, &full):
		return "no space dir " + full.Dir
	case errors.As(err, &closed):
		return "closed dir " + closed.Dir
	case errors.As(err, &large):
		return fmt.Sprintf("too large %d most %d", large.Bytes, large.MaxBytes)
	}
	return "other"
}

// recoveredText names what an open log had in it, field by field.
func recoveredText(held *wal.RecoveredLog) string {
	var b strings.Builder
	fmt.Fprintf(&b, "snapshot %d %s\n", held.SnapshotNumber, hex.EncodeToString(held.Snapshot))
	for _, r := range held.Records {
		data := hex.EncodeToString(r.Data)
		if len(r.Data) > 32 {
			data = fmt.Sprintf("%d bytes %s", len(r.Data), shortDigest(r.Data))
		}
		fmt.Fprintf(&b, "record %d %s\n", r.Number, data)
	}
	fmt.Fprintf(&b, "last %d\ntorn %d\n", held.LastNumber(), held.TornBytes)
	return b.String()
}

// reopen opens a log, appends one record and closes it, and says what came of each step.
func reopen(t *testing.T, fs wal.FS, opts wal.Options) string {
	t.Helper()
	var b strings.Builder
	j, held, err := wal.Open(fs, formatDir, opts)
	fmt.Fprintf(&b, "open %s\n", outcome(err))
	if err == nil {
		fmt.Fprintf(&b, "%sfiles\n%s", recoveredText(held), filesOn(t, fs, formatDir).digests())
		n, err := j.Append([]byte("next"))
		fmt.Fprintf(&b, "append %d %s\nclose %s\n", n, outcome(err), outcome(j.Close()))
	}
	fmt.Fprintf(&b, "files\n%s", filesOn(t, fs, formatDir).digests())
	var damage *wal.CorruptionError
	if errors.As(err, &damage) && damage.QuarantineDir != "" {
		fmt.Fprintf(&b, "moved files\n%s", filesOn(t, fs, damage.QuarantineDir).digests())
	}
	return b.String()
}

// formatScript is what a case does to a log.
type formatScript func(t *testing.T, j wal.Log)

func appends(records ...string) formatScript {
	return func(t *testing.T, j wal.Log) {
		t.Helper()
		for _, r := range records {
			if _, err := j.Append([]byte(r)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func snapshotAt(upTo uint64, state string) formatScript {
	return func(t *testing.T, j wal.Log) {
		t.Helper()
		if err := j.Snapshot(upTo, []byte(state)); err != nil {
			t.Fatal(err)
		}
	}
}

// write has the files that a script leaves in a new log.
func write(t *testing.T, opts wal.Options, script ...formatScript) formatFiles {
	t.Helper()
	d := faultfs.New(1)
	j, _, err := wal.Open(d, formatDir, opts)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range script {
		step(t, j)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return filesOn(t, d, formatDir)
}

func allBytes() string {
	b := make([]byte, 256)
	for i := range b {
		b[i] = byte(i)
	}
	return string(b)
}

const (
	firstSegment  = "journal-0000000000000001"
	secondSegment = "journal-0000000000000002" // of the cases with short segments
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

func formatCases(t *testing.T) []formatCase {
	t.Helper()
	const snapshotOfFive = "state-0000000000000005"
	five := write(t, small, appends("1", "2", "3", "4", "5"), snapshotAt(5, "five"))[snapshotOfFive]
	short := withSegments(64)
	several := []formatScript{appends("one", "", "three", string(make([]byte, 40)), allBytes(), "the last")}
	large := []formatScript{appends(strings.Repeat("some text ", 60), strings.Repeat("more text ", 80), "end", strings.Repeat("last text ", 60))}
	rolled := []formatScript{appends("the first of some records", "the second", "the third, in a new file", "the fourth", "5", "6")}
	compacted := append(slices.Clone(rolled), snapshotAt(3, "state of three"), appends("the seventh"))
	three := write(t, short, compacted...)["state-0000000000000003"]
	cut := func(name string, n int) func(formatFiles) {
		return func(f formatFiles) { f[name] = f[name][:len(f[name])-n] }
	}
	zero := func(name string, from, to int) func(formatFiles) {
		return func(f formatFiles) { clear(f[name][from:to]) }
	}
	flip := func(name string, at int) func(formatFiles) {
		return func(f formatFiles) { f[name][at] ^= 0x10 }
	}
	return []formatCase{
		{name: "empty", opts: small},
		{name: "several records", opts: small, script: several},
		{name: "large records", opts: small, script: large},
		{name: "record of zeros on the disk", opts: small, script: []formatScript{appends(strings.Repeat("Z", 600))}},
		{name: "rolled", opts: short, script: rolled},
		{name: "compacted in the middle", opts: short, script: compacted},
		{name: "compacted at the end", opts: small, script: []formatScript{appends("one", "two"), snapshotAt(2, "both")}},
		{name: "compacted twice", opts: small,
			script: []formatScript{appends("one", "two"), snapshotAt(1, ""), appends("three"), snapshotAt(3, "all"), appends("four")}},
		{name: "torn record", opts: small, script: several, change: cut(firstSegment, 1)},
		{name: "torn frame head", opts: small, script: []formatScript{appends("one", "two")}, change: cut(firstSegment, 3+10)},
		{name: "torn segment head", opts: short, script: rolled, change: func(f formatFiles) { f[f.newest()] = f[f.newest()][:7] }},
		{name: "torn sector", opts: small, script: large, change: zero(firstSegment, 1536, 2048)},
		{name: "unwritten segment head", opts: short, script: rolled, change: func(f formatFiles) { clear(f[f.newest()]) }},
		{name: "corrupt first frame head", opts: small, script: several, change: flip(firstSegment, 21)},
		{name: "corrupt record in the middle", opts: small, script: several, change: flip(firstSegment, 90)},
		{name: "corrupt last record", opts: small, script: several, change: flip(firstSegment, 465)},
		{name: "hole before a later frame", opts: small, script: large, change: zero(firstSegment, 512, 1024)},
		{name: "hole before the last frame", opts: small, script: []formatScript{appends(strings.Repeat("some text ", 120), "end")},
			change: zero(firstSegment, 512, 1024)},
		{name: "segment of just its bound", opts: withSegments(56), script: []formatScript{appends("8 bytes.", "in the same", "in another")}},
		{name: "corrupt segment before the snapshot", opts: short, script: rolled, change: func(f formatFiles) {
			f["state-0000000000000003"] = slices.Clone(three)
			f[secondSegment][40] ^= 0x10
		}},
		{name: "corrupt segment head", opts: small, script: several, change: flip(firstSegment, 3)},
		{name: "cut older segment", opts: short, script: rolled, change: cut(firstSegment, 4)},
		{name: "missing segment", opts: short, script: rolled, change: func(f formatFiles) { delete(f, secondSegment) }},
		{name: "missing first segment", opts: short, script: rolled, change: func(f formatFiles) { delete(f, firstSegment) }},
		{name: "segment under another name", opts: short, script: rolled, change: func(f formatFiles) {
			f["journal-0000000000000003"] = f[secondSegment]
			delete(f, secondSegment)
		}},
		{name: "corrupt snapshot", opts: short, script: compacted, change: flip("state-0000000000000003", 40)},
		{name: "corrupt snapshot head", opts: short, script: compacted, change: flip("state-0000000000000003", 2)},
		{name: "cut snapshot", opts: short, script: compacted, change: cut("state-0000000000000003", 15)},
		{name: "snapshot under another name", opts: short, script: compacted, change: func(f formatFiles) {
			f["state-0000000000000004"] = f["state-0000000000000003"]
		}},
		{name: "left over files", opts: short, script: compacted, change: func(f formatFiles) {
			f["state-0000000000000009.tmp"] = []byte("half a sta")
			f["state-0000000000000002"] = []byte("of the past")
			f["journal-1"] = []byte("no segment")
			f["notes"] = []byte("of somebody else")
		}},
		{name: "segments before the snapshot", opts: short, script: rolled, change: func(f formatFiles) {
			f[snapshotOfFive] = slices.Clone(five)
		}},
		{name: "snapshot alone", opts: short, script: rolled, change: func(f formatFiles) {
			clear(f)
			f[snapshotOfFive] = slices.Clone(five)
		}},
	}
}

// What a script writes is what stands in testdata, byte for byte, and those bytes are recovered as is said there.
func TestFilesKeepTheirFormat(t *testing.T) {
	for _, c := range formatCases(t) {
		t.Run(c.name, func(t *testing.T) {
			name := strings.ReplaceAll(c.name, " ", "-")
			written := write(t, c.opts, c.script...)
			if c.change != nil {
				c.change(written)
			}
			compare(t, name+".files", written.text())
			stored, err := os.ReadFile(filepath.Join("testdata", "format", name+".files"))
			if err != nil {
				t.Fatal(err)
			}
			d := diskOf(t, parseFormatFiles(t, string(stored)))
			compare(t, name+".recovered", reopen(t, d, c.opts)+"again\n"+reopen(t, d, c.opts))
		})
	}
}

// On the system's disk the files are the same, for their owner alone.
func TestFilesOnTheSystemsDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "d")
	script := []formatScript{appends("the first of some records", "the second", "the third"), snapshotAt(2, "two")}
	j, _, err := wal.Open(wal.OSFS{}, dir, withSegments(64))
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range script {
		step(t, j)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if got, want := filesOn(t, wal.OSFS{}, dir).text(), write(t, withSegments(64), script...).text(); got != want {
		t.Errorf("on the system's disk:\n%s\nin memory:\n%s", got, want)
	}
	for _, name := range append(filesOn(t, wal.OSFS{}, dir).names(), ".") {
		info, err := os.Stat(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		want := os.FileMode(0o600)
		if name == "." {
			want = 0o700
		}
		if got := info.Mode().Perm(); got != want {
			t.Errorf("%s has mode %o, want %o", name, got, want)
		}
	}
}

// The bounds of a record and of a segment, in bytes, are what they were.
func TestBoundsStayAsTheyAre(t *testing.T) {
	d := faultfs.New(1)
	j, _, err := wal.Open(d, formatDir, wal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, size := range []int{1<<20 + 1, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 1} {
		n, err := j.Append(make([]byte, size))
		fmt.Fprintf(&b, "append %d bytes: %d %s\n", size, n, outcome(err))
	}
	fmt.Fprintf(&b, "close %s\n%s", outcome(j.Close()), reopen(t, d, wal.Options{}))
	compare(t, "bounds", b.String())
}

// Every single cut, flipped byte and hole of a log is classed as it always was: one digest for all changes of a kind.
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

// faultyFS fails calls of a file system by their number, and keeps the names of all calls.
type faultyFS struct {
	wal.FS
	calls []string
	fails func(call int) error
}

func (f *faultyFS) call(name string) error {
	f.calls = append(f.calls, name)
	return f.fails(len(f.calls))
}

func (f *faultyFS) MkdirAll(dir string) error {
	if err := f.call("mkdir"); err != nil {
		return err
	}
	return f.FS.MkdirAll(dir)
}

func (f *faultyFS) List(dir string) ([]string, error) {
	if err := f.call("list"); err != nil {
		return nil, err
	}
	return f.FS.List(dir)
}

func (f *faultyFS) ReadFile(name string) ([]byte, error) {
	if err := f.call("read " + filepath.Base(name)); err != nil {
		return nil, err
	}
	return f.FS.ReadFile(name)
}

func (f *faultyFS) Create(name string) (wal.File, error) {
	if err := f.call("create " + filepath.Base(name)); err != nil {
		return nil, err
	}
	w, err := f.FS.Create(name)
	return &faultyFile{w, f}, err
}

func (f *faultyFS) Append(name string) (wal.File, error) {
	if err := f.call("append " + filepath.Base(name)); err != nil {
		return nil, err
	}
	w, err := f.FS.Append(name)
	return &faultyFile{w, f}, err
}

func (f *faultyFS) Rename(from, to string) error {
	if err := f.call("rename " + filepath.Base(from)); err != nil {
		return err
	}
	return f.FS.Rename(from, to)
}

func (f *faultyFS) Remove(name string) error {
	if err := f.call("remove " + filepath.Base(name)); err != nil {
		return err
	}
	return f.FS.Remove(name)
}

func (f *faultyFS) SyncDir(dir string) error {
	if err := f.call("sync folder"); err != nil {
		return err
	}
	return f.FS.SyncDir(dir)
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.fs.call(fmt.Sprintf("write %d", len(b))); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.fs.call(fmt.Sprintf("truncate %d", size)); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *faultyFile) Sync() error {
	if err := f.fs.call("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

// A log that runs into a fault at any of its calls returns the same kinds of errors and leaves the same files as before.
func TestEveryFailedCallEndsAsBefore(t *testing.T) {
	t.Parallel()
	opts := withSegments(64)
	script := func(t *testing.T, fs wal.FS) string {
		var b strings.Builder
		j, held, err := wal.Open(fs, formatDir, opts)
		fmt.Fprintf(&b, "open %s\n", outcome(err))
		if err != nil {
			return b.String()
		}
		b.WriteString(recoveredText(held))
		for i := range 7 {
			n, err := j.Append([]byte(strings.Repeat("record ", i)))
			fmt.Fprintf(&b, "append %d %s\n", n, outcome(err))
			if i%3 == 2 {
				fmt.Fprintf(&b, "snapshot %s\n", outcome(j.Snapshot(n, []byte("state"))))
			}
			if i == 4 {
				fmt.Fprintf(&b, "snapshot %s\n", outcome(j.Snapshot(n-1, []byte("older state"))))
			}
		}
		fmt.Fprintf(&b, "close %s\n", outcome(j.Close()))
		return b.String()
	}
	torn := write(t, opts, appends("the first of some records", "the second", "the third, in a new file", "the fourth"))
	torn[torn.newest()] = torn[torn.newest()][:len(torn[torn.newest()])-3]
	var all strings.Builder
	for _, base := range []struct {
		name  string
		files formatFiles
	}{{"new", formatFiles{}}, {"torn", torn}} {
		sound := &faultyFS{FS: diskOf(t, base.files), fails: func(int) error { return nil }}
		fmt.Fprintf(&all, "%s: %s\n", base.name, shortDigest([]byte(script(t, sound))))
		for _, call := range sound.calls {
			fmt.Fprintf(&all, "  %s\n", call)
		}
		for _, fault := range []struct {
			name string
			err  error
			ever bool // from that call on
		}{{"error", syscall.EIO, false}, {"full", syscall.ENOSPC, false}, {"errors", syscall.EIO, true}, {"stays full", syscall.ENOSPC, true}} {
			for k := 1; k <= len(sound.calls); k++ {
				fs := &faultyFS{FS: diskOf(t, base.files), fails: func(call int) error {
					if call == k || fault.ever && call > k {
						return fault.err
					}
					return nil
				}}
				text := script(t, fs)
				text += filesOn(t, fs.FS, formatDir).digests() + reopen(t, fs.FS, opts)
				fmt.Fprintf(&all, "%s: %s at call %d %s\n", base.name, fault.name, k, shortDigest([]byte(text)))
			}
		}
	}
	compare(t, "faults.digests", all.String())
}
