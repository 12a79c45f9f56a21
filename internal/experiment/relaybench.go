package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"example.org/milletvane/internal/fakeserver"
)

// row is one line of a benchmark's result: the same load straight to the stand-in, through the plainest proxy and
// through the gateway.
type row struct {
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

// pin keeps the program's threads, and those that they start, on the given processors. Every thread is told: those that
// the runtime has started already would else run anywhere.
func pin(cpus ...int) error {
	var set unix.CPUSet
	for _, c := range cpus {
		set.Set(c)
	}
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, t := range tasks {
		if id, err := strconv.Atoi(t.Name()); err == nil {
			if err := unix.SchedSetaffinity(id, &set); err != nil {
				return fmt.Errorf("pin thread %d: %w", id, err)
			}
		}
	}
	return nil
}

func cpuList(from, to int) (list []int) {
	for i := from; i < to; i++ {
		list = append(list, i)
	}
	return list
}

// child is this program started again, confined to its cores, as a proxy or a gateway.
type child struct {
	cmd  *exec.Cmd
	addr string
}

// startChild starts "lab NAME" and waits for the address that it prints.
func startChild(errs io.Writer, name string, args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{name}, args...)...)
	cmd.Stderr = errs
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, fmt.Errorf("%s did not start: %w", name, err)
	}
	return &child{cmd: cmd, addr: strings.TrimSpace(line)}, nil
}

func (c *child) stop() {
	c.cmd.Process.Kill()
	c.cmd.Wait()
}

// echoLoad has each session send a line and wait for it, for the given time, after an opening line. It returns the lines a
// second and the 99th percentile of their times.
func echoLoad(addr string, sessions, payload int, span time.Duration) (int64, int64, error) {
	line := []byte(strings.Repeat("x", max(payload-2, 0)) + "\r\n")
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var first error
	var total int64
	begin := make(chan struct{})
	var wg, ready sync.WaitGroup
	for i := range sessions {
		ready.Add(1)
		wg.Go(func() {
			mine := hdrhistogram.New(1, 60_000_000, 3)
			err := func() error {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					ready.Done()
					return err
				}
				defer c.Close()
				r := bufio.NewReaderSize(c, 8<<10)
				fmt.Fprintf(c, "OPEN %x key%d c=lines,d=5000\r\n", time.Now().UnixNano()+int64(i), i)
				up, err := r.ReadString('\n')
				ready.Done()
				if err != nil || !strings.HasPrefix(up, "UP") {
					return fmt.Errorf("opened with %q: %v", up, err)
				}
				<-begin
				for end := time.Now().Add(span); ; {
					at := time.Now()
					if at.After(end) {
						return nil
					}
					if _, err := c.Write(line); err != nil {
						return err
					}
					if _, err := r.ReadSlice('\n'); err != nil {
						return err
					}
					mine.RecordValue(max(time.Since(at).Microseconds(), 1))
				}
			}()
			mu.Lock()
			defer mu.Unlock()
			if err != nil && first == nil {
				first = err
			}
			h.Merge(mine)
			total += mine.TotalCount()
		})
	}
	ready.Wait()
	close(begin)
	wg.Wait()
	return int64(float64(total) / span.Seconds()), h.ValueAtQuantile(99), first
}

func relayBench() *cli.Command {
	return &cli.Command{
		Name: "relay-bench", Usage: "measure lines a second through the gateway, the plainest proxy and straight to a server",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "rows of JSON instead of a table"},
			&cli.DurationFlag{Name: "span", Value: 3 * time.Second, Usage: "time of each measurement"},
			&cli.IntSliceFlag{Name: "cores", Value: []int{1, 2}, Usage: "cores of the gateway and the proxy"},
			&cli.IntSliceFlag{Name: "sessions", Value: []int{1, 50}, Usage: "clients at once"},
			&cli.IntSliceFlag{Name: "payload", Value: []int{128}, Usage: "bytes of a line, its end included"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			all := runtime.NumCPU()
			table := newTable(c.Root().Writer, "payload", "sessions", "cores", "direct/s", "plain/s", "gateway/s", "of plain", "direct p99 µs", "plain p99 µs", "gateway p99 µs")
			for _, cores := range c.IntSlice("cores") {
				if cores < 1 || cores >= all {
					return fmt.Errorf("cores: %d of %d would leave none for the load", cores, all)
				}
				// The load and the server never share a core with what is measured.
				if err := pin(cpuList(cores, all)...); err != nil {
					return err
				}
				for _, sessions := range c.IntSlice("sessions") {
					for _, payload := range c.IntSlice("payload") {
						r, err := relayRow(c, cores, sessions, payload)
						if err != nil {
							return err
						}
						if c.Bool("json") {
							if err := json.NewEncoder(c.Root().Writer).Encode(r); err != nil {
								return err
							}
							continue
						}
						table.AppendRow(r.cells())
					}
				}
			}
			if !c.Bool("json") {
				table.Render()
			}
			return nil
		},
	}
}

func relayRow(c *cli.Command, cores, sessions, payload int) (r row, err error) {
	s, err := fakeserver.NewLineServer()
	if err != nil {
		return r, err
	}
	defer s.Close()
	r = row{Payload: payload, Sessions: sessions, Cores: cores}
	err = r.measure(c, s.Addr(), "line-gateway", func(addr string) (int64, int64, error) {
		return echoLoad(addr, sessions, payload, c.Duration("span"))
	})
	return r, err
}

// measure puts the same load straight on a server, on the plainest proxy and on a gateway, one after another.
func (r *row) measure(c *cli.Command, server, gateway string, load func(addr string) (int64, int64, error)) (err error) {
	if r.Direct, r.DirectP99us, err = load(server); err != nil {
		return fmt.Errorf("direct: %w", err)
	}
	for _, by := range []struct {
		name          string
		perSecond, p9 *int64
	}{{"plain-proxy", &r.Plain, &r.PlainP99us}, {gateway, &r.Gateway, &r.GatewayP99us}} {
		p, err := startChild(c.Root().ErrWriter, by.name, "--cores", strconv.Itoa(r.Cores), "--to", server)
		if err != nil {
			return err
		}
		*by.perSecond, *by.p9, err = load(p.addr)
		p.stop()
		if err != nil {
			return fmt.Errorf("%s: %w", by.name, err)
		}
	}
	return nil
}
