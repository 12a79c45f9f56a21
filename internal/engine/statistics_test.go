package engine

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
)

// Each admitted request is counted under one result, whatever becomes of it, but for those whose clients disconnected
// without an answer.
func TestMetricsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		registry := metrics.New([]string{"c"})
		x := &drawnTraffic{
			rt:       rt,
			world:    newWorld(t, 3, func(o *Options) { o.MaxSockets, o.Metrics = 8, registry }),
			registry: registry,
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			x.step()
			x.check()
		}
	})
}

// drawnTraffic draws events for an engine, and counts what the metrics should say.
type drawnTraffic struct {
	rt       *rapid.T
	world    *world
	registry *metrics.Registry

	clients      []*fakeClient
	attempts     []*fakeAttempt
	admitted     int
	disconnected int // without an answer
}

func (x *drawnTraffic) step() {
	w := x.world
	w.attempt = nil
	switch rapid.IntRange(0, 8).Draw(x.rt, "step") {
	case 0, 1, 2:
		x.arrive()
	case 3:
		if a := drawOne(x.rt, "established", x.attempts); a != nil && !a.isEstablished {
			w.establish(a)
		}
	case 4:
		if a := drawOne(x.rt, "ended", x.attempts); a != nil {
			result := rapid.IntRange(int(balancer.Errored), int(balancer.Cancelled)).Draw(x.rt, "result")
			w.end(a, balancer.Result(result))
		}
	case 5:
		w.pass(x.milliseconds("passed", 2000))
	case 6, 7:
		if c := drawOne(x.rt, "disconnected", x.clients); c != nil {
			x.disconnect(c)
		}
	case 8:
		server := rapid.IntRange(1, 3).Draw(x.rt, "server")
		w.setMaintenance(fmt.Sprint("s", server), rapid.Bool().Draw(x.rt, "in maintenance"))
	}
	if w.attempt != nil {
		x.attempts = append(x.attempts, w.attempt)
	}
}

func (x *drawnTraffic) arrive() {
	w := x.world
	c := w.client("x")
	before := w.engine.requests.len()
	w.handle(ClientConnected{Client: c})
	if c.handle.id == 0 || w.engine.requests.len() == 0 && before == 0 {
		return // rejected ahead of its request
	}
	x.clients = append(x.clients, c)
	x.admitted++
	w.handle(RequestReceived{Client: c, Request: Request{
		ID:      strconv.Itoa(rapid.IntRange(0, 5).Draw(x.rt, "id")),
		Class:   "c",
		Key:     "k",
		Timeout: x.milliseconds("timeout", 3000),
	}})
}

func (x *drawnTraffic) disconnect(c *fakeClient) {
	if r := x.world.engine.requestOf(c); r != nil && r.phase == pending {
		x.disconnected++
	}
	x.world.handle(ClientDisconnected{c})
}

func (x *drawnTraffic) check() {
	pendings, open := 0, 0
	x.world.engine.requests.each(func(r *request) {
		switch r.phase {
		case pending:
			pendings++
		case established, migrating:
			open++
		}
	})
	c := x.registry.Class("c")
	answered := int(c.Succeeded.Load() + c.Declined.Load() + c.Aborted.Load())
	if x.admitted != answered+pendings+x.disconnected {
		x.rt.Fatalf("admitted %d, answered %d, pending %d, disconnected %d",
			x.admitted, answered, pendings, x.disconnected)
	}
	if got := int(x.registry.Outstanding.Load()); got != pendings+open {
		x.rt.Fatalf("outstanding %d, pending %d and open %d", got, pendings, open)
	}
}

func (x *drawnTraffic) milliseconds(label string, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(x.rt, label)) * time.Millisecond
}

// drawOne draws an element; nil: there is none.
func drawOne[T any](rt *rapid.T, label string, from []*T) *T {
	if len(from) == 0 {
		return nil
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(rt, label)]
}
