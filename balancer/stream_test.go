package balancer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// condition is how a server of a stream fares.
type condition int

const (
	healthy condition = iota
	crashed
	hanging
	slow
	full
	failing
	conditions
)

// host is a server of a stream: what the list says of it and how it fares.
type host struct {
	balancer.Server
	condition condition
	others    float64 // load by other gateways, as a part of what it can do
	capacity  float64 // connections from this gateway that make up its whole load
	delay     time.Duration
}

// connection is an attempt that has not ended.
type connection struct {
	request     balancer.Request
	attempt     int
	server      balancer.ServerID
	established bool
	left        bool // its client disconnected, or it is to migrate
}

// reaction is something that the world does in answer, later.
type reaction struct {
	at  time.Duration
	run func()
}

// stream drives one Balancer.
type stream struct {
	t        *testing.T
	rnd      *rand.Rand
	settings balancer.Settings
	balancer *balancer.Balancer
	now      time.Duration

	hosts       []*host
	hostByID    map[balancer.ServerID]*host
	nextHost    balancer.ServerID
	listed      bool
	pastLists   []balancer.EndpointList
	nextRequest balancer.RequestID
	requests    map[balancer.RequestID]balancer.Request
	attempts    map[balancer.RequestID]int
	mayHaveRun  map[balancer.RequestID]bool
	live        []*connection // in order of their sends
	reactions   []reaction    // by time
	jammed      bool          // what all set-ups share answers nothing
	groups      int
	faults      int       // in a hundred steps
	usual       condition // that half of the faults bring
	flaky       bool      // every other attempt is rejected
	pace        time.Duration
	grain       time.Duration // times are multiples of it, so that in some streams many are equal; 0: any

	hash     hash.Hash
	buffer   []byte
	coverage coverage
}

func runStream(t *testing.T, seed uint64) (digest string, c coverage) {
	t.Helper()
	s := &stream{
		t: t, rnd: rand.New(rand.NewPCG(seed, 31)), now: time.Hour, hash: sha256.New(), coverage: coverage{},
		hostByID: map[balancer.ServerID]*host{}, nextHost: 100,
		requests: map[balancer.RequestID]balancer.Request{},
		attempts: map[balancer.RequestID]int{}, mayHaveRun: map[balancer.RequestID]bool{},
	}
	s.grain = []time.Duration{0, 1, 10, 50}[s.rnd.IntN(4)] * time.Millisecond
	s.settings = s.drawSettings()
	s.balancer = s.newBalancer()
	s.drawFleet()
	s.start()
	half := digestSteps / 2
	for step := range digestSteps {
		s.wait(time.Duration(s.rnd.ExpFloat64() * float64(s.pace)).Truncate(s.grain))
		s.step()
		if step == half && s.oneIn(2) {
			s.restart()
		}
		if step%10 == 0 {
			s.observe()
		}
		if step == digestSteps-60 {
			s.lastQuarter()
		}
	}
	s.observe()
	return hex.EncodeToString(s.hash.Sum(nil)[:8]), s.coverage
}

func (s *stream) oneIn(n int) bool { return s.rnd.IntN(n) == 0 }

// upTo is a time up to most, which is above 0.
func (s *stream) upTo(most time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(most)))
}

// wait lets time pass: timers fire and the world reacts.
func (s *stream) wait(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.reactions) == 0 || s.reactions[0].at > end {
			s.now = max(s.now, end)
			return
		}
		next := s.reactions[0]
		s.reactions = s.reactions[1:]
		s.now = max(s.now, next.at)
		next.run()
	}
}

// later has the world react after a time, behind what is due at the same time already.
func (s *stream) later(d time.Duration, run func()) {
	at := s.now + d
	i, _ := slices.BinarySearchFunc(s.reactions, at, func(r reaction, at time.Duration) int {
		if r.at <= at {
			return -1
		}
		return 1
	})
	s.reactions = slices.Insert(s.reactions, i, reaction{at, run})
}

func (s *stream) feed(what string, event balancer.Event) {
	s.coverage[what]++
	s.add(0, uint64(s.now))
	actions := slices.Clone(s.balancer.Handle(s.now, event))
	for _, a := range actions {
		s.digest(a)
	}
	for _, a := range actions {
		s.react(a, what)
	}
}
