package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"example.org/milletvane/config"
	"example.org/milletvane/gateway"
	"example.org/milletvane/internal/fakeserver"
)

// silentPlay is what one play of a watch that falls silent came to.
type silentPlay struct {
	Mode     string `json:"mode"`
	Seed     uint64 `json:"seed"`
	Requests int64  `json:"requests"`
	KnownMS  int64  `json:"known_after_ms"`  // from the change to the last request at the drained server
	CountsMS int64  `json:"counts_after_ms"` // from the change until it counts as told
	Late     int64  `json:"sends_late"`      // that came to it after the grace
}

const (
	silentAfter = 300 * time.Millisecond // a watch has been open for about so long when it falls silent, and
	silentSlack = 50 * time.Millisecond  // the platform's, on every limit
)

// silentModes are the figures of the two ways in which lists come: how long a call waits, and the grace for drains.
var silentModes = map[string]struct{ wait, grace time.Duration }{
	"ask":  {10 * time.Second, 500 * time.Millisecond},
	"push": {2 * time.Second, 250 * time.Millisecond},
}

// silentWatch plays a watch that falls silent while a server begins to drain, many seeds at once.
func silentWatch() *cli.Command {
	return &cli.Command{
		Name: "silent-watch", Usage: "a list's watch falls silent, and a server drains meanwhile",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "mode", Value: "ask", Usage: "ask: of discovery; push: of an agent"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 20, Usage: "played side by side"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, ok := silentModes[c.String("mode")]; !ok {
				return fmt.Errorf("mode: %q is neither ask nor push", c.String("mode"))
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			var errs []error
			for i := range uint64(c.Int("seeds")) {
				wg.Go(func() {
					p, err := playSilentWatch(ctx, c.String("mode"), c.Uint64("seed")+i)
					if err == nil && p.Late > 0 {
						err = fmt.Errorf("seed %d: %d requests were sent to a drained server after the grace", p.Seed, p.Late)
					}
					mu.Lock()
					defer mu.Unlock()
					errs = append(errs, err)
					json.NewEncoder(c.Root().Writer).Encode(p)
				})
			}
			wg.Wait()
			return errors.Join(errs...)
		},
	}
}

func playSilentWatch(ctx context.Context, mode string, seed uint64) (p silentPlay, err error) {
	p.Mode, p.Seed = mode, seed
	figures, rnd := silentModes[mode], rand.New(rand.NewPCG(seed, 1))
	catalog, err := fakeserver.NewCatalog()
	if err != nil {
		return p, err
	}
	defer catalog.Close()
	var nodes []*fakeserver.LineServer
	entry := func(i int, state string) fakeserver.Endpoint {
		return fakeserver.Endpoint{ID: fmt.Sprintf("s-%08x", i+1), Addr: nodes[i].Addr(), State: state, Weight: 1}
	}
	for i := range 3 {
		n, err := fakeserver.NewLineServer()
		if err != nil {
			return p, err
		}
		defer n.Close()
		nodes = append(nodes, n)
		catalog.SetEndpoint(entry(i, fakeserver.StateInService))
	}
	listen, release, err := fakeserver.ReserveAddress()
	if err != nil {
		return p, err
	}
	defer release()
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"%x","settings":%s}`, listen, catalog.Addr(), seed,
		strings.NewReplacer(`"ask"`, fmt.Sprintf("%q", mode), `within_ns":500000000`, fmt.Sprintf(`within_ns":%d`, figures.grace)).Replace(lineSettings))
	conf, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		return p, err
	}
	g, err := gateway.New(*conf, gateway.WithLogger(slogTo(nil, false)))
	if err != nil {
		return p, err
	}
	run, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- g.Run(run) }()
	defer func() { stop(); err = errors.Join(err, <-ended) }()
	if err := awaitReady(ctx, listen); err != nil {
		return p, err
	}
	time.Sleep(silentAfter + time.Duration(rnd.Int64N(int64(time.Second))))
	began, silent := catalog.StallWatches(), time.Now()
	time.Sleep(500 * time.Millisecond)
	catalog.SetEndpoint(entry(0, fakeserver.StateTerminating))
	changed := time.Now()
	counts := silent.Add(6 * time.Second)
	if c := began.Add(figures.wait + 2*time.Second); c.After(counts) {
		counts = c
	}
	p.CountsMS = counts.Sub(changed).Milliseconds()
	end := counts.Add(2 * time.Second)
	var held, last int64
	for i := 0; time.Now().Before(end); i++ {
		if err := openLine(listen, fmt.Sprintf("%x-%d", seed, i)); err != nil {
			return p, err
		}
		p.Requests++
		if n := nodes[0].Opened(); n > held {
			held, last = n, time.Since(changed).Milliseconds()
			if time.Since(counts) > figures.grace+silentSlack {
				p.Late++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.KnownMS = last
	return p, nil
}

// openLine opens a connection through a gateway, and ends it once it is up.
func openLine(gate, name string) error {
	c, err := net.Dial("tcp", gate)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "OPEN %s %s c=lines,d=4000\r\n", name, name)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "UP ") && !strings.HasPrefix(line, "BUSY") {
		err = fmt.Errorf("%s: answered %q", name, line)
	}
	return err
}
