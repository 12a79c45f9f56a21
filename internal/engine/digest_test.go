package engine_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The tests in this file hold the engine to its behaviour, call by call. For each seed a simulation draws options,
// settings and a stream of events, and everything that the engine does to its clients, attempts and prober goes into
// a transcript with all arguments. The digests of the transcripts stand in testdata. A change that only moves or
// renames code leaves them as they are; one that is meant to change behaviour writes them anew with
//
//	go test ./internal/engine -run TestEventStreamDigests -update
//
// Log messages are no part of a transcript, but the number of records at each level is, and the figures of the regular
// statistics are.
var updateDigests = flag.Bool("update", false, "write the digests of the event streams anew")

const (
	digestSeeds    = 240
	digestFile     = "testdata/event_stream_digests.txt"
	digestHexChars = 16
)

func TestEventStreamDigests(t *testing.T) {
	got := make([]string, digestSeeds)
	coverage := map[string]int{}
	for seed := range digestSeeds {
		simulation := newSimulation(t, uint64(seed))
		simulation.run()
		got[seed] = fmt.Sprintf("%03d %s", seed, simulation.transcript.digest())
		for kind, n := range simulation.transcript.counts {
			coverage[kind] += n
		}
	}
	checkCoverage(t, coverage)
	if *updateDigests {
		writeDigests(t, got)
		return
	}
	want := readDigests(t)
	if len(want) != len(got) {
		t.Fatalf("%s has %d digests, want %d", digestFile, len(want), len(got))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("seed and digest are %s, want %s", got[i], want[i])
		}
	}
}

// TestEventStreamDigestsAreStable runs some seeds again: a transcript that depends on chance would make a poor
// reference.
func TestEventStreamDigestsAreStable(t *testing.T) {
	for seed := uint64(0); seed < digestSeeds; seed += 12 {
		first, second := newSimulation(t, seed), newSimulation(t, seed)
		first.run()
		second.run()
		if a, b := first.transcript.digest(), second.transcript.digest(); a != b {
			t.Errorf("seed %d gives %s and then %s", seed, a, b)
		}
	}
}

// checkCoverage fails where the seeds no longer bring some kind of event or get some kind of call.
func checkCoverage(t *testing.T, counts map[string]int) {
	t.Helper()
	for _, kind := range []string{
		"event accepted", "event alive", "event arrived", "event asked", "event leaving", "event left", "event rejected",
		"event up", "event ended", "event load", "event answered", "event probed", "event list", "event tell",
		"event inherit", "event banned", "event shed", "event stop", "event expire",
		"call send", "call abandon", "call abandon failed", "call refuse", "call fail", "call close", "call move",
		"call server leaves", "call probe", "call forget", "call done", "call state",
	} {
		const minCount = 100
		if counts[kind] < minCount {
			t.Errorf("%s: %d in all seeds, want at least %d", kind, counts[kind], minCount)
		}
	}
}

func writeDigests(t *testing.T, digests []string) {
	t.Helper()
	if err := os.WriteFile(digestFile, []byte(strings.Join(digests, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readDigests(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
}

// transcript is the canonical text of what an engine did: one line for each call that it made, between lines that say
// which event it was given and how it stood after that. Its words belong to the test, and stay as the code's names
// change.
type transcript struct {
	hash   hash.Hash
	line   []byte
	calls  []call // of the present step
	counts map[string]int
}

// call is a call that the engine made: its kind and its arguments, each with its name.
type call struct {
	kind string
	text []byte
}

// field is a named value of a line.
type field struct {
	name  string
	value any
}

func newTranscript() *transcript {
	return &transcript{hash: sha256.New(), counts: map[string]int{}}
}

// call adds a call that the engine makes in the present step.
func (t *transcript) call(kind string, fields ...field) {
	t.counts["call "+kind]++
	t.calls = append(t.calls, call{kind, appendFields(nil, fields)})
}

// step ends a step with the calls that were made in it, and how the engine stands after it.
func (t *transcript) step(event string, state ...field) {
	t.counts["event "+event]++
	t.line = append(append(t.line[:0], "event "...), event...)
	t.line = append(appendFields(t.line, state), '\n')
	t.sortForgets()
	for _, c := range t.calls {
		t.line = append(append(t.line, "call "...), c.kind...)
		t.line = append(append(t.line, c.text...), '\n')
	}
	t.calls = t.calls[:0]
	t.hash.Write(t.line)
}

// sortForgets sorts each run of calls of Forget: the engine forgets the servers that a whole list leaves out in the
// order of a map, which is chance. It is the only order of calls that the transcript gives up.
func (t *transcript) sortForgets() {
	for start := 0; start < len(t.calls); start++ {
		end := start
		for end < len(t.calls) && t.calls[end].kind == "forget" {
			end++
		}
		slices.SortFunc(t.calls[start:end], func(a, b call) int { return bytes.Compare(a.text, b.text) })
		start = max(start, end)
	}
}

func (t *transcript) digest() string {
	return hex.EncodeToString(t.hash.Sum(nil))[:digestHexChars]
}

func appendFields(b []byte, fields []field) []byte {
	for _, f := range fields {
		b = append(append(append(b, ' '), f.name...), '=')
		b = appendValue(b, f.value)
	}
	return b
}

// appendValue writes a value by its kind alone, not by its type's name. A sum's last digits may depend on the order
// in which it was rounded, so figures are written without them.
func appendValue(b []byte, value any) []byte {
	const digits = 9
	switch v := value.(type) {
	case bool:
		return strconv.AppendBool(b, v)
	case string:
		return strconv.AppendQuote(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case float64:
		return strconv.AppendFloat(b, v, 'g', digits, 64)
	case time.Duration:
		return strconv.AppendInt(b, int64(v), 10)
	}
	panic(fmt.Sprintf("a transcript has no form for %v", value))
}
