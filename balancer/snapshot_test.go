package balancer

import (
	"testing"
)

func TestCarriedConnectionsCount(t *testing.T) {
	w := newWorld(t, settings(), 3)
	w.feed(AdoptedConnection{Request: Request{ID: 5, Class: "safe", Group: "g"}, Server: 101})
	if got := len(w.b.servers[101].inFlight); got != 1 {
		t.Fatalf("%d connections at its server", got)
	}
	w.feed(AttemptEnded{ID: 5, Server: 101, Result: OK, Answered: true})
	if got := len(w.b.servers[101].inFlight); got != 0 {
		t.Errorf("%d connections after its end", got)
	}
}
