package refresh

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var updateDigests = flag.Bool("update", false, "rewrite the digests in testdata")

const (
	digestSeeds  = 400
	digestEvents = 120
	digestFile   = "digests.txt"
)

// oneOf returns a random one of the values.
func oneOf[T any](rnd *rand.Rand, values ...T) T { return values[rnd.IntN(len(values))] }

// drawSettings returns random settings, which cover both modes, every default and the bounds that depend on the number of
// gateways.
func drawSettings(rnd *rand.Rand) Settings {
	return Settings{
		LocalAgent: rnd.IntN(2) == 0,
		Gateways:   oneOf(rnd, -1, 0, 1, 2, 3, 4, 9, 10, 11, 36, 249, 250, 251, 300, 1000, 5000),
		MaxPollInterval: oneOf(rnd, 0, 0, 90*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond, time.Second,
			1499*time.Millisecond, 1500*time.Millisecond, 10*time.Second, 30*time.Second),
		DrainGrace: oneOf(rnd, -time.Second, 0, 7*time.Nanosecond, 50*time.Millisecond, 250*time.Millisecond,
			499*time.Millisecond, 500*time.Millisecond, 501*time.Millisecond, 2*time.Second),
		Seed: rnd.Uint64() >> rnd.IntN(64),
	}
}

// stream generates one stream of events and records each decision as text. The words of the text differ from the names in the
// code, but must not change, because the digests in testdata depend on them.
type stream struct {
	transcript bytes.Buffer
	rnd        *rand.Rand
	scheduler  *Scheduler
	now        time.Duration
	poll       Poll
}

// advance moves the time to after the last poll. The random steps include the times at which a decision changes.
func (s *stream) advance() {
	sent := s.poll.Delay
	s.now += sent + oneOf(s.rnd,
		0, 1, time.Millisecond, 40*time.Millisecond, 300*time.Millisecond,
		s.poll.Wait/4-1, s.poll.Wait/4, s.poll.Wait/4+1, s.poll.Wait/2, s.poll.Wait, s.poll.Wait+1,
		s.poll.Timeout-1, s.poll.Timeout, s.poll.Timeout+time.Second,
		time.Duration(s.rnd.Int64N(int64(10*time.Second))),
		-sent, // the outcome arrives before the poll was due
	)
	s.now = max(s.now, 0)
}

// version returns a random version, mostly near that of the list that is held.
func (s *stream) version() int64 {
	held, _ := s.scheduler.Version()
	return oneOf(s.rnd, held, held, held, held+1, held+1, held+7, held-1, held-1, held-100, 0, s.rnd.Int64N(1000), -held)
}

func (s *stream) event(kind string) Event {
	switch kind {
	case "start":
		hasList, version := s.rnd.IntN(2) == 0, s.version()
		fmt.Fprintf(&s.transcript, "start have=%t version=%d", hasList, version)
		return Start{HasList: hasList, Version: version}
	case "answered":
		version, complete := s.version(), s.rnd.IntN(2) == 0
		fmt.Fprintf(&s.transcript, "answered version=%d whole=%t", version, complete)
		return ListReceived{Version: version, Complete: complete}
	case "silent":
		s.transcript.WriteString("silent")
		return TimedOut{}
	}
	s.transcript.WriteString("failed")
	return Failed{}
}

// step passes one event of the given kind to the scheduler and records the decision.
func (s *stream) step(kind string) {
	fmt.Fprintf(&s.transcript, "at %d ", int64(s.now))
	s.poll = s.scheduler.Handle(s.now, s.event(kind))
	p := s.poll
	fmt.Fprintf(&s.transcript, " -> pause=%d whole=%t after=%d wait=%d within=%d told=%d\n",
		int64(p.Delay), p.Complete, p.AfterVersion, int64(p.Wait), int64(p.Timeout), int64(p.StaleAt))
	version, ok := s.scheduler.Version()
	fmt.Fprintf(&s.transcript, "holds %d %t takes", version, ok)
	for _, other := range []int64{version - 1, version, version + 1, 0} {
		fmt.Fprintf(&s.transcript, " %t %t", s.scheduler.Accepts(other, false), s.scheduler.Accepts(other, true))
	}
	s.transcript.WriteString("\n")
}

// run generates the whole stream. Events of a kind come in bursts, so that backoff reaches its bounds and is reset from each
// of its lengths.
func (s *stream) run() {
	s.step("start")
	for n := 1; n < digestEvents; {
		kind := oneOf(s.rnd, "answered", "answered", "answered", "silent", "silent", "failed", "failed", "start")
		length := 1
		if kind != "start" {
			length += s.rnd.IntN(9)
		}
		for ; length > 0 && n < digestEvents; length-- {
			s.advance()
			s.step(kind)
			n++
		}
	}
}

func digestOf(seed uint64) string {
	rnd := rand.New(rand.NewPCG(seed, 0x6c697374))
	settings := drawSettings(rnd)
	s := &stream{rnd: rnd, scheduler: New(settings)}
	fmt.Fprintf(&s.transcript, "pushed=%t gateways=%d within=%d grace=%d seed=%d\n",
		settings.LocalAgent, settings.Gateways, int64(settings.MaxPollInterval), int64(settings.DrainGrace), settings.Seed)
	s.run()
	sum := sha256.Sum256(s.transcript.Bytes())
	return hex.EncodeToString(sum[:])[:16]
}

// Compares the decisions over generated streams of events with the digests in testdata.
func TestDecisionDigests(t *testing.T) {
	var got bytes.Buffer
	for seed := range uint64(digestSeeds) {
		fmt.Fprintf(&got, "%d %s\n", seed, digestOf(seed))
	}
	path := filepath.Join("testdata", digestFile)
	if *updateDigests {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	if len(gotLines) != len(wantLines) {
		t.Fatalf("got %d lines of digests, want %d", len(gotLines), len(wantLines))
	}
	different := 0
	for i, line := range gotLines {
		if !bytes.Equal(line, wantLines[i]) {
			if different == 0 {
				t.Errorf("got %q, want %q", line, wantLines[i])
			}
			different++
		}
	}
	if different > 0 {
		t.Errorf("digests of %d of %d streams differ", different, digestSeeds)
	}
}
