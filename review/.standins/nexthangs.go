package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// nextHangs drains the node of a session. The node that it moves to hangs as soon as it has confirmed the set-up. A third node
// is sound all the time. The client asks a request every 100 ms, which a node answers after 0.3 s.
func nextHangs(t *test, b *balancer) (violations []string) {
	cl := newCluster(t.rec)
	for range 3 {
		cl.startNode()
	}
	cl.services["plan.get."] = func(m message) {
		time.Sleep(300 * time.Millisecond)
		cl.publish(nil, message{subject: m.reply, payload: []byte("plan")})
	}
	b.disc = startDiscovery(t.rec, cl.members())
	b.operator = `  (cluster true)
  (session (class "plan-diario") (key user) (wait "2s"))
  (request (subject "plan.get.*") (class "plan-diario") (deadline "2s") (key (token 2)))`
	b.start()
	c := connect(t.rec, b.nats, "alba")
	c.subscribe("serie.hecha.alba", "1")
	c.subscribe("_INBOX.alba.*", "2")
	c.flush()
	old := cl.holder("alba", "serie.hecha.alba")
	if old == nil {
		cannotRun("no holder")
	}
	t.rec.logf("the session stands at %s", old.name)
	if t.trouble {
		cl.mu.Lock()
		cl.hangAfterSetup = old
		cl.mu.Unlock()
		b.disc.setState(old.id, "terminating")
	}
	var mu sync.Mutex
	asked := map[string]time.Time{}
	published := 0
	begin := time.Now()
	for i := 1; time.Since(begin) < 14*time.Second; i++ {
		c.mu.Lock()
		ended := c.ended
		c.mu.Unlock()
		if ended != "" {
			break
		}
		if cl.publish(nil, message{subject: "serie.hecha.alba", payload: fmt.Appendf(nil, "%d", i)}) > 0 {
			published++
		}
		inbox := fmt.Sprintf("_INBOX.alba.%d", i)
		mu.Lock()
		asked[inbox] = time.Now()
		mu.Unlock()
		c.publish(fmt.Sprintf("plan.get.%d", i), inbox, "")
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	answers, lastStream := map[string]int{}, ""
	for _, m := range c.messages() {
		if strings.HasPrefix(m.subject, "_INBOX.") {
			answers[m.subject]++
		} else {
			lastStream = string(m.payload)
		}
	}
	unanswered := 0
	for inbox := range asked {
		if answers[inbox] == 0 {
			unanswered++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.rec.logf("asked %d, answered %d, unanswered %d; last of stream %s; connection %q", len(asked), len(answers), unanswered, lastStream, c.ended)
	if c.ended != "" {
		violations = append(violations, fmt.Sprintf("the session was cut off (%s) after %v, %d requests unanswered", c.ended, time.Since(begin), unanswered))
	}
	return violations
}

// lameDuck has a node announce lame duck mode on all of its connections while the list does not say so yet. No session of the
// gateway stands there, only requests go there.
func lameDuck(t *test, b *balancer) (violations []string) {
	cl := newCluster(t.rec)
	for range 3 {
		cl.startNode()
	}
	cl.services["plan.get."] = func(m message) {
		cl.publish(nil, message{subject: m.reply, payload: []byte("plan")})
	}
	b.disc = startDiscovery(t.rec, cl.members())
	b.operator = `  (cluster true)
  (session (class "plan-diario") (key user) (wait "2s"))
  (request (subject "plan.get.*") (class "plan-diario") (deadline "2s") (key (token 2)))`
	b.start()
	c := connect(t.rec, b.nats, "alba")
	c.subscribe("_INBOX.alba.*", "2")
	c.flush()
	home := cl.holder("alba", "_INBOX.alba.*")
	ask := func(d time.Duration, from int) (i int) {
		i = from
		for begin := time.Now(); time.Since(begin) < d; time.Sleep(20 * time.Millisecond) {
			i++
			c.publish(fmt.Sprintf("plan.get.%d", i), fmt.Sprintf("_INBOX.alba.%d", i), "")
		}
		return i
	}
	n := ask(time.Second, 0)
	var duck *node
	for _, other := range cl.nodes {
		if other != home {
			duck = other
		}
	}
	cl.mu.Lock()
	before := duck.requests
	cl.mu.Unlock()
	told := time.Now()
	if t.trouble {
		duck.lameDuck()
	}
	n = ask(400*time.Millisecond, n)
	time.Sleep(time.Until(told.Add(550 * time.Millisecond)))
	cl.mu.Lock()
	atBound := duck.requests
	cl.mu.Unlock()
	ask(2*time.Second, n)
	time.Sleep(200 * time.Millisecond)
	cl.mu.Lock()
	after := duck.requests
	cl.mu.Unlock()
	t.rec.logf("%s: %d requests before, %d at the bound, %d after", duck.name, before, atBound, after)
	if t.trouble && after > atBound {
		violations = append(violations, fmt.Sprintf("%d requests reached %s later than 550 ms after it had announced lame duck mode", after-atBound, duck.name))
	}
	return violations
}
