// Package cli is milletvane's command line, and what signals do: SIGTERM and SIGINT stop the program in
// order, SIGHUP has it read its configuration again.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/gateway"
	"example.org/milletvane/placement"
)

// Version is the program's version.
const Version = "0.1.0"

// Run carries out a command line and returns the program's exit code.
func Run(ctx context.Context, args []string, getenv func(string) string, out, errs io.Writer) int {
	logger := slog.New(slog.NewTextHandler(errs, nil)) // until the flags are read
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
		conf, op, err := load(c, getenv)
		if err != nil {
			return err
		}
		gateway.Confine(conf.Limits)
		g, err := gateway.New(*conf, gateway.WithLogger(logger), gateway.WithOperator(op))
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
				conf, op, err := load(c, getenv)
				if err == nil {
					err = g.Reload(*conf, op)
				}
				if err != nil {
					logger.Error("not reloaded, the old configuration stays", "err", err)
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
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-format", Value: "text", Usage: "text (key=value) or json"},
			&cli.StringFlag{Name: "operator", Usage: "operator `FILE` with our own settings; " + operator.EnvFile + " names it too"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			l, err := newLogger(errs, c.String("log-format"), c.String("log-level"))
			if err != nil {
				return ctx, err
			}
			logger = l
			return ctx, nil
		},
		Action: serve,
		Commands: []*cli.Command{
			plans(getenv, out, errs),
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
				Action: func(_ context.Context, cmd *cli.Command) error {
					c, op, err := load(cmd, getenv)
					if err != nil {
						return err
					}
					if op != nil && op.NATS != nil {
						if _, err := fmt.Fprintf(out, "nats=%s classes_of_requests=%d\n", op.NATS.Listen, len(op.NATS.Requests)); err != nil {
							return err
						}
					}
					_, err = fmt.Fprintf(out, "name=%s listen=%s discovery=%s admin_addr=%s passed_socket=%d classes=%d gateways=%d connections=%d drain=%v\n",
						c.Name, c.Listen, c.Discovery, c.Admin, c.InheritedSocket, len(c.Balancer.Classes), c.Balancer.Gateways, c.Limits.MaxConnections(), c.DrainTimeout)
					return err
				},
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // the exit code is ours to give
	}
	if err := root.Run(ctx, args); err != nil {
		logger.Error("failed", "err", err)
		var conflict *placement.InfeasibleError
		if errors.As(err, &conflict) {
			return exitInfeasible
		}
		return 1
	}
	return 0
}

// load reads the platform's configuration and, where one is named, the operator file.
func load(c *cli.Command, getenv func(string) string) (*config.Config, *operator.Settings, error) {
	conf, err := config.Load(getenv)
	if err != nil {
		return nil, nil, err
	}
	file := c.String("operator")
	if file == "" {
		file = getenv(operator.EnvFile)
	}
	if file == "" {
		return conf, nil, nil
	}
	classes := make([]string, len(conf.Balancer.Classes))
	for i, class := range conf.Balancer.Classes {
		classes[i] = class.Name
	}
	op, err := operator.Load(file, classes)
	return conf, op, err
}

// newLogger writes lines of the given form, from the given level up.
func newLogger(out io.Writer, form, level string) (*slog.Logger, error) {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log-level: %q is not debug, info, warn or error", level)
	}
	o := &slog.HandlerOptions{Level: least}
	switch form {
	case "text":
		return slog.New(slog.NewTextHandler(out, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(out, o)), nil
	}
	return nil, fmt.Errorf("log-format: %q is not text or json", form)
}
