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

func (w *world) setMaintenance(name string, inMaintenance bool) {
	w.t.Helper()
	done := false
	w.handle(MaintenanceChanged{Name: name, InMaintenance: inMaintenance, Done: func() { done = true }})
	if !done {
		w.t.Errorf("maintenance of %s: not done", name)
	}
}

// sentTo counts by address where some requests are sent.
func (w *world) sentTo(requests int) map[string]int {
	byAddr := map[string]int{}
	for i := range requests {
		w.handle(UnaryRequestReceived{
			Client:  w.client("x"),
			Request: Request{Class: "c", Key: strconv.Itoa(i), Timeout: 3 * time.Second},
		})
		byAddr[w.attempt.sent.Addr]++
		w.end(w.attempt, balancer.OK)
	}
	w.calls = nil
	return byAddr
}

// A server in maintenance gets nothing until that ends, whatever is listed in between, and in whatever order.
func TestMaintenanceOverridesTheList(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.setMaintenance("s2", true)
	for name, change := range map[string]func(){
		"no change":         func() {},
		"ready":             func() { w.list(2, balancer.Ready, 0) },
		"draining":          func() { w.list(2, balancer.Draining, 0) },
		"restarted":         func() { w.list(2, balancer.Ready, w.now) },
		"removed":           func() { w.list(2, balancer.Removed, 0) },
		"removed and added": func() { w.list(2, balancer.Removed, 0); w.list(2, balancer.Ready, w.now) },
		"maintenance again": func() { w.setMaintenance("s2", true) },
	} {
		t.Run(name, func(t *testing.T) {
			change()
			w.pass(300 * time.Millisecond)
			if n := w.sentTo(40)["a2"]; n > 0 {
				t.Errorf("%d requests were sent to a server in maintenance", n)
			}
		})
	}
	w.list(2, balancer.Ready, 0)
	w.setMaintenance("s2", false)
	w.pass(time.Second)
	if w.sentTo(40)["a2"] == 0 {
		t.Error("no request was sent to the server after its maintenance")
	}
	w.list(2, balancer.Draining, 0)
	w.setMaintenance("s2", true)
	w.setMaintenance("s2", false)
	if w.sentTo(40)["a2"] > 0 {
		t.Error("the end of maintenance ended a listed drain")
	}
}

// Maintenance may begin before the server is listed here: the other process had listed it.
func TestMaintenanceBeforeTheServerIsListed(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.setMaintenance("s3", true)
	w.list(3, balancer.Ready, 0)
	if w.sentTo(40)["a3"] > 0 {
		t.Error("a request was sent to a server whose maintenance began before it was listed")
	}
}

// Failures during maintenance do not count against a server.
func TestMaintenanceClearsTheFailureScore(t *testing.T) {
	for name, hasOutlived := range map[string]bool{"no connection left": false, "a connection outlived it": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, nil)
			w.arrive(w.client("x"), Request{Key: "k"})
			w.establish(w.attempt)
			broken := w.attempt
			if hasOutlived { // which shows that there was no restart
				w.arrive(w.client("y"), Request{Key: "k"})
				w.establish(w.attempt)
			}
			w.setMaintenance("s1", true)
			w.end(broken, balancer.Reset)
			if k := w.state().Balancer.Servers[0]; k.FailureScore == 0 {
				t.Fatal("the failure did not count to begin with")
			}
			w.setMaintenance("s1", false)
			if k := w.state().Balancer.Servers[0]; k.FailureScore > 0 || k.EjectedUntil > 0 || k.Ejections > 0 {
				t.Errorf("failure score %v, ejected until %v, %d ejections", k.FailureScore, k.EjectedUntil, k.Ejections)
			}
		})
	}
}

// The list may be late to show a restart during maintenance: until it does the server is taken to have just started,
// but one that still holds a connection from before has not been restarted.
func TestServerIsTakenForRestartedAfterMaintenance(t *testing.T) {
	w := newWorld(t, 2, nil)
	expectStart := func(id balancer.ServerID, want time.Duration) {
		t.Helper()
		if got := w.engine.endpoints.byID[id].effective().Started; got != want {
			t.Errorf("server %d is taken to have started at %v, want %v", id, got, want)
		}
	}
	w.list(1, balancer.Ready, time.Minute)
	w.setMaintenance("s1", true)
	w.setMaintenance("s1", false)
	expectStart(1, w.now)
	w.list(1, balancer.Ready, time.Minute) // still late
	expectStart(1, w.now)
	w.list(1, balancer.Ready, 2*time.Minute)
	expectStart(1, 2*time.Minute)
	w.arrive(w.client("x"), Request{Key: "k"})
	w.establish(w.attempt)
	server := w.attempt.sent.Server
	before := w.engine.endpoints.byID[server].effective().Started
	w.setMaintenance(fmt.Sprint("s", server), true)
	w.setMaintenance(fmt.Sprint("s", server), false)
	expectStart(server, before)
}

// The clients of a server in maintenance are migrated before it is restarted, some of them at a time, and what is
// pending there is retried elsewhere.
func TestMaintenanceEvacuatesTheServer(t *testing.T) {
	w := newWorld(t, 2, func(o *Options) { o.MaxSockets = 64 })
	connections := map[string]int{}
	for i := range 16 {
		w.arrive(w.client("x"), Request{Key: strconv.Itoa(i)})
		w.establish(w.attempt)
		connections[w.attempt.sent.Addr]++
	}
	w.arrive(w.client("waits"), Request{Key: "0"})
	addr := w.attempt.sent.Addr
	w.calls = nil
	w.setMaintenance("s"+strings.TrimPrefix(addr, "a"), true)
	if w.attempt.sent.Addr == addr {
		t.Errorf("the retry went to %s again", addr)
	}
	w.expect("cancel "+addr+"/0", "send "+w.attempt.sent.Addr+"/1")
	w.pass(300 * time.Millisecond)
	if n := len(w.calls); n == 0 || n > connections[addr]/2+1 {
		t.Errorf("%d of %d were migrated at once", n, connections[addr])
	}
	w.pass(2 * time.Second)
	migrated := 0
	for _, call := range w.calls {
		if call == "migrate x" {
			migrated++
		}
	}
	if migrated != connections[addr] {
		t.Errorf("%d of %d were migrated", migrated, connections[addr])
	}
}

// A server is tried with the next connection after its maintenance, however cold it is, whatever the key.
func TestServerIsTriedSoonAfterMaintenance(t *testing.T) {
	w := newWorld(t, 8, nil)
	w.setMaintenance("s5", true)
	w.setMaintenance("s5", false)
	w.pass(time.Second)
	if diff := cmp.Diff(map[string]int{"a5": 1}, w.sentTo(1)); diff != "" {
		t.Errorf("requests by address (-want +got):\n%s", diff)
	}
}
