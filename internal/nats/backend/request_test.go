package backend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

// eventRecorder records the events that are posted to the engine.
type eventRecorder struct{ events []engine.Event }

func (p *eventRecorder) Post(ev engine.Event) { p.events = append(p.events, ev) }

// A request waits for a shared connection for so long that the drain grace of its node may have passed. It must not be sent to
// the node any more, and its attempt must end as ConnectFailed.
func TestRequestThatWaitedTooLongForItsConnectionIsNotSent(t *testing.T) {
	recorder := &eventRecorder{}
	b := New(Options{})
	b.Connect(recorder, nil)
	r := &RequestAttempt{
		backend:   b,
		attempt:   engine.Attempt{RequestID: 7, Number: 1, ConnectTimeout: 450 * time.Millisecond},
		startedAt: time.Now().Add(-451 * time.Millisecond),
	}
	n := &NodeConn{backend: b} // it has no reactor.Conn, so that sending on it would panic
	r.send(n)
	want := []engine.Event{engine.AttemptEnded{RequestID: 7, Number: 1, Result: balancer.ConnectFailed}}
	if diff := cmp.Diff(want, recorder.events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if n.PendingRequests() != 0 {
		t.Error("the request is pending at the node, want it not sent")
	}
}
