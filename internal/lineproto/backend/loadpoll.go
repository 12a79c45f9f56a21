package backend

import (
	"errors"
	"os"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/codec"
)

// pollTimeout bounds the dial and, separately, the exchange of a load poll: a later report would be out of date.
const pollTimeout = 500 * time.Millisecond

// errNoReport is an answer to a load poll that is not a load report.
var errNoReport = errors.New("answer to STATS is not a load report")

// loadPoller polls one server. Its goroutine, run, ends when requests is closed; the engine's goroutine, which closes it,
// doesn't wait for that, since a poll may still take pollTimeout.
type loadPoller struct {
	server   balancer.ServerID
	addr     string
	events   Poster
	conns    *pollConns
	requests chan struct{}
}

// PollLoad implements engine.LoadPoller. At most one poll of a server is in flight, and one more queued.
func (b *Backend) PollLoad(id balancer.ServerID, addr string) {
	p := b.pollers[id]
	if p != nil && p.addr != addr {
		b.Forget(id)
		p = nil
	}
	if p == nil {
		p = &loadPoller{
			server: id, addr: addr, events: b.events, conns: b.pollConns, requests: make(chan struct{}, 1),
		}
		b.pollers[id] = p
		go p.run()
	}
	select {
	case p.requests <- struct{}{}:
	default: // one is queued already
	}
}

// Forget implements engine.LoadPoller: it ends the polls of a server.
func (b *Backend) Forget(id balancer.ServerID) {
	if p := b.pollers[id]; p != nil {
		close(p.requests)
		delete(b.pollers, id)
	}
}

// run polls for each request until there will be no more.
func (p *loadPoller) run() {
	defer p.conns.forget(p)
	for range p.requests {
		p.poll()
	}
}

// poll posts the server's load report if there is one. Servers close idle connections, which shows only at the next use and
// says nothing of the server's health: the poll is then retried once, on a new connection.
func (p *loadPoller) poll() {
	report, isReused, err := p.attempt()
	if isReused && maybeClosedIdle(err) {
		report, _, err = p.attempt()
	}
	if err == nil {
		p.events.TryPost(engine.LoadReported{Server: p.server, Report: report})
	}
}

// maybeClosedIdle reports whether an error may come of the server having closed an idle connection.
func maybeClosedIdle(err error) bool {
	return err != nil && !errors.Is(err, errNoReport) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// attempt polls once. The connection is kept unless that fails.
func (p *loadPoller) attempt() (report engine.LoadReport, isReused bool, err error) {
	conn, isReused, err := p.conns.get(p)
	if err != nil {
		return engine.LoadReport{}, isReused, err
	}
	text, err := conn.exchange()
	if err != nil {
		p.conns.closeConn(conn)
		return engine.LoadReport{}, isReused, err
	}
	report = parseLoadReport(text) // before another poll may read into the connection's buffer
	p.conns.put(p, conn)
	return report, isReused, nil
}

// parseLoadReport takes what the balancer uses of a load report.
func parseLoadReport(text []byte) (report engine.LoadReport) {
	codec.EachReportField(text, func(name string, value float64) {
		switch name {
		case "x0":
			report.Utilization, report.HasUtilization = value, true
		case "concurrent", "inflight":
			report.Connections = value
		case "x1":
			report.Backlog, report.HasBacklog = time.Duration(value*float64(time.Second)), true
		}
	})
	return report
}
