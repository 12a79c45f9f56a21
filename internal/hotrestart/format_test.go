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

// The processes and times of the files in testdata. Process 1 runs on every machine.
const (
	writerStartedAt = 1790000000000000010
	writerPID       = 1
)

var writtenAt = time.Date(2026, 9, 21, 14, 13, 20, 10, time.UTC)

// fullSnapshot has a value of its own in every field.
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

// appendSnapshot prints a snapshot field by field.
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

// writerFile is the file of the process that started at writerStartedAt.
const writerFile = "state-1790000000000000010"

func mustRead(t *testing.T, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// put writes a file into a directory, as changed at a time.
func put(t *testing.T, dir, name string, text []byte, changed time.Time) {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, changed, changed); err != nil {
		t.Fatal(err)
	}
}

// listing names the files of a directory.
func listing(t *testing.T, dir string) []string {
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

// framed puts the first line before a body, as the format states it: a word, the version, a checksum and the size.
func framed(word string, version int, body string) []byte {
	sum := crc32.Checksum([]byte(body), crc32.MakeTable(crc32.Castagnoli))
	return fmt.Appendf(nil, "%s %d %08x %d\n%s", word, version, sum, len(body), body)
}

// What is written is, byte for byte, what earlier builds wrote, in a file and a directory that nobody else may read.
func TestFormatWritten(t *testing.T) {
	for name, r := range map[string]Snapshot{"full.state": fullSnapshot(), "zero.state": {}} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "a", "state")
			NewStateDir(dir, Process{StartedAt: writerStartedAt, PID: writerPID}, discardLogger).Write(r)
			path := filepath.Join(dir, writerFile)
			golden.Check(t, name, mustRead(t, path))
			for at, want := range map[string]os.FileMode{path: 0o600, dir: 0o700} {
				info, err := os.Stat(at)
				if err != nil {
					t.Fatal(err)
				}
				if got := info.Mode().Perm(); got != want {
					t.Errorf("%s has mode %o, want %o", filepath.Base(at), got, want)
				}
			}
			if names := listing(t, dir); !slices.Equal(names, []string{writerFile}) {
				t.Errorf("the directory holds %q", names)
			}
		})
	}
}

// The first line is as the format states it for every body: the checksum has eight digits, the first of them zero at times.
func TestFormatOfFirstLine(t *testing.T) {
	dir := t.TempDir()
	d := NewStateDir(dir, Process{StartedAt: writerStartedAt, PID: writerPID}, discardLogger)
	zeros := 0
	for i := range 64 {
		d.Write(Snapshot{State: engine.State{Version: int64(i)}})
		text := mustRead(t, filepath.Join(dir, writerFile))
		_, body, _ := strings.Cut(string(text), "\n")
		if want := framed("milletvane-handover", 1, body); !bytes.Equal(text, want) {
			t.Fatalf("wrote:\n%s\nwant:\n%s", text, want)
		}
		if bytes.Contains(text, []byte("handover 1 0")) {
			zeros++
		}
	}
	if zeros == 0 {
		t.Error("no checksum begins with zero")
	}
}

// A file of an earlier build is read field by field, and written again as it was.
func TestFormatReadAndWrittenAgain(t *testing.T) {
	for _, name := range []string{"full.state", "zero.state"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			text := mustRead(t, filepath.Join("testdata", name))
			now := writtenAt
			if name == "zero.state" {
				now = time.Time{}
			}
			put(t, dir, writerFile, text, writtenAt)
			r, ok := NewStateDir(dir, Process{StartedAt: writerStartedAt + 1, PID: os.Getpid()},
				discardLogger).ReadPredecessor(now)
			if !ok {
				t.Fatal("was not taken up")
			}
			var b bytes.Buffer
			appendSnapshot(&b, r)
			golden.Check(t, strings.TrimSuffix(name, ".state")+".fields", b.Bytes())
			NewStateDir(dir, Process{StartedAt: writerStartedAt, PID: writerPID}, discardLogger).Write(r)
			if again := mustRead(t, filepath.Join(dir, writerFile)); !bytes.Equal(again, text) {
				t.Errorf("written again:\n%s\nwant:\n%s", again, text)
			}
		})
	}
}

// readForm is a file in a state directory, and when it is read.
type readForm struct {
	name    string
	file    string // "": state-10
	text    []byte
	now     time.Time // zero: writtenAt
	changed time.Time // zero: writtenAt
}

const headerWord = "milletvane-handover"

// shortBody is a snapshot with the least that is needed.
var shortBody = `{"Process":{"Born":7,"PID":1},"Written":"` + writtenAt.Format(time.RFC3339Nano) + `"}`

// shortForm is a file of shortBody in which a text has been replaced.
func shortForm(from, to string) []byte {
	return framed(headerWord, 1, strings.Replace(shortBody, from, to, 1))
}

// lowerKeys is a JSON text with its keys in lower case.
func lowerKeys(body string) string {
	return regexp.MustCompile(`"[A-Za-z]+":`).ReplaceAllStringFunc(body, strings.ToLower)
}

// bodyForms are files whose first line is as it should be, or may be.
func bodyForms(t *testing.T) []readForm {
	t.Helper()
	whole := string(mustRead(t, filepath.Join("testdata", "full.state")))
	_, wholeBody, _ := strings.Cut(whole, "\n")
	return []readForm{
		{name: "short", text: framed(headerWord, 1, shortBody)},
		{name: "unknown fields are passed over", text: shortForm(
			`"Written"`,
			`"Later":{"a":[1]},"Written"`,
		)},
		{name: "keys in lower case", text: framed(headerWord, 1, lowerKeys(wholeBody))},
		{name: "null lists", text: shortForm(
			`"Written"`,
			`"Known":null,"State":{"Servers":null,"Flows":null,"Learned":{"Servers":null,"Classes":null}},"Written"`,
		)},
		{name: "empty lists", text: shortForm(
			`"Written"`,
			`"Known":[],"State":{"Servers":[],"Flows":[]},"Written"`,
		)},
		{name: "no process", text: shortForm(`"Process":{"Born":7,"PID":1},`, ``)},
		{name: "process of number 0", text: shortForm(`"PID":1`, `"PID":0`)},
		{name: "process that has ended", text: shortForm(`"PID":1`, `"PID":1073741824`)},
		{name: "checksum without leading zeros", text: shortChecksum()},
		{name: "more in the first line", text: []byte(strings.Replace(string(framed(headerWord, 1, shortBody)), "\n",
			" more\n", 1))},
	}
}

// shortChecksum is a file whose checksum begins with a zero that is left out.
func shortChecksum() []byte {
	for i := 0; ; i++ {
		text := string(shortForm(`{`, `{`+strings.Repeat(" ", i)))
		if cut := strings.Replace(text, " 1 0", " 1 ", 1); cut != text {
			return []byte(cut)
		}
	}
}

// damagedForms are files that are cut short, altered, too large or of another format.
func damagedForms(t *testing.T) []readForm {
	t.Helper()
	const sizeLimit = 16 << 20
	whole := string(mustRead(t, filepath.Join("testdata", "full.state")))
	head := len(fmt.Sprintf("%s %d %08x %d\n", headerWord, 1, 0, sizeLimit))
	largest := framed(headerWord, 1, shortBody+strings.Repeat(" ", sizeLimit-head-len(shortBody)))
	return []readForm{
		{name: "empty", text: []byte{}},
		{name: "no first line", text: []byte(headerWord)},
		{name: "first line alone", text: framed(headerWord, 1, "")},
		{name: "cut short", text: []byte(whole[:len(whole)-1])},
		{name: "one byte more", text: []byte(whole + "x")},
		{name: "one bit changed", text: []byte(strings.Replace(whole, `"s-1"`, `"s-0"`, 1))},
		{name: "other word", text: framed("milletvine-handover", 1, shortBody)},
		{name: "version 0", text: framed(headerWord, 0, shortBody)},
		{name: "version 2", text: framed(headerWord, 2, shortBody)},
		{name: "no JSON", text: framed(headerWord, 1, "{")},
		{name: "JSON of another form", text: framed(headerWord, 1, `{"Written":7}`)},
		{name: "list of names", text: framed(headerWord, 1, `["s-1"]`)},
		{name: "as large as may be", text: largest},
		{name: "larger than may be", text: append(slices.Clone(largest), ' ')},
	}
}

// placedForms are files of other ages and names.
func placedForms() []readForm {
	short := framed(headerWord, 1, shortBody)
	return []readForm{
		{name: "written 10 s ago", text: short, now: writtenAt.Add(10 * time.Second)},
		{name: "written over 10 s ago", text: short, now: writtenAt.Add(10*time.Second + 1)},
		{name: "written 10 s ahead", text: short, now: writtenAt.Add(-10 * time.Second)},
		{name: "written over 10 s ahead", text: short, now: writtenAt.Add(-10*time.Second - 1)},
		{name: "changed a minute ago", text: short, changed: writtenAt.Add(-time.Minute)},
		{name: "changed over a minute ago", text: short, changed: writtenAt.Add(-time.Minute - time.Millisecond)},
		{name: "birth that is no number", file: "state-abc", text: short},
		{name: "birth of this process", file: "state-20", text: short},
		{name: "birth of this process with a zero", file: "state-020", text: short},
		{name: "birth after this process", file: "state-21", text: short},
		{name: "other prefix", file: "stat-10", text: short},
		{name: "put aside before", file: "bad-state-10", text: short},
	}
}

// appendRead prints whether a file is taken up, what is left of it, and what was read.
func appendRead(t *testing.T, b *bytes.Buffer, c readForm) {
	t.Helper()
	dir := t.TempDir()
	file, now, changed := cmp.Or(c.file, "state-10"), c.now, c.changed
	if now.IsZero() {
		now = writtenAt
	}
	if changed.IsZero() {
		changed = writtenAt
	}
	put(t, dir, file, c.text, changed)
	s, ok := runningAt(dir, 20).ReadPredecessor(now)
	fmt.Fprintf(b, "== %s: taken up %t, left %q\n", c.name, ok, listing(t, dir))
	if ok {
		appendSnapshot(b, s)
	}
}

// Old, damaged and foreign files: which are taken up, and what becomes of each.
func TestFormatReadForms(t *testing.T) {
	var out bytes.Buffer
	for _, c := range slices.Concat(bodyForms(t), damagedForms(t), placedForms()) {
		appendRead(t, &out, c)
	}
	golden.Check(t, "forms.txt", out.Bytes())
}

// Of several processes the last born before this one counts, and of those after it any that is ready and runs.
func TestFormatOfSeveralProcesses(t *testing.T) {
	record := func(born int64, pid int, ready bool) []byte {
		return framed("milletvane-handover", 1, fmt.Sprintf(`{"Process":{"Born":%d,"PID":%d},"Written":%q,"Ready":%t}`,
			born, pid, writtenAt.Format(time.RFC3339Nano), ready))
	}
	const ended = 1 << 30
	for _, c := range []struct {
		name     string
		files    map[string][]byte
		before   int64 // birth of the process that is followed; 0: none
		followed bool
	}{
		{"none", nil, 0, false},
		{"two before", map[string][]byte{"state-9": record(9, 1, true), "state-10": record(10, 1, true)}, 10, false},
		{
			"by number, not by letters",
			map[string][]byte{"state-5": record(5, 1, true), "state-19": record(19, 1, true)},
			19,
			false,
		},
		{
			"the later has ended",
			map[string][]byte{"state-9": record(9, 1, true), "state-10": record(10, ended, true)},
			9,
			false,
		},
		{"the later is damaged", map[string][]byte{"state-9": record(9, 1, true), "state-10": []byte("x")}, 9, false},
		{"not ready", map[string][]byte{"state-9": record(9, 1, false)}, 9, false},
		{"after, ready", map[string][]byte{"state-30": record(30, 1, true)}, 0, true},
		{"after, not ready", map[string][]byte{"state-30": record(30, 1, false)}, 0, false},
		{"after, ended", map[string][]byte{"state-30": record(30, ended, true)}, 0, false},
		{"after, damaged", map[string][]byte{"state-30": []byte("x")}, 0, false},
		{
			"after, one of two ready",
			map[string][]byte{"state-30": record(30, 1, false), "state-31": record(31, 1, true)},
			0,
			true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range c.files {
				put(t, dir, name, text, writtenAt)
			}
			d := runningAt(dir, 20)
			r, ok := d.ReadPredecessor(writtenAt)
			if ok != (c.before > 0) || r.Process.StartedAt != c.before {
				t.Errorf("follows %d (%t), want %d", r.Process.StartedAt, ok, c.before)
			}
			if got := d.HasSuccessor(); got != c.followed {
				t.Errorf("followed: %t, want %t", got, c.followed)
			}
		})
	}
}
