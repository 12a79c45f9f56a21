package engine_test

import (
	"fmt"
	"slices"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

func (s *simulation) newClient() *client {
	s.nextClient++
	if s.oneIn(3) {
		m := &movableClient{client{simulation: s, number: s.nextClient}}
		m.self = m
		s.clients = append(s.clients, &m.client)
		return &m.client
	}
	c := &client{simulation: s, number: s.nextClient}
	c.self = c
	s.clients = append(s.clients, c)
	return c
}

func (s *simulation) accept() *client {
	c := s.newClient()
	event := engine.ClientConnected{Client: c.self}
	if s.oneIn(2) {
		event.Done = func() { s.transcript.call("done", field{"client", c.number}) }
	}
	s.handle("accepted", event)
	return c
}

func (s *simulation) arrive(c *client) {
	if c.gone && !s.oneIn(4) { // a line may cross the close
		return
	}
	c.hasRequest = true
	s.handle("arrived", engine.RequestReceived{Client: c.self, Request: s.drawRequest()})
}

// arriveLate brings the request of a client that was accepted some time ago, or seldom a second one.
func (s *simulation) arriveLate() {
	s.withClient(func(c *client) {
		if !c.hasRequest || s.oneIn(6) {
			s.arrive(c)
		}
	})
}

func (s *simulation) askUnary() {
	c := s.newClient()
	c.hasRequest, c.answerOnly = true, true
	s.handle("asked", engine.UnaryRequestReceived{Client: c.self, Request: s.drawRequest()})
}

func (s *simulation) useClient() {
	s.withClient(func(c *client) { s.handle("alive", engine.ClientActive{Client: c.self}) })
}

func (s *simulation) leave(c *client) {
	c.gone = true
	s.handle("left", engine.ClientDisconnected{Client: c.self})
}

func (s *simulation) reject() {
	s.withClient(func(c *client) {
		c.gone = true
		s.handle("rejected", engine.ProtocolViolated{Client: c.self})
	})
}

// withClient draws one of the clients that are there, if there is one. One that has gone is drawn seldom.
func (s *simulation) withClient(use func(*client)) {
	if !s.oneIn(30) {
		s.clients = slices.DeleteFunc(s.clients, func(c *client) bool { return c.gone })
	}
	if len(s.clients) > 0 {
		use(s.clients[s.random.IntN(len(s.clients))])
	}
}

func (s *simulation) recentRequestID() string {
	return fmt.Sprint("request-", max(1, s.nextRequest-s.random.IntN(12)))
}

func (s *simulation) drawRequest() engine.Request {
	s.nextRequest++
	q := engine.Request{
		ID:     pick(s, "", fmt.Sprint("request-", s.nextRequest), s.recentRequestID()),
		Class:  pick(s, "interactive", "interactive", "bulk", "bulk", "strict"),
		Tenant: pick(s, "", "tenant-1", "tenant-2"),
		Key:    fmt.Sprint("key-", s.random.IntN(40)),
		Group:  pick(s, "", "", fmt.Sprint("group-", s.random.IntN(4))),
		Timeout: pick(s, 0, time.Millisecond, 30*time.Millisecond, 300*time.Millisecond, time.Second, 3*time.Second,
			10*time.Second),
		Load:         pick(s, 0.0, 0, 50, 200, 1000, 20000), // whole numbers: sums of them are exact in any order
		Reconnecting: s.oneIn(7),
		MidFlow:      s.oneIn(10),
	}
	switch s.random.IntN(30) {
	case 0, 1:
		q.Class = "unlisted class"
	case 2:
		q.Key = ""
	case 3, 4:
		q.Owner = s.serverName(1 + s.random.IntN(serversDrawn+1))
	}
	if flows := s.predecessor.flows; len(flows) > 0 && (q.MidFlow || s.oneIn(10)) {
		q.ID = flows[s.random.IntN(len(flows))].ID
		q.MidFlow = !s.oneIn(5)
	}
	return q
}

// establish has an attempt's connection stand. The event may come a little later than that.
func (s *simulation) establish(a *attempt) {
	if a.abandoned {
		return
	}
	a.established = true
	elapsed := s.now - a.sentAt
	s.after(s.drawCrossing(), func() {
		s.handle("up", engine.AttemptEstablished{RequestID: a.sent.RequestID, Number: a.sent.Number, Elapsed: elapsed})
		s.after(s.between(100*time.Millisecond, 12*time.Second), func() { s.endEstablished(a) })
		if s.oneIn(3) {
			s.after(s.between(0, 3*time.Second), func() { a.waitingFrom = s.now })
		}
	})
}

// drawCrossing is how long an event is on its way.
func (s *simulation) drawCrossing() time.Duration {
	return pick(s, 0, 0, 0, 0, 5*time.Millisecond, 80*time.Millisecond, time.Second, 2*time.Second)
}

// end ends an attempt that is out.
func (s *simulation) end(a *attempt, result balancer.Result) {
	if a.abandoned || a.ended {
		return
	}
	a.ended = true
	s.after(s.drawCrossing(), func() { s.handleEnded(a, result) })
}

func (s *simulation) endEstablished(a *attempt) {
	a.ended = true
	s.handleEnded(a, pick(s, balancer.OK, balancer.OK, balancer.Reset, balancer.Cancelled, balancer.Errored))
}

func (s *simulation) handleEnded(a *attempt, result balancer.Result) {
	s.handle("ended", engine.AttemptEnded{RequestID: a.sent.RequestID, Number: a.sent.Number, Result: result})
}

// withEstablished draws one of the latest attempts that are established, if there is one.
func (s *simulation) withEstablished(use func(*attempt)) {
	var established []*attempt
	for _, a := range s.attempts[max(0, len(s.attempts)-60):] {
		if a.established && !a.ended {
			established = append(established, a)
		}
	}
	if len(established) > 0 {
		use(established[s.random.IntN(len(established))])
	}
}

func (s *simulation) serverLeaving() {
	s.withEstablished(func(a *attempt) {
		s.handle("leaving", engine.ServerDraining{RequestID: a.sent.RequestID, Number: a.sent.Number})
	})
}

func (s *simulation) load() {
	s.withEstablished(func(a *attempt) {
		s.handle("load", engine.ConnectionLoad{RequestID: a.sent.RequestID, Load: float64(s.random.IntN(5000))})
	})
}

func (s *simulation) answered() {
	s.withEstablished(func(a *attempt) {
		a.waitingFrom = 0
		s.handle("answered", engine.MessageAnswered{RequestID: a.sent.RequestID, Delay: pick(s,
			s.between(0, 30*time.Millisecond), s.between(0, 30*time.Millisecond), s.between(0, 400*time.Millisecond))})
	})
}

// stale brings an event of an attempt that may be long over.
func (s *simulation) stale() {
	if len(s.attempts) == 0 {
		return
	}
	a := s.attempts[s.random.IntN(len(s.attempts))]
	number := a.sent.Number + s.random.IntN(2)
	switch s.random.IntN(4) {
	case 0:
		if a.established || a.abandoned {
			s.handle("up", engine.AttemptEstablished{RequestID: a.sent.RequestID, Number: number})
		}
	case 1:
		a.ended = true
		s.handle("ended", engine.AttemptEnded{RequestID: a.sent.RequestID, Number: number, Result: balancer.Reset})
	case 2:
		s.handle("load", engine.ConnectionLoad{RequestID: a.sent.RequestID, Load: 7})
	case 3:
		s.handle("answered", engine.MessageAnswered{RequestID: a.sent.RequestID, Delay: time.Second})
	}
}
