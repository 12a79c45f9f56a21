// Package cli implements milletvane's command line and its signal handling: SIGTERM and SIGINT shut the program down
// gracefully, SIGHUP reloads its configuration. Each call of Run has a state of its own, and returns after its goroutines have
// ended.
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
	// exitInfeasible says that the constraints of a placement plan can't be met together, so no plan is written.
	exitInfeasible = 3
)

// program holds the state of one call of Run.
type program struct {
	getenv func(string) string
	out    io.Writer
	errOut io.Writer
	logger *slog.Logger
}

// Run executes a command line and returns the program's exit code: 0 for success, 1 for a failure, or 3 if the constraints of
// a placement plan conflict. The log goes to errOut.
func Run(ctx context.Context, args []string, getenv func(string) string, out, errOut io.Writer) int {
	p := &program{getenv: getenv, out: out, errOut: errOut}
	p.logger = slog.New(slog.NewTextHandler(errOut, nil)) // until the flags are parsed
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

// rootCommand returns the root command with its subcommands. Without a subcommand it serves.
func (p *program) rootCommand() *cli.Command {
	return &cli.Command{
		Name:      "milletvane",
		Usage:     "balances long-lived connections over the servers that discovery lists",
		Writer:    p.out,
		ErrWriter: p.errOut,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-format", Value: "text", Usage: "text (key=value) or json"},
			&cli.StringFlag{
				Name:  "operator",
				Usage: "operator `FILE` with the gateway's own settings; defaults to the file that " + operator.EnvFile + " names",
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

// setLogger replaces the logger by the one that the flags describe.
func (p *program) setLogger(ctx context.Context, c *cli.Command) (context.Context, error) {
	logger, err := newLogger(p.errOut, c.String("log-format"), c.String("log-level"))
	if err != nil {
		return ctx, err
	}
	p.logger = logger
	return ctx, nil
}

func (p *program) printVersion(context.Context, *cli.Command) error {
	_, err := fmt.Fprintf(p.out, "milletvane %s %s\n", Version, runtime.Version())
	return err
}

// checkConfig reads and checks the configuration and the operator file, and prints a summary.
func (p *program) checkConfig(_ context.Context, cmd *cli.Command) error {
	c, operatorSettings, err := p.loadConfig(cmd)
	if err != nil {
		return err
	}
	if operatorSettings != nil && operatorSettings.NATS != nil {
		_, err := fmt.Fprintf(p.out, "nats=%s classes_of_requests=%d\n", operatorSettings.NATS.Listen,
			len(operatorSettings.NATS.Requests))
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(p.out, "name=%s listen=%s discovery=%s admin_addr=%s passed_socket=%d classes=%d gateways=%d "+
		"connections=%d drain=%v\n", c.Name, c.ListenAddr, c.DiscoveryAddr, c.AdminAddr, c.InheritedSocket, len(c.Balancer.Classes),
		c.Balancer.Gateways, c.Limits.MaxConnections(), c.DrainTimeout)
	return err
}

// loadConfig reads the platform's configuration and the operator file, if one is named. Otherwise the operator settings are
// nil.
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
	operatorSettings, err := operator.Load(file, classes)
	return conf, operatorSettings, err
}

// operatorFile returns the operator file that the flag names, else the one that the environment names, else an empty string.
func (p *program) operatorFile(c *cli.Command) string {
	if file := c.String("operator"); file != "" {
		return file
	}
	return p.getenv(operator.EnvFile)
}

// newLogger returns a logger that writes records of the given level and above in the given format, text or json.
func newLogger(out io.Writer, format, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log-level: %q is not debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: minLevel}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(out, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(out, options)), nil
	}
	return nil, fmt.Errorf("log-format: %q is not text or json", format)
}
