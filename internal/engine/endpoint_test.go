package engine

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// Guards against requests that are sent to a server that has announced that it is draining. The announcement holds until
// the server restarts, because the endpoint list may show the drain late. Each client whose frontend can migrate it is
// notified once.
func TestServerThatAnnouncesItsDrainGetsNoRequests(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.connectAndRequest(&drainObserver{fakeClient{harness: h, name: "m"}}, Request{Key: "k"})
	draining := h.lastAttempt.sent
	h.establish(h.lastAttempt)
	h.calls = nil
	h.handle(ServerDraining{RequestID: draining.RequestID})
	h.handle(ServerDraining{RequestID: draining.RequestID})
	h.expectCalls("server draining m")
	h.listServer(draining.Server, balancer.Ready, 0) // the list doesn't show the drain yet
	for i := range 4 {
		h.requestUnary(h.newClient(string(rune('a' + i))))
		if h.lastAttempt.sent.Server == draining.Server {
			t.Error("an attempt was sent to a draining server")
		}
		h.endAttempt(h.lastAttempt, balancer.OK)
	}
	h.listServer(draining.Server, balancer.Ready, h.now) // the server has restarted
	if s := h.engine.endpoints.byID[draining.Server]; s.hasAnnouncedDrain || s.state != balancer.Ready {
		t.Error("the server is still considered draining after its restart")
	}
}

func TestDrainObserversAreNotifiedOfListedChanges(t *testing.T) {
	for name, state := range map[string]balancer.ServerState{
		"draining": balancer.Draining,
		"removed":  balancer.Removed,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, nil)
			h.connectAndRequest(&drainObserver{fakeClient{harness: h, name: "m"}}, Request{Key: "k"})
			h.establish(h.lastAttempt)
			h.calls = nil
			h.listServer(h.lastAttempt.sent.Server, state, 0)
			if n := len(h.calls); n == 0 || h.calls[n-1] != "server draining m" {
				t.Errorf("calls are %q, want \"server draining m\" last", h.calls)
			}
		})
	}
}

// A full list removes the servers that it leaves out, and a removed server gets no more attempts.
func TestFullListRemovesTheServersItLeavesOut(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.handle(EndpointList{
		Mode:    balancer.ListComplete,
		Servers: []Server{{Name: "s2", Addr: "b2", Server: balancer.Server{ID: 2}}},
	})
	for i := range 8 {
		h.connectAndRequest(h.newClient("x"), Request{Key: strconv.Itoa(i)})
		h.endAttempt(h.lastAttempt, balancer.Errored)
		h.endAttempt(h.lastAttempt, balancer.Errored)
	}
	if calls := strings.Join(h.calls, " "); !strings.HasPrefix(calls, "forget 1 ") || strings.Contains(calls, "send a") {
		t.Errorf("calls are %q, want \"forget 1\" first and no attempt at the old addresses", h.calls)
	}
}

// A gateway without an endpoint list becomes ready after ReadyTimeout, and then rejects requests.
func TestReadyAfterTheTimeoutWithoutEndpoints(t *testing.T) {
	h := newHarness(t, 0, func(o *Options) { o.ReadyTimeout = 8 * time.Second })
	h.advance(8*time.Second - time.Millisecond)
	if h.engine.Ready() {
		t.Error("ready before ReadyTimeout")
	}
	h.advance(time.Millisecond)
	if !h.engine.Ready() {
		t.Error("not ready after ReadyTimeout")
	}
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	h.advance(time.Second)
	h.expectCalls("reject x")
}

func TestReadyAtOnceWithACachedList(t *testing.T) {
	h := newHarness(t, 1, func(o *Options) { o.ReadyTimeout = 8 * time.Second })
	if !h.engine.Ready() {
		t.Error("not ready with a cached list")
	}
}

// Guards against a server that is considered draining because another server announced its drain to an earlier attempt of
// the same request.
func TestDrainAnnouncedToAnEndedAttemptLeavesTheNextServer(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	ended := h.lastAttempt.sent
	h.endAttempt(h.lastAttempt, balancer.Rejected)
	next := h.lastAttempt.sent
	if next.Server == ended.Server {
		t.Fatal("both attempts were sent to one server")
	}
	h.handle(ServerDraining{RequestID: ended.RequestID, Number: ended.Number})
	if s := h.engine.endpoints.byID[next.Server]; s.state != balancer.Ready {
		t.Error("an announcement to the ended attempt affects the server of the next one")
	}
	h.handle(ServerDraining{RequestID: next.RequestID, Number: next.Number})
	if s := h.engine.endpoints.byID[next.Server]; s.state != balancer.Draining {
		t.Error("the announcement to the current attempt has no effect")
	}
}

// drainCause is an event after which the clients of a server must leave it.
type drainCause struct {
	name  string
	apply func(h *harness, server Attempt)
}

var drainCauses = []drainCause{
	{"list says draining", func(h *harness, a Attempt) { h.listServer(a.Server, balancer.Draining, 0) }},
	{"list says removed", func(h *harness, a Attempt) { h.listServer(a.Server, balancer.Removed, 0) }},
	{"full list without it", func(h *harness, a Attempt) {
		h.handle(EndpointList{
			Mode:    balancer.ListComplete,
			Servers: []Server{listedServer(3-a.Server, balancer.Ready, 0)},
		})
	}},
	{"announcement", func(h *harness, a Attempt) {
		h.handle(ServerDraining{RequestID: a.RequestID, Number: a.Number})
	}},
	{"maintenance", func(h *harness, a Attempt) {
		h.handle(MaintenanceChanged{Name: listedServer(a.Server, balancer.Ready, 0).Name, InMaintenance: true})
	}},
}

// Guards against a client that is not notified of a drain because the drain began while its connection was being set up,
// and against a client that is notified twice. It must be notified once, in whatever order two causes and the end of the
// set-up happen.
func TestDrainObserverIsNotifiedOnceInAnyOrder(t *testing.T) {
	for _, first := range drainCauses {
		for _, second := range drainCauses {
			for establishedAfter := range 3 { // of the causes
				t.Run(fmt.Sprintf("%s, %s, established after %d", first.name, second.name, establishedAfter), func(t *testing.T) {
					h := newHarness(t, 2, nil)
					h.connectAndRequest(&drainObserver{fakeClient{harness: h, name: "m"}}, Request{Key: "k"})
					attempt := h.lastAttempt
					attempt.isEstablished = true // the event is handled later
					for i, cause := range []drainCause{first, second} {
						if i == establishedAfter {
							h.establish(attempt)
						}
						cause.apply(h, attempt.sent)
					}
					if establishedAfter == 2 {
						h.establish(attempt)
					}
					if n := h.countCalls("server draining m"); n != 1 {
						t.Errorf("notified %d times, want 1; calls are %q", n, h.calls)
					}
				})
			}
		}
	}
}

// Guards against the same faults if the gateway shuts down at the time of the drain: the client must be notified of the
// drain or migrated by the shutdown, and neither may happen twice.
func TestDrainObserverIsNotifiedOnceAroundAShutdown(t *testing.T) {
	for _, cause := range drainCauses {
		for order := range 6 {
			t.Run(fmt.Sprintf("%s, order %d", cause.name, order), func(t *testing.T) {
				h := newHarness(t, 2, func(o *Options) { o.ConnectionsOutliveGateway = false })
				h.connectAndRequest(&drainObserver{fakeClient{harness: h, name: "m"}}, Request{Key: "k"})
				attempt := h.lastAttempt
				attempt.isEstablished = true
				steps := []func(){
					func() { h.establish(attempt) },
					func() { cause.apply(h, attempt.sent) },
					func() { h.handle(Shutdown{}) },
				}
				permutation := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}[order]
				for _, step := range permutation {
					steps[step]()
				}
				notified, migrated := h.countCalls("server draining m"), h.countCalls("migrate m")
				if notified+migrated == 0 || notified > 1 || migrated > 1 {
					t.Errorf("notified %d times and migrated %d times; calls are %q", notified, migrated, h.calls)
				}
			})
		}
	}
}

// Guards against a notification of a drain that no longer applies: the connection was established by a later attempt at
// another server, or after its server became ready again.
func TestDrainThatNoLongerAppliesIsNotNotified(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.connectAndRequest(&drainObserver{fakeClient{harness: h, name: "m"}}, Request{Key: "k"})
	first := h.lastAttempt
	h.listServer(first.sent.Server, balancer.Draining, 0)
	h.endAttempt(first, balancer.Rejected)
	if h.lastAttempt.sent.Server == first.sent.Server {
		t.Fatal("the retry was sent to the draining server")
	}
	h.establish(h.lastAttempt)
	if n := h.countCalls("server draining m"); n != 0 {
		t.Errorf("client m was notified %d times of the drain of a server that it is not connected to, want 0", n)
	}
	h.connectAndRequest(&drainObserver{fakeClient{harness: h, name: "n"}}, Request{Key: "k"})
	second := h.lastAttempt
	h.listServer(second.sent.Server, balancer.Draining, 0)
	h.listServer(second.sent.Server, balancer.Ready, 0)
	h.establish(second)
	if n := h.countCalls("server draining n"); n != 0 {
		t.Errorf("client n was notified %d times of a drain that had ended, want 0", n)
	}
}
