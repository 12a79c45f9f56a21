package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"negative time":  func(s *Settings) { s.DrainGrace = -1 },
		"class twice":    func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"negative worth": func(s *Settings) { s.Classes[0].PriorityWeight = -1 },
		"BudgetFree":     func(s *Settings) { s.RetryBudgetMin = -1 },
		"BudgetShare":    func(s *Settings) { s.RetryBudgetRatio = math.NaN() },
		"BudgetSpan":     func(s *Settings) { s.RetryBudgetWindow = -sec },
		"TipMultiple":    func(s *Settings) { s.ColdOverloadFactor = math.Inf(1) },
	} {
		settings := testSettings()
		spoil(&settings)
		if b, err := New(settings); err == nil || b != nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := New(Settings{}); err != nil {
		t.Errorf("no settings at all: %v", err)
	}
}

func TestLateAndUnknownEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	id := h.request("safe", "g")
	s := h.onlySend()
	for _, ev := range []Event{
		Request{ID: id, Class: "safe", Group: "g", Timeout: sec}, // twice
		AttemptEstablished{ID: 77, Server: 100}, AttemptEstablished{ID: id, Server: s.Server, Attempt: 5},
		AttemptEnded{ID: 77, Server: 100, Result: OK},
		AttemptEnded{ID: id, Server: s.Server, Attempt: 4, Result: Reset},
		ClientDisconnected{ID: 77}, TimerFired{Ref: 12345}, LoadChanged{ID: 77, Load: 1},
		MessageDelay{ID: 77, Server: 4242, Delay: sec},
		AdoptedConnection{Request: Request{ID: 78}, Server: 4242},
		EndpointList{Mode: ListDelta},
	} {
		for _, a := range h.handle(ev) {
			switch a.(type) {
			case Log, SetTimer:
			default:
				t.Errorf("%+v answered with %+v", ev, a)
			}
		}
	}
	h.handle(ClientDisconnected{ID: id})
	h.endAttempt(s, 0, TimedOut)
	if len(h.lastActions) > 0 {
		t.Errorf("after the client left: %+v", h.lastActions)
	}
	if len(h.balancer.requests) > 0 {
		t.Errorf("%d requests remembered", len(h.balancer.requests))
	}
}

// Fleets and gateways of any number, also replaced by new ids at once, with hints that differ by a factor of
// a thousand: each request is sent or held, and nothing panics.
func TestFleetOfAnySizeIsServed(t *testing.T) {
	for _, gateways := range []int{0, 1, 1000} {
		for _, n := range []int{0, 1, 2, 100, 1000} {
			settings := testSettings()
			settings.Gateways, settings.DrainGrace = gateways, 0
			h := newHarness(t, settings, n)
			for round := range 3 {
				list := testServers(n)
				for i := range list {
					list[i].ID += ServerID(round * 5000)
					list[i].Capacity = []float64{0.001, 1, 0}[(i+round)%3]
				}
				h.handle(EndpointList{Mode: ListComplete, Servers: list})
				for i := range 30 {
					h.request("safe", fmt.Sprint("g", i%4))
					sends := actionsOf[Send](h.lastActions)
					if len(sends) != min(n, 1) {
						t.Fatalf("%d gateways, %d servers: %d sends", gateways, n, len(sends))
					}
					for _, s := range sends {
						if int(s.Server)/5000 != round {
							t.Fatalf("sent to %d, which round %d does not list", s.Server, round)
						}
					}
				}
			}
		}
	}
}

// BenchmarkRequest is a connection's whole life at one of many gateways, over fleets of two sizes.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			settings := testSettings()
			settings.Gateways = 200
			g := newBalancer(b, settings)
			g.Handle(0, EndpointList{Mode: ListComplete, Servers: testServers(n)})
			id := RequestID(0)
			for b.Loop() {
				id++
				group := fmt.Sprint("g", id%50)
				acts := g.Handle(0, Request{ID: id, Class: "safe", Group: group, Key: group, Timeout: sec})
				send := acts[len(acts)-1].(Send)
				g.Handle(0, AttemptEstablished{ID: id, Server: send.Server, Elapsed: ms})
				g.Handle(0, AttemptEnded{ID: id, Server: send.Server, Result: OK, Answered: true})
			}
		})
	}
}
