package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
	}{
		{"negative duration", func(s *Settings) { s.DrainGrace = -1 }},
		{"duplicate class", func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) }},
		{"negative priority weight", func(s *Settings) { s.Classes[0].PriorityWeight = -1 }},
		{"negative retry budget minimum", func(s *Settings) { s.RetryBudgetMin = -1 }},
		{"NaN retry budget ratio", func(s *Settings) { s.RetryBudgetRatio = math.NaN() }},
		{"negative retry budget window", func(s *Settings) { s.RetryBudgetWindow = -sec }},
		{"infinite cold overload factor", func(s *Settings) { s.ColdOverloadFactor = math.Inf(1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			c.change(&settings)
			if b, err := New(settings); err == nil || b != nil {
				t.Error("New accepted the settings, want an error and no Balancer")
			}
		})
	}
	t.Run("zero value is valid", func(t *testing.T) {
		if _, err := New(Settings{}); err != nil {
			t.Error(err)
		}
	})
}

func TestLateAndUnknownEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	id := h.request(idempotentClass, "g")
	s := h.onlySend()
	for _, c := range []struct {
		name  string
		event Event
	}{
		{"request whose ID is in use", Request{ID: id, Class: idempotentClass, Group: "g", Timeout: sec}},
		{"established attempt of an unknown request", AttemptEstablished{ID: 77, Server: 100}},
		{"established attempt out of range", AttemptEstablished{ID: id, Server: s.Server, Attempt: 5}},
		{"ended attempt of an unknown request", AttemptEnded{ID: 77, Server: 100, Result: OK}},
		{"ended attempt out of range", AttemptEnded{ID: id, Server: s.Server, Attempt: 4, Result: Reset}},
		{"disconnected client of an unknown request", ClientDisconnected{ID: 77}},
		{"unknown timer", TimerFired{Ref: 12345}},
		{"load of an unknown request", LoadChanged{ID: 77, Load: 1}},
		{"message delay at an unknown server", MessageDelay{ID: 77, Server: 4242, Delay: sec}},
		{"connection at an unknown server", AdoptedConnection{Request: Request{ID: 78}, Server: 4242}},
		{"empty list delta", EndpointList{Mode: ListDelta}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, a := range h.handle(c.event) {
				switch a.(type) {
				case Log, SetTimer:
				default:
					t.Errorf("got action %+v, want none but Log and SetTimer", a)
				}
			}
		})
	}
	h.handle(ClientDisconnected{ID: id})
	h.endAttempt(s, 0, TimedOut)
	if len(h.lastActions) > 0 {
		t.Errorf("attempt ended after its client disconnected: got actions %+v, want none", h.lastActions)
	}
	if len(h.balancer.requests) > 0 {
		t.Errorf("got %d requests in memory after the last one ended, want 0", len(h.balancer.requests))
	}
}

// Each request is sent to a server of the current list, or to none if the list is empty, for any number of
// servers and gateways. All servers are replaced at once, and capacities differ by a factor of 1000. Guards
// against panics and sends to replaced servers at the extremes.
func TestFleetOfAnySizeIsServed(t *testing.T) {
	for _, gateways := range []int{0, 1, 1000} {
		for _, n := range []int{0, 1, 2, 100, 1000} {
			t.Run(fmt.Sprintf("%d gateways, %d servers", gateways, n), func(t *testing.T) {
				settings := testSettings()
				settings.Gateways, settings.DrainGrace = gateways, 0
				h := newHarness(t, settings, n)
				for round := range 3 {
					h.replaceFleet(n, round)
				}
			})
		}
	}
}

// replaceFleet lists n servers whose IDs belong to a round, and checks that requests go to these servers
// only.
func (h *harness) replaceFleet(n, round int) {
	h.t.Helper()
	const idsInRound = 5000
	list := testServers(n)
	for i := range list {
		list[i].ID += ServerID(round * idsInRound)
		list[i].Capacity = []float64{0.001, 1, 0}[(i+round)%3]
	}
	h.listComplete(list...)
	for i := range 30 {
		h.request(idempotentClass, fmt.Sprint("g", i%4))
		sentTo := h.sentTo()
		if len(sentTo) != min(n, 1) {
			h.t.Fatalf("got %d sends, want one, or none if there are no servers", len(sentTo))
		}
		for _, server := range sentTo {
			if int(server)/idsInRound != round {
				h.t.Fatalf("sent to server %d, which is not in the list of round %d", server, round)
			}
		}
	}
}

// BenchmarkRequest measures the events of one connection, from its request to its end, at one of many
// gateways.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			settings := testSettings()
			settings.Gateways = 200
			balancer := newBalancer(b, settings)
			balancer.Handle(0, EndpointList{Mode: ListComplete, Servers: testServers(n)})
			id := RequestID(0)
			for b.Loop() {
				id++
				group := fmt.Sprint("g", id%50)
				actions := balancer.Handle(0, Request{
					ID: id, Class: idempotentClass, Group: group, Key: group, Timeout: sec,
				})
				send := actions[len(actions)-1].(Send)
				balancer.Handle(0, AttemptEstablished{ID: id, Server: send.Server, Elapsed: ms})
				balancer.Handle(0, AttemptEnded{ID: id, Server: send.Server, Result: OK, Answered: true})
			}
		})
	}
}
