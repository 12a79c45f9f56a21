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

// probeFor bounds a probe: a report that comes later says nothing of now.
const probeFor = 500 * time.Millisecond

// errProbe is an answer to a probe that is no report.
var errProbe = errors.New("probe not answered")

// probe is one server's connection for probes. Its goroutine ends when asks is closed.
type probe struct {
	server balancer.ServerID
	addr   string
	asks   chan struct{}
}

// PollLoad implements engine.LoadPoller. One probe a server is out at a time, and one more may wait.
func (b *Backend) PollLoad(id balancer.ServerID, addr string) {
	p := b.probes[id]
	if p != nil && p.addr != addr {
		b.Forget(id)
		p = nil
	}
	if p == nil {
		p = &probe{server: id, addr: addr, asks: make(chan struct{}, 1)}
		b.probes[id] = p
		go p.run(b)
	}
	select {
	case p.asks <- struct{}{}:
	default: // one waits already, behind one that is out
	}
}

// Forget implements engine.LoadPoller.
func (b *Backend) Forget(id balancer.ServerID) {
	if p := b.probes[id]; p != nil {
		close(p.asks)
		delete(b.probes, id)
	}
}

// run asks whenever told to, on one connection that is opened anew after a fault.
func (p *probe) run(b *Backend) {
	var conn net.Conn
	var r *bufio.Reader
	for range p.asks {
		// Servers close what is idle. That shows only when the connection is used again, and is no word of the server:
		// it is asked once more then, on a new one.
		for kept := conn != nil; ; kept = false {
			if conn == nil {
				var err error
				if conn, err = net.DialTimeout("tcp", p.addr, probeFor); err != nil {
					conn = nil
					break
				}
				r = bufio.NewReaderSize(conn, codec.MaxLineLength)
			}
			report, err := ask(conn, r)
			if err == nil {
				b.events.TryPost(engine.LoadReported{Server: p.server, Report: report})
				break
			}
			conn.Close()
			conn = nil
			if !kept || errors.Is(err, errProbe) || errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
		}
	}
	if conn != nil {
		conn.Close()
	}
}

func ask(conn net.Conn, in *bufio.Reader) (r engine.LoadReport, err error) {
	conn.SetDeadline(time.Now().Add(probeFor))
	if _, err := conn.Write([]byte(codec.Stats)); err != nil {
		return r, err
	}
	line, err := in.ReadSlice('\n')
	if err != nil {
		return r, err
	}
	report, ok := codec.ParsePong(line)
	if !ok {
		return r, errProbe
	}
	codec.EachReportField(report, func(name string, v float64) {
		switch name {
		case "x0":
			r.Utilization, r.HasUtilization = v, true
		case "concurrent", "inflight":
			r.Connections = v
		case "x1":
			r.Backlog, r.HasBacklog = time.Duration(v*float64(time.Second)), true
		}
	})
	return r, nil
}
