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

// The digests keep the decisions as they are. Each stream draws settings, a fleet and its faults from a seed,
// feeds a Balancer through its exported interface, and reacts to its actions as servers and clients would.
// The digest of a stream covers every field of every action, of the snapshots taken in between and of the
// answers to which servers are ejected; times and floats are exact. Of a log line it covers that it came, but
// not its text.
const (
	digestStreams   = 360
	streamsPerGroup = 10
	digestSteps     = 300
)

var (
	digestFile    = filepath.Join("testdata", "digests.txt")
	updateDigests = flag.Bool("update-digests", false, "record the digests anew")
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
						t.Errorf("stream %d has digest %s, recorded is %s", seed, digests[seed], want[seed])
					}
				}
			})
		}
	})
	total := coverage{}
	for _, c := range coverages {
		for what, n := range c {
			total[what] += n
		}
	}
	for _, what := range mustOccur {
		if total[what] == 0 {
			t.Errorf("no stream shows: %s", what)
		}
	}
	t.Logf("occurred in all streams together: %v", total)
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
		t.Fatalf("%s holds %d digests, want %d", digestFile, len(lines), digestStreams)
	}
	return lines
}

// coverage counts what occurred in a stream.
type coverage map[string]int

// mustOccur lists what all streams together have to show for the digests to mean anything.
var mustOccur = []string{
	"list of changes", "complete list", "cached list", "request", "adopted connection", "established",
	"load changed", "message delay", "load report", "fleet load shedding", "ended", "client disconnected",
	"server reinstated", "shutdown", "timer fired",
	"send", "reject", "reject for fleet load shedding", "reject with advice", "fail", "migrate",
	"poll load", "set timer", "log line",
	"ok", "errored", "full", "timed out", "connect failed", "reset", "cancelled", "never sent",
	"retry", "retry after an attempt that may have run", "send to a server that is warming up",
	"send without establish limit", "send of a mid-flow request", "send to a draining server",
	"server ejected", "limit learned", "server capacity learned", "server paused", "repeated ejection",
	"restored snapshot", "migrate off a drained server", "reject while waiting for the first list",
	"migrate for slow messages", "poll load on a timer", "forgotten server",
}

// add adds a record of a kind to the digest.
func (s *stream) add(kind byte, fields ...uint64) {
	s.buffer = append(s.buffer[:0], kind)
	for _, f := range fields {
		s.buffer = binary.LittleEndian.AppendUint64(s.buffer, f)
	}
	s.hash.Write(s.buffer)
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (s *stream) digest(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		s.add(1, uint64(a.ID), uint64(a.Server), uint64(a.Timeout), uint64(a.ConnectTimeout))
	case balancer.Reject:
		s.add(2, uint64(a.ID), uint64(a.RetryAfter), bit(a.ShedByFleet))
	case balancer.Fail:
		s.add(3, uint64(a.ID))
	case balancer.Migrate:
		s.add(4, uint64(a.ID))
	case balancer.PollLoad:
		s.add(5, uint64(a.Server))
	case balancer.SetTimer:
		s.add(6, uint64(a.After), uint64(a.Ref))
	case balancer.Log:
		s.add(7)
	default:
		s.t.Errorf("an action of a kind that the digest does not know: %T", a)
	}
}

// observe adds the snapshot and the ejected servers to the digest.
func (s *stream) observe() {
	for _, h := range s.hosts {
		s.add(8, uint64(h.ID), bit(s.balancer.IsEjected(h.ID)))
		if s.balancer.IsEjected(h.ID) {
			s.coverage["server ejected"]++
		}
	}
	s.digestSnapshot(s.balancer.Snapshot())
}

func (s *stream) digestSnapshot(l balancer.Snapshot) {
	mean := func(m balancer.WeightedMean) { s.add(9, math.Float64bits(m.Value), math.Float64bits(m.Weight)) }
	mean(l.MeanLoad)
	mean(l.ConnectionCapacity)
	if l.ConnectionCapacity.Weight > 0 {
		s.coverage["server capacity learned"]++
	}
	for _, m := range l.ClassLoads {
		mean(m)
	}
	present := map[balancer.ServerID]bool{}
	for _, k := range l.Servers {
		present[k.ID] = true
		s.add(10, uint64(k.ID), uint64(k.Started), math.Float64bits(k.LoadLimit), uint64(k.LimitLoweredAt),
			uint64(k.PausedUntil), uint64(k.EjectedUntil), uint64(k.Ejections),
			math.Float64bits(k.FailureScore),
			uint64(k.FailureScoreAt))
		if k.LoadLimit > 0 {
			s.coverage["limit learned"]++
		}
		if k.PausedUntil > s.now {
			s.coverage["server paused"]++
		}
		if k.Ejections > 1 {
			s.coverage["repeated ejection"]++
		}
	}
	for _, h := range s.hosts {
		if h.State == balancer.Removed && !present[h.ID] {
			s.coverage["forgotten server"]++
		}
	}
}
