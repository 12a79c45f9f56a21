package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestBadSettingsAreAnError(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"negative time":  func(s *Settings) { s.DrainGrace = -1 },
		"class twice":    func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"negative worth": func(s *Settings) { s.Classes[0].PriorityWeight = -1 },
		"BudgetFree":     func(s *Settings) { s.RetryBudgetMin = -1 },
		"BudgetShare":    func(s *Settings) { s.RetryBudgetRatio = math.NaN() },
		"BudgetSpan":     func(s *Settings) { s.RetryBudgetWindow = -sec },
		"TipMultiple":    func(s *Settings) { s.ColdOverloadFactor = math.Inf(1) },
	} {
		set := settings()
		spoil(&set)
		if b, err := New(set); err == nil || b != nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := New(Settings{}); err != nil {
		t.Errorf("no settings at all: %v", err)
	}
}

func TestLateAndUnknownEventsAreHarmless(t *testing.T) {
	w := newWorld(t, settings(), 3)
	id := w.request("safe", "g")
	s := w.sent()
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
		for _, a := range w.feed(ev) {
			switch a.(type) {
			case Log, SetTimer:
			default:
				t.Errorf("%+v answered with %+v", ev, a)
			}
		}
	}
	w.feed(ClientDisconnected{ID: id})
	w.end(s, 0, TimedOut)
	if len(w.last) > 0 {
		t.Errorf("after the client left: %+v", w.last)
	}
	if len(w.b.requests) > 0 {
		t.Errorf("%d requests remembered", len(w.b.requests))
	}
}

// Fleets and gateways of any number, also replaced by new ids at once, with hints that differ by a factor of
// a thousand: each request is sent or held, and nothing panics.
func TestAnySizeOfFleetIsServed(t *testing.T) {
	for _, gateways := range []int{0, 1, 1000} {
		for _, n := range []int{0, 1, 2, 100, 1000} {
			set := settings()
			set.Gateways, set.DrainGrace = gateways, 0
			w := newWorld(t, set, n)
			for round := range 3 {
				list := servers(n)
				for i := range list {
					list[i].ID += ServerID(round * 5000)
					list[i].Capacity = []float64{0.001, 1, 0}[(i+round)%3]
				}
				w.feed(EndpointList{Mode: ListComplete, Servers: list})
				for i := range 30 {
					w.request("safe", fmt.Sprint("g", i%4))
					sends := find[Send](w.last)
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
			set := settings()
			set.Gateways = 200
			g := mustNew(b, set)
			g.Handle(0, EndpointList{Mode: ListComplete, Servers: servers(n)})
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
