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
	demoRequestPause    = 20 * time.Millisecond  // between the requests of a client
	demoRefreshInterval = 500 * time.Millisecond // between tables, if the output is a terminal
	demoPrintedTables   = 6                      // number of tables in a run, if the output is not a terminal
	noNode              = -1                     // index that stands for no node
)

var errDemoFault = errors.New("the summary above shows disconnected sessions, unanswered requests, or overlapping or late attempts")

// demoCommand returns the command that shows what a gateway is for: sessions migrate off a draining node.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a gateway between fake nodes and clients while one node drains",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "span", Value: 12 * time.Second, Usage: "duration of the demo"},
			&cli.IntFlag{Name: "sessions", Value: 40, Usage: "number of NATS clients"},
			&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` of the admin interface, such as 127.0.0.1:12000"},
			&cli.IntFlag{Name: "nodes", Value: 4, Usage: "number of fake nodes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			nodes, sessions := c.Int("nodes"), c.Int("sessions")
			if nodes < 2 || sessions < 1 {
				return errors.New("at least two nodes and one session are required")
			}
			return runDemo(ctx, c, nodes, sessions)
		},
	}
}

// runDemo starts the nodes, the gateway and the clients, runs for the duration of the flag "span", and prints a summary.
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
		drainingNode: noNode, sessionsBefore: make([]int, nodes),
	}
	err = d.connect(ctx, gateway.addr, sessions)
	if err == nil {
		d.startedAt = time.Now()
		d.showProgress(ctx)
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

// demo holds the state of a run of the demo.
type demo struct {
	out       io.Writer
	fleet     *natsFleet
	startedAt time.Time
	duration  time.Duration
	conns     []*nats.Conn
	wg        sync.WaitGroup // of the clients
	counters  demoCounters

	drainingNode   int   // index of the node that drains, or noNode
	sessionsBefore []int // by node: number of sessions before the drain
	migrated       int   // largest number of sessions that were seen to have left the draining node
}

// demoCounters holds the counters that the clients update.
type demoCounters struct {
	requests, answered, rejected, failed atomic.Int64 // requests, in all and by outcome
	disconnects, messages                atomic.Int64
}

// connect connects the clients and subscribes each to its own stream. Each client then sends requests, and has messages
// published to its stream, until ctx is done.
func (d *demo) connect(ctx context.Context, addr string, sessions int) error {
	for i := range sessions {
		conn, err := nats.Connect("nats://"+addr, nats.Timeout(5*time.Second),
			nats.DisconnectErrHandler(func(*nats.Conn, error) {
				if ctx.Err() == nil {
					d.counters.disconnects.Add(1)
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

// request sends one request and counts its outcome. An answer from the gateway itself is a rejection.
func (d *demo) request(conn *nats.Conn, session, number int) {
	d.counters.requests.Add(1)
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

// showProgress prints the state of the nodes at regular intervals until ctx is done. After a third of the duration, it drains
// the node with the most sessions.
func (d *demo) showProgress(ctx context.Context) {
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

// countMigrated updates the number of sessions that have left the draining node.
func (d *demo) countMigrated() {
	if d.drainingNode != noNode {
		d.migrated = max(d.migrated, d.sessionsBefore[d.drainingNode]-d.fleet.nodes[d.drainingNode].ConnectionCount())
	}
}

// drainBusiest records the number of sessions of each node and drains the node with the most.
func (d *demo) drainBusiest() {
	for i, node := range d.fleet.nodes {
		d.sessionsBefore[i] = node.ConnectionCount()
		if d.drainingNode == noNode || d.sessionsBefore[i] > d.sessionsBefore[d.drainingNode] {
			d.drainingNode = i
		}
	}
	d.fleet.drain(d.drainingNode)
	d.printf("%s drains: it has %d sessions\n", d.fleet.nodes[d.drainingNode].Name, d.sessionsBefore[d.drainingNode])
}

// printNodes prints a table of the nodes and the request counters.
func (d *demo) printNodes(clearScreen bool) {
	if clearScreen {
		d.printf("\x1b[H\x1b[2J")
	}
	nodes := newTable(d.out, "node", "state", "sessions", "subscriptions")
	for i, node := range d.fleet.nodes {
		state := fakeserver.StateInService
		if i == d.drainingNode {
			state = fakeserver.StateTerminating
		}
		nodes.AppendRow([]any{node.Name, state, node.ConnectionCount(), node.SubscriptionCount()})
	}
	nodes.AppendFooter([]any{
		fmt.Sprintf("%.0f s", time.Since(d.startedAt).Seconds()),
		fmt.Sprintf("requests %d", d.counters.requests.Load()),
		fmt.Sprintf("answered %d", d.counters.answered.Load()),
		fmt.Sprintf("migrated %d", d.migrated),
	})
	nodes.Render()
}

// summarize prints the totals of the run. It returns errDemoFault if a session was disconnected, a request failed without an
// answer, or attempts of a request overlapped or reached a draining node after its drain grace.
func (d *demo) summarize() error {
	maxAttempts, overlapping, late := d.fleet.cluster.AttemptStats()
	disconnects, failed := d.counters.disconnects.Load(), d.counters.failed.Load()
	d.printf("\n%d sessions, %d cut off; %d migrated off the draining node\n", len(d.conns), disconnects, d.migrated)
	d.printf("%d requests: %d answered, %d rejected or failed, %d without an answer; "+
		"at most %d attempts, %d overlapping, %d late\n",
		d.counters.requests.Load(), d.counters.answered.Load(), d.counters.rejected.Load(), failed,
		maxAttempts, overlapping, late)
	d.printf("%d messages delivered\n", d.counters.messages.Load())
	if disconnects > 0 || failed > 0 || overlapping > 0 || late > 0 {
		return errDemoFault
	}
	return nil
}

// printf prints to the output of the program. It ignores errors, so that the run continues without an output.
func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format, args...) }
