package simulation_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/simulation"
)

func digest(text string) string { return fmt.Sprintf("%.16x", sha256.Sum256([]byte(text))) }

// wordsWithDigits returns the words of a text that contain a digit, so that the wording does not affect digests.
func wordsWithDigits(text string) string {
	var found []string
	for word := range strings.FieldsSeq(text) {
		if strings.ContainsAny(word, "0123456789") {
			found = append(found, strings.Trim(word, ":,."))
		}
	}
	return strings.Join(found, " ")
}

func formatStats(stats *simulation.Stats) string {
	var b strings.Builder
	fmt.Fprint(&b, stats.Requests, " ", stats.Established, " ", stats.Rejected, " ", stats.Failed, " ",
		stats.Attempts, " ", stats.Disconnected, " ", stats.Migrated, " ",
		stats.WantedSeconds, " ", stats.ServedSeconds, " ", stats.ServedRatio())
	for _, violation := range stats.Violations {
		b.WriteString("; " + wordsWithDigits(violation))
	}
	return b.String()
}

func digestSettings() simulation.Settings {
	s := simulation.Settings{
		Balancer: balancer.Settings{
			Gateways: 3, MaxAttempts: 5, DrainGrace: 500 * time.Millisecond, WarmupDuration: 20 * time.Second,
			ColdOverloadFactor: 4, ColdOverloadDuration: time.Second, MaxRetryAfter: 2 * time.Second,
			Classes: []balancer.Class{{
				Name: "c", SetupLatencyObjective: 800 * time.Millisecond, Timeout: 3 * time.Second,
			}},
		},
		NetworkDelay: time.Millisecond, DiscoveryDelay: time.Second, ArrivalRate: 8,
		MeanLifetime: 30 * time.Second, MeanLoad: 0.03,
		ReconnectDelay: 200 * time.Millisecond, AnswerSlack: 50 * time.Millisecond,
	}
	for range 8 {
		s.Nodes = append(s.Nodes, simulation.NodeSettings{
			Cores: 2, Speed: 1.5, ColdCapacityRatio: 0.2, WarmupDuration: 20 * time.Second,
			MaxConnections: 200, FullOverheadRatio: 0.1,
			ColdOverloadFactor: 4, ColdOverloadDuration: time.Second, ColdOverloadAllowance: 0.1,
		})
	}
	return s
}

// scenario holds a change of the site's settings and the faults that occur after the first 30 seconds.
type scenario struct {
	name   string
	change func(*simulation.Settings)
	faults func(*simulation.Fleet)
}

func deploy(f *simulation.Fleet) { f.Deploy(2*time.Second, 3*time.Second) }

var scenarios = []scenario{
	{"quiet", func(*simulation.Settings) {}, func(*simulation.Fleet) {}},
	{"deploy", func(*simulation.Settings) {}, deploy},
	{"neighbour", func(*simulation.Settings) {}, func(f *simulation.Fleet) {
		f.AddNoisyNeighbour(0, 0.7, 20*time.Second)
		f.AddNoisyNeighbour(3, 1.5, 5*time.Second)
	}},
	{"drain", func(*simulation.Settings) {}, func(f *simulation.Fleet) { f.Drain(2, 10*time.Second) }},
	{"full nodes", func(s *simulation.Settings) {
		for i := range s.Nodes {
			s.Nodes[i].MaxConnections = 20 + i
		}
	}, deploy},
	{"slow network", func(s *simulation.Settings) {
		s.NetworkDelay, s.AnswerSlack = 300*time.Millisecond, time.Second
	}, deploy},
	{"timeouts", func(s *simulation.Settings) { s.NetworkDelay, s.AnswerSlack = 1600*time.Millisecond, 0 }, deploy},
	{"no drain grace", func(s *simulation.Settings) {
		s.Balancer.DrainGrace, s.DiscoveryDelay = time.Nanosecond, 4*time.Second
	}, deploy},
	{"cold nodes overloaded", func(s *simulation.Settings) {
		s.Balancer.WarmupDuration = 0
		for i := range s.Nodes {
			s.Nodes[i].ColdOverloadFactor = 1
		}
	}, deploy},
	{"one gateway", func(s *simulation.Settings) { s.Balancer.Gateways, s.Balancer.MaxAttempts = 0, 0 }, deploy},
}

// Guards against changes in the results of whole runs. The file holds the final stats of each run and a digest of the
// stats after each second.
func TestRunDigests(t *testing.T) {
	var lines []string
	for _, c := range scenarios {
		for seed := range uint64(12) {
			s := digestSettings()
			c.change(&s)
			f, err := simulation.NewFleet(seed, s)
			if err != nil {
				t.Fatal(err)
			}
			f.Run(30 * time.Second)
			c.faults(f)
			var samples strings.Builder
			for range 60 {
				fmt.Fprintln(&samples, formatStats(f.Run(time.Second)))
			}
			last := formatStats(f.Run(0))
			lines = append(lines, fmt.Sprintf("%s %d: %s: %s", c.name, seed, last, digest(samples.String())))
		}
	}
	golden.CheckLines(t, "runs.txt", lines)
}

// randomNodeSettings returns random settings with values at and near the bounds.
func randomNodeSettings(r *rand.Rand) simulation.NodeSettings {
	return simulation.NodeSettings{
		Cores: float64(1 + r.IntN(4)), Speed: 0.5 + float64(r.IntN(4))/4, ColdCapacityRatio: float64(r.IntN(5)) / 4,
		WarmupDuration: time.Duration(r.IntN(5)) * time.Second, MaxConnections: r.IntN(6),
		FullOverheadRatio:  float64(r.IntN(4)) / 4,
		ColdOverloadFactor: float64(r.IntN(4)), ColdOverloadDuration: time.Duration(1+r.IntN(3)) * 500 * time.Millisecond,
		ColdOverloadAllowance: float64(r.IntN(3)) / 2,
	}
}

// Guards against changes in how a node responds to random calls. The file holds its final state and a digest of its state
// after each call.
func TestNodeDigests(t *testing.T) {
	var lines []string
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		n, err := simulation.NewNode("s", randomNodeSettings(r))
		if err != nil {
			t.Fatal(err)
		}
		var b strings.Builder
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(r.IntN(4)) * 250 * time.Millisecond
			load := float64(r.IntN(9)) / 8
			switch r.IntN(16) {
			case 0:
				n.Restart(now)
			case 1:
				n.SetNeighbourRatio(load*2 - 0.5)
			case 2, 3:
				n.ChangeLoad(load - 0.5)
			case 4, 5, 6:
				n.Disconnect(load)
			default:
				fmt.Fprint(&b, int(n.Connect(now, load)), " ")
			}
			fmt.Fprintln(&b, n.Connections(), n.Up(), n.Utilization(now), n.Capacity(now), n.WarmupRatio(now))
		}
		lines = append(lines, fmt.Sprintf("%03d %d %v %v: %s",
			seed, n.Connections(), n.Up(), n.Utilization(now), digest(b.String())))
	}
	golden.CheckLines(t, "nodes.txt", lines)
}

// Guards against changes in the order of events and in the streams of random numbers. Some events are cancelled, and some
// schedule others. The file holds the first number of a stream and a digest of the events.
func TestSchedulerDigests(t *testing.T) {
	var lines []string
	for seed := range uint64(100) {
		s := simulation.NewScheduler(seed)
		r := s.Stream("times")
		var b strings.Builder
		var scheduled []*simulation.Event
		var add func(depth int)
		add = func(depth int) {
			name := r.IntN(1000)
			scheduled = append(scheduled, s.At(time.Duration(r.IntN(20)-2), func() {
				fmt.Fprintln(&b, name, depth, s.Now(), s.Pending())
				if depth < 4 {
					add(depth + 1)
					s.After(time.Duration(r.IntN(5)-2), func() { fmt.Fprintln(&b, "after", name, s.Now()) })
				}
				if r.IntN(3) == 0 {
					s.Cancel(scheduled[r.IntN(len(scheduled))])
				}
			}))
		}
		for range 30 {
			add(0)
		}
		s.Cancel(nil)
		for range 10 {
			fmt.Fprintln(&b, s.Run(s.Now()+2), s.Now(), s.Pending())
		}
		lines = append(lines, fmt.Sprintf("%03d %d: %s", seed, s.Stream("node 1").Uint64(), digest(b.String())))
	}
	golden.CheckLines(t, "worlds.txt", lines)
}
