package experiment

import (
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"
)

// benchCase is one combination of the parameters of a benchmark.
type benchCase struct {
	sendMode                 string // how a session sends messages; empty if the benchmark has only one mode
	cores, sessions, payload int    // payload is in bytes
}

// benchCases returns all combinations of the given send modes and the values of a command's flags, in the order of
// measurement.
func benchCases(c *cli.Command, sendModes []string) (cases []benchCase) {
	for _, cores := range c.IntSlice("cores") {
		for _, way := range sendModes {
			for _, sessions := range c.IntSlice("sessions") {
				for _, payload := range c.IntSlice("payload") {
					cases = append(cases, benchCase{sendMode: way, cores: cores, sessions: sessions, payload: payload})
				}
			}
		}
	}
	return cases
}

// benchFlags returns the flags that all benchmarks have.
func benchFlags(duration time.Duration, sessions, payloads []int, payloadUsage string) []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "json", Usage: "print one line of JSON for each case instead of a table"},
		&cli.DurationFlag{Name: "span", Value: duration, Usage: "duration of each measurement"},
		&cli.IntSliceFlag{Name: "cores", Value: []int{1, 2}, Usage: "number of cores of the gateway and the proxy"},
		&cli.IntSliceFlag{Name: "sessions", Value: sessions, Usage: "number of concurrent clients"},
		&cli.IntSliceFlag{Name: "payload", Value: payloads, Usage: payloadUsage},
	}
}

// benchResult holds the measurements of one case of a benchmark: messages per second, and the 99th percentile of latency in
// microseconds. The clients generate the same load directly on a fake server, through a plain proxy and through a gateway.
type benchResult struct {
	Payload          int   `json:"payload"`
	Sessions         int   `json:"sessions"`
	Cores            int   `json:"cores"`
	DirectPerSecond  int64 `json:"direct_per_s"`
	PlainPerSecond   int64 `json:"plain_per_s"`
	GatewayPerSecond int64 `json:"gateway_per_s"`
	DirectP99us      int64 `json:"direct_p99_us"`
	PlainP99us       int64 `json:"plain_p99_us"`
	GatewayP99us     int64 `json:"gateway_p99_us"`
}

func newBenchResult(bench benchCase) benchResult {
	return benchResult{Payload: bench.payload, Sessions: bench.sessions, Cores: bench.cores}
}

var benchHeadings = []any{
	"payload", "sessions", "cores", "direct/s", "plain/s", "gateway/s", "gateway to plain",
	"direct p99 µs", "plain p99 µs", "gateway p99 µs",
}

func (r benchResult) cells() table.Row {
	gatewayToPlain := float64(r.GatewayPerSecond) / float64(max(r.PlainPerSecond, 1))
	return table.Row{
		r.Payload, r.Sessions, r.Cores, r.DirectPerSecond, r.PlainPerSecond, r.GatewayPerSecond, fmt.Sprintf("%.2f", gatewayToPlain),
		r.DirectP99us, r.PlainP99us, r.GatewayP99us,
	}
}

// benchRow is a result that can be printed as a row of a table or as JSON.
type benchRow interface{ cells() table.Row }

// runBenchmark measures the cases one after the other. It prints each result as a line of JSON if the flag "json" is set, and
// otherwise all results as a table at the end.
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

// pinLoadGenerator pins this process, which runs the clients and the server, to the cores that the measured process does
// not use. It returns an error if measuredCores is less than 1 or leaves no core.
func pinLoadGenerator(measuredCores int) error {
	all := runtime.NumCPU()
	if measuredCores < 1 || measuredCores >= all {
		return fmt.Errorf("cores: got %d of %d, want at least 1 and at least one left for the load", measuredCores, all)
	}
	return pinToCPUs(cpuRange(measuredCores, all)...)
}

// measure generates the same load on a server directly, through a plain proxy and through a gateway, one after the other, and
// records the results. gatewayCommand is the sub-command that runs the gateway.
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
	r.DirectPerSecond, r.DirectP99us = direct.perSecond, direct.p99us
	r.PlainPerSecond, r.PlainP99us = plain.perSecond, plain.p99us
	r.GatewayPerSecond, r.GatewayP99us = gateway.perSecond, gateway.p99us
	return nil
}

// loadThroughChild generates load on a server through a proxy or gateway, which a sub-command runs in a new process.
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
