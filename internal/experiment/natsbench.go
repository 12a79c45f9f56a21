package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
	"example.org/milletvane/internal/nats/codec"
)

// natsRow is a row of nats-bench: what is asked for goes as a plain message or as a request that the gateway follows.
type natsRow struct {
	row
	Way string `json:"way"` // one: each message waits for the last; pipe: pipeWindow are out; request: one, followed
}

// pipeWindow is how many messages a session has out when it does not wait for each.
const pipeWindow = 32

func natsBench() *cli.Command {
	return &cli.Command{
		Name: "nats-bench", Usage: "measure NATS messages a second through the gateway, the plainest proxy and straight to a node",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "rows of JSON instead of a table"},
			&cli.DurationFlag{Name: "span", Value: time.Second, Usage: "time of each measurement"},
			&cli.IntSliceFlag{Name: "cores", Value: []int{1, 2}, Usage: "cores of the gateway and the proxy"},
			&cli.IntSliceFlag{Name: "sessions", Value: []int{1, 50, 500}, Usage: "clients at once"},
			&cli.IntSliceFlag{Name: "payload", Value: []int{16, 128, 4096}, Usage: "bytes of a message"},
			&cli.StringSliceFlag{Name: "way", Value: []string{"one", "pipe", "request"}, Usage: "one, pipe or request"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			table := newTable(c.Root().Writer, "way", "payload", "sessions", "cores", "direct/s", "plain/s", "gateway/s", "of plain", "direct p99 µs", "plain p99 µs", "gateway p99 µs")
			all := runtime.NumCPU()
			for _, cores := range c.IntSlice("cores") {
				if cores < 1 || cores >= all {
					return fmt.Errorf("cores: %d of %d would leave none for the load", cores, all)
				}
				if err := pin(cpuList(cores, all)...); err != nil {
					return err
				}
				for _, way := range c.StringSlice("way") {
					for _, sessions := range c.IntSlice("sessions") {
						for _, payload := range c.IntSlice("payload") {
							r, err := natsBenchRow(c, way, cores, sessions, payload)
							if err != nil {
								return err
							}
							if c.Bool("json") {
								if err := json.NewEncoder(c.Root().Writer).Encode(r); err != nil {
									return err
								}
								continue
							}
							table.AppendRow(append([]any{way}, r.cells()...))
						}
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

func natsBenchRow(c *cli.Command, way string, cores, sessions, payload int) (natsRow, error) {
	r := natsRow{row{Payload: payload, Sessions: sessions, Cores: cores}, way}
	s, err := fakeserver.NewNATSEcho()
	if err != nil {
		return r, err
	}
	defer s.Close()
	err = r.measure(c, s.Addr(), "nats-gateway", func(addr string) (int64, int64, error) {
		return natsLoad(addr, way, sessions, payload, c.Duration("span"))
	})
	return r, err
}

// natsLoad has each session publish and wait for what comes back. It returns the messages a second that came back and the
// 99th percentile of their times in microseconds.
func natsLoad(addr, way string, sessions, payload int, span time.Duration) (int64, int64, error) {
	window := 1
	if way == "pipe" {
		window = pipeWindow
	}
	subject, reply := "bench", ""
	if way == "request" {
		subject, reply = "svc.safe.7", "bench"
	}
	frame := codec.AppendPub(nil, []byte(subject), []byte(reply), 0, payload)
	frame = append(append(frame, strings.Repeat("x", payload)...), "\r\n"...)
	var mu sync.Mutex
	var first error
	all := hdrhistogram.New(1, 60_000_000, 3)
	begin := make(chan struct{})
	var ready, wg sync.WaitGroup
	for range sessions {
		ready.Add(1)
		wg.Go(func() {
			mine := hdrhistogram.New(1, 60_000_000, 3)
			err := func() error {
				c, r, err := natsConnect(addr)
				ready.Done()
				if err != nil {
					return err
				}
				defer c.Close()
				<-begin
				c.SetDeadline(time.Now().Add(span + 20*time.Second))
				at := make([]time.Time, window)
				for i := range at {
					at[i] = time.Now()
				}
				if _, err := c.Write(bytes.Repeat(frame, window)); err != nil {
					return err
				}
				end := time.Now().Add(span)
				for i := 0; ; i = (i + 1) % window {
					line, err := r.ReadSlice('\n')
					if err != nil {
						return err
					}
					if !bytes.HasPrefix(line, []byte("MSG ")) {
						return fmt.Errorf("got %q", line)
					}
					if _, err := r.Discard(payload + 2); err != nil {
						return err
					}
					now := time.Now()
					mine.RecordValue(max(now.Sub(at[i]).Microseconds(), 1))
					if now.After(end) {
						return nil
					}
					at[i] = now
					if window == 1 || i%(window/2) == window/2-1 { // half a window at once, as clients that buffer do
						if _, err := c.Write(bytes.Repeat(frame, max(window/2, 1))); err != nil {
							return err
						}
					}
				}
			}()
			mu.Lock()
			defer mu.Unlock()
			if err != nil && first == nil {
				first = err
			}
			all.Merge(mine)
		})
	}
	ready.Wait()
	close(begin)
	wg.Wait()
	return int64(float64(all.TotalCount()) / span.Seconds()), all.ValueAtQuantile(99), first
}

// natsConnect sets a session up that is subscribed to bench.
func natsConnect(addr string) (net.Conn, *bufio.Reader, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReaderSize(c, 64<<10)
	fmt.Fprint(c, "CONNECT {\"verbose\":false,\"headers\":true}\r\nSUB bench 1\r\nPING\r\n")
	for {
		line, err := r.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "-ERR") {
			c.Close()
			return nil, nil, fmt.Errorf("connect: %q, %v", line, err)
		}
		if line == codec.PongFrame {
			return c, r, nil
		}
	}
}

// natsGateway is a gateway that speaks NATS, confined to its cores, in front of one node.
func natsGateway() *cli.Command {
	return &cli.Command{
		Name: "nats-gateway", Hidden: true, Usage: "a gateway that speaks NATS, which benchmarks start",
		Flags: []cli.Flag{&cli.IntFlag{Name: "cores", Value: 1}, &cli.StringFlag{Name: "to", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			catalog, err := confined(c)
			if err != nil {
				return err
			}
			defer catalog.Close()
			gateway.Confine(config.Limits{Cores: float64(c.Int("cores")), MemoryMB: 512})
			g, err := startNATSGate(ctx, catalog.Addr(), "", c.Int("cores"), slogTo(c.Root().ErrWriter, false))
			if err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, g.addr)
			return <-g.done
		},
	}
}
