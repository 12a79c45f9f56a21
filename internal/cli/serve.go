package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/gateway"
)

// serve runs a gateway until SIGTERM or SIGINT.
func (p *program) serve(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() { // a mistyped command must not start a balancer
		return fmt.Errorf("unknown command %q", c.Args().First())
	}
	// The signal handlers are installed first, so that an early signal doesn't kill the process.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	conf, operatorSettings, err := p.loadConfig(c)
	if err != nil {
		return err
	}
	gateway.ApplyLimits(conf.Limits)
	g, err := gateway.New(*conf, gateway.WithLogger(p.logger), gateway.WithOperator(operatorSettings))
	if err != nil {
		return err
	}
	var reloads sync.WaitGroup
	defer reloads.Wait()
	done := make(chan struct{})
	defer close(done)
	reloads.Go(func() { p.reloadOnSignal(c, g, hangups, done) })
	return g.Run(ctx)
}

// reloadOnSignal reloads the configuration on each signal until done is closed.
func (p *program) reloadOnSignal(c *cli.Command, g *gateway.Gateway, signals <-chan os.Signal, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-signals:
		}
		// An error in the new file must not end the serving process: the old configuration stays in force.
		if err := p.reload(c, g); err != nil {
			p.logger.Error("config reload failed", "err", err)
		}
	}
}

// reload reads the configuration again and passes it to the gateway.
func (p *program) reload(c *cli.Command, g *gateway.Gateway) error {
	conf, operatorSettings, err := p.loadConfig(c)
	if err != nil {
		return err
	}
	return g.Reload(*conf, operatorSettings)
}
