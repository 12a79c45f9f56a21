// Package command is milletvane's command line, and what signals do: SIGTERM and SIGINT stop the program in
// order, SIGHUP has it read its configuration again.
package command

import (
	"context"
	"fmt"
	"io"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
)

// Version is the program's version.
const Version = "0.1.0"

// Run carries out a command line and returns the program's exit code.
func Run(ctx context.Context, args []string, getenv func(string) string, out, errs io.Writer) int {
	logger := log.New(errs, "", log.LstdFlags|log.Lmicroseconds|log.LUTC)
	serve := func(ctx context.Context, c *cli.Command) error {
		if c.Args().Present() { // a mistyped command must not start a balancer
			return fmt.Errorf("unknown command %q", c.Args().First())
		}
		// Signals are caught before anything else is done: one that comes early must not end the program.
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		hups := make(chan os.Signal, 1)
		signal.Notify(hups, syscall.SIGHUP)
		defer signal.Stop(hups)
		conf, err := config.Load(getenv)
		if err != nil {
			return err
		}
		confine(conf.Limits)
		g, err := gateway.New(*conf, gateway.WithLogger(logger))
		if err != nil {
			return err
		}
		done := make(chan struct{})
		defer close(done)
		go func() {
			for {
				select {
				case <-done:
					return
				case <-hups:
				}
				// A fault in the new file must not end a program that serves.
				if c, err := config.Load(getenv); err != nil {
					logger.Printf("msg=%q err=%q", "not reloaded, the old configuration stays", err)
				} else {
					g.Reload(*c)
				}
			}
		}()
		return g.Run(ctx)
	}
	root := &cli.Command{
		Name:      "milletvane",
		Usage:     "balances long-lived connections over the servers that discovery lists",
		Writer:    out,
		ErrWriter: errs,
		Action:    serve,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve clients until told to stop (the default)", Action: serve},
			{
				Name: "version", Usage: "print the version",
				Action: func(context.Context, *cli.Command) error {
					_, err := fmt.Fprintf(out, "milletvane %s %s\n", Version, runtime.Version())
					return err
				},
			},
			{
				Name: "check-config", Usage: "read and check the configuration, and say what it comes to",
				Action: func(context.Context, *cli.Command) error {
					c, err := config.Load(getenv)
					if err != nil {
						return err
					}
					_, err = fmt.Fprintf(out, "name=%s listen=%s discovery=%s classes=%d gateways=%d connections=%d drain=%v\n",
						c.Name, c.Listen, c.Discovery, len(c.Rules.Classes), c.Rules.Gateways, c.Limits.Connections(), c.Drain)
					return err
				},
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // the exit code is ours to give
	}
	if err := root.Run(ctx, args); err != nil {
		logger.Printf("msg=failed err=%q", err)
		return 1
	}
	return 0
}

// confine keeps the runtime within the limits: garbage is collected sooner as memory runs short.
func confine(l config.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}
