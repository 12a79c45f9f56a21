package experiment

import (
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"
)

// benchCase is one combination of what a benchmark varies.
type benchCase struct {
	way                      string // empty if the benchmark has only one
	cores, sessions, payload int
}

// benchCases returns all combinations of a command's flags, in the order in which they are measured.
func benchCases(c *cli.Command, ways []string) (cases []benchCase) {
	for _, cores := range c.IntSlice("cores") {
		for _, way := range ways {
			for _, sessions := range c.IntSlice("sessions") {
				for _, payload := range c.IntSlice("payload") {
					cases = append(cases, benchCase{way: way, cores: cores, sessions: sessions, payload: payload})
				}
			}
		}
	}
	return cases
}

func benchFlags(duration time.Duration, sessions, payloads []int, payloadUsage string) []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "json", Usage: "rows of JSON instead of a table"},
		&cli.DurationFlag{Name: "span", Value: duration, Usage: "time of each measurement"},
		&cli.IntSliceFlag{Name: "cores", Value: []int{1, 2}, Usage: "cores of the gateway and the proxy"},
		&cli.IntSliceFlag{Name: "sessions", Value: sessions, Usage: "clients at once"},
		&cli.IntSliceFlag{Name: "payload", Value: payloads, Usage: payloadUsage},
	}
}

// benchResult is a row of a benchmark: the same load put directly on a fake server, through a plain proxy and through a
// gateway.
type benchResult struct {
	Payload      int   `json:"payload"`
	Sessions     int   `json:"sessions"`
	Cores        int   `json:"cores"`
	Direct       int64 `json:"direct_per_s"`
	Plain        int64 `json:"plain_per_s"`
	Gateway      int64 `json:"gateway_per_s"`
	DirectP99us  int64 `json:"direct_p99_us"`
	PlainP99us   int64 `json:"plain_p99_us"`
	GatewayP99us int64 `json:"gateway_p99_us"`
}

func newBenchResult(bench benchCase) benchResult {
	return benchResult{Payload: bench.payload, Sessions: bench.sessions, Cores: bench.cores}
}

var benchHeadings = []any{
	"payload", "sessions", "cores", "direct/s", "plain/s", "gateway/s", "of plain",
	"direct p99 µs", "plain p99 µs", "gateway p99 µs",
}

func (r benchResult) cells() table.Row {
	ofPlain := float64(r.Gateway) / float64(max(r.Plain, 1))
	return table.Row{
		r.Payload, r.Sessions, r.Cores, r.Direct, r.Plain, r.Gateway, fmt.Sprintf("%.2f", ofPlain),
		r.DirectP99us, r.PlainP99us, r.GatewayP99us,
	}
}

// benchRow is a result as a row of the table, or as JSON.
type benchRow interface{ cells() table.Row }

// runBenchmark measures cases one after another and writes their results.
func runBenchmark(c *cli.Command, headings []any, cases []benchCase, measure func(benchCase) (benchRow, error)) error {
	out, asJSON := c.Root().Writer, c.Bool("json")
	results := newTable(out, headings...)
	for _, bench := range cases {
		if err := pinLoadGenerator(bench.cores); err != nil {
			return err
		}
		row, err := measure(bench)
		if err != nil {
			return err
		}
		if !asJSON {
			results.AppendRow(row.cells())
			continue
		}
		if err := writeJSON(out, row); err != nil {
			return err
		}
	}
	if !asJSON {
		results.Render()
	}
	return nil
}

// pinLoadGenerator makes sure that the load and the server share no core with what is measured.
func pinLoadGenerator(measuredCores int) error {
	all := runtime.NumCPU()
	if measuredCores < 1 || measuredCores >= all {
		return fmt.Errorf("cores: %d of %d would leave none for the load", measuredCores, all)
	}
	return pinToCPUs(cpuRange(measuredCores, all)...)
}

// measure puts the same load directly on a server, on a plain proxy and on a gateway, one after another.
func (r *benchResult) measure(c *cli.Command, server, gatewayCommand string, load func(addr string) (loadResult, error)) error {
	direct, err := load(server)
	if err != nil {
		return fmt.Errorf("direct: %w", err)
	}
	plain, err := loadThroughChild(c, "plain-proxy", r.Cores, server, load)
	if err != nil {
		return err
	}
	gateway, err := loadThroughChild(c, gatewayCommand, r.Cores, server, load)
	if err != nil {
		return err
	}
	r.Direct, r.DirectP99us = direct.perSecond, direct.p99us
	r.Plain, r.PlainP99us = plain.perSecond, plain.p99us
	r.Gateway, r.GatewayP99us = gateway.perSecond, gateway.p99us
	return nil
}

func loadThroughChild(c *cli.Command, subcommand string, cores int, server string, load func(addr string) (loadResult, error)) (loadResult, error) {
	proxy, err := startChild(c.Root().ErrWriter, subcommand, "--cores", strconv.Itoa(cores), "--to", server)
	if err != nil {
		return loadResult{}, err
	}
	defer proxy.stop()
	result, err := load(proxy.addr)
	if err != nil {
		return result, fmt.Errorf("%s: %w", subcommand, err)
	}
	return result, nil
}
