package engine

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// A server's own announcement that it drains holds, whatever the list says, until it starts anew; clients whose
// frontend can migrate them are notified once.
func TestServerThatAnnouncesItsDrainGetsNoRequests(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.arrive(&drainObserver{fakeClient{world: w, name: "m"}}, Request{Key: "k"})
	draining := w.attempt.sent
	w.establish(w.attempt)
	w.calls = nil
	w.handle(ServerDraining{RequestID: draining.RequestID})
	w.handle(ServerDraining{RequestID: draining.RequestID})
	w.expect("server draining m")
	w.list(draining.Server, balancer.Ready, 0) // the list is late
	for i := range 4 {
		w.ask(w.client(string(rune('a' + i))))
		if w.attempt.sent.Server == draining.Server {
			t.Error("an attempt was sent to a draining server")
		}
		w.end(w.attempt, balancer.OK)
	}
	w.list(draining.Server, balancer.Ready, w.now) // a new start
	if s := w.engine.endpoints.byID[draining.Server]; s.isSelfDraining || s.state != balancer.Ready {
		t.Error("a server that started anew is still taken for draining")
	}
}

func TestDrainObserversAreNotifiedOfTheList(t *testing.T) {
	for name, state := range map[string]balancer.ServerState{
		"draining": balancer.Draining,
		"removed":  balancer.Removed,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, nil)
			w.arrive(&drainObserver{fakeClient{world: w, name: "m"}}, Request{Key: "k"})
			w.establish(w.attempt)
			w.calls = nil
			w.list(w.attempt.sent.Server, state, 0)
			if n := len(w.calls); n == 0 || w.calls[n-1] != "server draining m" {
				t.Errorf("calls are %q", w.calls)
			}
		})
	}
}

// A server that is removed from the list gets no more attempts, and a whole list removes those that it leaves out.
func TestWholeListRemovesTheServersItLeavesOut(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.handle(EndpointList{
		Mode:    balancer.ListComplete,
		Servers: []Server{{Name: "s2", Addr: "b2", Server: balancer.Server{ID: 2}}},
	})
	for i := range 8 {
		w.arrive(w.client("x"), Request{Key: strconv.Itoa(i)})
		w.end(w.attempt, balancer.Errored)
		w.end(w.attempt, balancer.Errored)
	}
	if calls := strings.Join(w.calls, " "); !strings.HasPrefix(calls, "forget 1 ") || strings.Contains(calls, "send a") {
		t.Errorf("calls are %q", w.calls)
	}
}

// Without an endpoint list a gateway is ready after a time, and with one at once; rejections say when to come again.
func TestReadyAfterTheTimeoutWithoutEndpoints(t *testing.T) {
	w := newWorld(t, 0, func(o *Options) { o.ReadyTimeout = 8 * time.Second })
	w.pass(8*time.Second - time.Millisecond)
	if w.engine.Ready() {
		t.Error("ready too soon")
	}
	w.pass(time.Millisecond)
	if !w.engine.Ready() {
		t.Error("not ready in time")
	}
	w.arrive(w.client("x"), Request{Key: "k"})
	w.pass(time.Second)
	w.expect("reject x")
}

func TestReadyAtOnceWithACachedList(t *testing.T) {
	w := newWorld(t, 1, func(o *Options) { o.ReadyTimeout = 8 * time.Second })
	if !w.engine.Ready() {
		t.Error("not ready with a cached list")
	}
}

// Guards against a server that is taken for draining since another one announced its drain to an earlier attempt of
// the same request.
func TestDrainAnnouncedToAnEndedAttemptLeavesTheNextServer(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	ended := w.attempt.sent
	w.end(w.attempt, balancer.Rejected)
	next := w.attempt.sent
	if next.Server == ended.Server {
		t.Fatal("both attempts are at one server")
	}
	w.handle(ServerDraining{RequestID: ended.RequestID, Number: ended.Number})
	if s := w.engine.endpoints.byID[next.Server]; s.state != balancer.Ready {
		t.Error("the server of the next attempt is taken for draining")
	}
	w.handle(ServerDraining{RequestID: next.RequestID, Number: next.Number})
	if s := w.engine.endpoints.byID[next.Server]; s.state != balancer.Draining {
		t.Error("the announcement to the present attempt has no effect")
	}
}
