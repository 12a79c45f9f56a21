package membership_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"example.org/milletvane/internal/membership"
)

// networkRig is a network of instances.
type networkRig interface {
	// Start starts an instance, or a later incarnation of one.
	Start(o membership.Options) membership.Transport
	// Cut cuts the link from one instance to another, or restores it.
	Cut(from, to string, cut bool)
	// Advance waits, in the network's time.
	Advance(d time.Duration)
}

// inbox collects what an instance receives.
type inbox struct {
	mu  sync.Mutex
	all []membership.Message
}

// receive is an Options.OnMessage.
func (i *inbox) receive(m membership.Message) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.all = append(i.all, m)
}

// count is the number of messages from an incarnation of a peer; 0 stands for any.
func (i *inbox) count(name string, incarnation uint64) (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, m := range i.all {
		if m.From == name && (incarnation == 0 || m.Incarnation == incarnation) {
			n++
		}
	}
	return n
}

func (i *inbox) has(name, body string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, m := range i.all {
		if m.From == name && string(m.Payload) == body {
			return true
		}
	}
	return false
}

const patience = 20 * time.Second

// until waits until a condition holds.
func until(t *testing.T, r networkRig, what string, holds func() bool) {
	t.Helper()
	const step = 20 * time.Millisecond
	for range patience / step {
		if holds() {
			return
		}
		r.Advance(step)
	}
	t.Fatalf("not in time: %s", what)
}

// testTransport checks an implementation of Transport. rig returns a network without instances.
func testTransport(t *testing.T, rig func(t *testing.T) networkRig) {
	t.Helper()
	t.Run("messages", func(t *testing.T) { testMessages(t, rig(t)) })
	t.Run("bounds", func(t *testing.T) { testBounds(t, rig(t)) })
	t.Run("link cut one way", func(t *testing.T) { testOneWayCut(t, rig(t)) })
	t.Run("incarnations", func(t *testing.T) { testIncarnations(t, rig(t)) })
	t.Run("dead and back", func(t *testing.T) { testDeadAndBack(t, rig(t)) })
}

// fleet starts instances a, b, c and so on, in their first incarnation, and waits until all know all.
func fleet(t *testing.T, r networkRig, n int) (ts []membership.Transport, boxes []*inbox) {
	t.Helper()
	for i := range n {
		box := &inbox{}
		boxes = append(boxes, box)
		ts = append(ts, r.Start(membership.Options{Name: name(i), Incarnation: 1, OnMessage: box.receive}))
	}
	until(t, r, "all know all", func() bool {
		for _, tr := range ts {
			if len(tr.Members()) < n {
				return false
			}
		}
		return true
	})
	return ts, boxes
}

func mustClose(t *testing.T, tr membership.Transport) {
	t.Helper()
	if err := tr.Close(); err != nil {
		t.Fatal(err)
	}
}

func name(i int) string { return string(rune('a' + i)) }

func stateOf(tr membership.Transport, name string) membership.State {
	for _, m := range tr.Members() {
		if m.Name == name {
			return m.State
		}
	}
	return membership.Dead
}

func testMessages(t *testing.T, r networkRig) {
	t.Helper()
	ts, boxes := fleet(t, r, 4)
	until(t, r, "a message of each at each", func() bool {
		done := true
		for i, from := range ts {
			for j := range ts {
				if i != j && !boxes[j].has(name(i), "to "+name(j)) {
					done = false
					from.Send(name(j), []byte("to "+name(j)))
				}
			}
		}
		return done
	})
	for i := range ts {
		for j := range ts {
			if i != j && boxes[j].count(name(i), 0) != boxes[j].count(name(i), 1) {
				t.Errorf("%s has messages of %s in another incarnation than its first", name(j), name(i))
			}
		}
	}
}

// Messages over a link's bounds are dropped and counted at once, and another link is not affected.
func testBounds(t *testing.T, r networkRig) {
	t.Helper()
	ts, boxes := fleet(t, r, 3)
	const burst = 5000
	before := ts[0].Counts()["b"]
	for i := range burst {
		ts[0].Send("b", bytes.Repeat([]byte{byte(i)}, 1000))
	}
	ts[0].Send("b", make([]byte, membership.MaxBodyBytes+1))
	until(t, r, "c receives in spite of b's queue", func() bool {
		ts[0].Send("c", []byte("on"))
		return boxes[2].has("a", "on")
	})
	until(t, r, "all of the burst is accounted for", func() bool {
		c := ts[0].Counts()["b"]
		return c.Sent+c.Dropped-before.Sent-before.Dropped == burst+1
	})
	if c := ts[0].Counts()["b"]; c.Dropped < burst/2 {
		t.Errorf("of %d messages at once %d were dropped", burst, c.Dropped)
	}
	ts[0].Send("nobody", []byte("x"))
	if c := ts[0].Counts()["nobody"]; c.Dropped != 1 {
		t.Errorf("a message to nobody is counted as %+v", c)
	}
}

// A link that is cut in one direction carries nothing that way, everything the other way, and recovers.
func testOneWayCut(t *testing.T, r networkRig) {
	t.Helper()
	ts, boxes := fleet(t, r, 3)
	r.Cut("a", "b", true)
	r.Advance(100 * time.Millisecond)
	had := boxes[1].count("a", 0)
	i := 0
	until(t, r, "a receives from b", func() bool {
		i++
		ts[0].Send("b", []byte("cut"))
		ts[1].Send("a", []byte(fmt.Sprint("b to a ", i)))
		return boxes[0].count("b", 0) > 3
	})
	if n := boxes[1].count("a", 0); n != had {
		t.Errorf("b received %d messages over a cut link", n-had)
	}
	r.Cut("a", "b", false)
	until(t, r, "b receives from a again", func() bool {
		ts[0].Send("b", []byte("healed"))
		return boxes[1].has("a", "healed")
	})
}

// Messages of an earlier incarnation are ignored. An instance whose disk is older than what its peers know learns of it.
func testIncarnations(t *testing.T, r networkRig) {
	t.Helper()
	ts, boxes := fleet(t, r, 3)
	mustClose(t, ts[1])
	box := &inbox{}
	b := r.Start(membership.Options{Name: "b", Incarnation: 9, OnMessage: box.receive})
	until(t, r, "b's ninth incarnation is received", func() bool {
		b.Send("a", []byte("nine"))
		b.Send("c", []byte("nine"))
		return boxes[0].count("b", 9) > 0 && boxes[2].count("b", 9) > 0
	})
	mustClose(t, b)
	b = r.Start(membership.Options{Name: "b", Incarnation: 4, OnMessage: box.receive})
	until(t, r, "stale messages are counted", func() bool {
		b.Send("a", []byte("four"))
		return ts[0].Counts()["b"].Stale > 2
	})
	if n := boxes[0].count("b", 4); n > 0 {
		t.Errorf("a received %d stale messages", n)
	}
	mustClose(t, b)
	var mu sync.Mutex
	var known []uint64
	b = r.Start(membership.Options{Name: "b", Incarnation: 5, OnMessage: box.receive, BumpIncarnation: func(above uint64) (uint64, error) {
		mu.Lock()
		defer mu.Unlock()
		known = append(known, above)
		return above + 1, nil
	}})
	until(t, r, "b is received again", func() bool {
		b.Send("a", []byte("ten"))
		return boxes[0].count("b", 10) > 0
	})
	mu.Lock()
	defer mu.Unlock()
	if len(known) == 0 || known[0] != 9 {
		t.Errorf("b learned of incarnations %d", known)
	}
}

func testDeadAndBack(t *testing.T, r networkRig) {
	t.Helper()
	ts, boxes := fleet(t, r, 4)
	mustClose(t, ts[2])
	until(t, r, "c is dead for all", func() bool {
		return stateOf(ts[0], "c") == membership.Dead && stateOf(ts[1], "c") == membership.Dead && stateOf(ts[3], "c") == membership.Dead
	})
	if s := stateOf(ts[0], "b"); s == membership.Dead {
		t.Error("b is dead with c")
	}
	box := &inbox{}
	c := r.Start(membership.Options{Name: "c", Incarnation: 2, OnMessage: box.receive})
	until(t, r, "c is back for all", func() bool {
		c.Send("a", []byte("back"))
		ts[0].Send("c", []byte("welcome"))
		return stateOf(ts[0], "c") == membership.Alive && stateOf(ts[3], "c") == membership.Alive && boxes[0].count("c", 2) > 0 && box.has("a", "welcome")
	})
}
