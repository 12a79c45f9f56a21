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

// silentWatchResult is the result of a run with a stalled watch.
type silentWatchResult struct {
	Mode       string `json:"mode"`
	Seed       uint64 `json:"seed"`
	Requests   int64  `json:"requests"`
	KnownMS    int64  `json:"known_after_ms"`  // from the change of the list to the last request at the draining server
	NotifiedMS int64  `json:"counts_after_ms"` // from the change until the gateway must know of it
	Late       int64  `json:"sends_late"`      // requests at the draining server after the drain grace
}

const (
	silentServers       = 3
	silentMinDelay      = 300 * time.Millisecond // shortest time from the gateway's readiness until its watch stalls
	silentChangeDelay   = 500 * time.Millisecond // from the stall until the drain begins
	silentTolerance     = 50 * time.Millisecond  // the platform's tolerance on every limit
	silentDetectionTime = 6 * time.Second        // after which a gateway must replace a watch that receives nothing
	silentRequestPause  = 20 * time.Millisecond
)

// discoveryModeLimits holds the limits of a discovery mode.
type discoveryModeLimits struct {
	maxWatchDuration time.Duration // longest duration of a watch
	drainGrace       time.Duration // drain grace
}

var discoveryModes = map[string]discoveryModeLimits{
	"ask":  {maxWatchDuration: 10 * time.Second, drainGrace: 500 * time.Millisecond},
	"push": {maxWatchDuration: 2 * time.Second, drainGrace: 250 * time.Millisecond},
}

// silentWatchCommand returns the command that stalls the watch of the endpoint list and then makes a server drain, with
// many seeds concurrently.
func silentWatchCommand() *cli.Command {
	return &cli.Command{
		Name: "silent-watch", Usage: "stall the watch of the endpoint list while a server drains, and count late requests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "mode", Value: "ask", Usage: "discovery mode: ask (the discovery service) or push (an agent)"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 20, Usage: "number of seeds, which run concurrently"},
		},
		Action: runSilentWatches,
	}
}

func runSilentWatches(ctx context.Context, c *cli.Command) error {
	mode := c.String("mode")
	if _, ok := discoveryModes[mode]; !ok {
		return fmt.Errorf("mode: unknown discovery mode %q, want ask or push", mode)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var errs []error
	for i := range uint64(c.Int("seeds")) {
		wg.Go(func() {
			result, err := runSilentWatch(ctx, mode, c.Uint64("seed")+i)
			if err == nil && result.Late > 0 {
				err = fmt.Errorf("seed %d: %d requests reached the draining server after the drain grace", result.Seed, result.Late)
			}
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err, writeJSON(c.Root().Writer, result))
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// silentRun holds the state of a run: a gateway in front of a few servers.
type silentRun struct {
	mode    discoveryModeLimits
	rng     *rand.Rand
	catalog *fakeserver.Catalog
	servers []*fakeserver.LineServer
	gateway *localGateway
	result  silentWatchResult
}

func runSilentWatch(ctx context.Context, mode string, seed uint64) (result silentWatchResult, err error) {
	r := &silentRun{
		mode: discoveryModes[mode], rng: rand.New(rand.NewPCG(seed, 1)),
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
		`within_ns":500000000`, fmt.Sprintf(`within_ns":%d`, r.mode.drainGrace),
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

// stallAndDrain stalls the watch and then makes the first server drain. It returns the time of the drain and the time by
// which the gateway must know of it.
func (r *silentRun) stallAndDrain() (changedAt, notifiedBy time.Time) {
	time.Sleep(silentMinDelay + time.Duration(r.rng.Int64N(int64(time.Second))))
	watchStart, stalledAt := r.catalog.StallWatches(), time.Now()
	time.Sleep(silentChangeDelay)
	drained := inServiceEndpoint(0, r.servers[0].Addr())
	drained.State = fakeserver.StateTerminating
	r.catalog.SetEndpoint(drained)
	changedAt = time.Now()
	notifiedBy = stalledAt.Add(silentDetectionTime)
	if watchEnd := watchStart.Add(r.mode.maxWatchDuration + 2*time.Second); watchEnd.After(notifiedBy) {
		notifiedBy = watchEnd
	}
	return changedAt, notifiedBy
}

// sendRequests opens connections until some time after the gateway must know of the drain, and records those that reach
// the draining server.
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
			if time.Since(notifiedBy) > r.mode.drainGrace+silentTolerance {
				r.result.Late++
			}
		}
		time.Sleep(silentRequestPause)
	}
	return nil
}

// openLine opens a connection through a gateway, and closes it once it is established or rejected.
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
		err = fmt.Errorf("request %s: got answer %q, want UP or BUSY", name, line)
	}
	return err
}
