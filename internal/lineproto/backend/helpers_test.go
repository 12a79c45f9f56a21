package backend

import (
	"net"
	"testing"
	"time"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

// testTimeout limits each wait of a test.
const testTimeout = 10 * time.Second

// eventQueue is an EventSink that drops no event.
type eventQueue chan engine.Event

func (q eventQueue) Post(ev engine.Event)    { q <- ev }
func (q eventQueue) TryPost(ev engine.Event) { q <- ev }

// next waits for the next event and returns it.
func (q eventQueue) next(t *testing.T) engine.Event {
	t.Helper()
	select {
	case ev := <-q:
		return ev
	case <-time.After(testTimeout):
		t.Fatal("no event was posted within the timeout")
		return nil
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func newGroup(t *testing.T) *reactor.Group {
	t.Helper()
	group, err := reactor.New(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	return group
}
