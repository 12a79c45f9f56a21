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

// serve runs a gateway until a signal to stop.
func (p *program) serve(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() { // a mistyped command must not start a balancer
		return fmt.Errorf("unknown command %q", c.Args().First())
	}
	// Signals are caught before anything else is done: one that comes early must not end the program.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	conf, op, err := p.loadConfig(c)
	if err != nil {
		return err
	}
	gateway.Confine(conf.Limits)
	g, err := gateway.New(*conf, gateway.WithLogger(p.logger), gateway.WithOperator(op))
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
		// A fault in the new file must not end a program that serves: the old configuration stays.
		if err := p.reload(c, g); err != nil {
			p.logger.Error("config reload failed", "err", err)
		}
	}
}

func (p *program) reload(c *cli.Command, g *gateway.Gateway) error {
	conf, op, err := p.loadConfig(c)
	if err != nil {
		return err
	}
	return g.Reload(*conf, op)
}
