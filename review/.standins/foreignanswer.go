package main

import (
	"fmt"
	"strings"
	"time"
)

// foreignAnswer kills the balancer while requests are out, and starts it again under its name and addresses. The clients
// come again in another order and ask again. The nodes go on with the first requests and answer them too. Without trouble,
// the clients themselves break off and come again.
func foreignAnswer(t *test, b *balancer) (violations []string) {
	const work = 700 * time.Millisecond // a node takes for a request; less than the class's slo_ns, so that none is repeated
	patients := []string{"alba", "blas", "cira", "dani"}
	cl := newCluster(t.rec)
	cl.services["plan.get."] = func(m message) {
		patient := strings.TrimPrefix(m.subject, "plan.get.")
		t.rec.logf("nodes: request for %s begins, its answer goes to %s", patient, m.reply)
		time.Sleep(work)
		n := cl.publish(nil, message{subject: m.reply, payload: []byte("plan of " + patient)})
		t.rec.logf("nodes: plan of %s sent to %s, which %d nodes pass on", patient, m.reply, n)
	}
	for range fleetSize {
		cl.startNode()
	}
	b.disc = startDiscovery(t.rec, cl.members())
	b.operator = `  (cluster true)
  (session (class "plan-diario") (key user) (wait "2s"))
  (request (subject "plan.get.*") (class "plan-diario") (deadline "4s") (key (token 2)))`
	b.start()

	ask := func(patients []string) (clients []*client) {
		for _, p := range patients {
			c := connect(t.rec, b.nats, p)
			c.subscribe("_INBOX."+p+".*", "1")
			c.flush()
			clients = append(clients, c)
		}
		for i, p := range patients {
			t.rec.logf("client %s: asks for the plan of %s", p, p)
			clients[i].publish("plan.get."+p, "_INBOX."+p+".1", "")
			time.Sleep(5 * time.Millisecond)
		}
		return clients
	}
	clients := ask(patients)
	time.Sleep(100 * time.Millisecond)
	if t.trouble {
		b.kill()
		time.Sleep(80 * time.Millisecond)
		b.start()
	} else {
		for _, c := range clients {
			c.c.Close()
		}
		time.Sleep(80 * time.Millisecond)
	}
	clients = ask([]string{"dani", "cira", "blas", "alba"})
	for _, c := range clients {
		if !c.await(5*time.Second, func() bool { return len(c.got) > 0 }) {
			t.rec.logf("client %s: no answer within 5 s", c.user)
		}
	}
	time.Sleep(time.Second) // further answers, if there are any
	for _, c := range clients {
		for _, m := range c.messages() {
			t.rec.logf("client %s: answered %q %q", c.user, m.header, m.payload)
			if len(m.header) == 0 && string(m.payload) != "plan of "+c.user { // a header holds a status of the balancer's making
				violations = append(violations, fmt.Sprintf("client %s asked for its own plan and was answered %q", c.user, m.payload))
			}
		}
	}
	return violations
}
