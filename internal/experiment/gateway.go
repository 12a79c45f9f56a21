package experiment

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
)

// lineSettings are the settings that experiments with lines go by.
const lineSettings = `{"caps":{"max_attempts":5,"connect_timeout_ns":1000000000,"retry_after":true,"max_retry_after_ns":2000000000},
 "discovery":"ask","family_info":{"mode":"proxy"},
 "rules":{"start_capacity":0.2,"cold_ns":11000000000,"tip_multiple":4,"fall_ns":1000000000,"stop_sending_within_ns":500000000},
 "classes":[{"name":"lines","effect":"idempotent","group":"all","give_up_ns":5000000000,"slo_ns":1000000000}]}`

// lineConfig is a gateway's configuration in front of a catalog.
func lineConfig(listen, discovery string, cores int) (*config.Config, error) {
	text := fmt.Sprintf(`{"name":"lab","listen":%q,"discovery":%q,"limits":{"cores":%d,"memory_mb":512,"sockets":8192},"settings":%s}`,
		listen, discovery, cores, lineSettings)
	return config.Parse([]byte(text), func(string) string { return "" })
}

// confined keeps a program that benchmarks start to its cores, and lists the one server that it is to stand before.
func confined(c *cli.Command) (*fakeserver.Catalog, error) {
	if err := pin(cpuList(0, c.Int("cores"))...); err != nil {
		return nil, err
	}
	return fakeserver.NewCatalog(fakeserver.Endpoint{ID: "s-00000001", Addr: c.String("to"), State: fakeserver.StateInService, Weight: 1})
}

// lineGateway is a gateway confined to its cores in front of one server.
func lineGateway() *cli.Command {
	return &cli.Command{
		Name: "line-gateway", Hidden: true, Usage: "a gateway, which benchmarks start",
		Flags: []cli.Flag{&cli.IntFlag{Name: "cores", Value: 1}, &cli.StringFlag{Name: "to", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			catalog, err := confined(c)
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
			gateway.Confine(conf.Limits)
			g, err := gateway.New(*conf, gateway.WithLogger(slog.New(slog.DiscardHandler)))
			if err != nil {
				return err
			}
			go func() {
				if awaitReady(ctx, listen) == nil {
					fmt.Fprintln(c.Root().Writer, listen)
				}
			}()
			return g.Run(ctx)
		},
	}
}
