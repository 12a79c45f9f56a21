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

// silentWatchResult holds the measurements of one run of silent-watch.
type silentWatchResult struct {
	Mode             string `json:"mode"`
	Seed             uint64 `json:"seed"`
	Requests         int64  `json:"requests"`
	LastRequestMS    int64  `json:"known_after_ms"`  // from the list change to the last request at the draining server
	NoticeDeadlineMS int64  `json:"counts_after_ms"` // from the list change to the time by which the gateway must know of it
	LateRequests     int64  `json:"sends_late"`      // requests that reached the draining server after the drain grace
}

const (
	silentWatchServers      = 3
	minStallDelay           = 300 * time.Millisecond // shortest time from the gateway's readiness to the stall of its watch
	stallToDrainDelay       = 500 * time.Millisecond // from the stall to the start of the drain
	timingTolerance         = 50 * time.Millisecond  // that the platform allows on every time limit
	stallDetectionTime      = 6 * time.Second        // within which a gateway must replace a watch that receives nothing
	silentWatchRequestPause = 20 * time.Millisecond
)

// discoveryModeLimits holds the time limits of a discovery mode.
type discoveryModeLimits struct {
	maxWatchDuration time.Duration // longest duration of one watch
	drainGrace       time.Duration // time after which a draining server must receive no more requests
}

var discoveryModes = map[string]discoveryModeLimits{
	"ask":  {maxWatchDuration: 10 * time.Second, drainGrace: 500 * time.Millisecond},
	"push": {maxWatchDuration: 2 * time.Second, drainGrace: 250 * time.Millisecond},
}

// silentWatchCommand returns the command that stalls a gateway's watch of the endpoint list and then drains a server. It makes
// one run for each seed, all concurrently.
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

// runSilentWatches prints the result of each run. It returns the errors of all runs, including those for late requests.
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
			if err == nil && result.LateRequests > 0 {
				err = fmt.Errorf("seed %d: %d requests reached the draining server after the drain grace", result.Seed, result.LateRequests)
			}
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err, writeJSON(c.Root().Writer, result))
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// silentWatchRun holds the state of one run: a gateway in front of a few servers.
type silentWatchRun struct {
	mode    discoveryModeLimits
	rng     *rand.Rand
	catalog *fakeserver.Catalog
	servers []*fakeserver.LineServer
	gateway *localGateway
	result  silentWatchResult
}

func runSilentWatch(ctx context.Context, mode string, seed uint64) (result silentWatchResult, err error) {
	r := &silentWatchRun{
		mode: discoveryModes[mode], rng: rand.New(rand.NewPCG(seed, 1)),
		result: silentWatchResult{Mode: mode, Seed: seed},
	}
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return r.result, err
	}
	changedAt, noticeDeadline := r.stallAndDrain()
	r.result.NoticeDeadlineMS = noticeDeadline.Sub(changedAt).Milliseconds()
	return r.result, r.sendRequests(changedAt, noticeDeadline)
}

func (r *silentWatchRun) start(ctx context.Context) (err error) {
	if r.catalog, err = fakeserver.NewCatalog(); err != nil {
		return err
	}
	for i := range silentWatchServers {
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

func (r *silentWatchRun) close() (err error) {
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

// stallAndDrain stalls the watch and then drains the first server. It returns the time at which the drain began and the time by
// which the gateway must know of it: the end of the stalled watch plus 2 s, or the end of stallDetectionTime if that is later.
func (r *silentWatchRun) stallAndDrain() (changedAt, noticeDeadline time.Time) {
	time.Sleep(minStallDelay + time.Duration(r.rng.Int64N(int64(time.Second))))
	watchStart, stalledAt := r.catalog.StallWatches(), time.Now()
	time.Sleep(stallToDrainDelay)
	drained := inServiceEndpoint(0, r.servers[0].Addr())
	drained.State = fakeserver.StateTerminating
	r.catalog.SetEndpoint(drained)
	changedAt = time.Now()
	noticeDeadline = stalledAt.Add(stallDetectionTime)
	if watchEnd := watchStart.Add(r.mode.maxWatchDuration + 2*time.Second); watchEnd.After(noticeDeadline) {
		noticeDeadline = watchEnd
	}
	return changedAt, noticeDeadline
}

// sendRequests opens connections until 2 s after noticeDeadline, the time by which the gateway must know of the drain. It
// records those that reach the draining server.
func (r *silentWatchRun) sendRequests(changedAt, noticeDeadline time.Time) error {
	const afterDeadline = 2 * time.Second
	end := noticeDeadline.Add(afterDeadline)
	var openedBefore int64
	for i := 0; time.Now().Before(end); i++ {
		if err := openLine(r.gateway.addr, fmt.Sprintf("%x-%d", r.result.Seed, i)); err != nil {
			return err
		}
		r.result.Requests++
		if n := r.servers[0].Opened(); n > openedBefore {
			openedBefore = n
			r.result.LastRequestMS = time.Since(changedAt).Milliseconds()
			if time.Since(noticeDeadline) > r.mode.drainGrace+timingTolerance {
				r.result.LateRequests++
			}
		}
		time.Sleep(silentWatchRequestPause)
	}
	return nil
}

// openLine opens a connection through a gateway, and closes it once it is established or rejected. It returns an error for any
// other answer.
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
