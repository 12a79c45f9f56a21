package balancer_test

import (
	"fmt"
	"math"
	"time"

	"example.org/milletvane/balancer"
)

func (s *stream) step() {
	if s.rnd.IntN(100) < s.faults {
		s.fault()
		return
	}
	switch dice := s.rnd.IntN(100); {
	case dice < 42:
		s.sendRequest(s.drawRequest())
	case dice < 46:
		s.sendRequest(s.drawMidFlow())
	case dice < 47:
		s.burst(5 + s.rnd.IntN(30))
	case dice < 60:
		s.delayMessage()
	case dice < 68:
		s.changeLoad()
	case dice < 72:
		s.disconnect()
	case dice < 78:
		s.endOne()
	case dice < 84:
		s.reportLoad(s.anyHost().ID)
	case dice < 89:
		s.changeList()
	case dice < 90:
		s.feed("fleet load shedding",
			balancer.FleetShedLevel{Level: []float64{0, 0, 0.3, 1, 1.4}[s.rnd.IntN(5)]})
	case dice < 92:
		s.reinstate(s.anyHost())
	case dice < 93:
		s.jammed = !s.jammed && s.oneIn(2)
	default:
		s.oddEvent()
	}
}

func (s *stream) anyHost() *host { return s.hosts[s.rnd.IntN(len(s.hosts))] }

// anyLive is a live connection that satisfies a condition, or nil.
func (s *stream) anyLive(is func(*connection) bool) *connection {
	var all []*connection
	for _, c := range s.live {
		if !c.left && is(c) {
			all = append(all, c)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[s.rnd.IntN(len(all))]
}

func isEstablished(c *connection) bool { return c.established }

func (s *stream) drawRequest() balancer.Request {
	s.nextRequest++
	class := []string{
		"idempotent", "idempotent", "idempotent", "with key", "non-idempotent",
		"with key everywhere", "not in the settings",
	}[s.rnd.IntN(7)]
	r := balancer.Request{
		ID: s.nextRequest, Class: class,
		Timeout: 50*time.Millisecond +
			s.upTo([]time.Duration{150 * time.Millisecond, 3 * time.Second}[s.rnd.IntN(2)]),
		Priority: s.rnd.IntN(3), Reconnecting: s.oneIn(5),
		Tenant: []string{"", "small", "large", "free"}[s.rnd.IntN(4)],
	}
	if !s.oneIn(8) {
		r.Key = fmt.Sprint("client ", s.rnd.IntN(400))
	}
	if s.groups > 0 && !s.oneIn(6) { // a few are much larger than the rest
		r.Group = fmt.Sprint("group ", s.rnd.IntN(s.rnd.IntN(s.groups)+1))
	}
	if s.oneIn(3) {
		r.Load = 200 + 3000*s.rnd.Float64()
	}
	return r
}

// drawMidFlow is a request of which some server holds the connection already.
func (s *stream) drawMidFlow() balancer.Request {
	r := s.drawRequest()
	r.MidFlow = true
	if s.oneIn(2) {
		r.OwnerKnown, r.Owner = true, s.anyHost().ID
	}
	return r
}

func (s *stream) sendRequest(r balancer.Request) {
	s.requests[r.ID] = r
	s.feed("request", r)
}

func (s *stream) burst(n int) {
	group := s.drawRequest().Group
	for range n {
		r := s.drawRequest()
		r.Group, r.Reconnecting = group, !s.oneIn(3)
		s.sendRequest(r)
	}
}

func (s *stream) delayMessage() {
	c := s.anyLive(isEstablished)
	if c == nil {
		return
	}
	h := s.hostByID[c.server]
	if h.condition == slow && !s.oneIn(6) {
		h.delay += s.upTo(400 * time.Millisecond)
	} else {
		h.delay = s.upTo(50 * time.Millisecond)
	}
	s.feed("message delay", balancer.MessageDelay{ID: c.request.ID, Server: c.server, Delay: h.delay})
}

func (s *stream) changeLoad() {
	if c := s.anyLive(isEstablished); c != nil {
		s.feed("load changed", balancer.LoadChanged{ID: c.request.ID, Load: 100 + 5000*s.rnd.Float64()})
	}
}

func (s *stream) disconnect() {
	c := s.anyLive(func(*connection) bool { return true })
	if c == nil {
		return
	}
	c.left = true
	s.feed("client disconnected", balancer.ClientDisconnected{ID: c.request.ID})
	s.later(s.upTo(50*time.Millisecond), func() { s.end(c, balancer.Cancelled, true) })
}

func (s *stream) endOne() {
	if c := s.anyLive(isEstablished); c != nil {
		s.end(c,
			[]balancer.Result{
				balancer.OK, balancer.OK, balancer.Cancelled, balancer.Reset,
			}[s.rnd.IntN(4)], true)
	}
}

// reportLoad feeds what a server says of its load, with all gateways' connections unless it does not say.
func (s *stream) reportLoad(id balancer.ServerID) {
	h := s.hostByID[id]
	held := 0
	for _, c := range s.live {
		if c.server == id {
			held++
		}
	}
	report := balancer.LoadReport{Server: id, Utilization: h.others + float64(held)/h.capacity}
	if h.condition == slow {
		report.Utilization += 0.5
	}
	if !s.oneIn(4) {
		report.Connections = math.Floor(h.others*h.capacity) + float64(held*max(s.settings.Gateways, 1))
	}
	h.others = max(0, min(h.others+0.3*(s.rnd.Float64()-0.5), 1.2))
	s.feed("load report", report)
}
