package backend

import (
	"errors"
	"os"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/codec"
)

// pollTimeout limits the dial and, separately, the exchange of a load poll: a report that arrives later would be out of
// date.
const pollTimeout = 500 * time.Millisecond

// errNoReport means that the server answered a load poll with something other than a load report.
var errNoReport = errors.New("answer to STATS is not a load report")

// loadPoller polls one server. The engine's goroutine closes requests to end the poller's goroutine, run, and doesn't wait
// for its end, since a poll in flight may still run into pollTimeout.
type loadPoller struct {
	server   balancer.ServerID
	addr     string
	events   EventSink
	conns    *pollConns
	requests chan struct{}
}

// PollLoad implements engine.LoadPoller: it requests a poll of a server. At most one poll of a server is in flight and one
// more is queued; further requests are dropped. A server whose address has changed gets a new poller.
func (b *Backend) PollLoad(id balancer.ServerID, addr string) {
	p := b.pollers[id]
	if p != nil && p.addr != addr {
		b.StopPolling(id)
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
	default: // a poll is queued already
	}
}

// StopPolling implements engine.LoadPoller: it ends the polls of a server.
func (b *Backend) StopPolling(id balancer.ServerID) {
	if p := b.pollers[id]; p != nil {
		close(p.requests)
		delete(b.pollers, id)
	}
}

// run polls once for each request until requests is closed.
func (p *loadPoller) run() {
	defer p.conns.forget(p)
	for range p.requests {
		p.poll()
	}
}

// poll polls the server and posts its load report if there is one. A server may have closed an idle connection, which shows
// only at the next use and says nothing about the server's health. In this case the poll is retried once on a new
// connection.
func (p *loadPoller) poll() {
	report, isReused, err := p.attempt()
	if isReused && maybeClosedIdle(err) {
		report, _, err = p.attempt()
	}
	if err == nil {
		p.events.TryPost(engine.LoadReported{Server: p.server, Report: report})
	}
}

// maybeClosedIdle reports whether the server may have caused the error by closing an idle connection.
func maybeClosedIdle(err error) bool {
	return err != nil && !errors.Is(err, errNoReport) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// attempt polls once. It keeps the connection for the next poll if the poll succeeds, and otherwise closes it.
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
	report = parseLoadReport(text) // text is part of the connection's buffer, which the next poll overwrites
	p.conns.put(p, conn)
	return report, isReused, nil
}

// parseLoadReport returns the fields of a load report that the balancer uses.
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
