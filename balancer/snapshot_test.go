package balancer

import "testing"

func TestAdoptedConnectionsAreCounted(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	h.handle(AdoptedConnection{Request: Request{ID: 5, Class: idempotentClass, Group: "g"}, Server: 101})
	if got := len(h.balancer.servers[101].inFlight); got != 1 {
		t.Fatalf("got %d connections at the server, want 1", got)
	}
	h.handle(AttemptEnded{ID: 5, Server: 101, Result: OK, Answered: true})
	if got := len(h.balancer.servers[101].inFlight); got != 0 {
		t.Errorf("after the connection ended: got %d connections at the server, want 0", got)
	}
}
