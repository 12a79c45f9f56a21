package hotrestart

import (
	"bytes"
	"cmp"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

// The start time and the PID in the files in testdata. Process 1 is running on every machine.
const (
	writerStartedAt = 1790000000000000010
	writerPID       = 1
)

var writtenAt = time.Date(2026, 9, 21, 14, 13, 20, 10, time.UTC)

// fullSnapshot returns a snapshot in which every field has a value, each a different one.
func fullSnapshot() Snapshot {
	return Snapshot{
		WrittenAt:    writtenAt,
		Ready:        true,
		KnownServers: []string{"s-1", "gone/%2F", "ümlaut <&>\u2028", ""},
		State: engine.State{
			Version: 41,
			Servers: []engine.Server{
				{Name: "s-1", Addr: "127.0.0.1:1", Server: balancer.Server{
					ID: 1, Zone: "bilbao", Cell: 3, State: balancer.Draining, Capacity: 1.5, Started: time.Hour, Evacuate: true,
				}},
				{Name: "s-2", Addr: "[::1]:2", Server: balancer.Server{ID: 4294967295}},
			},
			Balancer: balancer.Snapshot{
				Servers: []balancer.ServerSnapshot{{
					ID: 1, Started: 2 * time.Hour, LoadLimit: 5.25, LimitLoweredAt: 3 * time.Second, PausedUntil: 4 * time.Second,
					EjectedUntil: 5 * time.Second, Ejections: 6, FailureScore: 0.1, FailureScoreAt: 7 * time.Second,
				}, {ID: 2}},
				ClassLoads:         []balancer.WeightedMean{{Value: 1e21, Weight: 1e-7}, {Value: 3, Weight: 4}},
				MeanLoad:           balancer.WeightedMean{Value: 20000, Weight: 3},
				ConnectionCapacity: balancer.WeightedMean{Value: 12.5, Weight: 0.5},
			},
			Flows: []engine.Flow{
				{ID: "9b", Class: "c", Key: "k", Group: "g", Server: "s-1", Load: 12.75},
				{ID: "9c"},
			},
		},
	}
}

// appendSnapshot appends the fields of a snapshot as text. Files in testdata hold this text, so it stays as it is.
func appendSnapshot(b *bytes.Buffer, r Snapshot) {
	fmt.Fprintf(b, "process born=%d pid=%d\n", r.Process.StartedAt, r.Process.PID)
	fmt.Fprintf(b, "written=%s ready=%t\n", r.WrittenAt.Format(time.RFC3339Nano), r.Ready)
	fmt.Fprintf(b, "known absent=%t %q\n", r.KnownServers == nil, r.KnownServers)
	fmt.Fprintf(b, "version=%d\n", r.State.Version)
	for _, s := range r.State.Servers {
		fmt.Fprintf(b, "server name=%q addr=%q id=%d zone=%q cell=%d state=%d capacity=%g started=%d clear=%t\n",
			s.Name, s.Addr, uint64(s.ID), s.Zone, s.Cell, int(s.State), s.Capacity, int64(s.Started), s.Evacuate)
	}
	for _, s := range r.State.Balancer.Servers {
		fmt.Fprintf(b,
			"learned id=%d started=%d limit=%g cut_at=%d paused_until=%d ejected=%d ejections=%d strikes=%g strikes_at=%d\n",
			uint64(s.ID), int64(s.Started), s.LoadLimit, int64(s.LimitLoweredAt), int64(s.PausedUntil), int64(s.EjectedUntil),
			s.Ejections,
			s.FailureScore, int64(s.FailureScoreAt))
	}
	for i, c := range r.State.Balancer.ClassLoads {
		fmt.Fprintf(b, "class %d value=%g weight=%g\n", i, c.Value, c.Weight)
	}
	load, bears := r.State.Balancer.MeanLoad, r.State.Balancer.ConnectionCapacity
	fmt.Fprintf(b, "load value=%g weight=%g bears value=%g weight=%g\n", load.Value, load.Weight, bears.Value, bears.Weight)
	for _, f := range r.State.Flows {
		fmt.Fprintf(b, "flow id=%q class=%q key=%q group=%q server=%q load=%g\n", f.ID, f.Class, f.Key, f.Group, f.Server,
			f.Load)
	}
}

// writerFile is the name of the file of the process that started at writerStartedAt.
const writerFile = "state-1790000000000000010"

func mustRead(t *testing.T, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// writeFile writes a file into a directory and sets its modification time.
func writeFile(t *testing.T, dir, name string, text []byte, changed time.Time) {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, changed, changed); err != nil {
		t.Fatal(err)
	}
}

// fileNames returns the names of the files in a directory.
func fileNames(t *testing.T, dir string) []string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	names := []string{}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

// withHeader returns a body with the header of the format before it: a magic word, the version, the checksum and the size.
func withHeader(magic string, version int, body string) []byte {
	sum := crc32.Checksum([]byte(body), crc32.MakeTable(crc32.Castagnoli))
	return fmt.Appendf(nil, "%s %d %08x %d\n%s", magic, version, sum, len(body), body)
}

// A snapshot must be written byte for byte as earlier builds wrote it, to a file and a directory that only the owner may read.
func TestFormatWritten(t *testing.T) {
	for name, r := range map[string]Snapshot{"full.state": fullSnapshot(), "zero.state": {}} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "a", "state")
			NewStateDir(dir, Process{StartedAt: writerStartedAt, PID: writerPID}, discardLogger).Write(r)
			path := filepath.Join(dir, writerFile)
			golden.Check(t, name, mustRead(t, path))
			for created, want := range map[string]os.FileMode{path: 0o600, dir: 0o700} {
				info, err := os.Stat(created)
				if err != nil {
					t.Fatal(err)
				}
				if got := info.Mode().Perm(); got != want {
					t.Errorf("%s has mode %o, want %o", filepath.Base(created), got, want)
				}
			}
			if names := fileNames(t, dir); !slices.Equal(names, []string{writerFile}) {
				t.Errorf("the directory holds %q, want only the snapshot's file", names)
			}
		})
	}
}

// Guards against a checksum without its leading zeros: in the header it must have eight digits for every body. The test
// writes bodies until some checksums begin with zero.
func TestHeaderChecksumKeepsLeadingZeros(t *testing.T) {
	dir := t.TempDir()
	d := NewStateDir(dir, Process{StartedAt: writerStartedAt, PID: writerPID}, discardLogger)
	leadingZeros := 0
	for i := range 64 {
		d.Write(Snapshot{State: engine.State{Version: int64(i)}})
		text := mustRead(t, filepath.Join(dir, writerFile))
		_, body, _ := strings.Cut(string(text), "\n")
		if want := withHeader("milletvane-handover", 1, body); !bytes.Equal(text, want) {
			t.Fatalf("wrote:\n%s\nwant:\n%s", text, want)
		}
		if bytes.Contains(text, []byte("handover 1 0")) {
			leadingZeros++
		}
	}
	if leadingZeros == 0 {
		t.Error("no checksum begins with zero, want at least one")
	}
}

// A file of an earlier build must be read with the same value in every field, and must be written again byte for byte.
func TestFormatReadAndWrittenAgain(t *testing.T) {
	for _, name := range []string{"full.state", "zero.state"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			text := mustRead(t, filepath.Join("testdata", name))
			now := writtenAt
			if name == "zero.state" {
				now = time.Time{}
			}
			writeFile(t, dir, writerFile, text, writtenAt)
			r, ok := NewStateDir(dir, Process{StartedAt: writerStartedAt + 1, PID: os.Getpid()},
				discardLogger).ReadPredecessor(now)
			if !ok {
				t.Fatal("the snapshot was not read")
			}
			var b bytes.Buffer
			appendSnapshot(&b, r)
			golden.Check(t, strings.TrimSuffix(name, ".state")+".fields", b.Bytes())
			NewStateDir(dir, Process{StartedAt: writerStartedAt, PID: writerPID}, discardLogger).Write(r)
			if rewritten := mustRead(t, filepath.Join(dir, writerFile)); !bytes.Equal(rewritten, text) {
				t.Errorf("written again as:\n%s\nwant:\n%s", rewritten, text)
			}
		})
	}
}

// readCase is a file in a state directory and the time at which it is read. The names of cases stand in testdata/forms.txt,
// so they stay as they are.
type readCase struct {
	name    string
	file    string // empty: state-10
	text    []byte
	now     time.Time // zero: writtenAt
	changed time.Time // modification time of the file; zero: writtenAt
}

const headerMagic = "milletvane-handover"

// minimalBody is a snapshot with only the required fields.
var minimalBody = `{"Process":{"Born":7,"PID":1},"Written":"` + writtenAt.Format(time.RFC3339Nano) + `"}`

// minimalFile returns a file of minimalBody in which the text from is replaced by to.
func minimalFile(from, to string) []byte {
	return withHeader(headerMagic, 1, strings.Replace(minimalBody, from, to, 1))
}

// withLowerCaseKeys returns a JSON text with its keys in lower case.
func withLowerCaseKeys(body string) string {
	return regexp.MustCompile(`"[A-Za-z]+":`).ReplaceAllStringFunc(body, strings.ToLower)
}

// bodyCases returns files with a valid header.
func bodyCases(t *testing.T) []readCase {
	t.Helper()
	whole := string(mustRead(t, filepath.Join("testdata", "full.state")))
	_, wholeBody, _ := strings.Cut(whole, "\n")
	return []readCase{
		{name: "short", text: withHeader(headerMagic, 1, minimalBody)},
		{name: "unknown fields are passed over", text: minimalFile(
			`"Written"`,
			`"Later":{"a":[1]},"Written"`,
		)},
		{name: "keys in lower case", text: withHeader(headerMagic, 1, withLowerCaseKeys(wholeBody))},
		{name: "null lists", text: minimalFile(
			`"Written"`,
			`"Known":null,"State":{"Servers":null,"Flows":null,"Learned":{"Servers":null,"Classes":null}},"Written"`,
		)},
		{name: "empty lists", text: minimalFile(
			`"Written"`,
			`"Known":[],"State":{"Servers":[],"Flows":[]},"Written"`,
		)},
		{name: "no process", text: minimalFile(`"Process":{"Born":7,"PID":1},`, ``)},
		{name: "process of number 0", text: minimalFile(`"PID":1`, `"PID":0`)},
		{name: "process that has ended", text: minimalFile(`"PID":1`, `"PID":1073741824`)},
		{name: "checksum without leading zeros", text: fileWithShortChecksum()},
		{name: "more in the first line", text: []byte(strings.Replace(string(withHeader(headerMagic, 1, minimalBody)), "\n",
			" more\n", 1))},
	}
}

// fileWithShortChecksum returns a file whose checksum lacks its leading zero.
func fileWithShortChecksum() []byte {
	for i := 0; ; i++ {
		text := string(minimalFile(`{`, `{`+strings.Repeat(" ", i)))
		if cut := strings.Replace(text, " 1 0", " 1 ", 1); cut != text {
			return []byte(cut)
		}
	}
}

// damagedCases returns files that are truncated, altered, too large or of another format, and one of the largest valid size.
func damagedCases(t *testing.T) []readCase {
	t.Helper()
	const sizeLimit = 16 << 20
	whole := string(mustRead(t, filepath.Join("testdata", "full.state")))
	head := len(fmt.Sprintf("%s %d %08x %d\n", headerMagic, 1, 0, sizeLimit))
	largest := withHeader(headerMagic, 1, minimalBody+strings.Repeat(" ", sizeLimit-head-len(minimalBody)))
	return []readCase{
		{name: "empty", text: []byte{}},
		{name: "no first line", text: []byte(headerMagic)},
		{name: "first line alone", text: withHeader(headerMagic, 1, "")},
		{name: "cut short", text: []byte(whole[:len(whole)-1])},
		{name: "one byte more", text: []byte(whole + "x")},
		{name: "one bit changed", text: []byte(strings.Replace(whole, `"s-1"`, `"s-0"`, 1))},
		{name: "other word", text: withHeader("milletvine-handover", 1, minimalBody)},
		{name: "version 0", text: withHeader(headerMagic, 0, minimalBody)},
		{name: "version 2", text: withHeader(headerMagic, 2, minimalBody)},
		{name: "no JSON", text: withHeader(headerMagic, 1, "{")},
		{name: "JSON of another form", text: withHeader(headerMagic, 1, `{"Written":7}`)},
		{name: "list of names", text: withHeader(headerMagic, 1, `["s-1"]`)},
		{name: "as large as may be", text: largest},
		{name: "larger than may be", text: append(slices.Clone(largest), ' ')},
	}
}

// ageAndNameCases returns valid files of various ages and names.
func ageAndNameCases() []readCase {
	text := withHeader(headerMagic, 1, minimalBody)
	return []readCase{
		{name: "written 10 s ago", text: text, now: writtenAt.Add(10 * time.Second)},
		{name: "written over 10 s ago", text: text, now: writtenAt.Add(10*time.Second + 1)},
		{name: "written 10 s ahead", text: text, now: writtenAt.Add(-10 * time.Second)},
		{name: "written over 10 s ahead", text: text, now: writtenAt.Add(-10*time.Second - 1)},
		{name: "changed a minute ago", text: text, changed: writtenAt.Add(-time.Minute)},
		{name: "changed over a minute ago", text: text, changed: writtenAt.Add(-time.Minute - time.Millisecond)},
		{name: "birth that is no number", file: "state-abc", text: text},
		{name: "birth of this process", file: "state-20", text: text},
		{name: "birth of this process with a zero", file: "state-020", text: text},
		{name: "birth after this process", file: "state-21", text: text},
		{name: "other prefix", file: "stat-10", text: text},
		{name: "put aside before", file: "bad-state-10", text: text},
	}
}

// appendRead appends whether the snapshot of a case is used, which files are left, and the fields of the snapshot. Files in
// testdata hold this text, so it stays as it is.
func appendRead(t *testing.T, b *bytes.Buffer, c readCase) {
	t.Helper()
	dir := t.TempDir()
	file, now, changed := cmp.Or(c.file, "state-10"), c.now, c.changed
	if now.IsZero() {
		now = writtenAt
	}
	if changed.IsZero() {
		changed = writtenAt
	}
	writeFile(t, dir, file, c.text, changed)
	s, ok := newRunningStateDir(dir, 20).ReadPredecessor(now)
	fmt.Fprintf(b, "== %s: taken up %t, left %q\n", c.name, ok, fileNames(t, dir))
	if ok {
		appendSnapshot(b, s)
	}
}

// For each case, the golden file states whether the snapshot is used and whether the file is kept, quarantined or removed.
func TestFormatOfFilesRead(t *testing.T) {
	var out bytes.Buffer
	for _, c := range slices.Concat(bodyCases(t), damagedCases(t), ageAndNameCases()) {
		appendRead(t, &out, c)
	}
	golden.Check(t, "forms.txt", out.Bytes())
}

// Of several processes, the predecessor must be the last running one that started before this one. A successor is any running
// process that started after this one and is ready.
func TestFormatOfSeveralProcesses(t *testing.T) {
	snapshotFile := func(startedAt int64, pid int, ready bool) []byte {
		return withHeader("milletvane-handover", 1, fmt.Sprintf(`{"Process":{"Born":%d,"PID":%d},"Written":%q,"Ready":%t}`,
			startedAt, pid, writtenAt.Format(time.RFC3339Nano), ready))
	}
	const endedPID = 1 << 30
	for _, c := range []struct {
		name         string
		files        map[string][]byte
		predecessor  int64 // start time of the predecessor; 0: there is none
		hasSuccessor bool
	}{
		{"none", nil, 0, false},
		{"two before", map[string][]byte{"state-9": snapshotFile(9, 1, true), "state-10": snapshotFile(10, 1, true)}, 10, false},
		{
			"in numerical order, not alphabetical",
			map[string][]byte{"state-5": snapshotFile(5, 1, true), "state-19": snapshotFile(19, 1, true)},
			19,
			false,
		},
		{
			"the later one has ended",
			map[string][]byte{"state-9": snapshotFile(9, 1, true), "state-10": snapshotFile(10, endedPID, true)},
			9,
			false,
		},
		{"the later one is damaged", map[string][]byte{"state-9": snapshotFile(9, 1, true), "state-10": []byte("x")}, 9, false},
		{"not ready", map[string][]byte{"state-9": snapshotFile(9, 1, false)}, 9, false},
		{"after, ready", map[string][]byte{"state-30": snapshotFile(30, 1, true)}, 0, true},
		{"after, not ready", map[string][]byte{"state-30": snapshotFile(30, 1, false)}, 0, false},
		{"after, ended", map[string][]byte{"state-30": snapshotFile(30, endedPID, true)}, 0, false},
		{"after, damaged", map[string][]byte{"state-30": []byte("x")}, 0, false},
		{
			"after, one of two ready",
			map[string][]byte{"state-30": snapshotFile(30, 1, false), "state-31": snapshotFile(31, 1, true)},
			0,
			true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range c.files {
				writeFile(t, dir, name, text, writtenAt)
			}
			d := newRunningStateDir(dir, 20)
			r, ok := d.ReadPredecessor(writtenAt)
			if ok != (c.predecessor > 0) || r.Process.StartedAt != c.predecessor {
				t.Errorf("got the predecessor %d (ok: %t), want %d", r.Process.StartedAt, ok, c.predecessor)
			}
			if got := d.HasSuccessor(); got != c.hasSuccessor {
				t.Errorf("HasSuccessor: got %t, want %t", got, c.hasSuccessor)
			}
		})
	}
}
