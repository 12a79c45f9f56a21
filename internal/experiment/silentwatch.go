package experiment

import (
	"bufio"
	"context"
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

// silentWatchResult is what one run with a stalled watch came to.
type silentWatchResult struct {
	Mode       string `json:"mode"`
	Seed       uint64 `json:"seed"`
	Requests   int64  `json:"requests"`
	KnownMS    int64  `json:"known_after_ms"`  // from the change to the last request at the draining server
	NotifiedMS int64  `json:"counts_after_ms"` // from the change until the gateway counts as notified of it
	Late       int64  `json:"sends_late"`      // requests at that server after the grace period
}

const (
	silentServers       = 3
	silentMinDelay      = 300 * time.Millisecond // a watch has been open for at least so long when it stalls
	silentChangeDelay   = 500 * time.Millisecond // from then to the drain
	silentSlack         = 50 * time.Millisecond  // the platform's, on every limit
	silentDetectionTime = 6 * time.Second        // a gateway that hears nothing for so long has to ask anew
	silentRequestPause  = 20 * time.Millisecond
)

// silentMode is the figures of a way in which endpoint lists come.
type silentMode struct {
	maxWait     time.Duration // of a call
	gracePeriod time.Duration // for drains
}

var silentModes = map[string]silentMode{
	"ask":  {maxWait: 10 * time.Second, gracePeriod: 500 * time.Millisecond},
	"push": {maxWait: 2 * time.Second, gracePeriod: 250 * time.Millisecond},
}

// silentWatchCommand stalls the watch of the endpoint list while a server begins to drain, with many seeds at once.
func silentWatchCommand() *cli.Command {
	return &cli.Command{
		Name: "silent-watch", Usage: "a list's watch falls silent, and a server drains meanwhile",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "mode", Value: "ask", Usage: "ask: of discovery; push: of an agent"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 20, Usage: "run side by side"},
		},
		Action: runSilentWatches,
	}
}

func runSilentWatches(ctx context.Context, c *cli.Command) error {
	mode := c.String("mode")
	if _, ok := silentModes[mode]; !ok {
		return fmt.Errorf("mode: %q is neither ask nor push", mode)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var errs []error
	for i := range uint64(c.Int("seeds")) {
		wg.Go(func() {
			result, err := runSilentWatch(ctx, mode, c.Uint64("seed")+i)
			if err == nil && result.Late > 0 {
				err = fmt.Errorf("seed %d: %d requests were sent to a drained server after the grace", result.Seed, result.Late)
			}
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err, writeJSON(c.Root().Writer, result))
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// silentRun is one run: a gateway in front of a few servers.
type silentRun struct {
	mode    silentMode
	rng     *rand.Rand
	catalog *fakeserver.Catalog
	servers []*fakeserver.LineServer
	gateway *localGateway
	result  silentWatchResult
}

func runSilentWatch(ctx context.Context, mode string, seed uint64) (result silentWatchResult, err error) {
	r := &silentRun{
		mode: silentModes[mode], rng: rand.New(rand.NewPCG(seed, 1)),
		result: silentWatchResult{Mode: mode, Seed: seed},
	}
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return r.result, err
	}
	changedAt, notifiedBy := r.stallAndDrain()
	r.result.NotifiedMS = notifiedBy.Sub(changedAt).Milliseconds()
	return r.result, r.sendRequests(changedAt, notifiedBy)
}

func (r *silentRun) start(ctx context.Context) (err error) {
	if r.catalog, err = fakeserver.NewCatalog(); err != nil {
		return err
	}
	for i := range silentServers {
		server, err := fakeserver.NewLineServer()
		if err != nil {
			return err
		}
		r.servers = append(r.servers, server)
		r.catalog.SetEndpoint(inServiceEndpoint(i, server.Addr()))
	}
	listen, release, err := fakeserver.ReserveAddress()
	if err != nil {
		return err
	}
	defer release()
	settings := strings.NewReplacer(
		`"ask"`, fmt.Sprintf("%q", r.result.Mode),
		`within_ns":500000000`, fmt.Sprintf(`within_ns":%d`, r.mode.gracePeriod),
	).Replace(lineSettings)
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"%x","settings":%s}`,
		listen, r.catalog.Addr(), r.result.Seed, settings)
	conf, err := config.Parse([]byte(text), noEnvironment)
	if err != nil {
		return err
	}
	r.gateway, err = startGateway(ctx, conf, listen, gateway.WithLogger(newLogger(nil, false)))
	return err
}

func (r *silentRun) close() (err error) {
	if r.gateway != nil {
		err = r.gateway.close()
	}
	for _, server := range r.servers {
		server.Close()
	}
	if r.catalog != nil {
		r.catalog.Close()
	}
	return err
}

// stallAndDrain stalls the watch and then has the first server drain. It returns when that was, and by when the gateway
// has to know of it.
func (r *silentRun) stallAndDrain() (changedAt, notifiedBy time.Time) {
	time.Sleep(silentMinDelay + time.Duration(r.rng.Int64N(int64(time.Second))))
	watchStart, stalledAt := r.catalog.StallWatches(), time.Now()
	time.Sleep(silentChangeDelay)
	drained := inServiceEndpoint(0, r.servers[0].Addr())
	drained.State = fakeserver.StateTerminating
	r.catalog.SetEndpoint(drained)
	changedAt = time.Now()
	notifiedBy = stalledAt.Add(silentDetectionTime)
	if watchEnd := watchStart.Add(r.mode.maxWait + 2*time.Second); watchEnd.After(notifiedBy) {
		notifiedBy = watchEnd
	}
	return changedAt, notifiedBy
}

// sendRequests opens connections until some time after the gateway has to know of the drain, and records those that
// came to the draining server.
func (r *silentRun) sendRequests(changedAt, notifiedBy time.Time) error {
	const afterNotification = 2 * time.Second
	end := notifiedBy.Add(afterNotification)
	var opened int64
	for i := 0; time.Now().Before(end); i++ {
		if err := openLine(r.gateway.addr, fmt.Sprintf("%x-%d", r.result.Seed, i)); err != nil {
			return err
		}
		r.result.Requests++
		if n := r.servers[0].Opened(); n > opened {
			opened = n
			r.result.KnownMS = time.Since(changedAt).Milliseconds()
			if time.Since(notifiedBy) > r.mode.gracePeriod+silentSlack {
				r.result.Late++
			}
		}
		time.Sleep(silentRequestPause)
	}
	return nil
}

// openLine opens a connection through a gateway, and ends it once it is established or rejected.
func openLine(gatewayAddr, name string) error {
	conn, err := net.Dial("tcp", gatewayAddr)
	if err != nil {
		return err
	}
	defer closeQuietly(conn)
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "OPEN %s %s c=lines,d=4000\r\n", name, name); err != nil {
		return err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "UP ") && !strings.HasPrefix(line, "BUSY") {
		err = fmt.Errorf("%s: answered %q", name, line)
	}
	return err
}
