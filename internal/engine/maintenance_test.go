package engine

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
)

func (h *harness) setMaintenance(name string, inMaintenance bool) {
	h.t.Helper()
	done := false
	h.handle(MaintenanceChanged{Name: name, InMaintenance: inMaintenance, Done: func() { done = true }})
	if !done {
		h.t.Errorf("maintenance of %s: Done was not called", name)
	}
}

// countSentByAddr sends unary requests with different keys and returns how many were sent to each address.
func (h *harness) countSentByAddr(requests int) map[string]int {
	byAddr := map[string]int{}
	for i := range requests {
		h.handle(UnaryRequestReceived{
			Client:  h.newClient("x"),
			Request: Request{Class: "c", Key: strconv.Itoa(i), Timeout: 3 * time.Second},
		})
		byAddr[h.lastAttempt.sent.Addr]++
		h.endAttempt(h.lastAttempt, balancer.OK)
	}
	h.calls = nil
	return byAddr
}

// Guards against requests that are sent to a server in maintenance mode because an endpoint list overrode the mode.
func TestMaintenanceOverridesTheList(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.setMaintenance("s2", true)
	for name, change := range map[string]func(){
		"no change":         func() {},
		"ready":             func() { h.listServer(2, balancer.Ready, 0) },
		"draining":          func() { h.listServer(2, balancer.Draining, 0) },
		"restarted":         func() { h.listServer(2, balancer.Ready, h.now) },
		"removed":           func() { h.listServer(2, balancer.Removed, 0) },
		"removed and added": func() { h.listServer(2, balancer.Removed, 0); h.listServer(2, balancer.Ready, h.now) },
		"maintenance again": func() { h.setMaintenance("s2", true) },
	} {
		t.Run(name, func(t *testing.T) {
			change()
			h.advance(300 * time.Millisecond)
			if n := h.countSentByAddr(40)["a2"]; n > 0 {
				t.Errorf("%d requests were sent to the server in maintenance, want 0", n)
			}
		})
	}
	h.listServer(2, balancer.Ready, 0)
	h.setMaintenance("s2", false)
	h.advance(time.Second)
	if h.countSentByAddr(40)["a2"] == 0 {
		t.Error("no request was sent to the server after its maintenance")
	}
	h.listServer(2, balancer.Draining, 0)
	h.setMaintenance("s2", true)
	h.setMaintenance("s2", false)
	if h.countSentByAddr(40)["a2"] > 0 {
		t.Error("a request was sent to a server that is listed as draining after its maintenance")
	}
}

// Guards against a maintenance mode that is lost because it began before the server was listed here. During a hot restart
// the other process may have listed the server already.
func TestMaintenanceBeforeTheServerIsListed(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.setMaintenance("s3", true)
	h.listServer(3, balancer.Ready, 0)
	if h.countSentByAddr(40)["a3"] > 0 {
		t.Error("a request was sent to a server whose maintenance began before it was listed")
	}
}

// Guards against a server that is ejected after its maintenance: failures during maintenance must not count.
func TestMaintenanceClearsTheFailureScore(t *testing.T) {
	for name, hasOutlived := range map[string]bool{"no connection left": false, "a connection outlived it": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
			h.establish(h.lastAttempt)
			broken := h.lastAttempt
			if hasOutlived { // the connection shows that the server did not restart
				h.connectAndRequest(h.newClient("y"), Request{Key: "k"})
				h.establish(h.lastAttempt)
			}
			h.setMaintenance("s1", true)
			h.endAttempt(broken, balancer.Reset)
			if k := h.requestState().Balancer.Servers[0]; k.FailureScore == 0 {
				t.Fatal("the failure did not count before the end of the maintenance")
			}
			h.setMaintenance("s1", false)
			if k := h.requestState().Balancer.Servers[0]; k.FailureScore > 0 || k.EjectedUntil > 0 || k.Ejections > 0 {
				t.Errorf("got failure score %v, ejected until %v, %d ejections, want zero", k.FailureScore, k.EjectedUntil, k.Ejections)
			}
		})
	}
}

// Guards against a server that gets full load right after a restart during maintenance, because the endpoint list shows
// the restart late. The server is assumed to have just started, unless it still holds a connection from before.
func TestServerIsAssumedRestartedAfterMaintenance(t *testing.T) {
	h := newHarness(t, 2, nil)
	expectStart := func(id balancer.ServerID, want time.Duration) {
		t.Helper()
		if got := h.engine.endpoints.byID[id].effective().Started; got != want {
			t.Errorf("server %d is assumed to have started at %v, want %v", id, got, want)
		}
	}
	h.listServer(1, balancer.Ready, time.Minute)
	h.setMaintenance("s1", true)
	h.setMaintenance("s1", false)
	expectStart(1, h.now)
	h.listServer(1, balancer.Ready, time.Minute) // the list still shows the former start
	expectStart(1, h.now)
	h.listServer(1, balancer.Ready, 2*time.Minute)
	expectStart(1, 2*time.Minute)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	h.establish(h.lastAttempt)
	server := h.lastAttempt.sent.Server
	before := h.engine.endpoints.byID[server].effective().Started
	h.setMaintenance(fmt.Sprint("s", server), true)
	h.setMaintenance(fmt.Sprint("s", server), false)
	expectStart(server, before)
}

// The clients of a server in maintenance are migrated gradually, before the server is restarted. Attempts that are pending
// there are retried elsewhere.
func TestMaintenanceEvacuatesTheServer(t *testing.T) {
	h := newHarness(t, 2, func(o *Options) { o.MaxSockets = 64 })
	connections := map[string]int{}
	for i := range 16 {
		h.connectAndRequest(h.newClient("x"), Request{Key: strconv.Itoa(i)})
		h.establish(h.lastAttempt)
		connections[h.lastAttempt.sent.Addr]++
	}
	h.connectAndRequest(h.newClient("waits"), Request{Key: "0"})
	addr := h.lastAttempt.sent.Addr
	h.calls = nil
	h.setMaintenance("s"+strings.TrimPrefix(addr, "a"), true)
	if h.lastAttempt.sent.Addr == addr {
		t.Errorf("the retry was sent to %s again, want another server", addr)
	}
	h.expectCalls("cancel "+addr+"/0", "send "+h.lastAttempt.sent.Addr+"/1")
	h.advance(300 * time.Millisecond)
	if n := len(h.calls); n == 0 || n > connections[addr]/2+1 {
		t.Errorf("%d of %d clients were migrated within 300 ms, want 1 to half of them plus 1", n, connections[addr])
	}
	h.advance(2 * time.Second)
	migrated := 0
	for _, call := range h.calls {
		if call == "migrate x" {
			migrated++
		}
	}
	if migrated != connections[addr] {
		t.Errorf("%d of %d clients were migrated, want all", migrated, connections[addr])
	}
}

// After its maintenance, a server gets the next connection as a trial. This holds for any key, although the server is
// assumed to be warming up.
func TestServerGetsATrialSoonAfterMaintenance(t *testing.T) {
	h := newHarness(t, 8, nil)
	h.setMaintenance("s5", true)
	h.setMaintenance("s5", false)
	h.advance(time.Second)
	if diff := cmp.Diff(map[string]int{"a5": 1}, h.countSentByAddr(1)); diff != "" {
		t.Errorf("requests by address (-want +got):\n%s", diff)
	}
}
