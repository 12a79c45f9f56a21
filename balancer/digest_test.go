package balancer_test

import (
	"encoding/binary"
	"flag"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"example.org/milletvane/balancer"
)

// The digests guard against unintended changes of decisions. Each stream draws settings, a fleet and its
// faults from a seed, feeds a Balancer through its exported API, and reacts to its actions like servers and
// clients. The digest of a stream covers every field of every action, the snapshots taken in between, and
// which servers are ejected; times and floats are exact. Of a log line it covers only that it occurred, not
// its text.
const (
	digestStreams   = 360
	streamsPerGroup = 10
	digestSteps     = 300
)

var (
	digestFile    = filepath.Join("testdata", "digests.txt")
	updateDigests = flag.Bool("update-digests", false, "record the digests again")
)

func TestActionsMatchTheRecordedDigests(t *testing.T) {
	digests := make([]string, digestStreams)
	coverages := make([]coverage, digestStreams)
	t.Run("streams", func(t *testing.T) {
		want := recordedDigests(t)
		for first := 0; first < digestStreams; first += streamsPerGroup {
			t.Run(strconv.Itoa(first), func(t *testing.T) {
				t.Parallel()
				for seed := first; seed < first+streamsPerGroup; seed++ {
					digests[seed], coverages[seed] = runStream(t, uint64(seed))
					if !*updateDigests && digests[seed] != want[seed] {
						t.Errorf("stream %d: got digest %s, want %s", seed, digests[seed], want[seed])
					}
				}
			})
		}
	})
	total := coverage{}
	for _, c := range coverages {
		for name, n := range c {
			total[name] += n
		}
	}
	for _, name := range requiredCoverage {
		if total[name] == 0 {
			t.Errorf("got no stream with %q, want at least one", name)
		}
	}
	t.Logf("coverage of all streams: %v", total)
	if *updateDigests && !t.Failed() {
		if err := os.WriteFile(digestFile, []byte(strings.Join(digests, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// recordedDigests reads the expected digests, one line for each stream.
func recordedDigests(t *testing.T) []string {
	t.Helper()
	if *updateDigests {
		return nil
	}
	text, err := os.ReadFile(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(text))
	if len(lines) != digestStreams {
		t.Fatalf("%s: got %d digests, want %d", digestFile, len(lines), digestStreams)
	}
	return lines
}

// coverage counts the events, actions and states that occurred in a stream.
type coverage map[string]int

// requiredCoverage lists what must occur at least once in all streams together for the digests to be
// meaningful.
var requiredCoverage = []string{
	"list delta", "complete list", "cached list", "request", "adopted connection", "attempt established",
	"load changed", "message delay", "load report", "fleet shed level", "attempt ended",
	"client disconnected", "server reinstated", "shutdown", "timer fired",
	"send", "reject", "reject for fleet load shedding", "reject with retry-after", "fail", "migrate",
	"poll load", "set timer", "log line",
	"ok", "errored", "rejected", "timed out", "connect failed", "reset", "cancelled", "not sent",
	"retry", "retry after an attempt that may have run", "send to a server that is warming up",
	"send without connect timeout", "send of a mid-flow request", "send to a draining server",
	"server ejected", "load limit set", "connection capacity estimated", "server paused",
	"repeated ejection", "restored snapshot", "migrate off a draining server",
	"reject while waiting for the first list", "migrate off a slow server", "poll load on a timer",
	"evicted server",
}

// record adds a record of the given kind to the digest.
func (s *stream) record(kind byte, fields ...uint64) {
	s.buffer = append(s.buffer[:0], kind)
	for _, f := range fields {
		s.buffer = binary.LittleEndian.AppendUint64(s.buffer, f)
	}
	s.hash.Write(s.buffer)
}

func boolToUint64(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (s *stream) recordAction(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		s.record(1, uint64(a.ID), uint64(a.Server), uint64(a.Timeout), uint64(a.ConnectTimeout))
	case balancer.Reject:
		s.record(2, uint64(a.ID), uint64(a.RetryAfter), boolToUint64(a.ShedByFleet))
	case balancer.Fail:
		s.record(3, uint64(a.ID))
	case balancer.Migrate:
		s.record(4, uint64(a.ID))
	case balancer.PollLoad:
		s.record(5, uint64(a.Server))
	case balancer.SetTimer:
		s.record(6, uint64(a.After), uint64(a.Ref))
	case balancer.Log:
		s.record(7)
	default:
		s.t.Errorf("got an action of type %T, want one that the digest covers", a)
	}
}

// recordState adds the snapshot and the ejections of all servers to the digest.
func (s *stream) recordState() {
	for _, server := range s.servers {
		s.record(8, uint64(server.ID), boolToUint64(s.balancer.IsEjected(server.ID)))
		if s.balancer.IsEjected(server.ID) {
			s.coverage["server ejected"]++
		}
	}
	s.recordSnapshot(s.balancer.Snapshot())
}

func (s *stream) recordSnapshot(snapshot balancer.Snapshot) {
	recordMean := func(m balancer.WeightedMean) {
		s.record(9, math.Float64bits(m.Value), math.Float64bits(m.Weight))
	}
	recordMean(snapshot.MeanLoad)
	recordMean(snapshot.ConnectionCapacity)
	if snapshot.ConnectionCapacity.Weight > 0 {
		s.coverage["connection capacity estimated"]++
	}
	for _, m := range snapshot.ClassLoads {
		recordMean(m)
	}
	present := map[balancer.ServerID]bool{}
	for _, saved := range snapshot.Servers {
		present[saved.ID] = true
		s.record(10, uint64(saved.ID), uint64(saved.Started),
			math.Float64bits(saved.LoadLimit), uint64(saved.LimitLoweredAt),
			uint64(saved.PausedUntil), uint64(saved.EjectedUntil), uint64(saved.Ejections),
			math.Float64bits(saved.FailureScore), uint64(saved.FailureScoreAt))
		if saved.LoadLimit > 0 {
			s.coverage["load limit set"]++
		}
		if saved.PausedUntil > s.now {
			s.coverage["server paused"]++
		}
		if saved.Ejections > 1 {
			s.coverage["repeated ejection"]++
		}
	}
	for _, server := range s.servers {
		if server.State == balancer.Removed && !present[server.ID] {
			s.coverage["evicted server"]++
		}
	}
}
