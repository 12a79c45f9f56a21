package experiment

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
)

const readyPollInterval = 10 * time.Millisecond // between checks whether a gateway is ready

// lineSettings holds the platform settings of experiments with the line protocol.
const lineSettings = `{"caps":{"max_attempts":5,"connect_timeout_ns":1000000000,"retry_after":true,"max_retry_after_ns":2000000000},
 "discovery":"ask","family_info":{"mode":"proxy"},
 "rules":{"start_capacity":0.2,"cold_ns":11000000000,"tip_multiple":4,"fall_ns":1000000000,"stop_sending_within_ns":500000000},
 "classes":[{"name":"lines","effect":"idempotent","group":"all","give_up_ns":5000000000,"slo_ns":1000000000}]}`

// noEnvironment stands in for os.Getenv and returns no values, so that the environment does not affect configurations.
func noEnvironment(string) string { return "" }

// lineConfig returns the configuration of a gateway for the line protocol with the given listen address, address of the
// discovery service and number of cores.
func lineConfig(listen, discovery string, cores int) (*config.Config, error) {
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"limits":{"cores":%d,"memory_mb":512,"sockets":8192},"settings":%s}`,
		programName, listen, discovery, cores, lineSettings)
	return config.Parse([]byte(text), noEnvironment)
}

// localGateway is a gateway that runs in this process.
type localGateway struct {
	addr   string // of the listener for clients
	cancel context.CancelFunc
	done   chan struct{} // closed when the gateway has ended
	err    error         // of the gateway; valid after done is closed
}

// startGateway runs a gateway until ctx is done or the gateway is closed. It returns when the gateway is ready, which it
// checks at lineAddr, the address of the line protocol.
func startGateway(ctx context.Context, conf *config.Config, lineAddr string, options ...gateway.Option) (*localGateway, error) {
	g, err := gateway.New(*conf, options...)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	local := &localGateway{addr: lineAddr, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(local.done)
		local.err = g.Run(ctx)
	}()
	if err := awaitReady(ctx, lineAddr); err != nil {
		_ = local.close() // the first error is returned
		return nil, fmt.Errorf("gateway at %s is not ready: %w", lineAddr, err)
	}
	return local, nil
}

// wait waits until the gateway has ended, and returns its error.
func (g *localGateway) wait() error {
	<-g.done
	return g.err
}

// close stops the gateway, waits until it has ended, and returns its error.
func (g *localGateway) close() error {
	g.cancel()
	return g.wait()
}

// awaitReady waits until a gateway answers PING with PONG, which it does once it has an endpoint list. It returns the error of
// ctx if ctx is done first.
func awaitReady(ctx context.Context, addr string) error {
	for !answersPing(addr) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func answersPing(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer closeQuietly(conn)
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return false
	}
	if _, err := fmt.Fprint(conn, "PING\r\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "PONG\r\n"
}

// closeQuietly closes a connection and ignores the error, which has no consequence because the caller needs no more data.
func closeQuietly(conn net.Conn) { _ = conn.Close() }

// pinAndStartCatalog pins this process, which a benchmark has started, to the number of cores of the flag "cores". It starts a
// discovery service that lists the server of the flag "to".
func pinAndStartCatalog(c *cli.Command) (*fakeserver.Catalog, error) {
	if err := pinToCPUs(cpuRange(0, c.Int("cores"))...); err != nil {
		return nil, err
	}
	return fakeserver.NewCatalog(inServiceEndpoint(0, c.String("to")))
}

// endpointID returns the ID of the fake server with the given index.
func endpointID(index int) string { return fmt.Sprintf("s-%08x", index+1) }

// inServiceEndpoint returns the endpoint of a fake server with weight 1.
func inServiceEndpoint(index int, addr string) fakeserver.Endpoint {
	return fakeserver.Endpoint{ID: endpointID(index), Addr: addr, State: fakeserver.StateInService, Weight: 1}
}

// pinnedChildFlags returns the flags of the sub-commands that benchmarks start in a process of their own.
func pinnedChildFlags() []cli.Flag {
	return []cli.Flag{&cli.IntFlag{Name: "cores", Value: 1}, &cli.StringFlag{Name: "to", Required: true}}
}

// lineGatewayCommand returns the command that runs a gateway in front of one server of the line protocol, pinned to some
// cores.
func lineGatewayCommand() *cli.Command {
	return &cli.Command{
		Name: "line-gateway", Hidden: true, Usage: "run a gateway for the line protocol; started by benchmarks",
		Flags:  pinnedChildFlags(),
		Action: runLineGateway,
	}
}

// runLineGateway prints the address of the gateway, and returns when the gateway has ended.
func runLineGateway(ctx context.Context, c *cli.Command) error {
	catalog, err := pinAndStartCatalog(c)
	if err != nil {
		return err
	}
	defer catalog.Close()
	listen, release, err := fakeserver.ReserveAddress()
	if err != nil {
		return err
	}
	defer release()
	conf, err := lineConfig(listen, catalog.Addr(), c.Int("cores"))
	if err != nil {
		return err
	}
	gateway.ApplyLimits(conf.Limits)
	g, err := startGateway(ctx, conf, listen, gateway.WithLogger(newLogger(nil, false)))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.Root().Writer, g.addr); err != nil {
		return err
	}
	return g.wait()
}
