package membership_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/membership/simnet"
)

// Guards against changes of what a seed makes the simulated network do: the seeds of faults that soak tests found must keep
// reproducing them. The packets and their times must match testdata.
func TestSimulatedNetworksRunAsBefore(t *testing.T) {
	var all strings.Builder
	for seed := range uint64(120) {
		fmt.Fprintf(&all, "%d %s\n", seed, shortDigest(simulate(seed)))
	}
	compareGolden(t, "simulated.digests", all.String())
}

// Checks that a link accepts one packet that is sent at once and as many waiting packets as its queue holds, and drops others.
func TestSimulatedLinksDropWhatTheirQueueDoesNotHold(t *testing.T) {
	network := simnet.New(1, simnet.Faults{})
	network.Start(membership.Options{Name: "b"})
	a := network.Start(membership.Options{Name: "a", MaxQueuedMessages: 2})
	for range 5 {
		a.Send("b", []byte("x"))
	}
	if c := a.Counts()["b"]; c.Sent != 3 || c.Dropped != 2 {
		t.Errorf("sent %d and dropped %d, want 3 and 2", c.Sent, c.Dropped)
	}
}

// simulation is a simulated network with a log of its events, one line per event.
type simulation struct {
	draw  func(below int) int // returns a random number in [0, below)
	net   *simnet.Network
	nodes map[string]*simnet.Node
	log   strings.Builder
}

// simulate runs a network with faults, cuts and restarts that a seed decides, and returns the log of its events.
func simulate(seed uint64) string {
	draw := newRandom(seed)
	s := &simulation{draw: draw, nodes: map[string]*simnet.Node{}}
	s.net = simnet.New(seed, simnet.Faults{
		MinDelay:      time.Duration(draw(20)) * time.Millisecond,
		MaxDelay:      time.Duration(20+draw(200)) * time.Millisecond,
		LossRate:      float64(draw(30)) / 100,
		DuplicateRate: float64(draw(30)) / 100,
	})
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		s.start(name, 5)
	}
	for range 60 {
		from, to := names[draw(4)], []string{"a", "b", "c", "d", "nobody"}[draw(5)]
		s.step(from, to)
		s.logMembers(from)
	}
	s.net.Advance(5 * time.Second)
	for _, name := range names {
		counts := s.nodes[name].Counts()
		for _, of := range append(names, "", "nobody") {
			c := counts[of]
			fmt.Fprintf(&s.log, "%s of %q: sent %d dropped %d received %d old %d bad %d\n", name, of, c.Sent, c.Dropped, c.Received, c.Stale, c.Malformed)
		}
	}
	return s.log.String()
}

func (s *simulation) start(name string, incarnation uint64) {
	o := membership.Options{
		Name: name, Incarnation: incarnation,
		BytesPerSecond:    []int{0, 2000, 20000}[s.draw(3)],
		MaxQueuedMessages: []int{0, 2, 8}[s.draw(3)],
		OnMessage: func(m membership.Message) {
			fmt.Fprintf(&s.log, "%d %s from %s incarnation %d body %x\n", s.net.Now, name, m.From, m.Incarnation, m.Payload)
		},
	}
	if s.draw(2) == 0 {
		o.BumpIncarnation = func(above uint64) (uint64, error) {
			fmt.Fprintf(&s.log, "%d %s raised above %d\n", s.net.Now, name, above)
			return above + 2, nil
		}
	}
	s.nodes[name] = s.net.Start(o)
}

// step performs a random action at an instance.
func (s *simulation) step(from, to string) {
	switch s.draw(12) {
	case 0:
		s.net.Cut(from, to, s.draw(2) == 0)
	case 1:
		if err := s.nodes[from].Close(); err != nil {
			fmt.Fprintln(&s.log, "close failed")
		}
	case 2:
		s.start(from, uint64(s.draw(10)))
	case 3:
		s.nodes[from].Send(to, make([]byte, 1099+s.draw(4)))
	case 4, 5, 6:
		s.net.Advance(time.Duration(s.draw(1500)) * time.Millisecond)
	default:
		s.nodes[from].Send(to, bytes.Repeat([]byte{byte(s.draw(256))}, s.draw(300)))
	}
}

func (s *simulation) logMembers(name string) {
	for _, m := range s.nodes[name].Members() {
		state := "alive"
		switch m.State {
		case membership.Suspect:
			state = "suspect"
		case membership.Dead:
			state = "gone"
		}
		fmt.Fprintf(&s.log, "%d %s knows %s incarnation %d %s\n", s.net.Now, name, m.Name, m.Incarnation, state)
	}
}

// newRandom returns a generator of random numbers in [0, below). A seed gives the same numbers on every machine and build.
func newRandom(seed uint64) func(below int) int {
	state := seed*0x9e3779b97f4a7c15 + 1
	return func(below int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int((state >> 33) % uint64(below))
	}
}
