package main

import (
	"fmt"
	"time"
)

// twiceDelivered drains the node of a session. The next node stands still for a moment after it has taken the
// subscriptions, and the old one dies meanwhile.
func twiceDelivered(t *test, b *balancer) (violations []string) {
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
			if n != old {
				n.stallAfterSub = 380 * time.Millisecond
			}
		}
		cl.mu.Unlock()
		b.disc.setState(old.id, "terminating")
		time.AfterFunc(250*time.Millisecond, old.die)
	}
	number := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		number++
		cl.publish(old, message{subject: subject, payload: fmt.Appendf(nil, "set %d done", number)})
	}
	time.Sleep(500 * time.Millisecond)
	times := map[string]int{}
	for _, m := range c.messages() {
		times[string(m.payload)]++
	}
	twice := 0
	for i := 1; i <= number; i++ {
		text := fmt.Sprintf("set %d done", i)
		if n := times[text]; n > 1 {
			twice++
			t.rec.logf("client alba: got %q %d times", text, n)
		} else if n == 0 {
			t.rec.logf("client alba: did not get %q", text)
		}
	}
	t.rec.logf("%d messages published, %d received, %d of them more than once", number, len(c.messages()), twice)
	if twice > 0 {
		violations = append(violations, fmt.Sprintf("%d of %d messages reached alba twice", twice, number))
	}
	return violations
}
