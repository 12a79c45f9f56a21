package backend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

// postedEvents records what is posted to the engine.
type postedEvents struct{ events []engine.Event }

func (p *postedEvents) Post(ev engine.Event) { p.events = append(p.events, ev) }

// Guards against a request that reaches a node which has drained for longer than the grace: it waited for a shared
// connection for that long.
func TestRequestThatWaitedTooLongForItsConnectionIsNotSent(t *testing.T) {
	posted := &postedEvents{}
	b := New(Options{})
	b.Connect(posted, nil)
	r := &RequestAttempt{
		backend:   b,
		attempt:   engine.Attempt{RequestID: 7, Number: 1, ConnectTimeout: 450 * time.Millisecond},
		startedAt: time.Now().Add(-451 * time.Millisecond),
	}
	n := &NodeConn{backend: b} // without a connection: nothing can be sent on it
	r.send(n)
	want := []engine.Event{engine.AttemptEnded{RequestID: 7, Number: 1, Result: balancer.ConnectFailed}}
	if diff := cmp.Diff(want, posted.events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if n.PendingRequests() != 0 {
		t.Error("the request is pending")
	}
}
