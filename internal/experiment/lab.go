// Package experiment is the tool for experiments: it starts stand-ins and gateways on loopback, puts load on them, and tells
// what was measured. No balancer imports it.
package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"
)

// Run carries out a command line and returns the program's exit code.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &cli.Command{
		Name: "lab", Usage: "experiments with a gateway between stand-ins, on loopback",
		Writer: out, ErrWriter: errs,
		Commands:       []*cli.Command{demo(), relayBench(), natsBench(), natsIdle(), planRun(), planDraw(), planCurve(), natsDrain(), plainProxy(), lineGateway(), natsGateway(), silentWatch(), fleetFaults()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // the exit code is ours to give
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintln(errs, "lab:", err)
		return 1
	}
	return 0
}

func newTable(out io.Writer, heads ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.AppendHeader(heads)
	return t
}

func (r row) cells() table.Row {
	return table.Row{r.Payload, r.Sessions, r.Cores, r.Direct, r.Plain, r.Gateway,
		fmt.Sprintf("%.2f", float64(r.Gateway)/float64(max(r.Plain, 1))), r.DirectP99us, r.PlainP99us, r.GatewayP99us}
}

// awaitReady waits until a gateway answers PING with PONG: it has a list and can serve.
func awaitReady(ctx context.Context, addr string) error {
	for {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "PING\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if line == "PONG\r\n" {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}
