package main

import (
	"fmt"
	"time"
)

// lostMessages drains the node of a session while all others hang in the middle of a set-up. The old node serves on, and
// passes on equal messages.
func lostMessages(t *test, b *balancer) (violations []string) {
	const subject = "serie.hecha.alba"
	cl := newCluster(t.rec)
	for range 2 {
		cl.startNode()
	}
	b.disc = startDiscovery(t.rec, cl.members())
	b.operator = `  (cluster true)
  (session (class "plan-diario") (key user) (wait "2s"))`
	b.start()
	c := connect(t.rec, b.nats, "alba")
	c.subscribe(subject, "1")
	c.flush()
	old := cl.holder("alba", subject)
	if old == nil {
		cannotRun("the subscription is at no node")
	}
	t.rec.logf("the session of alba stands at %s", old.name)
	if t.trouble {
		cl.mu.Lock()
		for _, n := range cl.nodes {
			n.hangInSetup = n != old
		}
		cl.mu.Unlock()
		b.disc.setState(old.id, "terminating")
	}
	published := 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cl.publish(old, message{subject: subject, payload: []byte("set done")}) != 1 {
			cannotRun("message %d was not passed on by one node alone", published+1)
		}
		published++
	}
	time.Sleep(500 * time.Millisecond)
	got := len(c.messages())
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	t.rec.logf("%s sent %d messages to the gateway for alba; alba got %d; her connection: %q", old.name, published, got, ended)
	if got != published {
		violations = append(violations, fmt.Sprintf("%s, which serves on, gave the gateway %d messages for alba, and alba got %d", old.name, published, got))
	}
	return violations
}
