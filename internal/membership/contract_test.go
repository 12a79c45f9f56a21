package membership_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"example.org/milletvane/internal/membership"
)

// networkFixture is a network, real or simulated, that tests start instances on.
type networkFixture interface {
	// Start starts an instance, or another incarnation of one.
	Start(o membership.Options) membership.Transport
	// Cut cuts the link from one instance to another if cut is true, and restores it otherwise.
	Cut(from, to string, cut bool)
	// Advance waits for d in real time, or advances the simulated time by d.
	Advance(d time.Duration)
}

// inbox collects the messages that an instance receives.
type inbox struct {
	mu       sync.Mutex
	messages []membership.Message
}

// receive stores a message. It is used as Options.OnMessage.
func (i *inbox) receive(m membership.Message) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.messages = append(i.messages, m)
}

// count returns the number of messages from an incarnation of a peer. Zero means any incarnation.
func (i *inbox) count(name string, incarnation uint64) (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, m := range i.messages {
		if m.From == name && (incarnation == 0 || m.Incarnation == incarnation) {
			n++
		}
	}
	return n
}

func (i *inbox) has(name, body string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, m := range i.messages {
		if m.From == name && string(m.Payload) == body {
			return true
		}
	}
	return false
}

const waitTimeout = 20 * time.Second

// waitFor waits until a condition holds. It fails the test if that takes longer than waitTimeout.
func waitFor(t *testing.T, fixture networkFixture, what string, holds func() bool) {
	t.Helper()
	const step = 20 * time.Millisecond
	for range waitTimeout / step {
		if holds() {
			return
		}
		fixture.Advance(step)
	}
	t.Fatalf("after %v still waiting until %s", waitTimeout, what)
}

// testTransport checks an implementation of Transport. newFixture returns a network without instances.
func testTransport(t *testing.T, newFixture func(t *testing.T) networkFixture) {
	t.Helper()
	t.Run("messages", func(t *testing.T) { testMessages(t, newFixture(t)) })
	t.Run("limits", func(t *testing.T) { testLimits(t, newFixture(t)) })
	t.Run("link cut one way", func(t *testing.T) { testOneWayCut(t, newFixture(t)) })
	t.Run("incarnations", func(t *testing.T) { testIncarnations(t, newFixture(t)) })
	t.Run("death and restart", func(t *testing.T) { testDeathAndRestart(t, newFixture(t)) })
}

// startInstances starts n instances with the names a, b, c and so on, in their first incarnation. It waits until each knows
// all others.
func startInstances(t *testing.T, fixture networkFixture, n int) (transports []membership.Transport, inboxes []*inbox) {
	t.Helper()
	for i := range n {
		box := &inbox{}
		inboxes = append(inboxes, box)
		transports = append(transports, fixture.Start(membership.Options{
			Name: instanceName(i), Incarnation: 1, OnMessage: box.receive,
		}))
	}
	waitFor(t, fixture, "each instance knows all others", func() bool {
		for _, tr := range transports {
			if len(tr.Members()) < n {
				return false
			}
		}
		return true
	})
	return transports, inboxes
}

func mustClose(t *testing.T, tr membership.Transport) {
	t.Helper()
	if err := tr.Close(); err != nil {
		t.Fatal(err)
	}
}

func instanceName(i int) string { return string(rune('a' + i)) }

func stateOf(tr membership.Transport, name string) membership.State {
	for _, m := range tr.Members() {
		if m.Name == name {
			return m.State
		}
	}
	return membership.Dead
}

// Checks that each instance receives messages from each other, and only with the sender's first incarnation.
func testMessages(t *testing.T, fixture networkFixture) {
	t.Helper()
	transports, inboxes := startInstances(t, fixture, 4)
	waitFor(t, fixture, "each instance has a message from each other", func() bool {
		done := true
		for i, from := range transports {
			for j := range transports {
				if i != j && !inboxes[j].has(instanceName(i), "to "+instanceName(j)) {
					done = false
					from.Send(instanceName(j), []byte("to "+instanceName(j)))
				}
			}
		}
		return done
	})
	for i := range transports {
		for j := range transports {
			if i != j && inboxes[j].count(instanceName(i), 0) != inboxes[j].count(instanceName(i), 1) {
				t.Errorf("%s received messages from %s with another incarnation than 1", instanceName(j), instanceName(i))
			}
		}
	}
}

// Checks that messages over the limits of a link are dropped and counted, and that another link is not affected.
func testLimits(t *testing.T, fixture networkFixture) {
	t.Helper()
	transports, inboxes := startInstances(t, fixture, 3)
	const burst = 5000
	before := transports[0].Counts()["b"]
	for i := range burst {
		transports[0].Send("b", bytes.Repeat([]byte{byte(i)}, 1000))
	}
	transports[0].Send("b", make([]byte, membership.MaxPayloadBytes+1))
	waitFor(t, fixture, "c receives a message while the queue to b is full", func() bool {
		transports[0].Send("c", []byte("on"))
		return inboxes[2].has("a", "on")
	})
	waitFor(t, fixture, "all messages of the burst are counted as sent or dropped", func() bool {
		c := transports[0].Counts()["b"]
		return c.Sent+c.Dropped-before.Sent-before.Dropped == burst+1
	})
	if c := transports[0].Counts()["b"]; c.Dropped < burst/2 {
		t.Errorf("of a burst of %d messages %d were dropped, want at least half of them", burst, c.Dropped)
	}
	transports[0].Send("nobody", []byte("x"))
	if c := transports[0].Counts()["nobody"]; c.Dropped != 1 {
		t.Errorf("message to an unknown peer: got counts %+v, want 1 dropped", c)
	}
}

// Checks that a link that is cut in one direction carries no message in that direction and still carries messages in the
// other, and that it works again once it is restored.
func testOneWayCut(t *testing.T, fixture networkFixture) {
	t.Helper()
	transports, inboxes := startInstances(t, fixture, 3)
	fixture.Cut("a", "b", true)
	fixture.Advance(100 * time.Millisecond)
	receivedBefore := inboxes[1].count("a", 0)
	i := 0
	waitFor(t, fixture, "a receives from b", func() bool {
		i++
		transports[0].Send("b", []byte("cut"))
		transports[1].Send("a", []byte(fmt.Sprint("b to a ", i)))
		return inboxes[0].count("b", 0) > 3
	})
	if n := inboxes[1].count("a", 0); n != receivedBefore {
		t.Errorf("b received %d messages over a cut link, want 0", n-receivedBefore)
	}
	fixture.Cut("a", "b", false)
	waitFor(t, fixture, "b receives from a again", func() bool {
		transports[0].Send("b", []byte("healed"))
		return inboxes[1].has("a", "healed")
	})
}

// Checks that messages from an earlier incarnation are ignored, and that an instance with a lower incarnation than its peers
// know receives the known incarnation and raises its own above that.
func testIncarnations(t *testing.T, fixture networkFixture) {
	t.Helper()
	transports, inboxes := startInstances(t, fixture, 3)
	mustClose(t, transports[1])
	box := &inbox{}
	b := fixture.Start(membership.Options{Name: "b", Incarnation: 9, OnMessage: box.receive})
	waitFor(t, fixture, "a and c receive messages from incarnation 9 of b", func() bool {
		b.Send("a", []byte("nine"))
		b.Send("c", []byte("nine"))
		return inboxes[0].count("b", 9) > 0 && inboxes[2].count("b", 9) > 0
	})
	mustClose(t, b)
	b = fixture.Start(membership.Options{Name: "b", Incarnation: 4, OnMessage: box.receive})
	waitFor(t, fixture, "a counts stale messages from b", func() bool {
		b.Send("a", []byte("four"))
		return transports[0].Counts()["b"].Stale > 2
	})
	if n := inboxes[0].count("b", 4); n > 0 {
		t.Errorf("a received %d stale messages, want 0", n)
	}
	mustClose(t, b)
	var mu sync.Mutex
	var known []uint64
	b = fixture.Start(membership.Options{
		Name: "b", Incarnation: 5, OnMessage: box.receive,
		BumpIncarnation: func(above uint64) (uint64, error) {
			mu.Lock()
			defer mu.Unlock()
			known = append(known, above)
			return above + 1, nil
		},
	})
	waitFor(t, fixture, "a receives messages from incarnation 10 of b", func() bool {
		b.Send("a", []byte("ten"))
		return inboxes[0].count("b", 10) > 0
	})
	mu.Lock()
	defer mu.Unlock()
	if len(known) == 0 || known[0] != 9 {
		t.Errorf("b was told incarnations %d, want 9 first", known)
	}
}

// Checks that an instance that is closed becomes dead for all others, and alive again after a restart.
func testDeathAndRestart(t *testing.T, fixture networkFixture) {
	t.Helper()
	transports, inboxes := startInstances(t, fixture, 4)
	mustClose(t, transports[2])
	waitFor(t, fixture, "c is dead for all others", func() bool {
		return stateOf(transports[0], "c") == membership.Dead && stateOf(transports[1], "c") == membership.Dead &&
			stateOf(transports[3], "c") == membership.Dead
	})
	if s := stateOf(transports[0], "b"); s == membership.Dead {
		t.Error("b is dead too, although only c was closed")
	}
	box := &inbox{}
	c := fixture.Start(membership.Options{Name: "c", Incarnation: 2, OnMessage: box.receive})
	waitFor(t, fixture, "c is alive for a and d, and exchanges messages with a", func() bool {
		c.Send("a", []byte("back"))
		transports[0].Send("c", []byte("welcome"))
		return stateOf(transports[0], "c") == membership.Alive && stateOf(transports[3], "c") == membership.Alive &&
			inboxes[0].count("c", 2) > 0 && box.has("a", "welcome")
	})
}
