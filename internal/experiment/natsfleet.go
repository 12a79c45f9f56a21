package experiment

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"

	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
	"example.org/milletvane/internal/nats/codec"
)

// natsSettings are the platform's settings of experiments with NATS, and natsOperator is their operator file.
const natsSettings = `{"caps":{"max_attempts":5,"connect_timeout_ns":1000000000,"retry_after":true,"max_retry_after_ns":500000000},
 "rules":{"stop_sending_within_ns":500000000},"discovery":"ask","family_info":{"mode":"proxy"},
 "classes":[{"name":"session","effect":"idempotent","group":"all","give_up_ns":3000000000,"slo_ns":1000000000},
  {"name":"safe","effect":"idempotent","group":"all","give_up_ns":3000000000,"slo_ns":500000000},
  {"name":"unsafe","effect":"at_most_once","group":"all","give_up_ns":3000000000,"slo_ns":500000000}]}`

const natsOperator = `(nats (listen %q) (cluster true) (ping-every "500ms")
  (session (class "session"))
  (request (subject "svc.safe.>") (class "safe") (deadline "3s") (key (token 2)))
  (request (subject "svc.unsafe.>") (class "unsafe") (deadline "3s") (key (token 2))))`

// natsGate is a gateway that speaks NATS, in this process.
type natsGate struct {
	addr string
	stop context.CancelFunc
	done chan error
}

// startNATSGate starts a gateway in front of a catalog and waits until it serves. Operators call at admin; empty: nowhere.
func startNATSGate(ctx context.Context, catalog string, admin string, cores int, logger *slog.Logger) (*natsGate, error) {
	lines, releaseLines, err := fakeserver.ReserveAddress()
	if err != nil {
		return nil, err
	}
	defer releaseLines()
	listen, releaseListen, err := fakeserver.ReserveAddress()
	if err != nil {
		return nil, err
	}
	defer releaseListen()
	conf, err := config.Parse([]byte(fmt.Sprintf(`{"name":"lab","listen":%q,"discovery":%q,"admin_addr":%q,
	 "limits":{"cores":%d,"memory_mb":2048,"sockets":16384},"settings":%s}`, lines, catalog, admin, cores, natsSettings)),
		func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	op, err := operator.Parse("lab", []byte(fmt.Sprintf(natsOperator, listen)), nil)
	if err != nil {
		return nil, err
	}
	g, err := gateway.New(*conf, gateway.WithLogger(logger), gateway.WithOperator(op))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	n := &natsGate{addr: listen, stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- g.Run(ctx) }()
	if err := awaitReady(ctx, lines); err != nil {
		cancel()
		return nil, err
	}
	return n, nil
}

func (g *natsGate) close() error {
	g.stop()
	return <-g.done
}

// nodes are stand-in NATS nodes with their catalog.
type nodes struct {
	cluster *fakeserver.NATSCluster
	list    []*fakeserver.NATSNode
	catalog *fakeserver.Catalog
}

func startNodes(n int) (*nodes, error) {
	f := &nodes{cluster: fakeserver.NewNATSCluster(fakeserver.NewDeliveryLog(), false)}
	var entries []fakeserver.Endpoint
	for i := range n {
		node, err := f.cluster.StartNode(fmt.Sprint("node", i+1))
		if err != nil {
			return nil, err
		}
		f.list = append(f.list, node)
		entries = append(entries, f.entry(i, fakeserver.StateInService))
	}
	var err error
	f.catalog, err = fakeserver.NewCatalog(entries...)
	return f, err
}

func (f *nodes) entry(i int, state string) fakeserver.Endpoint {
	return fakeserver.Endpoint{ID: fmt.Sprintf("s-%08x", i+1), Addr: f.list[i].Addr(), Zone: "lab", State: state, Weight: 1}
}

func (f *nodes) drain(i int) {
	f.list[i].Drain(true)
	f.catalog.SetEndpoint(f.entry(i, fakeserver.StateTerminating))
}

func (f *nodes) close() {
	f.catalog.Close()
	for _, n := range f.list {
		n.Close()
	}
}

// tamper stands between clients and a gateway. It passes all on as it comes, but for the one fault that it is to plant
// among the messages to clients.
type tamper struct {
	listener net.Listener
	to       string
	wg       sync.WaitGroup
	mu       sync.Mutex
	fault    string // "", "double" or "lose"
	conns    []net.Conn
}

func startTamper(to string) (*tamper, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &tamper{listener: l, to: to}
	p.wg.Go(func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				a.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, a, b)
			p.mu.Unlock()
			p.wg.Go(func() { pass(a, b) })
			p.wg.Go(func() { p.frames(b, a) })
		}
	})
	return p, nil
}

// plant has the next streamed message doubled or lost.
func (p *tamper) plant(fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *tamper) close() {
	p.listener.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *tamper) frames(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 64<<10)
	var in []byte
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		in = append(in, buf[:n]...)
		var out []byte
		for len(in) > 0 {
			f, n, err := codec.Parse(in, codec.Limits{})
			if err != nil {
				return
			}
			if n == 0 {
				break
			}
			times := 1
			if f.Op == codec.Msg && strings.HasPrefix(string(f.Subject), "stream.") {
				p.mu.Lock()
				switch p.fault {
				case "double":
					times = 2
				case "lose":
					times = 0
				}
				p.fault = ""
				p.mu.Unlock()
			}
			for range times {
				out = append(out, f.Raw...)
			}
			in = in[n:]
		}
		in = append([]byte(nil), in...)
		if _, err := to.Write(out); err != nil {
			return
		}
	}
}

// slogTo is a logger for a gateway in an experiment; quiet unless asked for.
func slogTo(errs interface{ Write([]byte) (int, error) }, on bool) *slog.Logger {
	if on {
		return slog.New(slog.NewTextHandler(errs, nil))
	}
	return slog.New(slog.DiscardHandler)
}
