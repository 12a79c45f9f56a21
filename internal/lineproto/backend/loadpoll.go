package backend

import (
	"bufio"
	"errors"
	"net"
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
	requests chan struct{}

	// The goroutine alone uses these.
	conn   net.Conn // nil: not connected
	reader *bufio.Reader
}

// PollLoad implements engine.LoadPoller. At most one poll of a server is in flight, and one more queued.
func (b *Backend) PollLoad(id balancer.ServerID, addr string) {
	p := b.pollers[id]
	if p != nil && p.addr != addr {
		b.Forget(id)
		p = nil
	}
	if p == nil {
		p = &loadPoller{server: id, addr: addr, events: b.events, requests: make(chan struct{}, 1)}
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
	defer p.disconnect()
	for range p.requests {
		p.poll()
	}
}

// poll posts the server's load report if there is one. Servers close idle connections, which shows only at the next use and
// says nothing of the server's health: the poll is then retried once, on a new connection.
func (p *loadPoller) poll() {
	reused := p.conn != nil
	report, err := p.attempt()
	if reused && maybeClosedIdle(err) {
		report, err = p.attempt()
	}
	if err == nil {
		p.events.TryPost(engine.LoadReported{Server: p.server, Report: report})
	}
}

// maybeClosedIdle reports whether an error may come of the server having closed an idle connection.
func maybeClosedIdle(err error) bool {
	return err != nil && !errors.Is(err, errNoReport) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// attempt polls once, and connects before if need be. It disconnects after an error.
func (p *loadPoller) attempt() (engine.LoadReport, error) {
	if err := p.connect(); err != nil {
		return engine.LoadReport{}, err
	}
	report, err := p.exchange()
	if err != nil {
		p.disconnect()
	}
	return report, err
}

func (p *loadPoller) connect() error {
	if p.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", p.addr, pollTimeout)
	if err != nil {
		return err
	}
	p.conn, p.reader = conn, bufio.NewReaderSize(conn, codec.MaxLineLength)
	return nil
}

func (p *loadPoller) disconnect() {
	if p.conn != nil {
		_ = p.conn.Close() // nothing sent on it is of use any more
		p.conn = nil
	}
}

// exchange sends STATS and reads the answer.
func (p *loadPoller) exchange() (engine.LoadReport, error) {
	_ = p.conn.SetDeadline(time.Now().Add(pollTimeout)) // on a closed connection; the write then fails too
	if _, err := p.conn.Write([]byte(codec.Stats)); err != nil {
		return engine.LoadReport{}, err
	}
	line, err := p.reader.ReadSlice('\n')
	if err != nil {
		return engine.LoadReport{}, err
	}
	report, ok := codec.ParsePong(line)
	if !ok {
		return engine.LoadReport{}, errNoReport
	}
	return parseLoadReport(report), nil
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
