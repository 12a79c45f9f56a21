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
		m := &migratableClient{client{simulation: s, number: s.nextClient}}
		m.self = m
		s.clients = append(s.clients, &m.client)
		return &m.client
	}
	c := &client{simulation: s, number: s.nextClient}
	c.self = c
	s.clients = append(s.clients, c)
	return c
}

func (s *simulation) connectClient() *client {
	c := s.newClient()
	event := engine.ClientConnected{Client: c.self}
	if s.oneIn(2) {
		event.Done = func() { s.transcript.call("done", field{"client", c.number}) }
	}
	s.handle("accepted", event)
	return c
}

func (s *simulation) sendRequest(c *client) {
	if c.hasEnded && !s.oneIn(4) { // a request may arrive just after the connection was closed
		return
	}
	c.hasRequest = true
	s.handle("arrived", engine.RequestReceived{Client: c.self, Request: s.drawRequest()})
}

// sendLateRequest sends the request of a client that connected some time ago, or rarely its second request.
func (s *simulation) sendLateRequest() {
	s.withClient(func(c *client) {
		if !c.hasRequest || s.oneIn(6) {
			s.sendRequest(c)
		}
	})
}

func (s *simulation) sendUnaryRequest() {
	c := s.newClient()
	c.hasRequest, c.isUnary = true, true
	s.handle("asked", engine.UnaryRequestReceived{Client: c.self, Request: s.drawRequest()})
}

func (s *simulation) reportClientActive() {
	s.withClient(func(c *client) { s.handle("alive", engine.ClientActive{Client: c.self}) })
}

func (s *simulation) disconnect(c *client) {
	c.hasEnded = true
	s.handle("left", engine.ClientDisconnected{Client: c.self})
}

func (s *simulation) violateProtocol() {
	s.withClient(func(c *client) {
		c.hasEnded = true
		s.handle("rejected", engine.ProtocolViolated{Client: c.self})
	})
}

// withClient draws a client and passes it to use, if there is one. It rarely draws a client whose connection has ended.
func (s *simulation) withClient(use func(*client)) {
	if !s.oneIn(30) {
		s.clients = slices.DeleteFunc(s.clients, func(c *client) bool { return c.hasEnded })
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
		Load:         pick(s, 0.0, 0, 50, 200, 1000, 20000), // integers, so that their sums are exact in any order
		Reconnecting: s.oneIn(7),
		MidFlow:      s.oneIn(10),
	}
	switch s.random.IntN(30) {
	case 0, 1:
		q.Class = "unlisted class"
	case 2:
		q.Key = ""
	case 3, 4:
		q.Owner = s.serverName(1 + s.random.IntN(serverCount+1))
	}
	if flows := s.predecessor.flows; len(flows) > 0 && (q.MidFlow || s.oneIn(10)) {
		q.ID = flows[s.random.IntN(len(flows))].ID
		q.MidFlow = !s.oneIn(5)
	}
	return q
}

// establish establishes the connection of an attempt. The event may be sent to the engine after a delay.
func (s *simulation) establish(a *attempt) {
	if a.cancelled {
		return
	}
	a.established = true
	elapsed := s.now - a.sentAt
	s.schedule(s.drawEventDelay(), func() {
		s.handle("up", engine.AttemptEstablished{RequestID: a.sent.RequestID, Number: a.sent.Number, Elapsed: elapsed})
		s.schedule(s.durationBetween(100*time.Millisecond, 12*time.Second), func() { s.endEstablished(a) })
		if s.oneIn(3) {
			s.schedule(s.durationBetween(0, 3*time.Second), func() { a.unansweredSince = s.now })
		}
	})
}

// drawEventDelay draws the delay between a change and its event.
func (s *simulation) drawEventDelay() time.Duration {
	return pick(s, 0, 0, 0, 0, 5*time.Millisecond, 80*time.Millisecond, time.Second, 2*time.Second)
}

// endAttempt ends an attempt that is pending or established. The event may be sent to the engine after a delay.
func (s *simulation) endAttempt(a *attempt, result balancer.Result) {
	if a.cancelled || a.ended {
		return
	}
	a.ended = true
	s.schedule(s.drawEventDelay(), func() { s.handleEnded(a, result) })
}

func (s *simulation) endEstablished(a *attempt) {
	a.ended = true
	s.handleEnded(a, pick(s, balancer.OK, balancer.OK, balancer.Reset, balancer.Cancelled, balancer.Errored))
}

func (s *simulation) handleEnded(a *attempt, result balancer.Result) {
	s.handle("ended", engine.AttemptEnded{RequestID: a.sent.RequestID, Number: a.sent.Number, Result: result})
}

// withEstablished draws one of the latest established attempts and passes it to use, if there is one.
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

func (s *simulation) announceDrain() {
	s.withEstablished(func(a *attempt) {
		s.handle("leaving", engine.ServerDraining{RequestID: a.sent.RequestID, Number: a.sent.Number})
	})
}

func (s *simulation) reportConnectionLoad() {
	s.withEstablished(func(a *attempt) {
		s.handle("load", engine.ConnectionLoadChanged{RequestID: a.sent.RequestID, Load: float64(s.random.IntN(5000))})
	})
}

func (s *simulation) answerMessage() {
	s.withEstablished(func(a *attempt) {
		a.unansweredSince = 0
		s.handle("answered", engine.MessageAnswered{RequestID: a.sent.RequestID, Delay: pick(s,
			s.durationBetween(0, 30*time.Millisecond), s.durationBetween(0, 30*time.Millisecond),
			s.durationBetween(0, 400*time.Millisecond))})
	})
}

// sendStaleEvent sends an event of an attempt that may have ended long ago.
func (s *simulation) sendStaleEvent() {
	if len(s.attempts) == 0 {
		return
	}
	a := s.attempts[s.random.IntN(len(s.attempts))]
	number := a.sent.Number + s.random.IntN(2)
	switch s.random.IntN(4) {
	case 0:
		if a.established || a.cancelled {
			s.handle("up", engine.AttemptEstablished{RequestID: a.sent.RequestID, Number: number})
		}
	case 1:
		a.ended = true
		s.handle("ended", engine.AttemptEnded{RequestID: a.sent.RequestID, Number: number, Result: balancer.Reset})
	case 2:
		s.handle("load", engine.ConnectionLoadChanged{RequestID: a.sent.RequestID, Load: 7})
	case 3:
		s.handle("answered", engine.MessageAnswered{RequestID: a.sent.RequestID, Delay: time.Second})
	}
}
