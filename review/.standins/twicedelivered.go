package main

import (
	"fmt"
	"time"
)

// patients are the users of the clients. Each one's subscription names it.
var patients = []string{"alba", "blas", "cira", "dani", "elsa", "fito", "gala", "hugo"}

// subscribeAll connects a client for each patient, with a subscription to the patient's subject under a prefix, and returns
// the clients by the node that their sessions stand at, and the node with the most of them.
func subscribeAll(t *test, b *balancer, cl *cluster, prefix string) (byNode map[*node][]*client, fullest *node) {
	byNode = map[*node][]*client{}
	for _, p := range patients {
		c := connect(t.rec, b.nats, p)
		c.subscribe(prefix+p, "1")
		c.flush()
		n := cl.holder(p, prefix+p)
		if n == nil {
			cannotRun("the subscription of %s is at no node", p)
		}
		byNode[n] = append(byNode[n], c)
	}
	for _, n := range cl.nodes {
		t.rec.logf("%s holds %d sessions", n.name, len(byNode[n]))
		if fullest == nil || len(byNode[n]) > len(byNode[fullest]) {
			fullest = n
		}
	}
	return byNode, fullest
}

// twiceDelivered drains a node. The node that takes the first subscription that moves stands still for a moment after that,
// and the old node dies meanwhile.
func twiceDelivered(t *test, b *balancer) (violations []string) {
	cl := newCluster(t.rec)
	for range fleetSize {
		cl.startNode()
	}
	b.disc = startDiscovery(t.rec, cl.members())
	b.operator = `  (cluster true)
  (session (class "plan-diario") (key user) (wait "2s"))`
	b.start()
	byNode, old := subscribeAll(t, b, cl, "serie.hecha.")
	if t.trouble {
		cl.mu.Lock()
		cl.stallAfterSub = 380 * time.Millisecond
		cl.mu.Unlock()
		b.disc.setState(old.id, "terminating")
		time.AfterFunc(250*time.Millisecond, old.die)
	}
	number := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		number++
		for _, p := range patients {
			cl.publish(old, message{subject: "serie.hecha." + p, payload: fmt.Appendf(nil, "%s: set %d done", p, number)})
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range cl.nodes {
		for _, c := range byNode[n] {
			times, twice, missed := map[string]int{}, 0, 0
			for _, m := range c.messages() {
				times[string(m.payload)]++
			}
			for i := 1; i <= number; i++ {
				switch text := fmt.Sprintf("%s: set %d done", c.user, i); {
				case times[text] > 1:
					twice++
					t.rec.logf("client %s: got %q %d times", c.user, text, times[text])
				case times[text] == 0:
					missed++
				}
			}
			t.rec.logf("client %s, at %s before: %d messages published, %d received, %d of them more than once, %d not at all",
				c.user, n.name, number, len(c.messages()), twice, missed)
			if twice > 0 {
				violations = append(violations, fmt.Sprintf("%d of %d messages reached %s twice", twice, number, c.user))
			}
		}
	}
	return violations
}
