package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// LoadReport is what a server says of its load.
type LoadReport struct {
	Utilization    float64 // asked of it over what it can do
	HasUtilization bool
	Connections    float64       // connections there, of all gateways; 0: not told
	Backlog        time.Duration // work that waits
	HasBacklog     bool
}

// LoadPoller asks servers for their load. A report comes back as Probed, or not at all.
type LoadPoller interface {
	PollLoad(balancer.ServerID, string)
	Forget(balancer.ServerID) // nothing more is asked of it
}

// LoadReported brings a server's report.
type LoadReported struct {
	Server balancer.ServerID
	Report LoadReport
}

func (LoadReported) event() {}

const (
	probeEvery = time.Second
	easyLoad   = 0.6                     // a server under this is asked less often, as its messages are far from slow,
	probeEasy  = 2 * probeEvery          // and before its last report is too old to tell of now
	reportFor  = 2500 * time.Millisecond // a report tells of now for so long
	// An unloaded server takes about this part of the shortest wanted time for a message.
	messagePart = 12
	// Of a server that does all it can, more is not told apart.
	fullLoad = 0.93
	// Work that seems to have piled up counts up to this. Reports are off by a sixth either way; without a bound
	// what is too much in them adds up, and keeps a server out for seconds after it has room again.
	piledMost = 100 * time.Millisecond
)

// meter holds what is known of how long messages take at a server now.
//
// The protocol has no line for it, so lines are timed from the client's to the one in return. That alone
// misses overload: a server returns lines at once, beside the work that has piled up, as long as it is not
// hung. Where load reports can be asked for, the time that a message takes is estimated from them too.
type meter struct {
	line     time.Duration // of the last line that was returned
	lineAt   time.Duration
	lineOf   slotmap.Handle
	waiting  time.Duration // of the oldest line that was not, at the last look
	waiterOf slotmap.Handle

	load     float64 // as last reported
	piled    time.Duration
	reportAt time.Duration // 0: never
	askedAt  time.Duration

	slow   bool // as last told
	toldAt time.Duration
}

// report takes in a load report. What is asked for beyond a server's power piles up; what is left of it
// works that off. Reports are noisy, but a mean of the last few comes too late for the rules to keep a
// server out of its jam: it was tried and lost more than false word costs.
func (m *meter) report(now time.Duration, r LoadReport) {
	switch {
	case r.HasBacklog:
		m.piled = r.Backlog
	case r.HasUtilization && m.reportAt > 0 && now-m.reportAt <= reportFor:
		m.piled += time.Duration((r.Utilization - 1) * float64(now-m.reportAt))
		m.piled = min(max(m.piled, 0), piledMost)
	default:
		m.piled = 0
	}
	m.load, m.reportAt = r.Utilization, now
}

// delay is how long a message takes now. aim is the shortest wanted time.
func (m *meter) delay(now, aim time.Duration) time.Duration {
	d := m.waiting
	if now-m.lineAt <= sampleFor {
		d = max(d, m.line)
	}
	if m.reportAt > 0 && now-m.reportAt <= reportFor {
		// Messages wait for each other the longer the less power is left.
		alone := float64(aim) / messagePart
		d = max(d, time.Duration(alone/(1-min(m.load, fullLoad)))+m.piled)
	}
	return d
}

// tellDelay tells the rules of slow messages at a server: once a second while they are over a third of the
// shortest wanted time, and once more when they are back under.
func (e *Engine) tellDelay(id balancer.ServerID, s *server, holder slotmap.Handle) {
	m := &s.meter
	if e.now-m.toldAt < delayTold {
		return
	}
	d := m.delay(e.now, e.opts.MessageLatencyObjective)
	slow := d > e.opts.MessageLatencyObjective/3
	if !slow && !m.slow {
		return
	}
	of := m.lineOf
	if m.waiting > m.line {
		of = m.waiterOf
	}
	if of == 0 {
		of = holder
	}
	m.slow, m.toldAt = slow, e.now
	e.tell(balancer.MessageDelay{ID: balancer.RequestID(of), Server: id, Delay: d})
}

// probe asks a server for its load while this gateway has connections there.
func (e *Engine) probe(id balancer.ServerID, s *server) {
	every := probeEvery
	if m := &s.meter; m.reportAt > 0 && m.load < easyLoad {
		every = probeEasy
	}
	if e.opts.CanPollLoad && e.now-s.meter.askedAt >= every {
		s.meter.askedAt = e.now
		if e.opts.Trace {
			e.trace("probe", "server", s.name)
		}
		e.prober.PollLoad(id, s.addr)
	}
}
