package engine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
	"example.org/milletvane/internal/slotmap"
)

func (w *world) ban(name string, out bool) {
	done := false
	w.tell(MaintenanceChanged{Name: name, InMaintenance: out, Done: func() { done = true }})
	if !done {
		w.t.Helper()
		w.t.Errorf("ban of %s: not said to hold", name)
	}
}

func (w *world) entry(id balancer.ServerID, state balancer.ServerState, started time.Duration) {
	w.tell(EndpointList{Mode: balancer.ListDelta, Servers: []Server{{Name: fmt.Sprint("s", id), Addr: fmt.Sprint("a", id),
		Server: balancer.Server{ID: id, State: state, Started: started}}}})
}

// sentTo lists the servers that some requests go to.
func (w *world) sentTo(n int) map[string]int {
	to := map[string]int{}
	for i := range n {
		w.tell(UnaryRequestReceived{Client: w.client("x"), Request: Request{Class: "c", Key: fmt.Sprint(i), Timeout: 3 * time.Second}})
		to[w.link.a.Addr]++
		w.ended(w.link, balancer.OK)
	}
	w.did = nil
	return to
}

// What staff took out gets nothing until they put it back, whatever the list says of it in between.
func TestBanHoldsWhateverTheListSays(t *testing.T) {
	w := newWorld(t, 3, nil)
	w.ban("s2", true)
	for name, news := range map[string]func(){
		"nothing":    func() {},
		"ready":      func() { w.entry(2, balancer.Ready, 0) },
		"drained":    func() { w.entry(2, balancer.Draining, 0) },
		"restarted":  func() { w.entry(2, balancer.Ready, w.now) },
		"gone":       func() { w.entry(2, balancer.Removed, 0) },
		"back":       func() { w.entry(2, balancer.Removed, 0); w.entry(2, balancer.Ready, w.now) },
		"called out": func() { w.ban("s2", true) },
	} {
		news()
		w.pass(300 * time.Millisecond)
		if to := w.sentTo(40); to["a2"] > 0 {
			t.Errorf("%s: %d sent to a server that is out", name, to["a2"])
		}
	}
	w.entry(2, balancer.Ready, 0)
	w.ban("s2", false)
	w.pass(time.Second)
	if to := w.sentTo(40); to["a2"] == 0 {
		t.Error("nothing sent to a server that is back")
	}
	w.entry(2, balancer.Draining, 0)
	w.ban("s2", true)
	w.ban("s2", false)
	if to := w.sentTo(40); to["a2"] > 0 {
		t.Error("the call back lifted the list's own drain")
	}
}

// A ban may come before the server is listed here: the other process had listed it.
func TestBanBeforeTheList(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.ban("s3", true)
	w.entry(3, balancer.Ready, 0)
	if to := w.sentTo(40); to["a3"] > 0 {
		t.Error("sent to a server that was out before it was listed")
	}
}

// Failures of the time when a server was out are not held against it.
func TestReturnedServerHasACleanRecord(t *testing.T) {
	for _, lives := range []bool{false, true} { // a connection from before, which tells that there was no restart
		w := newWorld(t, 1, nil)
		w.arrive(w.client("x"), Request{Key: "k"})
		w.wentUp(w.link)
		cut := w.link
		if lives {
			w.arrive(w.client("y"), Request{Key: "k"})
			w.wentUp(w.link)
		}
		w.ban("s1", true)
		w.ended(cut, balancer.Reset)
		if k := w.state().Balancer.Servers[0]; k.FailureScore == 0 {
			t.Fatal("nothing was held against it to begin with")
		}
		w.ban("s1", false)
		if k := w.state().Balancer.Servers[0]; k.FailureScore > 0 || k.EjectedUntil > 0 || k.Ejections > 0 {
			t.Errorf("with a connection that lived through (%t) it has %+v held against it", lives, k)
		}
	}
}

// The list is late to tell of a restart during the ban: until it does a server is as cold as if it had just started,
// but one that still holds a connection from before has not been restarted.
func TestReturnedServerIsCold(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.entry(1, balancer.Ready, time.Minute)
	w.ban("s1", true)
	w.ban("s1", false)
	if got := w.e.servers[1].shown().Started; got != w.now {
		t.Errorf("taken to have started at %v, it is %v", got, w.now)
	}
	w.entry(1, balancer.Ready, time.Minute) // still late
	if got := w.e.servers[1].shown().Started; got != w.now {
		t.Errorf("an old start moved it to %v", got)
	}
	w.entry(1, balancer.Ready, 2*time.Minute)
	if got := w.e.servers[1].shown().Started; got != 2*time.Minute {
		t.Errorf("the list's start is not gone by: %v", got)
	}
	w.arrive(w.client("x"), Request{Key: "k"})
	w.wentUp(w.link)
	at := w.link.a.Server
	was := w.e.servers[at].shown().Started
	w.ban(fmt.Sprint("s", at), true)
	w.ban(fmt.Sprint("s", at), false)
	if got := w.e.servers[at].shown().Started; got != was {
		t.Errorf("a server that kept its connection is taken to have started at %v", got)
	}
}

// Each request taken stands under one figure, whatever comes of it, but for those whose clients left without an answer.
func TestFiguresAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := metrics.New([]string{"c"})
		w := newWorld(t, 3, func(o *Options) { o.MaxSockets, o.Metrics = 8, f })
		taken, left := 0, 0
		var clients []*fakeClient
		var links []*fakeLink
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			w.link = nil
			switch rapid.IntRange(0, 8).Draw(rt, "step") {
			case 0, 1, 2:
				c := w.client("x")
				before := w.e.requests.Len()
				w.tell(ClientConnected{Client: c})
				if c.ClientHandle.id == 0 || w.e.requests.Len() == 0 && before == 0 {
					break // turned away unasked
				}
				clients = append(clients, c)
				taken++
				w.tell(RequestReceived{Client: c, Request: Request{ID: fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id")), Class: "c", Key: "k",
					Timeout: time.Duration(rapid.IntRange(1, 3000).Draw(rt, "wait")) * time.Millisecond}})
			case 3:
				if len(links) > 0 {
					if l := links[rapid.IntRange(0, len(links)-1).Draw(rt, "link")]; !l.up {
						w.wentUp(l)
					}
				}
			case 4:
				if len(links) > 0 {
					w.ended(links[rapid.IntRange(0, len(links)-1).Draw(rt, "link")],
						balancer.Result(rapid.IntRange(int(balancer.Errored), int(balancer.Cancelled)).Draw(rt, "result")))
				}
			case 5:
				w.pass(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
			case 6, 7:
				if len(clients) > 0 {
					c := clients[rapid.IntRange(0, len(clients)-1).Draw(rt, "client")]
					if r := w.e.of(c); r != nil && r.phase == waiting {
						left++
					}
					w.tell(ClientDisconnected{c})
				}
			case 8:
				w.ban(fmt.Sprint("s", rapid.IntRange(1, 3).Draw(rt, "server")), rapid.Bool().Draw(rt, "out"))
			}
			if w.link != nil {
				links = append(links, w.link)
			}
			waits, stands := 0, 0
			w.e.requests.All(func(_ slotmap.Handle, r *request) bool {
				switch r.phase {
				case waiting:
					waits++
				case open, leaving:
					stands++
				}
				return true
			})
			c := f.Class("c")
			answered := int(c.Succeeded.Load() + c.Declined.Load() + c.Aborted.Load())
			if taken != answered+waits+left {
				rt.Fatalf("taken %d, answered %d, waiting %d, left %d", taken, answered, waits, left)
			}
			if got := int(f.Outstanding.Load()); got != waits+stands {
				rt.Fatalf("outstanding %d, %d wait and %d stand", got, waits, stands)
			}
		}
	})
}

// The clients of a server that is out are sent away before it is restarted, a part of them at a time, and what waits
// there is tried elsewhere.
func TestBanClearsTheServer(t *testing.T) {
	w := newWorld(t, 2, func(o *Options) { o.MaxSockets = 64 })
	held := map[string]int{}
	for i := range 16 {
		w.arrive(w.client("x"), Request{Key: fmt.Sprint(i)})
		w.wentUp(w.link)
		held[w.link.a.Addr]++
	}
	w.arrive(w.client("waits"), Request{Key: "0"})
	at := w.link.a.Addr
	w.did = nil
	w.ban("s"+strings.TrimPrefix(at, "a"), true)
	if want := []string{"abandon " + at + "/0", "send " + w.link.a.Addr + "/1"}; !slices.Equal(w.did, want) || w.link.a.Addr == at {
		t.Errorf("did %q, want %q", w.did, want)
	}
	w.did = nil
	w.pass(300 * time.Millisecond)
	if n := len(w.did); n == 0 || n > held[at]/2+1 {
		t.Errorf("%d of %d were moved at once", n, held[at])
	}
	w.pass(2 * time.Second)
	moved := 0
	for _, d := range w.did {
		if d == "move x" {
			moved++
		}
	}
	if moved != held[at] {
		t.Errorf("%d of %d were moved", moved, held[at])
	}
}

// A server that is put back is tried with the next connection, however cold it is, whatever its key.
func TestReturnedServerIsTriedSoon(t *testing.T) {
	w := newWorld(t, 8, nil)
	w.ban("s5", true)
	w.ban("s5", false)
	w.pass(time.Second)
	if to := w.sentTo(1); to["a5"] != 1 {
		t.Errorf("went to %v", to)
	}
}
