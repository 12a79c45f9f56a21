// Package cli is milletvane's command line, and what signals do: SIGTERM and SIGINT shut the program down gracefully,
// SIGHUP reloads its configuration. A call of Run owns all its state, and returns once its goroutines have ended.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"runtime"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/placement"
)

// Version is the program's version.
const Version = "0.1.0"

const (
	exitOK     = 0
	exitFailed = 1
	// exitInfeasible is the exit code where constraints cannot be met together: no plan is written.
	exitInfeasible = 3
)

// program is one run of a command line.
type program struct {
	getenv func(string) string
	out    io.Writer
	errs   io.Writer
	logger *slog.Logger
}

// Run carries out a command line and returns the program's exit code: 0, 1 for a failure, or 3 where the constraints of a
// placement plan conflict. The log goes to errs.
func Run(ctx context.Context, args []string, getenv func(string) string, out, errs io.Writer) int {
	p := &program{getenv: getenv, out: out, errs: errs}
	p.logger = slog.New(slog.NewTextHandler(errs, nil)) // until the flags are read
	err := p.rootCommand().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	p.logger.Error("failed", "err", err)
	var infeasible *placement.InfeasibleError
	if errors.As(err, &infeasible) {
		return exitInfeasible
	}
	return exitFailed
}

func (p *program) rootCommand() *cli.Command {
	return &cli.Command{
		Name:      "milletvane",
		Usage:     "balances long-lived connections over the servers that discovery lists",
		Writer:    p.out,
		ErrWriter: p.errs,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-format", Value: "text", Usage: "text (key=value) or json"},
			&cli.StringFlag{
				Name: "operator", Usage: "operator `FILE` with our own settings; " + operator.EnvFile + " names it too",
			},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Before: p.setLogger,
		Action: p.serve,
		Commands: []*cli.Command{
			p.planCommand(),
			{Name: "serve", Usage: "serve clients until a signal to stop (the default)", Action: p.serve},
			{Name: "version", Usage: "print the version", Action: p.printVersion},
			{
				Name: "check-config", Usage: "read and check the configuration, and print a summary",
				Action: p.checkConfig,
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // Run returns the exit code
	}
}

// setLogger goes over to the logger that the flags describe.
func (p *program) setLogger(ctx context.Context, c *cli.Command) (context.Context, error) {
	l, err := newLogger(p.errs, c.String("log-format"), c.String("log-level"))
	if err != nil {
		return ctx, err
	}
	p.logger = l
	return ctx, nil
}

func (p *program) printVersion(context.Context, *cli.Command) error {
	_, err := fmt.Fprintf(p.out, "milletvane %s %s\n", Version, runtime.Version())
	return err
}

func (p *program) checkConfig(_ context.Context, cmd *cli.Command) error {
	c, op, err := p.loadConfig(cmd)
	if err != nil {
		return err
	}
	if op != nil && op.NATS != nil {
		_, err := fmt.Fprintf(p.out, "nats=%s classes_of_requests=%d\n", op.NATS.Listen, len(op.NATS.Requests))
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(p.out, "name=%s listen=%s discovery=%s admin_addr=%s passed_socket=%d classes=%d gateways=%d "+
		"connections=%d drain=%v\n", c.Name, c.Listen, c.Discovery, c.Admin, c.InheritedSocket, len(c.Balancer.Classes),
		c.Balancer.Gateways, c.Limits.MaxConnections(), c.DrainTimeout)
	return err
}

// loadConfig reads the platform's configuration and, where one is named, the operator file. Without one the operator
// settings are nil.
func (p *program) loadConfig(c *cli.Command) (*config.Config, *operator.Settings, error) {
	conf, err := config.Load(p.getenv)
	if err != nil {
		return nil, nil, err
	}
	file := p.operatorFile(c)
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

// operatorFile is the operator file that the flag or the environment names, or empty.
func (p *program) operatorFile(c *cli.Command) string {
	if file := c.String("operator"); file != "" {
		return file
	}
	return p.getenv(operator.EnvFile)
}

// newLogger writes lines of the given format, from the given level up.
func newLogger(out io.Writer, format, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log-level: %q is not debug, info, warn or error", level)
	}
	o := &slog.HandlerOptions{Level: minLevel}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(out, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(out, o)), nil
	}
	return nil, fmt.Errorf("log-format: %q is not text or json", format)
}
