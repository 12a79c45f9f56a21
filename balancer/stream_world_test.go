package balancer_test

import (
	"fmt"
	"math"
	"time"

	"example.org/milletvane/balancer"
)

// step feeds one random event or changes the condition of a server.
func (s *stream) step() {
	if s.rnd.IntN(100) < s.faultPercent {
		s.changeCondition()
		return
	}
	switch roll := s.rnd.IntN(100); {
	case roll < 42:
		s.sendRequest(s.drawRequest())
	case roll < 46:
		s.sendRequest(s.drawMidFlow())
	case roll < 47:
		s.burst(5 + s.rnd.IntN(30))
	case roll < 60:
		s.feedMessageDelay()
	case roll < 68:
		s.feedLoadChange()
	case roll < 72:
		s.disconnect()
	case roll < 78:
		s.endRandomConnection()
	case roll < 84:
		s.feedLoadReport(s.randomServer().ID)
	case roll < 89:
		s.feedListChange()
	case roll < 90:
		s.feed("fleet shed level",
			balancer.FleetShedLevel{Level: []float64{0, 0, 0.3, 1, 1.4}[s.rnd.IntN(5)]})
	case roll < 92:
		s.reinstate(s.randomServer())
	case roll < 93:
		s.setupsHang = !s.setupsHang && s.oneIn(2)
	default:
		s.feedUnexpectedEvent()
	}
}

func (s *stream) randomServer() *fakeServer { return s.servers[s.rnd.IntN(len(s.servers))] }

// randomConnection returns a random connection that matches and is not leaving, or nil.
func (s *stream) randomConnection(matches func(*connection) bool) *connection {
	var matching []*connection
	for _, c := range s.connections {
		if !c.leaving && matches(c) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[s.rnd.IntN(len(matching))]
}

func isEstablished(c *connection) bool { return c.established }

func (s *stream) drawRequest() balancer.Request {
	s.nextRequestID++
	class := []string{
		"idempotent", "idempotent", "idempotent", "with key", "non-idempotent",
		"with key everywhere", "not in the settings",
	}[s.rnd.IntN(7)]
	r := balancer.Request{
		ID: s.nextRequestID, Class: class,
		Timeout: 50*time.Millisecond +
			s.randomDuration([]time.Duration{150 * time.Millisecond, 3 * time.Second}[s.rnd.IntN(2)]),
		Priority: s.rnd.IntN(3), Reconnecting: s.oneIn(5),
		Tenant: []string{"", "small", "large", "free"}[s.rnd.IntN(4)],
	}
	if !s.oneIn(8) {
		r.Key = fmt.Sprint("client ", s.rnd.IntN(400))
	}
	if s.groupCount > 0 && !s.oneIn(6) { // a few groups are much larger than the rest
		r.Group = fmt.Sprint("group ", s.rnd.IntN(s.rnd.IntN(s.groupCount)+1))
	}
	if s.oneIn(3) {
		r.Load = 200 + 3000*s.rnd.Float64()
	}
	return r
}

// drawMidFlow returns a request whose connection some server already holds.
func (s *stream) drawMidFlow() balancer.Request {
	r := s.drawRequest()
	r.MidFlow = true
	if s.oneIn(2) {
		r.OwnerKnown, r.Owner = true, s.randomServer().ID
	}
	return r
}

func (s *stream) sendRequest(r balancer.Request) {
	s.requests[r.ID] = r
	s.feed("request", r)
}

// burst sends n requests of one group at once, most of them reconnecting.
func (s *stream) burst(n int) {
	group := s.drawRequest().Group
	for range n {
		r := s.drawRequest()
		r.Group, r.Reconnecting = group, !s.oneIn(3)
		s.sendRequest(r)
	}
}

func (s *stream) feedMessageDelay() {
	c := s.randomConnection(isEstablished)
	if c == nil {
		return
	}
	server := s.serverByID[c.server]
	if server.condition == slow && !s.oneIn(6) {
		server.delay += s.randomDuration(400 * time.Millisecond)
	} else {
		server.delay = s.randomDuration(50 * time.Millisecond)
	}
	s.feed("message delay", balancer.MessageDelay{ID: c.request.ID, Server: c.server, Delay: server.delay})
}

func (s *stream) feedLoadChange() {
	if c := s.randomConnection(isEstablished); c != nil {
		s.feed("load changed", balancer.LoadChanged{ID: c.request.ID, Load: 100 + 5000*s.rnd.Float64()})
	}
}

func (s *stream) disconnect() {
	c := s.randomConnection(func(*connection) bool { return true })
	if c == nil {
		return
	}
	c.leaving = true
	s.feed("client disconnected", balancer.ClientDisconnected{ID: c.request.ID})
	s.schedule(s.randomDuration(50*time.Millisecond), func() { s.end(c, balancer.Cancelled, true) })
}

func (s *stream) endRandomConnection() {
	if c := s.randomConnection(isEstablished); c != nil {
		s.end(c,
			[]balancer.Result{
				balancer.OK, balancer.OK, balancer.Cancelled, balancer.Reset,
			}[s.rnd.IntN(4)], true)
	}
}

// feedLoadReport feeds a load report of a server. Some reports leave out the number of connections of all
// gateways.
func (s *stream) feedLoadReport(id balancer.ServerID) {
	server := s.serverByID[id]
	held := 0
	for _, c := range s.connections {
		if c.server == id {
			held++
		}
	}
	report := balancer.LoadReport{Server: id, Utilization: server.otherUtilization +
		float64(held)/server.connectionCapacity}
	if server.condition == slow {
		report.Utilization += 0.5
	}
	if !s.oneIn(4) {
		report.Connections = math.Floor(server.otherUtilization*server.connectionCapacity) +
			float64(held*max(s.settings.Gateways, 1))
	}
	server.otherUtilization = max(0, min(server.otherUtilization+0.3*(s.rnd.Float64()-0.5), 1.2))
	s.feed("load report", report)
}
