// Package experiment implements the program "experiment": benchmarks, fault-injection runs and a demo. Most sub-commands start
// fake servers, gateways and clients on loopback, generate load on them and report their measurements.
//
// A sub-command stops everything that it started before it returns. Run may be called from several goroutines, except for
// the benchmarks and the commands that they start, which pin all threads of the process to some processors. The balancer does
// not import this package.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"
)

const programName = "experiment"

// Run executes a command line, whose first element is the program's name, and returns the exit code of the program: 0, or
// 1 if the experiment could not be run or found a fault. It prints errors to errs.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cli.Command{
		Name: programName, Usage: "run experiments with gateways between fake servers and clients on loopback",
		Writer: out, ErrWriter: errs,
		Commands: []*cli.Command{
			demoCommand(),
			lineBenchCommand(), natsBenchCommand(), natsIdleCommand(),
			planRunCommand(), planDrawCommand(), planCurveCommand(),
			natsDrainCommand(),
			plainProxyCommand(), lineGatewayCommand(), natsGatewayCommand(),
			silentWatchCommand(), fleetFaultsCommand(), stopSoakCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // Run determines the exit code
	}
	if err := root.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintf(errs, "%s: %v\n", programName, err)
		return 1
	}
	return 0
}

// newTable returns a table that prints itself to out when it is rendered.
func newTable(out io.Writer, headings ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(headings)
	return t
}

// writeJSON prints a value as one line of JSON.
func writeJSON(out io.Writer, v any) error { return json.NewEncoder(out).Encode(v) }

// writeResult prints a result as JSON: on one line if the flag "json" is set, and indented otherwise.
func writeResult(c *cli.Command, v any) error {
	out := c.Root().Writer
	if c.Bool("json") {
		return writeJSON(out, v)
	}
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(text))
	return err
}

// newLogger returns a logger for a gateway. It writes to errs if enabled is set, and discards everything otherwise.
func newLogger(errs io.Writer, enabled bool) *slog.Logger {
	if enabled {
		return slog.New(slog.NewTextHandler(errs, nil))
	}
	return slog.New(slog.DiscardHandler)
}
