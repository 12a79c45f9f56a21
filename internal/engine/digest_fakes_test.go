package engine_test

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

// client is the simulation's end of a connection, or of a request without one.
type client struct {
	handle     engine.ClientHandle
	simulation *simulation
	self       engine.Client // this one, as the engine is given it
	number     int
	hasRequest bool
	answerOnly bool // it has no connection of its own
	gone       bool // refused, failed, closed, or it has left
}

// movableClient is one that its front can take to another server.
type movableClient struct{ client }

func (c *client) Handle() *engine.ClientHandle { return &c.handle }

func (c *client) Reject(after time.Duration) {
	c.gone = true
	c.simulation.transcript.call("refuse", field{"client", c.number}, field{"after", after})
}

func (c *client) Fail() {
	c.gone = true
	c.simulation.transcript.call("fail", field{"client", c.number})
}

func (c *client) Close() {
	c.gone = true
	c.simulation.transcript.call("close", field{"client", c.number})
}

// Migrate draws how long the client may take, and whether it leaves within that.
func (c *client) Migrate() time.Duration {
	s := c.simulation
	within := pick(s, 0, 0, 300*time.Millisecond, 2*time.Second, 5*time.Second)
	s.transcript.call("move", field{"client", c.number}, field{"within", within})
	if !s.oneIn(3) {
		s.after(s.between(0, 1500*time.Millisecond), func() { s.leave(c) })
	}
	return within
}

func (m *movableClient) ServerDraining() {
	s := m.simulation
	s.transcript.call("server leaves", field{"client", m.number})
	if s.oneIn(2) {
		s.after(s.between(0, time.Second), func() { s.leave(&m.client) })
	}
}

func numberOf(c engine.Client) int {
	switch c := c.(type) {
	case *client:
		return c.number
	case *movableClient:
		return c.number
	}
	return -1
}

// attempt is what the simulation's backend returns for an attempt that was sent.
type attempt struct {
	simulation  *simulation
	sent        engine.Attempt
	sentAt      time.Duration
	established bool // it can't be abandoned any more; the event may still be on its way
	ended       bool // the same, by itself
	abandoned   bool
	reluctant   bool // it refuses to be abandoned once, and then reports nothing
	waitingFrom time.Duration
}

func (a *attempt) Cancel() bool {
	refused := a.established || a.ended || a.reluctant
	kind := "abandon"
	if refused {
		kind = "abandon failed"
	}
	a.simulation.transcript.call(kind, field{"request", int(a.sent.RequestID)}, field{"number", a.sent.Number})
	a.reluctant = false
	a.abandoned = !refused
	return !refused
}

func (a *attempt) UnansweredFor() time.Duration {
	a.simulation.transcript.call("waiting", field{"request", int(a.sent.RequestID)}, field{"number", a.sent.Number})
	if a.waitingFrom == 0 {
		return 0
	}
	return a.simulation.now - a.waitingFrom
}

// Send implements engine.Backend: it draws what becomes of the attempt.
func (s *simulation) Send(sent engine.Attempt) engine.ActiveAttempt {
	s.transcript.call("send", field{"request", int(sent.RequestID)}, field{"number", sent.Number},
		field{"server", int(sent.Server)}, field{"addr", sent.Addr}, field{"client", numberOf(sent.Client)},
		field{"wait", sent.Timeout}, field{"begin", sent.ConnectTimeout})
	a := &attempt{simulation: s, sent: sent, sentAt: s.now}
	s.attempts = append(s.attempts, a)
	delay := s.between(0, 400*time.Millisecond)
	switch n := s.random.IntN(100); {
	case n < 12: // nothing is heard of it
	case n < 16:
		a.reluctant = true
	case n < 30:
		s.after(delay, func() { s.end(a, pick(s, failures...)) })
	case n < 35:
		s.after(0, func() { s.end(a, pick(s, failures...)) })
	case s.isAnswerOnly(sent.Client):
		s.after(delay, func() { s.end(a, balancer.OK) })
	default:
		s.after(delay, func() { s.establish(a) })
	}
	return a
}

func (s *simulation) isAnswerOnly(c engine.Client) bool {
	i := slices.IndexFunc(s.clients, func(o *client) bool { return o.self == c })
	return i >= 0 && s.clients[i].answerOnly
}

// PollLoad implements engine.LoadPoller: most servers report after a while.
func (s *simulation) PollLoad(server balancer.ServerID, addr string) {
	s.transcript.call("probe", field{"server", int(server)}, field{"addr", addr})
	if !s.oneIn(6) {
		s.after(s.between(0, 120*time.Millisecond), func() { s.report(server) })
	}
}

// Forget implements engine.LoadPoller.
func (s *simulation) Forget(server balancer.ServerID) {
	s.transcript.call("forget", field{"server", int(server)})
}

// logRecorder counts log records by level, and writes the figures of the regular statistics into the transcript.
type logRecorder struct {
	transcript *transcript
	counts     map[slog.Level]int
}

// minStatistics is the number of integers in a record from which on it is taken for the regular statistics.
const minStatistics = 10

func (r *logRecorder) Enabled(context.Context, slog.Level) bool { return true }
func (r *logRecorder) WithAttrs([]slog.Attr) slog.Handler       { return r }
func (r *logRecorder) WithGroup(string) slog.Handler            { return r }

func (r *logRecorder) Handle(_ context.Context, record slog.Record) error {
	r.counts[record.Level]++
	var integers []field
	record.Attrs(func(a slog.Attr) bool {
		if a.Value.Kind() == slog.KindInt64 {
			integers = append(integers, field{"figure", a.Value.Int64()})
		}
		return true
	})
	if record.Level == slog.LevelInfo && len(integers) >= minStatistics {
		r.transcript.call("statistics", integers...)
	}
	return nil
}
