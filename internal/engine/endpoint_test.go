package engine

import (
	"fmt"
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

// drainCause is something after which the client of a connection to a server is to leave it.
type drainCause struct {
	name  string
	apply func(w *world, server Attempt)
}

var drainCauses = []drainCause{
	{"list says draining", func(w *world, a Attempt) { w.list(a.Server, balancer.Draining, 0) }},
	{"list says removed", func(w *world, a Attempt) { w.list(a.Server, balancer.Removed, 0) }},
	{"whole list without it", func(w *world, a Attempt) {
		w.handle(EndpointList{
			Mode:    balancer.ListComplete,
			Servers: []Server{listedServer(3-a.Server, balancer.Ready, 0)},
		})
	}},
	{"announcement", func(w *world, a Attempt) {
		w.handle(ServerDraining{RequestID: a.RequestID, Number: a.Number})
	}},
	{"maintenance", func(w *world, a Attempt) {
		w.handle(MaintenanceChanged{Name: listedServer(a.Server, balancer.Ready, 0).Name, InMaintenance: true})
	}},
}

// Guards against a client that is never notified of a drain that began while its connection was being set up, and
// against one that is notified twice: whatever comes first of two causes and the connection, it is notified once.
func TestDrainObserverIsNotifiedOnceInAnyOrder(t *testing.T) {
	for _, first := range drainCauses {
		for _, second := range drainCauses {
			for establishedAfter := range 3 { // of the causes
				t.Run(fmt.Sprintf("%s, %s, established after %d", first.name, second.name, establishedAfter), func(t *testing.T) {
					w := newWorld(t, 2, nil)
					w.arrive(&drainObserver{fakeClient{world: w, name: "m"}}, Request{Key: "k"})
					attempt := w.attempt
					attempt.isEstablished = true // the event is on its way
					for i, cause := range []drainCause{first, second} {
						if i == establishedAfter {
							w.establish(attempt)
						}
						cause.apply(w, attempt.sent)
					}
					if establishedAfter == 2 {
						w.establish(attempt)
					}
					if n := w.countCalls("server draining m"); n != 1 {
						t.Errorf("notified %d times, want 1; calls are %q", n, w.calls)
					}
				})
			}
		}
	}
}

// Guards against the same where the gateway shuts down around the drain: the client is notified of the drain or migrated
// at the end of the shutdown, and never notified twice.
func TestDrainObserverIsNotifiedOnceAroundAShutdown(t *testing.T) {
	for _, cause := range drainCauses {
		for order := range 6 {
			t.Run(fmt.Sprintf("%s, order %d", cause.name, order), func(t *testing.T) {
				w := newWorld(t, 2, func(o *Options) { o.ConnectionsOutliveGateway = false })
				w.arrive(&drainObserver{fakeClient{world: w, name: "m"}}, Request{Key: "k"})
				attempt := w.attempt
				attempt.isEstablished = true
				steps := []func(){
					func() { w.establish(attempt) },
					func() { cause.apply(w, attempt.sent) },
					func() { w.handle(Shutdown{}) },
				}
				permutation := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}[order]
				for _, step := range permutation {
					steps[step]()
				}
				notified, migrated := w.countCalls("server draining m"), w.countCalls("migrate m")
				if notified+migrated == 0 || notified > 1 || migrated > 1 {
					t.Errorf("notified %d times and migrated %d times; calls are %q", notified, migrated, w.calls)
				}
			})
		}
	}
}

// Guards against a drain that is forgotten with the attempt that saw it: a connection of another attempt, at a server that
// does not drain, is not notified, and one that is established after its server is ready again neither.
func TestDrainBeforeTheConnectionDoesNotOutliveItsServer(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.arrive(&drainObserver{fakeClient{world: w, name: "m"}}, Request{Key: "k"})
	first := w.attempt
	w.list(first.sent.Server, balancer.Draining, 0)
	w.end(first, balancer.Rejected)
	if w.attempt.sent.Server == first.sent.Server {
		t.Fatal("a retry at the draining server")
	}
	w.establish(w.attempt)
	if n := w.countCalls("server draining m"); n != 0 {
		t.Errorf("notified %d times of the drain of a server that it is not connected to", n)
	}
	w.arrive(&drainObserver{fakeClient{world: w, name: "n"}}, Request{Key: "k"})
	second := w.attempt
	w.list(second.sent.Server, balancer.Draining, 0)
	w.list(second.sent.Server, balancer.Ready, 0)
	w.establish(second)
	if n := w.countCalls("server draining n"); n != 0 {
		t.Errorf("notified %d times of a drain that was over", n)
	}
}
