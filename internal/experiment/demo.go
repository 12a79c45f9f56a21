package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nats-io/nats.go"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/internal/fakeserver"
)

const (
	demoRequestTimeout  = 5 * time.Second
	demoRequestPause    = 20 * time.Millisecond
	demoRefreshInterval = 500 * time.Millisecond // on a terminal
	demoPrintedTables   = 6                      // elsewhere
	noNode              = -1
)

var errDemoFault = errors.New("something went wrong, see above")

// demoCommand shows the program's main job: sessions migrate off a node that drains.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "one gateway between fake nodes and clients, while one node drains",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "span", Value: 12 * time.Second, Usage: "how long it lasts"},
			&cli.IntFlag{Name: "sessions", Value: 40, Usage: "NATS clients"},
			&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` where operators call, such as 127.0.0.1:12000"},
			&cli.IntFlag{Name: "nodes", Value: 4, Usage: "fake nodes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			nodes, sessions := c.Int("nodes"), c.Int("sessions")
			if nodes < 2 || sessions < 1 {
				return errors.New("at least two nodes and one session are wanted")
			}
			return runDemo(ctx, c, nodes, sessions)
		},
	}
}

func runDemo(ctx context.Context, c *cli.Command, nodes, sessions int) error {
	fleet, err := startNATSFleet(nodes)
	if err != nil {
		return err
	}
	defer fleet.close()
	gateway, err := startNATSGateway(ctx, natsGatewayOptions{
		catalogAddr: fleet.catalog.Addr(), adminAddr: c.String("admin"), cores: 2, logger: newLogger(nil, false),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("span"))
	defer cancel()
	d := &demo{
		out: c.Root().Writer, fleet: fleet, duration: c.Duration("span"),
		drained: noNode, sessionsBefore: make([]int, nodes),
	}
	err = d.connect(ctx, gateway.addr, sessions)
	if err == nil {
		d.began = time.Now()
		d.show(ctx)
	}
	cancel()
	d.wg.Wait()
	for _, conn := range d.conns {
		conn.Close()
	}
	if err := errors.Join(err, gateway.close()); err != nil {
		return err
	}
	return d.summarize()
}

// demo is a run of the demo.
type demo struct {
	out      io.Writer
	fleet    *natsFleet
	began    time.Time
	duration time.Duration
	conns    []*nats.Conn
	wg       sync.WaitGroup // of the clients
	counters demoCounters

	drained        int   // index of the node that drains, or noNode
	sessionsBefore []int // of each node, before the drain
	migrated       int
}

// demoCounters are updated by the clients.
type demoCounters struct {
	asked, answered, rejected, failed atomic.Int64 // requests
	cuts, messages                    atomic.Int64
}

// connect starts the clients, which send requests until ctx is done.
func (d *demo) connect(ctx context.Context, addr string, sessions int) error {
	for i := range sessions {
		conn, err := nats.Connect("nats://"+addr, nats.Timeout(5*time.Second),
			nats.DisconnectErrHandler(func(*nats.Conn, error) {
				if ctx.Err() == nil {
					d.counters.cuts.Add(1)
				}
			}))
		if err != nil {
			return err
		}
		d.conns = append(d.conns, conn)
		_, err = conn.Subscribe(fmt.Sprintf("stream.%d", i), func(*nats.Msg) { d.counters.messages.Add(1) })
		if err != nil {
			return err
		}
		if err := conn.Flush(); err != nil {
			return err
		}
		d.wg.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				d.request(conn, i, number)
				d.fleet.cluster.PublishStream(i, number)
				time.Sleep(demoRequestPause)
			}
		})
	}
	return nil
}

func (d *demo) request(conn *nats.Conn, session, number int) {
	d.counters.asked.Add(1)
	payload := fmt.Appendf(nil, "r%d-%d", session, number)
	answer, err := conn.Request(fmt.Sprintf("svc.safe.%d", number%97), payload, demoRequestTimeout)
	switch {
	case err != nil:
		d.counters.failed.Add(1)
	case isGatewayAnswer(answer):
		d.counters.rejected.Add(1)
	default:
		d.counters.answered.Add(1)
	}
}

// show prints the nodes' state now and then, and drains a node after a third of the time, until ctx is done.
func (d *demo) show(ctx context.Context) {
	onTerminal := isTerminal(d.out)
	interval := d.duration / demoPrintedTables
	if onTerminal {
		interval = demoRefreshInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	drainTime := time.After(d.duration / 3)
	for {
		select {
		case <-ticker.C:
			d.countMigrated()
			d.printNodes(onTerminal)
		case <-drainTime:
			d.drainBusiest()
		case <-ctx.Done():
			return
		}
	}
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (d *demo) countMigrated() {
	if d.drained != noNode {
		d.migrated = max(d.migrated, d.sessionsBefore[d.drained]-d.fleet.nodes[d.drained].ConnectionCount())
	}
}

func (d *demo) drainBusiest() {
	for i, node := range d.fleet.nodes {
		d.sessionsBefore[i] = node.ConnectionCount()
		if d.drained == noNode || d.sessionsBefore[i] > d.sessionsBefore[d.drained] {
			d.drained = i
		}
	}
	d.fleet.drain(d.drained)
	d.printf("%s drains: it holds %d sessions\n", d.fleet.nodes[d.drained].Name, d.sessionsBefore[d.drained])
}

func (d *demo) printNodes(clearScreen bool) {
	if clearScreen {
		d.printf("\x1b[H\x1b[2J")
	}
	nodes := newTable(d.out, "node", "state", "sessions", "subscriptions")
	for i, node := range d.fleet.nodes {
		state := fakeserver.StateInService
		if i == d.drained {
			state = fakeserver.StateTerminating
		}
		nodes.AppendRow([]any{node.Name, state, node.ConnectionCount(), node.SubscriptionCount()})
	}
	nodes.AppendFooter([]any{
		fmt.Sprintf("%.0f s", time.Since(d.began).Seconds()),
		fmt.Sprintf("asked %d", d.counters.asked.Load()),
		fmt.Sprintf("answered %d", d.counters.answered.Load()),
		fmt.Sprintf("moves %d", d.migrated),
	})
	nodes.Render()
}

// summarize prints what the run came to, and returns an error if anything was lost.
func (d *demo) summarize() error {
	maxAttempts, overlapping, late := d.fleet.cluster.AttemptStats()
	cuts, failed := d.counters.cuts.Load(), d.counters.failed.Load()
	d.printf("\n%d sessions, %d cut off; %d moved off the node that drained\n", len(d.conns), cuts, d.migrated)
	d.printf("%d requests: %d answered, %d refused or failed at once, %d without answer; "+
		"%d attempts at most, %d at once, %d late\n",
		d.counters.asked.Load(), d.counters.answered.Load(), d.counters.rejected.Load(), failed,
		maxAttempts, overlapping, late)
	d.printf("%d messages delivered\n", d.counters.messages.Load())
	if cuts > 0 || failed > 0 || overlapping > 0 || late > 0 {
		return errDemoFault
	}
	return nil
}

// printf prints for a person who watches; if that fails, the run goes on.
func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format, args...) }
