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

// condition is how a server of a stream behaves.
type condition int

const (
	healthy condition = iota
	crashed
	hanging
	slow
	full
	failing
	numConditions
)

// fakeServer is a server of a stream: its entry in the endpoint list and its behavior.
type fakeServer struct {
	balancer.Server
	condition          condition
	otherUtilization   float64 // fraction of its capacity that the load of other gateways uses
	connectionCapacity float64 // connections from this gateway that use its whole capacity
	delay              time.Duration
}

// connection is an attempt that has not ended.
type connection struct {
	request     balancer.Request
	attempt     int
	server      balancer.ServerID
	established bool
	leaving     bool // its client disconnected, or a Migrate ended it
}

// scheduledCall is a call that the stream makes at a later time, such as the reaction to an action.
type scheduledCall struct {
	at  time.Duration
	run func()
}

// stream drives one Balancer with events that it draws from a seed.
type stream struct {
	t        *testing.T
	rnd      *rand.Rand
	settings balancer.Settings
	balancer *balancer.Balancer
	now      time.Duration

	servers       []*fakeServer
	serverByID    map[balancer.ServerID]*fakeServer
	nextServerID  balancer.ServerID
	hasList       bool
	pastLists     []balancer.EndpointList
	nextRequestID balancer.RequestID
	requests      map[balancer.RequestID]balancer.Request
	attempts      map[balancer.RequestID]int
	mayHaveRun    map[balancer.RequestID]bool
	connections   []*connection   // in the order of their sends
	scheduled     []scheduledCall // by time
	setupsHang    bool            // every set-up times out, as if a shared dependency hung
	groupCount    int
	faultPercent  int       // probability that a step changes a server's condition
	commonFault   condition // the condition that half of these changes bring
	rejectsHalf   bool      // half of the attempts are rejected
	meanStep      time.Duration
	timeUnit      time.Duration // steps are multiples of it, so that times coincide; zero allows any step

	hash     hash.Hash
	buffer   []byte
	coverage coverage
}

// runStream runs the stream of a seed and returns its digest and coverage.
func runStream(t *testing.T, seed uint64) (digest string, c coverage) {
	t.Helper()
	s := &stream{
		t: t, rnd: rand.New(rand.NewPCG(seed, 31)), now: time.Hour, hash: sha256.New(), coverage: coverage{},
		serverByID: map[balancer.ServerID]*fakeServer{}, nextServerID: 100,
		requests: map[balancer.RequestID]balancer.Request{},
		attempts: map[balancer.RequestID]int{}, mayHaveRun: map[balancer.RequestID]bool{},
	}
	s.timeUnit = []time.Duration{0, 1, 10, 50}[s.rnd.IntN(4)] * time.Millisecond
	s.settings = s.drawSettings()
	s.balancer = s.newBalancer()
	s.drawFleet()
	s.feedFirstList()
	half := digestSteps / 2
	for step := range digestSteps {
		s.advance(time.Duration(s.rnd.ExpFloat64() * float64(s.meanStep)).Truncate(s.timeUnit))
		s.step()
		if step == half && s.oneIn(2) {
			s.restartBalancer()
		}
		if step%10 == 0 {
			s.recordState()
		}
		if step == digestSteps-60 {
			s.shutDownOrIdle()
		}
	}
	s.recordState()
	return hex.EncodeToString(s.hash.Sum(nil)[:8]), s.coverage
}

// oneIn draws a boolean that is true with a probability of 1/n.
func (s *stream) oneIn(n int) bool { return s.rnd.IntN(n) == 0 }

// randomDuration returns a random duration below most, which must be above 0.
func (s *stream) randomDuration(most time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(most)))
}

// advance lets time pass and runs the calls that become due.
func (s *stream) advance(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.scheduled) == 0 || s.scheduled[0].at > end {
			s.now = max(s.now, end)
			return
		}
		next := s.scheduled[0]
		s.scheduled = s.scheduled[1:]
		s.now = max(s.now, next.at)
		next.run()
	}
}

// schedule runs a function after a time, behind the calls that are already scheduled for the same time.
func (s *stream) schedule(d time.Duration, run func()) {
	at := s.now + d
	i, _ := slices.BinarySearchFunc(s.scheduled, at, func(r scheduledCall, at time.Duration) int {
		if r.at <= at {
			return -1
		}
		return 1
	})
	s.scheduled = slices.Insert(s.scheduled, i, scheduledCall{at, run})
}

// feed passes an event to the Balancer, adds the actions to the digest and reacts to them.
func (s *stream) feed(eventName string, event balancer.Event) {
	s.coverage[eventName]++
	s.record(0, uint64(s.now))
	actions := slices.Clone(s.balancer.Handle(s.now, event))
	for _, a := range actions {
		s.recordAction(a)
	}
	for _, a := range actions {
		s.react(a, eventName)
	}
}
