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

// The tests in this file detect any change of the engine's behaviour. For each seed a simulation draws options, settings
// and a stream of events, and records every call that the engine makes to its clients, attempts and poller in a
// transcript, with all arguments. The digests of the transcripts are in testdata. A change that only moves or renames code
// must leave them unchanged. A change of behaviour updates them with
//
//	go test ./internal/engine -run TestEventStreamDigests -update
//
// A transcript does not contain log messages, but it contains the number of log records at each level and the values of
// the periodic statistics.
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
			t.Errorf("got seed and digest %s, want %s", got[i], want[i])
		}
	}
}

// TestEventStreamDigestsAreStable runs some seeds twice. It guards against a transcript that depends on something other
// than its seed, such as the order of a map, which makes the digests useless as a reference.
func TestEventStreamDigestsAreStable(t *testing.T) {
	for seed := uint64(0); seed < digestSeeds; seed += 12 {
		first, second := newSimulation(t, seed), newSimulation(t, seed)
		first.run()
		second.run()
		if a, b := first.transcript.digest(), second.transcript.digest(); a != b {
			t.Errorf("seed %d gives digest %s in the first run and %s in the second", seed, a, b)
		}
	}
}

// checkCoverage fails if all seeds together have too few events or calls of some kind.
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
			t.Errorf("%s: got %d in all seeds, want at least %d", kind, counts[kind], minCount)
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

// transcript is the canonical record of the calls that an engine made. Each step has a line for its event and the state of
// the engine after it, followed by a line for each call. The names in these lines are part of the digests, so they stay
// the same when names in the code change.
type transcript struct {
	hash   hash.Hash
	line   []byte
	calls  []call // calls of the current step
	counts map[string]int
}

// call is a call that the engine made: its kind and the text of its named arguments.
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

// call adds a call that the engine makes in the current step.
func (t *transcript) call(kind string, fields ...field) {
	t.counts["call "+kind]++
	t.calls = append(t.calls, call{kind, appendFields(nil, fields)})
}

// step ends a step: it adds the event, the state of the engine after it and the calls of the step to the digest.
func (t *transcript) step(event string, state ...field) {
	t.counts["event "+event]++
	t.line = append(append(t.line[:0], "event "...), event...)
	t.line = append(appendFields(t.line, state), '\n')
	t.sortStopPollingCalls()
	for _, c := range t.calls {
		t.line = append(append(t.line, "call "...), c.kind...)
		t.line = append(append(t.line, c.text...), '\n')
	}
	t.calls = t.calls[:0]
	t.hash.Write(t.line)
}

// sortStopPollingCalls sorts each sequence of calls of StopPolling. The engine removes the servers that a full list leaves
// out in the random order of a map. All other calls keep their order in the transcript.
func (t *transcript) sortStopPollingCalls() {
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

// appendValue appends a value in a form that depends on its kind but not on the name of its type. The last digits of a
// floating-point sum may depend on the order of its terms, so floating-point numbers are rounded to nine digits.
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
	panic(fmt.Sprintf("a transcript can't hold the value %v: its type is not supported", value))
}
