package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// falseFlush has a node stand still and die while a client publishes and flushes.
func falseFlush(t *test, b *balancer) (violations []string) {
	cl := newCluster(t.rec)
	for range 2 {
		cl.startNode()
	}
	var mu sync.Mutex
	taken := map[string]bool{}
	cl.services["serie.hecha."] = func(m message) {
		mu.Lock()
		defer mu.Unlock()
		taken[string(m.payload)] = true
		t.rec.logf("nodes: %s %q is taken", m.subject, m.payload)
	}
	b.disc = startDiscovery(t.rec, cl.members())
	b.operator = `  (cluster true)
  (session (class "plan-diario") (key user) (wait "2s"))`
	b.start()
	c := connect(t.rec, b.nats, "alba")
	c.subscribe("_INBOX.alba.*", "1")
	c.flush()
	old := cl.holder("alba", "_INBOX.alba.*")
	if old == nil {
		cannotRun("the subscription is at no node")
	}
	if t.trouble {
		cl.mu.Lock()
		old.stallUntil = time.Now().Add(time.Minute)
		cl.mu.Unlock()
		t.rec.logf("%s stands still", old.name)
		time.AfterFunc(300*time.Millisecond, old.die)
	}
	c.mu.Lock()
	want := c.pongs + 1
	c.mu.Unlock()
	t.rec.logf("client alba: publishes serie.hecha.alba and sends PING")
	c.publish("serie.hecha.alba", "", "set 1 done")
	c.send("PING")
	confirmed := c.await(4*time.Second, func() bool { return c.pongs >= want })
	t.rec.logf("client alba: PONG received: %t", confirmed)
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if confirmed && !taken["set 1 done"] {
		violations = append(violations, "the client's PING behind its message was answered with PONG, and no node has taken the message")
	}
	_ = strings.TrimSpace
	_ = fmt.Sprint
	return violations
}
