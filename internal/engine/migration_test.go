package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// A connection whose server answers nothing stays open and silent; TCP would not notice for hours. Its client is
// migrated within 7 s of the last thing that came, of which 2 s may pass before it sends its next message.
func TestClientIsMigratedOffUnresponsiveServer(t *testing.T) {
	w := newWorld(t, 1, nil)
	c := w.client("x")
	w.arrive(c, Request{Key: "k"})
	w.establish(w.attempt)
	w.pass(2 * time.Second)
	w.attempt.askedAt = w.now
	w.pass(3 * time.Second)
	w.expect("send a1/0") // it may be a pause
	w.pass(2 * time.Second)
	w.expect("migrate x")
	w.expectRequests(1)
	w.handle(ClientDisconnected{c}) // it has been asked to leave
	w.expectRequests(0)
	w.pass(10 * time.Second)
	w.expect()
}

// Where the server stops in the middle of a message, which has to be passed on before its client is asked to leave, the
// client is closed.
func TestClientThatCannotBeMigratedIsClosed(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.establish(w.attempt)
	w.attempt.askedAt = w.now
	w.pass(10 * time.Second)
	w.expect("send a1/0", "migrate x", "close x")
	w.end(w.attempt, balancer.Reset)
	w.expectRequests(0)
}

// A client that its frontend migrates has the time that the frontend states; then it is closed.
func TestMigrationHasTheTimeThatTheFrontendStates(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = false; o.DrainTimeout = time.Minute })
	c := w.client("x")
	c.migrationTimeout = 5 * time.Second
	w.arrive(c, Request{Key: "k"})
	w.establish(w.attempt)
	w.calls = nil
	w.handle(Shutdown{})
	w.pass(4900 * time.Millisecond)
	w.expect("migrate x")
	w.pass(200 * time.Millisecond)
	w.expect("close x")
	w.expectRequests(0)
}
