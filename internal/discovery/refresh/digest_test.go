package refresh

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var updateDigests = flag.Bool("update", false, "write the digests of today's decisions to testdata")

const (
	digestSeeds  = 400
	digestEvents = 120
	digestFile   = "digests.txt"
)

// pick draws one of some values.
func pick[T any](rnd *rand.Rand, values ...T) T { return values[rnd.IntN(len(values))] }

// drawnSettings covers both modes, every default and the bounds that depend on the number of gateways.
func drawnSettings(rnd *rand.Rand) Settings {
	return Settings{
		LocalAgent: rnd.IntN(2) == 0,
		Gateways:   pick(rnd, -1, 0, 1, 2, 3, 4, 9, 10, 11, 36, 249, 250, 251, 300, 1000, 5000),
		MaxPollInterval: pick(rnd, 0, 0, 90*time.Millisecond, 300*time.Millisecond, 500*time.Millisecond, time.Second,
			1499*time.Millisecond, 1500*time.Millisecond, 10*time.Second, 30*time.Second),
		DrainGrace: pick(rnd, -time.Second, 0, 7*time.Nanosecond, 50*time.Millisecond, 250*time.Millisecond,
			499*time.Millisecond, 500*time.Millisecond, 501*time.Millisecond, 2*time.Second),
		Seed: rnd.Uint64() >> rnd.IntN(64),
	}
}

// stream plays one drawn stream of events and writes each decision in a form that no name of the code is part of.
type stream struct {
	out   io.Writer
	rnd   *rand.Rand
	clock *Scheduler
	now   time.Duration
	call  Poll
}

// pass lets some time pass after the last call, with the moments at which a decision may turn among the draws.
func (s *stream) pass() {
	sent := s.call.Delay
	s.now += sent + pick(s.rnd,
		0, 1, time.Millisecond, 40*time.Millisecond, 300*time.Millisecond,
		s.call.Wait/4-1, s.call.Wait/4, s.call.Wait/4+1, s.call.Wait/2, s.call.Wait, s.call.Wait+1,
		s.call.Timeout-1, s.call.Timeout, s.call.Timeout+time.Second,
		time.Duration(s.rnd.Int64N(int64(10*time.Second))),
		-sent, // before the call was made
	)
	s.now = max(s.now, 0)
}

// version draws one near the list that is held, or any other.
func (s *stream) version() int64 {
	held, _ := s.clock.Version()
	return pick(s.rnd, held, held, held, held+1, held+1, held+7, held-1, held-1, held-100, 0, s.rnd.Int64N(1000), -held)
}

func (s *stream) event(kind string) Event {
	switch kind {
	case "start":
		have, version := s.rnd.IntN(2) == 0, s.version()
		fmt.Fprintf(s.out, "start have=%t version=%d", have, version)
		return Start{HasList: have, Version: version}
	case "answered":
		version, whole := s.version(), s.rnd.IntN(2) == 0
		fmt.Fprintf(s.out, "answered version=%d whole=%t", version, whole)
		return ListReceived{Version: version, Complete: whole}
	case "silent":
		io.WriteString(s.out, "silent")
		return TimedOut{}
	}
	io.WriteString(s.out, "failed")
	return Failed{}
}

func (s *stream) step(kind string) {
	fmt.Fprintf(s.out, "at %d ", int64(s.now))
	s.call = s.clock.Handle(s.now, s.event(kind))
	c := s.call
	fmt.Fprintf(s.out, " -> pause=%d whole=%t after=%d wait=%d within=%d told=%d\n",
		int64(c.Delay), c.Complete, c.AfterVersion, int64(c.Wait), int64(c.Timeout), int64(c.StaleAt))
	version, ok := s.clock.Version()
	fmt.Fprintf(s.out, "holds %d %t takes", version, ok)
	for _, other := range []int64{version - 1, version, version + 1, 0} {
		fmt.Fprintf(s.out, " %t %t", s.clock.Accepts(other, false), s.clock.Accepts(other, true))
	}
	io.WriteString(s.out, "\n")
}

// run plays the whole stream. Kinds come in bursts, so that backoff reaches its bounds and is reset from each length.
func (s *stream) run() {
	s.step("start")
	for n := 1; n < digestEvents; {
		kind := pick(s.rnd, "answered", "answered", "answered", "silent", "silent", "failed", "failed", "start")
		length := 1
		if kind != "start" {
			length += s.rnd.IntN(9)
		}
		for ; length > 0 && n < digestEvents; length-- {
			s.pass()
			s.step(kind)
			n++
		}
	}
}

func digestOf(seed uint64) string {
	h := sha256.New()
	rnd := rand.New(rand.NewPCG(seed, 0x6c697374))
	set := drawnSettings(rnd)
	fmt.Fprintf(h, "pushed=%t gateways=%d within=%d grace=%d seed=%d\n",
		set.LocalAgent, set.Gateways, int64(set.MaxPollInterval), int64(set.DrainGrace), set.Seed)
	s := &stream{out: h, rnd: rnd, clock: New(set)}
	s.run()
	return hex.EncodeToString(h.Sum(nil))[:16]
}

// Every decision on hundreds of drawn streams of events is what it was when the digests were written.
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
		t.Fatalf("%d lines of digests, want %d", len(gotLines), len(wantLines))
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
		t.Errorf("%d of %d streams are decided in another way", different, digestSeeds)
	}
}
