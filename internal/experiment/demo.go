package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nats-io/nats.go"
	"github.com/urfave/cli/v3"

	"example.org/milletvane/internal/fakeserver"
)

// demo is the program's main job on stand-ins, to look at.
func demo() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "one gateway between stand-in nodes and clients, while one node drains",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "span", Value: 12 * time.Second, Usage: "how long it lasts"},
			&cli.IntFlag{Name: "sessions", Value: 40, Usage: "NATS clients"},
			&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` where operators call, such as 127.0.0.1:12000"},
			&cli.IntFlag{Name: "nodes", Value: 4, Usage: "stand-in nodes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDemo(ctx, c.Root().Writer, c.Int("nodes"), c.Int("sessions"), c.Duration("span"), c.String("admin"))
		},
	}
}

func runDemo(ctx context.Context, out io.Writer, n, sessions int, span time.Duration, admin string) error {
	if n < 2 || sessions < 1 {
		return errors.New("at least two nodes and one session are wanted")
	}
	fleet, err := startNodes(n)
	if err != nil {
		return err
	}
	defer fleet.close()
	gate, err := startNATSGate(ctx, fleet.catalog.Addr(), admin, 2, slogTo(io.Discard, false))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var asked, answered, refused, failed, cuts, messages atomic.Int64
	var wg sync.WaitGroup
	var conns []*nats.Conn
	for i := range sessions {
		nc, err := nats.Connect("nats://"+gate.addr, nats.Timeout(5*time.Second), nats.DisconnectErrHandler(func(*nats.Conn, error) {
			if ctx.Err() == nil {
				cuts.Add(1)
			}
		}))
		if err != nil {
			return err
		}
		conns = append(conns, nc)
		if _, err := nc.Subscribe(fmt.Sprintf("stream.%d", i), func(*nats.Msg) { messages.Add(1) }); err != nil {
			return err
		}
		if err := nc.Flush(); err != nil {
			return err
		}
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				asked.Add(1)
				m, err := nc.Request(fmt.Sprintf("svc.safe.%d", k%97), []byte(fmt.Sprintf("r%d-%d", i, k)), 5*time.Second)
				switch {
				case err != nil:
					failed.Add(1)
				case m.Header.Get("Status") != "":
					refused.Add(1)
				default:
					answered.Add(1)
				}
				fleet.cluster.PublishStream(i, k)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	live := false
	if f, ok := out.(*os.File); ok {
		info, err := f.Stat()
		live = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	began := time.Now()
	drained := -1
	moves, held := 0, make([]int, n)
	show := func() {
		if live {
			fmt.Fprint(out, "\x1b[H\x1b[2J")
		}
		t := newTable(out, "node", "state", "sessions", "subscriptions")
		for i, node := range fleet.list {
			state := fakeserver.StateInService
			if i == drained {
				state = fakeserver.StateTerminating
			}
			t.AppendRow([]any{node.Name, state, node.ConnectionCount(), node.SubscriptionCount()})
		}
		t.AppendFooter([]any{fmt.Sprintf("%.0f s", time.Since(began).Seconds()), fmt.Sprintf("asked %d", asked.Load()),
			fmt.Sprintf("answered %d", answered.Load()), fmt.Sprintf("moves %d", moves)})
		t.Render()
	}
	every := 500 * time.Millisecond
	if !live {
		every = span / 6
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	drainAt := time.After(span / 3)
	for ctx.Err() == nil {
		select {
		case <-tick.C:
			if drained >= 0 {
				moves = max(moves, held[drained]-fleet.list[drained].ConnectionCount())
			}
			show()
		case <-drainAt:
			for i, node := range fleet.list { // the one that has most to lose
				if held[i] = node.ConnectionCount(); drained < 0 || held[i] > held[drained] {
					drained = i
				}
			}
			fleet.drain(drained)
			fmt.Fprintf(out, "%s drains: it holds %d sessions\n", fleet.list[drained].Name, held[drained])
		case <-ctx.Done():
		}
	}
	wg.Wait()
	for _, nc := range conns {
		nc.Close()
	}
	if err := gate.close(); err != nil {
		return err
	}
	most, overlapping, late := fleet.cluster.AttemptStats()
	fmt.Fprintf(out, "\n%d sessions, %d cut off; %d moved off the node that drained\n", sessions, cuts.Load(), moves)
	fmt.Fprintf(out, "%d requests: %d answered, %d refused or failed at once, %d without answer; %d attempts at most, %d at once, %d late\n",
		asked.Load(), answered.Load(), refused.Load(), failed.Load(), most, overlapping, late)
	fmt.Fprintf(out, "%d messages delivered\n", messages.Load())
	if cuts.Load() > 0 || failed.Load() > 0 || overlapping > 0 || late > 0 {
		return errors.New("something went wrong, see above")
	}
	return nil
}
