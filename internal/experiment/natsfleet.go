package experiment

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
)

// natsSettings holds the platform settings of experiments with NATS. natsOperator is the format of their operator file.
const natsSettings = `{"caps":{"max_attempts":5,"connect_timeout_ns":1000000000,"retry_after":true,"max_retry_after_ns":500000000},
 "rules":{"stop_sending_within_ns":500000000},"discovery":"ask","family_info":{"mode":"proxy"},
 "classes":[{"name":"session","effect":"idempotent","group":"all","give_up_ns":3000000000,"slo_ns":1000000000},
  {"name":"safe","effect":"idempotent","group":"all","give_up_ns":3000000000,"slo_ns":500000000},
  {"name":"unsafe","effect":"at_most_once","group":"all","give_up_ns":3000000000,"slo_ns":500000000}]}`

const natsOperator = `(nats (listen %q) (cluster true) (ping-every "500ms")
  (session (class "session"))
  (request (subject "svc.safe.>") (class "safe") (deadline "3s") (key (token 2)))
  (request (subject "svc.unsafe.>") (class "unsafe") (deadline "3s") (key (token 2))))`

// natsGatewayOptions holds the options of startNATSGateway.
type natsGatewayOptions struct {
	catalogAddr string
	adminAddr   string // empty means no admin interface
	cores       int
	logger      *slog.Logger
}

// startNATSGateway starts a gateway for the NATS protocol and waits until it is ready.
func startNATSGateway(ctx context.Context, o natsGatewayOptions) (*localGateway, error) {
	lineAddr, releaseLine, err := fakeserver.ReserveAddress()
	if err != nil {
		return nil, err
	}
	defer releaseLine()
	natsAddr, releaseNATS, err := fakeserver.ReserveAddress()
	if err != nil {
		return nil, err
	}
	defer releaseNATS()
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"admin_addr":%q,
	 "limits":{"cores":%d,"memory_mb":2048,"sockets":16384},"settings":%s}`,
		programName, lineAddr, o.catalogAddr, o.adminAddr, o.cores, natsSettings)
	conf, err := config.Parse([]byte(text), noEnvironment)
	if err != nil {
		return nil, err
	}
	settings, err := operator.Parse(programName, fmt.Appendf(nil, natsOperator, natsAddr), nil)
	if err != nil {
		return nil, err
	}
	g, err := startGateway(ctx, conf, lineAddr, gateway.WithLogger(o.logger), gateway.WithOperator(settings))
	if err != nil {
		return nil, err
	}
	g.addr = natsAddr
	return g, nil
}

// natsGatewayCommand returns the command that runs a NATS gateway in front of one node, pinned to some cores.
func natsGatewayCommand() *cli.Command {
	return &cli.Command{
		Name: "nats-gateway", Hidden: true, Usage: "run a NATS gateway; started by benchmarks",
		Flags:  pinnedChildFlags(),
		Action: runNATSGateway,
	}
}

func runNATSGateway(ctx context.Context, c *cli.Command) error {
	catalog, err := pinAndStartCatalog(c)
	if err != nil {
		return err
	}
	defer catalog.Close()
	cores := c.Int("cores")
	gateway.ApplyLimits(config.Limits{Cores: float64(cores), MemoryMB: 512})
	g, err := startNATSGateway(ctx, natsGatewayOptions{
		catalogAddr: catalog.Addr(), cores: cores, logger: newLogger(nil, false),
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.Root().Writer, g.addr); err != nil {
		return err
	}
	return g.wait()
}

// natsFleet is a cluster of fake NATS nodes with a fake discovery service.
type natsFleet struct {
	cluster *fakeserver.NATSCluster
	nodes   []*fakeserver.NATSNode
	catalog *fakeserver.Catalog
}

func startNATSFleet(size int) (*natsFleet, error) {
	f := &natsFleet{cluster: fakeserver.NewNATSCluster(fakeserver.NewDeliveryLog(), false)}
	var endpoints []fakeserver.Endpoint
	for i := range size {
		node, err := f.cluster.StartNode(fmt.Sprintf("node%d", i+1))
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, node)
		endpoints = append(endpoints, f.endpoint(i, fakeserver.StateInService))
	}
	var err error
	if f.catalog, err = fakeserver.NewCatalog(endpoints...); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *natsFleet) endpoint(index int, state string) fakeserver.Endpoint {
	return fakeserver.Endpoint{
		ID: endpointID(index), Addr: f.nodes[index].Addr(), Zone: programName, State: state, Weight: 1,
	}
}

// drain puts a node into lame duck mode, and announces that to its clients and in the endpoint list.
func (f *natsFleet) drain(index int) {
	f.nodes[index].Drain(true)
	f.catalog.SetEndpoint(f.endpoint(index, fakeserver.StateTerminating))
}

func (f *natsFleet) close() {
	if f.catalog != nil {
		f.catalog.Close()
	}
	for _, node := range f.nodes {
		node.Close()
	}
}
