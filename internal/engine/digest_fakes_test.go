package engine_test

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

// client is the simulated frontend's side of a client connection, or of a unary request.
type client struct {
	handle     engine.ClientHandle
	simulation *simulation
	self       engine.Client // this client as the engine knows it: a *client or a *migratableClient
	number     int
	hasRequest bool
	isUnary    bool // the request is unary
	hasEnded   bool // the client was rejected, failed or closed, or has disconnected
}

// migratableClient is a client that its frontend can move to another server.
type migratableClient struct{ client }

func (c *client) Handle() *engine.ClientHandle { return &c.handle }

func (c *client) Reject(after time.Duration) {
	c.hasEnded = true
	c.simulation.transcript.call("refuse", field{"client", c.number}, field{"after", after})
}

func (c *client) Fail() {
	c.hasEnded = true
	c.simulation.transcript.call("fail", field{"client", c.number})
}

func (c *client) Close() {
	c.hasEnded = true
	c.simulation.transcript.call("close", field{"client", c.number})
}

// Migrate draws the time that the client has to leave, and whether and when it leaves.
func (c *client) Migrate() time.Duration {
	s := c.simulation
	within := pick(s, 0, 0, 300*time.Millisecond, 2*time.Second, 5*time.Second)
	s.transcript.call("move", field{"client", c.number}, field{"within", within})
	if !s.oneIn(3) {
		s.schedule(s.durationBetween(0, 1500*time.Millisecond), func() { s.disconnect(c) })
	}
	return within
}

func (m *migratableClient) ServerDraining() {
	s := m.simulation
	s.transcript.call("server leaves", field{"client", m.number})
	if s.oneIn(2) {
		s.schedule(s.durationBetween(0, time.Second), func() { s.disconnect(&m.client) })
	}
}

func clientNumber(c engine.Client) int {
	switch c := c.(type) {
	case *client:
		return c.number
	case *migratableClient:
		return c.number
	}
	return -1
}

// attempt is an attempt that was sent to the simulated backend.
type attempt struct {
	simulation      *simulation
	sent            engine.Attempt
	sentAt          time.Duration
	established     bool          // the attempt can't be cancelled any more; its event may be sent later
	ended           bool          // the attempt ended by itself and can't be cancelled; its event may be sent later
	cancelled       bool          // the engine has cancelled the attempt
	failsNextCancel bool          // the next call of Cancel fails, although no event follows
	unansweredSince time.Duration // when the oldest unanswered message was sent; zero if there is none
}

func (a *attempt) Cancel() bool {
	refused := a.established || a.ended || a.failsNextCancel
	kind := "abandon"
	if refused {
		kind = "abandon failed"
	}
	a.simulation.transcript.call(kind, field{"request", int(a.sent.RequestID)}, field{"number", a.sent.Number})
	a.failsNextCancel = false
	a.cancelled = !refused
	return !refused
}

func (a *attempt) UnansweredFor() time.Duration {
	a.simulation.transcript.call("waiting", field{"request", int(a.sent.RequestID)}, field{"number", a.sent.Number})
	if a.unansweredSince == 0 {
		return 0
	}
	return a.simulation.now - a.unansweredSince
}

// Send implements engine.Backend. It draws the result of the attempt.
func (s *simulation) Send(sent engine.Attempt) engine.ActiveAttempt {
	s.transcript.call("send", field{"request", int(sent.RequestID)}, field{"number", sent.Number},
		field{"server", int(sent.Server)}, field{"addr", sent.Addr}, field{"client", clientNumber(sent.Client)},
		field{"wait", sent.Timeout}, field{"begin", sent.ConnectTimeout})
	a := &attempt{simulation: s, sent: sent, sentAt: s.now}
	s.attempts = append(s.attempts, a)
	delay := s.durationBetween(0, 400*time.Millisecond)
	switch n := s.random.IntN(100); {
	case n < 12: // the server never answers
	case n < 16:
		a.failsNextCancel = true
	case n < 30:
		s.schedule(delay, func() { s.endAttempt(a, pick(s, failures...)) })
	case n < 35:
		s.schedule(0, func() { s.endAttempt(a, pick(s, failures...)) })
	case s.isUnary(sent.Client):
		s.schedule(delay, func() { s.endAttempt(a, balancer.OK) })
	default:
		s.schedule(delay, func() { s.establish(a) })
	}
	return a
}

func (s *simulation) isUnary(c engine.Client) bool {
	i := slices.IndexFunc(s.clients, func(o *client) bool { return o.self == c })
	return i >= 0 && s.clients[i].isUnary
}

// PollLoad implements engine.LoadPoller. Most polls are answered after a short time.
func (s *simulation) PollLoad(server balancer.ServerID, addr string) {
	s.transcript.call("probe", field{"server", int(server)}, field{"addr", addr})
	if !s.oneIn(6) {
		s.schedule(s.durationBetween(0, 120*time.Millisecond), func() { s.reportLoad(server) })
	}
}

// StopPolling implements engine.LoadPoller.
func (s *simulation) StopPolling(server balancer.ServerID) {
	s.transcript.call("forget", field{"server", int(server)})
}

// logRecorder counts log records by level, and adds the integers of the periodic statistics to the transcript.
type logRecorder struct {
	transcript *transcript
	counts     map[slog.Level]int
}

// minStatistics is the minimum number of integers in an info record that identifies it as the periodic statistics.
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
