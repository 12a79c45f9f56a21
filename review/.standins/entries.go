package main

import (
	"fmt"
	"time"
)

// limitAfterMove sets a limit on a subscription that has had messages, and then drains its node. By the protocol the limit
// counts from the subscription on.
func limitAfterMove(t *test, b *balancer) (violations []string) {
	const subject, limit = "serie.hecha.alba", 8
	cl := newCluster(t.rec)
	for range 3 {
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
	number := 0
	publish := func(n int) {
		for range n {
			number++
			cl.publish(old, message{subject: subject, payload: fmt.Appendf(nil, "set %d done", number)})
		}
		time.Sleep(50 * time.Millisecond)
	}
	publish(5)
	c.send(fmt.Sprintf("UNSUB 1 %d", limit))
	c.flush()
	publish(1)
	if t.trouble {
		b.disc.setState(old.id, "terminating")
		time.Sleep(300 * time.Millisecond)
	}
	publish(20)
	time.Sleep(300 * time.Millisecond)
	got := len(c.messages())
	t.rec.logf("client alba: %d of %d messages received, with a limit of %d", got, number, limit)
	if got > limit {
		violations = append(violations, fmt.Sprintf("%d messages reached the client, and it had set a limit of %d", got, limit))
	}
	return violations
}

// lateDrain drains a node, and then also the one that its session moves to, while that stands still in the set-up. The third
// node hangs. The client publishes all the time.
func lateDrain(t *test, b *balancer) (violations []string) {
	const subject = "aviso.alba"
	cl := newCluster(t.rec)
	for range 3 {
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
	var next *node
	if t.trouble {
		cl.mu.Lock()
		cl.stallAfterSub = 380 * time.Millisecond
		cl.mu.Unlock()
		b.disc.setState(old.id, "terminating")
		for next == nil {
			time.Sleep(time.Millisecond)
			cl.mu.Lock()
			for _, n := range cl.nodes {
				if time.Until(n.stallUntil) > 0 {
					next = n
				}
			}
			cl.mu.Unlock()
		}
		for _, n := range cl.nodes {
			if n != old && n != next {
				cl.mu.Lock()
				n.stallUntil = time.Now().Add(time.Minute)
				cl.mu.Unlock()
				t.rec.logf("%s hangs", n.name)
			}
		}
		b.disc.setState(next.id, "terminating")
	}
	told := time.Now()
	for i := 1; time.Since(told) < 2*time.Second; i++ {
		c.publish("ajuste.plan.alba", "", fmt.Sprintf("plan %d", i))
		time.Sleep(10 * time.Millisecond)
	}
	if next == nil {
		return nil
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	late := 0
	for _, at := range next.published {
		if at.Sub(told) > 550*time.Millisecond {
			late++
		}
	}
	t.rec.logf("%s read %d publications, %d of them later than 550 ms after it was listed as terminating", next.name, len(next.published), late)
	if late > 0 {
		violations = append(violations, fmt.Sprintf("%d messages reached %s later than 550 ms after the list had said that it drains", late, next.name))
	}
	return violations
}
