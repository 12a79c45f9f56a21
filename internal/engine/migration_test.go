package engine

import (
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// Guards against a connection that stays open and silent because its server no longer answers, which TCP would not detect
// for hours. The client is migrated within 7 s of the last data that it received. Up to 2 s of these pass before it sends
// its next message.
func TestClientIsMigratedOffUnresponsiveServer(t *testing.T) {
	h := newHarness(t, 1, nil)
	c := h.newClient("x")
	h.connectAndRequest(c, Request{Key: "k"})
	h.establish(h.lastAttempt)
	h.advance(2 * time.Second)
	h.lastAttempt.unansweredSince = h.now
	h.advance(3 * time.Second)
	h.expectCalls("send a1/0") // 3 s without an answer may be a pause
	h.advance(2 * time.Second)
	h.expectCalls("migrate x")
	h.expectRequests(1)
	h.handle(ClientDisconnected{c}) // the migration is done
	h.expectRequests(0)
	h.advance(10 * time.Second)
	h.expectCalls()
}

// Guards against a client that is never closed because its server stopped in the middle of a message. The frontend has to
// forward the whole message before it can ask the client to leave.
func TestClientThatCannotBeMigratedIsClosed(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	h.establish(h.lastAttempt)
	h.lastAttempt.unansweredSince = h.now
	h.advance(10 * time.Second)
	h.expectCalls("send a1/0", "migrate x", "close x")
	h.endAttempt(h.lastAttempt, balancer.Reset)
	h.expectRequests(0)
}

// A migrating client is closed once the time that its frontend stated has passed, and not before.
func TestMigrationEndsAfterTheTimeThatTheFrontendStates(t *testing.T) {
	h := newHarness(t, 1, func(o *Options) { o.ConnectionsOutliveGateway = false; o.DrainTimeout = time.Minute })
	c := h.newClient("x")
	c.migrationTimeout = 5 * time.Second
	h.connectAndRequest(c, Request{Key: "k"})
	h.establish(h.lastAttempt)
	h.calls = nil
	h.handle(Shutdown{})
	h.advance(4900 * time.Millisecond)
	h.expectCalls("migrate x")
	h.advance(200 * time.Millisecond)
	h.expectCalls("close x")
	h.expectRequests(0)
}
