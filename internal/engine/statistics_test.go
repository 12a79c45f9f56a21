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

// Guards against requests that the metrics count twice or not at all: each admitted request has one result, unless its
// client disconnected before the answer.
func TestEachRequestIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		registry := metrics.New([]string{"c"})
		g := &trafficGenerator{
			rt:       rt,
			harness:  newHarness(t, 3, func(o *Options) { o.MaxSockets, o.Metrics = 8, registry }),
			registry: registry,
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			g.sendRandomEvent()
			g.checkMetrics()
		}
	})
}

// trafficGenerator sends randomly drawn events to an engine and counts the expected values of the metrics.
type trafficGenerator struct {
	rt       *rapid.T
	harness  *harness
	registry *metrics.Registry

	clients      []*fakeClient
	attempts     []*fakeAttempt
	admitted     int
	disconnected int // clients that disconnected without an answer
}

func (g *trafficGenerator) sendRandomEvent() {
	h := g.harness
	h.lastAttempt = nil
	switch rapid.IntRange(0, 8).Draw(g.rt, "step") {
	case 0, 1, 2:
		g.connectAndRequest()
	case 3:
		if a := drawOne(g.rt, "established", g.attempts); a != nil && !a.isEstablished {
			h.establish(a)
		}
	case 4:
		if a := drawOne(g.rt, "ended", g.attempts); a != nil {
			result := rapid.IntRange(int(balancer.Errored), int(balancer.Cancelled)).Draw(g.rt, "result")
			h.endAttempt(a, balancer.Result(result))
		}
	case 5:
		h.advance(g.drawMilliseconds("passed", 2000))
	case 6, 7:
		if c := drawOne(g.rt, "disconnected", g.clients); c != nil {
			g.disconnect(c)
		}
	case 8:
		server := rapid.IntRange(1, 3).Draw(g.rt, "server")
		h.setMaintenance(fmt.Sprint("s", server), rapid.Bool().Draw(g.rt, "in maintenance"))
	}
	if h.lastAttempt != nil {
		g.attempts = append(g.attempts, h.lastAttempt)
	}
}

func (g *trafficGenerator) connectAndRequest() {
	h := g.harness
	c := h.newClient("x")
	before := h.engine.requests.len()
	h.handle(ClientConnected{Client: c})
	if c.handle.id == 0 || h.engine.requests.len() == 0 && before == 0 {
		return // the client was rejected before its request
	}
	g.clients = append(g.clients, c)
	g.admitted++
	h.handle(RequestReceived{Client: c, Request: Request{
		ID:      strconv.Itoa(rapid.IntRange(0, 5).Draw(g.rt, "id")),
		Class:   "c",
		Key:     "k",
		Timeout: g.drawMilliseconds("timeout", 3000),
	}})
}

func (g *trafficGenerator) disconnect(c *fakeClient) {
	if r := g.harness.engine.requestOf(c); r != nil && r.phase == pending {
		g.disconnected++
	}
	g.harness.handle(ClientDisconnected{c})
}

func (g *trafficGenerator) checkMetrics() {
	pendings, open := 0, 0
	g.harness.engine.requests.each(func(r *request) {
		switch r.phase {
		case pending:
			pendings++
		case established, migrating:
			open++
		}
	})
	c := g.registry.Class("c")
	answered := int(c.Succeeded.Load() + c.Declined.Load() + c.Aborted.Load())
	if g.admitted != answered+pendings+g.disconnected {
		g.rt.Fatalf("admitted %d, want the sum of answered %d, pending %d and disconnected %d",
			g.admitted, answered, pendings, g.disconnected)
	}
	if got := int(g.registry.Outstanding.Load()); got != pendings+open {
		g.rt.Fatalf("outstanding %d, want the sum of pending %d and open %d", got, pendings, open)
	}
}

func (g *trafficGenerator) drawMilliseconds(label string, maximum int) time.Duration {
	return time.Duration(rapid.IntRange(1, maximum).Draw(g.rt, label)) * time.Millisecond
}

// drawOne draws an element of a slice. It returns nil if the slice is empty.
func drawOne[T any](rt *rapid.T, label string, from []*T) *T {
	if len(from) == 0 {
		return nil
	}
	return from[rapid.IntRange(0, len(from)-1).Draw(rt, label)]
}
